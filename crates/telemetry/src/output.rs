//! Log output through a bounded buffer and a dedicated writer thread, so that emitting an event never waits
//! for standard output.

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

/// Capacity of the buffer in bytes; lines beyond it are dropped and counted.
const MAX_PENDING_BYTES: usize = 512 * 1024;
/// Time during which lines are batched, to avoid a system call per line.
const BATCHING_TIME: Duration = Duration::from_millis(20);
/// Timeout of each wait for the writer thread in [`Output::flush`].
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

/// Buffer between the logger and the thread that writes to standard output.
#[derive(Debug, Default)]
pub(crate) struct Output {
    pending: Mutex<PendingLines>,
    changed: Condvar,
}

impl Output {
    /// Creates the buffer and starts the writer thread.
    pub(crate) fn start() -> Arc<Self> {
        let output = Arc::new(Self::default());
        let writer = Arc::clone(&output);
        // If the thread can't be started, lines are buffered up to the capacity and then dropped.
        let _ = thread::Builder::new().name("log".to_owned()).spawn(move || writer.write_loop());
        output
    }

    fn push(&self, line: &[u8]) {
        let mut pending = self.pending.lock();
        if pending.bytes.len() + line.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        pending.bytes.push(b'\n');
        if was_empty {
            self.changed.notify_all();
        }
    }

    fn write_loop(&self) {
        loop {
            self.wait_for_pending_lines();
            thread::sleep(BATCHING_TIME);
            let (bytes, dropped) = self.take();
            let mut standard_output = std::io::stdout().lock();
            // Standard output may be closed; there is no other place to report the error.
            let _ = standard_output.write_all(&bytes);
            if dropped > 0 {
                let _ = writeln!(standard_output, "{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}");
            }
            let _ = standard_output.flush();
            drop(standard_output);
            self.pending.lock().is_writing = false;
            self.changed.notify_all();
        }
    }

    fn wait_for_pending_lines(&self) {
        let mut pending = self.pending.lock();
        while pending.bytes.is_empty() {
            self.changed.wait(&mut pending);
        }
    }

    fn take(&self) -> (Vec<u8>, u64) {
        let mut pending = self.pending.lock();
        pending.is_writing = true;
        (std::mem::take(&mut pending.bytes), std::mem::take(&mut pending.dropped))
    }

    /// Waits until the buffered lines are written, or nothing is written within [`FLUSH_TIMEOUT`].
    pub(crate) fn flush(&self) {
        let mut pending = self.pending.lock();
        while !pending.bytes.is_empty() || pending.is_writing {
            if self.changed.wait_for(&mut pending, FLUSH_TIMEOUT).timed_out() {
                return;
            }
        }
    }
}

/// `logforth` appender that writes to an [`Output`].
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
