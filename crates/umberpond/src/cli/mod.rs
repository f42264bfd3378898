//! Command line: one module per subcommand, each with its own settings.

mod admin_client;
mod apply;
mod check;
mod exit;
mod explain;
mod flags;
mod help;
mod keygen;
mod node;
mod output;
mod plan;
mod progress;
mod runtime;
mod sealing;
mod status;
mod submission;
mod withdraw;

pub use exit::Exit;
use flags::UmberpondCmd;

/// Parses the command line, runs the subcommand and returns its exit code.
pub fn main() -> Exit {
    let flags = match flags::Umberpond::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            let subcommand = std::env::args().nth(1);
            output::print_line(&help::help_for(&error.to_string(), subcommand.as_deref()));
            return Exit::Ok;
        }
        Err(error) => {
            eprintln!("{error}\nSee `umberpond --help`.");
            return Exit::Usage;
        }
    };
    match flags.subcommand {
        UmberpondCmd::Node(flags) => node::run(flags.into()),
        UmberpondCmd::Apply(flags) => apply::run(&flags.into()),
        UmberpondCmd::Withdraw(flags) => withdraw::run(&flags.into()),
        UmberpondCmd::Status(flags) => status::run(&flags.into()),
        UmberpondCmd::Submission(flags) => submission::run(&flags.into()),
        UmberpondCmd::Check(flags) => check::run(&flags.into()),
        UmberpondCmd::Plan(flags) => plan::run(&flags.into()),
        UmberpondCmd::Explain(flags) => explain::run(&flags.into()),
        UmberpondCmd::Keygen(flags) => keygen::run(&flags.into()),
    }
}
