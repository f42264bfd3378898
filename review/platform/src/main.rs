//! Stand-ins and scripts of the review. `standins upstream ...` runs one upstream; `standins case NAME RECORD`
//! runs the script of a case and writes what was sent, answered and run to the file RECORD (`record.txt`).

mod client;
mod evacuated_zone;
mod http;
mod json;
mod many_changes;
mod mesh;
mod popular_request;
mod record;
mod restored_store;
mod store;
mod upstream;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Result of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("upstream") => match upstream::run(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("upstream: {error}");
                ExitCode::FAILURE
            }
        },
        Some("case") if arguments.len() == 3 => run_case(&arguments[1], Path::new(&arguments[2])),
        _ => {
            eprintln!("usage: standins case NAME RECORD");
            ExitCode::from(2)
        }
    }
}

/// What the variable `TROUBLE` asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// The disruptions of the case.
    All,
    /// Only the final fault, in a case that has one (`closing`).
    FinalFault,
    /// No disruption (`0`).
    None,
}

impl Trouble {
    fn read() -> Self {
        match std::env::var("TROUBLE").as_deref() {
            Ok("0") => Self::None,
            Ok("closing") => Self::FinalFault,
            _ => Self::All,
        }
    }
}

fn run_case(name: &str, record: &Path) -> ExitCode {
    let trouble = Trouble::read();
    let temporary = std::env::temp_dir().join(format!("umberpond-review-{}", std::process::id()));
    let verdict = (|| {
        std::fs::create_dir_all(&temporary)?;
        let record = Record::create(record)?;
        match name {
            "restored-store" => restored_store::run(&record, &temporary, trouble),
            "evacuated-zone" => evacuated_zone::run(&record, &temporary, trouble),
            "many-changes" => many_changes::run(&record, &temporary, trouble),
            "popular-request" => popular_request::run(&record, &temporary, trouble),
            _ => Ok(Verdict::NotRun),
        }
    })();
    if let Ok(Verdict::NotRun) = &verdict {
        println!("the case could not run");
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
