//! Request bodies that are received while the request is being forwarded.
//!
//! Such a body is not read until an attempt takes its stream, which happens when the request has a slot and
//! the request head has been written to the back end. A request that is refused earlier can still go to
//! another back end, and none of its body has crossed a link in vain. A body of a local caller is received as
//! fast as it is read. A body from another node is received under the flow control of [`BodyFlowControl`]: at
//! most one window is in flight or in memory.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::inbound::Permit;

/// Error for a request body that was truncated or received too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBodyError;

/// A part of a body, or the error that ends it early.
pub(crate) type BodyPart = Result<Bytes, RequestBodyError>;

/// Window-based flow control for a body that another node sends.
#[derive(Debug)]
pub(crate) struct BodyFlowControl {
    /// Sends credits: the number of further bytes that the other node may send.
    granted: mpsc::UnboundedSender<u32>,
    /// Maximum number of bytes that are granted and have not been read yet.
    window: u32,
    /// Bytes read since the last credit.
    taken: u32,
    is_begun: bool,
}

impl BodyFlowControl {
    /// Creates flow control with a window of `window` bytes, which sends credits over `granted`.
    pub(crate) const fn new(granted: mpsc::UnboundedSender<u32>, window: u32) -> Self {
        Self { granted, window, taken: 0, is_begun: false }
    }

    /// Grants the first window.
    fn begin(&mut self) {
        if !self.is_begun {
            self.is_begun = true;
            self.grant(self.window);
        }
    }

    /// Records that `bytes` have been read; grants as many again once half of the window has been read.
    fn on_taken(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_add(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.taken >= self.window / 2 {
            self.grant(self.taken);
            self.taken = 0;
        }
    }

    fn grant(&self, bytes: u32) {
        // If the exchange between the nodes has ended, the body is truncated anyway.
        let _ = self.granted.send(bytes);
    }
}

/// A stream of the parts of a body.
#[derive(Debug)]
pub struct BodyStream {
    parts: mpsc::Receiver<BodyPart>,
    flow_control: Option<BodyFlowControl>,
    /// Permit for this node's link, released when no further part follows.
    permit: Option<Permit>,
}

impl BodyStream {
    /// Returns the next part, or `None` at the end of the complete body. Cancel safe.
    pub(crate) async fn next(&mut self) -> Option<BodyPart> {
        if let Some(flow_control) = &mut self.flow_control {
            flow_control.begin();
        }
        let part = self.parts.recv().await;
        match (&part, &mut self.flow_control) {
            (Some(Ok(part)), Some(flow_control)) => flow_control.on_taken(part.len()),
            (Some(Ok(_)), None) => {}
            (Some(Err(_)) | None, _) => self.permit = None,
        }
        part
    }
}

/// A body that is still being received. The first attempt that needs it takes its stream.
#[derive(Debug, Clone)]
pub struct PendingBody {
    length: Option<u64>,
    /// The part that was received before the request was forwarded; empty for a body from another node.
    beginning: Bytes,
    is_from_node: bool,
    stream: Arc<Mutex<Option<BodyStream>>>,
}

impl PendingBody {
    /// Creates a body from a local caller, with its `length` in bytes if known. `beginning` is the part
    /// received so far; it is also the first of `parts`.
    pub(crate) fn from_caller(
        length: Option<u64>,
        beginning: Bytes,
        parts: mpsc::Receiver<BodyPart>,
    ) -> Self {
        Self::new(length, beginning, parts, None)
    }

    /// Creates a body that another node sends under the flow control of `flow_control`.
    pub(crate) fn from_node(
        length: Option<u64>,
        parts: mpsc::Receiver<BodyPart>,
        flow_control: BodyFlowControl,
    ) -> Self {
        Self::new(length, Bytes::new(), parts, Some(flow_control))
    }

    fn new(
        length: Option<u64>,
        beginning: Bytes,
        parts: mpsc::Receiver<BodyPart>,
        flow_control: Option<BodyFlowControl>,
    ) -> Self {
        let is_from_node = flow_control.is_some();
        let stream = BodyStream { parts, flow_control, permit: None };
        Self { length, beginning, is_from_node, stream: Arc::new(Mutex::new(Some(stream))) }
    }

    /// The part that was received before the request was forwarded; empty for a body from another node.
    pub(crate) fn beginning(&self) -> &[u8] {
        &self.beginning
    }

    /// Length in bytes, if the sender declared it.
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body comes from another node.
    pub(crate) const fn is_from_node(&self) -> bool {
        self.is_from_node
    }

    /// Takes the stream of the body; `None` if an attempt has already taken it.
    pub(crate) fn begin(&self) -> Option<BodyStream> {
        self.stream.lock().take()
    }

    /// Whether an attempt has taken the stream.
    pub(crate) fn is_begun(&self) -> bool {
        self.stream.lock().is_none()
    }

    /// Holds `permit` until the body has ended.
    pub(crate) fn hold_permit(&self, permit: Permit) {
        if let Some(stream) = &mut *self.stream.lock() {
            stream.permit = Some(permit);
        }
    }
}
