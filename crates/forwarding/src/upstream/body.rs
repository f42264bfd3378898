//! A long response body that is forwarded while it arrives from the back end.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::{Instant, timeout_at};
use umberpond_http1::BodyDecoder;

use super::connection::UpstreamConnection;
use super::pool::UpstreamPool;
use crate::inbound::Permit;
use crate::message::ResponseBodyError;

/// Remainder of a response body, with the slot of its request.
#[derive(Debug)]
pub struct UpstreamBody {
    pub(super) first: Option<Bytes>,
    pub(super) connection: Option<UpstreamConnection>,
    pub(super) decoder: BodyDecoder,
    pub(super) length: Option<u64>,
    pub(super) stays_open: bool,
    pub(super) pool: Arc<UpstreamPool>,
    pub(super) deadline: Instant,
    pub(super) permit: Option<Permit>,
}

impl UpstreamBody {
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Holds the slot of the request until the body has ended.
    pub(crate) fn hold(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    pub(crate) async fn next_part(&mut self) -> Result<Option<Bytes>, ResponseBodyError> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let Some(connection) = &mut self.connection else { return Ok(None) };
        // The timeout alone does not end a body whose next part is always there already.
        let read = if Instant::now() < self.deadline {
            let reading = timeout_at(self.deadline, connection.reader.body_part(&mut self.decoder));
            reading.await.ok().and_then(Result::ok)
        } else {
            None
        };
        let Some(part) = read else {
            self.connection = None;
            self.permit = None;
            return Err(ResponseBodyError);
        };
        if part.is_none() {
            self.finish();
        }
        Ok(part)
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take()
            && self.stays_open
        {
            self.pool.put_back(connection);
        }
        self.permit = None;
    }
}

#[cfg(test)]
mod tests;
