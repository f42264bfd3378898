//! What a script sent, what was answered and what ran, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), began_at: Instant::now() })
    }

    /// Writes a line with the time since the start of the script.
    pub fn line(&self, text: &str) {
        let seconds = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line, also to the standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
