//! One connection to the back end.

use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::Instant;
use umberpond_http1::{Fields, MessageReader};
use umberpond_net::BoxStream;

/// How long a connection is kept for reuse if the back end does not specify it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Maximum time for which a connection is kept for reuse, whatever the back end specifies. A point in time that
/// is much later can't be represented.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// A connection is discarded this long before the back end closes it, so that no request races with the
/// close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// A connection that carries at most one exchange at a time.
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

    /// Whether another request may be sent: no unsolicited data has arrived, and the back end has neither
    /// closed the connection nor is about to close it.
    pub(crate) fn is_usable(&mut self) -> bool {
        if self.usable_until <= Instant::now() {
            return false;
        }
        let is_closed = self.reader.peer_gone(1).now_or_never().is_some();
        !is_closed && self.reader.is_empty()
    }

    /// Updates the expiry of the connection from a response; returns `false` if the connection ends with this
    /// response.
    pub(crate) fn update_keep_alive(&mut self, fields: &Fields) -> bool {
        if fields.lists("connection", "close") {
            return false;
        }
        let keep_alive = parse_keep_alive(fields).unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
        self.usable_until = Instant::now() + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        true
    }

    /// Writes all of `bytes`. A failure reports whether the transport had accepted any byte.
    pub(crate) async fn write(&mut self, mut bytes: &[u8]) -> Result<(), WriteFailure> {
        let mut has_written = false;
        while !bytes.is_empty() {
            let written = match self.writer.write(bytes).await {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                other => other,
            };
            let count = written.map_err(|_broken: io::Error| WriteFailure { has_written })?;
            has_written = true;
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

/// A failed write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WriteFailure {
    /// Whether the transport had accepted some bytes.
    pub(crate) has_written: bool,
}

/// Time after which the back end closes an idle connection, from a field such as `Keep-Alive: timeout=5`.
fn parse_keep_alive(fields: &Fields) -> Option<Duration> {
    let value = fields.text("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
