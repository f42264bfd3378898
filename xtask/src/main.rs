//! Repository tasks, run as `cargo xtask demo`, `cargo xtask soak`, `cargo xtask rounds` and `cargo xtask
//! variants`.

mod demo;
mod error;
mod flags;
mod node_log;
mod report;
mod rounds;
mod soak;
mod supervise;
mod variants;

use std::process::ExitCode;

use error::XtaskError;
use flags::{Xtask, XtaskCmd};

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Xtask::from_env_or_exit();
    let result = match flags.subcommand {
        XtaskCmd::Demo(options) => demo::run(&options).await,
        XtaskCmd::Soak(options) => soak::run(&options).await,
        XtaskCmd::Rounds(options) => rounds::run(&options),
        XtaskCmd::Variants(options) => variants::run(&options),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}

fn print_error(error: &XtaskError) {
    eprintln!("error: {error}");
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        eprintln!("  caused by: {inner}");
        cause = inner.source();
    }
}
