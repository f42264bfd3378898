//! One HTTP/1.1 connection to the next hop.

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use umberpond_net::BoxStream;

use super::attempt_body::AttemptBody;
use super::write_gate::{GatedStream, WriteGate};

/// Most header fields of an answer.
const MAX_ANSWER_HEADERS: usize = 100;
/// Largest head of an answer, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// A connection and the task that drives it. Dropping it closes the connection at once.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<AttemptBody>,
    pub(crate) gate: WriteGate,
    pub(crate) idle_since: Instant,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Starts HTTP/1.1 on `stream`. Nothing is written yet.
    pub(crate) async fn start(stream: BoxStream) -> Result<Self, hyper::Error> {
        let gate = WriteGate::default();
        let io = TokioIo::new(GatedStream::new(stream, gate.clone()));
        let (sender, connection) = Builder::new()
            .max_headers(MAX_ANSWER_HEADERS)
            .max_header_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(io)
            .await?;
        let driver = tokio::spawn(async move {
            // The exchange on this connection reports the failure.
            let _ = connection.await;
        });
        Ok(Self { sender, gate, idle_since: Instant::now(), driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.seal();
        self.driver.abort();
    }
}
