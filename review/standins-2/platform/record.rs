//! The record of a case: what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What happened to one request.
#[derive(Clone, Default)]
pub struct Trace {
    /// Statuses of the responses; 0 for none.
    pub answers: Vec<u16>,
    /// When, and at which back end, it ran.
    pub runs: Vec<(Duration, String)>,
}

struct Content {
    file: File,
    traces: BTreeMap<String, Trace>,
}

/// Shared by all threads of a case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    content: Arc<Mutex<Content>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|_| crate::give_up("the record can't be written"));
        Self {
            began: Instant::now(),
            content: Arc::new(Mutex::new(Content { file, traces: BTreeMap::new() })),
        }
    }

    /// Time since the case began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    fn with(&self, line: &str, change: impl FnOnce(&mut BTreeMap<String, Trace>)) {
        let mut content = self.content.lock().unwrap();
        change(&mut content.traces);
        let _ = writeln!(content.file, "{:9.3} s  {line}", self.began.elapsed().as_secs_f64());
    }

    pub fn note(&self, line: &str) {
        self.with(line, |_| {});
    }

    pub fn sent(&self, id: &str, what: &str) {
        self.with(&format!("{id} sent: {what}"), |traces| {
            traces.insert(id.to_owned(), Trace::default());
        });
    }

    pub fn answered(&self, id: &str, status: u16) {
        self.with(&format!("{id} answered: {status}"), |traces| {
            traces.entry(id.to_owned()).or_default().answers.push(status);
        });
    }

    pub fn run(&self, id: &str, back_end: &str) {
        let at = self.elapsed();
        self.with(&format!("{id} runs at {back_end}"), |traces| {
            traces.entry(id.to_owned()).or_default().runs.push((at, back_end.to_owned()));
        });
    }

    pub fn traces(&self) -> BTreeMap<String, Trace> {
        self.content.lock().unwrap().traces.clone()
    }
}
