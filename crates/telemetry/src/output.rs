//! Log lines on standard output, through a bounded buffer and a thread of its own: telling an event never blocks.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use logforth::Diagnostic;
use logforth::Error;
use logforth::append::Append;
use logforth::layout::Layout;
use logforth::record::Record;
use parking_lot::{Condvar, Mutex};

/// Bytes that wait to be written at most; lines beyond that are dropped and counted.
const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Time in which lines are collected, so that a line does not cost a system call each.
const COLLECTING_TIME: Duration = Duration::from_millis(20);
/// Longest wait for the last lines at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

/// Lines on their way to standard output.
#[derive(Debug, Default)]
pub(crate) struct Output {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Output {
    /// Starts the thread that writes.
    pub(crate) fn start() -> Arc<Self> {
        let output = Arc::new(Self::default());
        let writer = Arc::clone(&output);
        // Without the thread lines are collected up to the bound and then dropped.
        let _ = thread::Builder::new().name("log".to_owned()).spawn(move || writer.write_without_end());
        output
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.waiting.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        waiting.bytes.push(b'\n');
        if was_empty {
            self.changed.notify_all();
        }
    }

    fn write_without_end(&self) {
        loop {
            self.wait_for_lines();
            thread::sleep(COLLECTING_TIME);
            let (bytes, dropped) = self.take();
            let mut standard_output = std::io::stdout().lock();
            // Nobody may be reading; there is nowhere else to tell it.
            let _ = standard_output.write_all(&bytes);
            if dropped > 0 {
                let _ = writeln!(standard_output, "{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}");
            }
            let _ = standard_output.flush();
            drop(standard_output);
            self.waiting.lock().is_writing = false;
            self.changed.notify_all();
        }
    }

    fn wait_for_lines(&self) {
        let mut waiting = self.waiting.lock();
        while waiting.bytes.is_empty() {
            self.changed.wait(&mut waiting);
        }
    }

    fn take(&self) -> (Vec<u8>, u64) {
        let mut waiting = self.waiting.lock();
        waiting.is_writing = true;
        (std::mem::take(&mut waiting.bytes), std::mem::take(&mut waiting.dropped))
    }

    /// Waits until what was told has been written, at most [`FLUSH_TIME`].
    pub(crate) fn flush(&self) {
        let mut waiting = self.waiting.lock();
        while !waiting.bytes.is_empty() || waiting.is_writing {
            if self.changed.wait_for(&mut waiting, FLUSH_TIME).timed_out() {
                return;
            }
        }
    }
}

/// The appender of `logforth` in front of an [`Output`].
pub(crate) struct OutputAppend {
    output: Arc<Output>,
    layout: Box<dyn Layout>,
}

impl OutputAppend {
    pub(crate) fn new(output: Arc<Output>, layout: impl Into<Box<dyn Layout>>) -> Self {
        Self { output, layout: layout.into() }
    }
}

impl fmt::Debug for OutputAppend {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("OutputAppend").finish_non_exhaustive()
    }
}

impl Append for OutputAppend {
    fn append(&self, record: &Record<'_>, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        self.output.push(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.output.flush();
        Ok(())
    }
}
