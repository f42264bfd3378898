//! Request bodies that arrive while the request is being sent on.
//!
//! Such a body lies where it is until an attempt *begins* it, which is when its request has a slot and the back end has
//! been given the head. A request that is refused before that can go to another back end, and none of its body has crossed
//! a link in vain. From a caller beside this node the body comes as fast as it is taken; from another node it comes in
//! answer to [`BodyFlowControl`]: never more than one window lies on the link or in memory.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::inbound::Permit;

/// A request body that broke off or came too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBodyError;

/// One part of a body, or its end before its time.
pub(crate) type BodyPart = Result<Bytes, RequestBodyError>;

/// Asks another node for the parts of a body.
#[derive(Debug)]
pub(crate) struct BodyFlowControl {
    /// Bytes that the other node may send from now on, on top of what it was allowed before.
    granted: mpsc::UnboundedSender<u32>,
    /// Most bytes that are allowed and have not been taken.
    window: u32,
    /// Bytes taken since the last grant.
    taken: u32,
    is_begun: bool,
}

impl BodyFlowControl {
    /// A demand that keeps up to `window` bytes on their way, told over `granted`.
    pub(crate) const fn new(granted: mpsc::UnboundedSender<u32>, window: u32) -> Self {
        Self { granted, window, taken: 0, is_begun: false }
    }

    /// Allows the first window.
    fn begin(&mut self) {
        if !self.is_begun {
            self.is_begun = true;
            self.grant(self.window);
        }
    }

    /// Takes in that `bytes` have been taken, and allows as many once they are half a window.
    fn on_taken(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_add(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.taken >= self.window / 2 {
            self.grant(self.taken);
            self.taken = 0;
        }
    }

    fn grant(&self, bytes: u32) {
        // The exchange between the nodes may have ended; the body breaks off then by itself.
        let _ = self.granted.send(bytes);
    }
}

/// A body whose parts are taken one after another.
#[derive(Debug)]
pub struct BodyStream {
    parts: mpsc::Receiver<BodyPart>,
    demand: Option<BodyFlowControl>,
    /// The turn on this node's link, given back when nothing more comes.
    turn: Option<Permit>,
}

impl BodyStream {
    /// The next part; `None` at the proper end. Safe to cancel.
    pub(crate) async fn next(&mut self) -> Option<BodyPart> {
        if let Some(demand) = &mut self.demand {
            demand.begin();
        }
        let part = self.parts.recv().await;
        match (&part, &mut self.demand) {
            (Some(Ok(part)), Some(demand)) => demand.on_taken(part.len()),
            (Some(Ok(_)), None) => {}
            (Some(Err(_)) | None, _) => self.turn = None,
        }
        part
    }
}

/// A body that is still arriving and that no attempt has begun yet, or that one has.
#[derive(Debug, Clone)]
pub struct PendingBody {
    length: Option<u64>,
    /// The part that was there before the request was sent on; empty if the body comes from another node.
    beginning: Bytes,
    is_from_node: bool,
    stream: Arc<Mutex<Option<BodyStream>>>,
}

impl PendingBody {
    /// A body of `length` bytes, if that is known, that comes from a caller beside this node; `beginning` is the part that has come, and the first of
    /// `parts`.
    pub(crate) fn from_caller(
        length: Option<u64>,
        beginning: Bytes,
        parts: mpsc::Receiver<BodyPart>,
    ) -> Self {
        Self::new(length, beginning, parts, None)
    }

    /// A body that another node sends when `demand` asks for it.
    pub(crate) fn from_node(
        length: Option<u64>,
        parts: mpsc::Receiver<BodyPart>,
        demand: BodyFlowControl,
    ) -> Self {
        Self::new(length, Bytes::new(), parts, Some(demand))
    }

    fn new(
        length: Option<u64>,
        beginning: Bytes,
        parts: mpsc::Receiver<BodyPart>,
        demand: Option<BodyFlowControl>,
    ) -> Self {
        let is_from_node = demand.is_some();
        let stream = BodyStream { parts, demand, turn: None };
        Self { length, beginning, is_from_node, stream: Arc::new(Mutex::new(Some(stream))) }
    }

    /// The part that was there before the request was sent on; empty if the body comes from another node.
    pub(crate) fn beginning(&self) -> &[u8] {
        &self.beginning
    }

    /// Length in bytes, if the sender told it.
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body comes from another node.
    pub(crate) const fn is_from_node(&self) -> bool {
        self.is_from_node
    }

    /// Takes the body; absent if an attempt has begun it before.
    pub(crate) fn begin(&self) -> Option<BodyStream> {
        self.stream.lock().take()
    }

    /// Whether an attempt has begun the body.
    pub(crate) fn is_begun(&self) -> bool {
        self.stream.lock().is_none()
    }

    /// Holds `turn` until the body has come to its end.
    pub(crate) fn hold_permit(&self, turn: Permit) {
        if let Some(stream) = &mut *self.stream.lock() {
            stream.turn = Some(turn);
        }
    }
}
