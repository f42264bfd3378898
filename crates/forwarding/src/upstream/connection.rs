//! One connection to the back end.

use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::Instant;
use umberpond_http1::{Fields, MessageReader};
use umberpond_net::BoxStream;

/// How long a connection is kept for reuse if the back end doesn't say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is given up this long before the back end closes it, so that no request crosses the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// A connection on which at most one exchange is open.
pub(crate) struct UpstreamConnection {
    pub(crate) reader: MessageReader<ReadHalf<BoxStream>>,
    pub(crate) writer: WriteHalf<BoxStream>,
    usable_until: Instant,
}

impl UpstreamConnection {
    pub(crate) fn new(stream: BoxStream) -> Self {
        let (reader, writer) = tokio::io::split(stream);
        Self { reader: MessageReader::new(reader), writer, usable_until: Instant::now() + DEFAULT_KEEP_ALIVE }
    }

    /// Whether another request may be sent: nothing has arrived unasked, and the back end has not closed and is not
    /// about to.
    pub(crate) fn is_usable(&mut self) -> bool {
        if self.usable_until <= Instant::now() {
            return false;
        }
        let is_closed = self.reader.peer_gone(1).now_or_never().is_some();
        !is_closed && self.reader.is_empty()
    }

    /// Takes in what an answer says of the connection's life; `false` if it ends with this answer.
    pub(crate) fn stays_open(&mut self, fields: &Fields) -> bool {
        if fields.lists("connection", "close") {
            return false;
        }
        let keep_alive = told_keep_alive(fields).unwrap_or(DEFAULT_KEEP_ALIVE);
        self.usable_until = Instant::now() + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        true
    }

    /// Writes all of `bytes`; tells whether any byte was accepted by the transport before it failed.
    pub(crate) async fn write(&mut self, mut bytes: &[u8]) -> Result<(), WriteFailure> {
        let mut is_begun = false;
        while !bytes.is_empty() {
            let written = match self.writer.write(bytes).await {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                other => other,
            };
            let count = written.map_err(|_broken: io::Error| WriteFailure { is_begun })?;
            is_begun = true;
            bytes = &bytes[count..];
        }
        Ok(())
    }
}

impl std::fmt::Debug for UpstreamConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UpstreamConnection")
            .field("usable_until", &self.usable_until)
            .finish_non_exhaustive()
    }
}

/// A write that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WriteFailure {
    /// Whether the transport had accepted some bytes.
    pub(crate) is_begun: bool,
}

/// The time after which the back end closes an idle connection, from `Keep-Alive: timeout=5`.
fn told_keep_alive(fields: &Fields) -> Option<Duration> {
    let told = fields.text("keep-alive")?;
    let seconds = told.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
