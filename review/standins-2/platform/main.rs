//! The scripts of the second review: stand-ins for clients, back ends and the platform's store, in one process
//! beside those of the project's own program.
//!
//! `standins NUMBER RECORD FOLDER` runs a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod back_end;
mod case_4;
mod case_5;
mod case_6;
mod case_7;
mod case_8;
mod client;
mod http;
mod machine;
mod record;
mod store;

use std::path::{Path, PathBuf};
use std::process::{Command, exit};
use std::sync::Mutex;
use std::time::Duration;

use record::Record;

/// Time after which a case that has not ended can't run.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Ids of the processes that the case has started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a case that can't run.
fn give_up(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    finish(2)
}

/// Kills the processes that the case has started, and exits.
fn finish(status: i32) -> ! {
    let processes = PROCESSES.lock().map(|processes| processes.clone()).unwrap_or_default();
    for process in processes {
        let _ = Command::new("kill").args(["-9", &process.to_string()]).status();
    }
    exit(status)
}

/// What a case needs.
pub struct Setting {
    pub record: Record,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, record, folder] = &arguments[..] else { give_up("usage: standins NUMBER RECORD FOLDER") };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        give_up("it takes too long");
    });
    let setting = Setting {
        record: Record::create(Path::new(record)),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let broken = match number.as_str() {
        "4" => case_4::run(&setting),
        "5" => case_5::run(&setting),
        "6" => case_6::run(&setting),
        "7" => case_7::run(&setting),
        "8" => case_8::run(&setting),
        _ => give_up("there is no such case"),
    };
    for line in &broken {
        setting.record.note(line);
        println!("{line}");
    }
    let result = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    setting.record.note(result);
    println!("{result}");
    finish(i32::from(!broken.is_empty()))
}
