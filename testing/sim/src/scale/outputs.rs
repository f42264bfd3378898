//! Carrying out what a core asks for: connections, messages, requests to the platform.

use std::sync::Arc;

use rand::RngExt;
use umberpond_model::{Millis, Timestamp};
use umberpond_overlay::PeerMessage;
use umberpond_overlay::interface::{ConnectionId, Output, PlatformEvent, PlatformRequest, WholeVersion};

use super::hollow::{Connections, number_at};
use super::platform::Process;
use super::world::{Event, World};

/// One-way delay to the platform, its own work included.
pub(super) const PLATFORM_DELAY: Millis = Millis(5);
/// A connection attempt across a cut or to a lost machine fails after this time.
const CONNECT_TIMEOUT: Millis = Millis(3_000);
/// A request to a platform that doesn't answer fails after this time.
const REQUEST_TIMEOUT: Millis = Millis(1_000);
/// First and last bound of the random wait after a failed request.
const BACKOFF_BASE: Millis = Millis(500);
const BACKOFF_CAP: Millis = Millis(8_000);
/// Time between two renewals of a lease.
const LEASE_RENEWAL: Millis = Millis(3_000);
/// Added to an answer of a slow platform.
const SLOW_ANSWER: Millis = Millis(800);
/// Bytes around each message: the frame's length and, as if each were a packet of its own, 40 of TCP and IP.
const OVERHEAD_BYTES: u64 = 44;

impl World {
    pub(super) fn carry_out(&mut self, process: Process, output: Output<PeerMessage>) {
        match output {
            Output::Connect { to } => self.connect(process, to),
            Output::Send { connection, message } => self.send(connection, message),
            Output::Close { connection } => self.close(process, connection),
            Output::Platform(request) => {
                let at = self.now + PLATFORM_DELAY;
                self.queue.schedule(at, Event::Request { process, request, attempt: 0 });
            }
            Output::Activate { version, .. } => {
                let node = &mut self.nodes[process.0];
                self.measurement.activated(self.now, node, version);
            }
            Output::Endpoints(records) => self.measurement.endpoints_learnt(self.now, &records),
            Output::WakeAt(at) => self.wake_at(process, at),
            Output::Decision(decision) => self.measurement.decided(&decision),
        }
    }

    fn wake_at(&mut self, process: Process, at: Timestamp) {
        let at = at.max(self.now);
        let node = &mut self.nodes[process.0];
        if node.wake_at != Some(at) {
            node.wake_at = Some(at);
            self.queue.schedule(at, Event::Wake { process });
        }
    }

    fn connect(&mut self, caller: Process, to: std::net::SocketAddr) {
        let from_zone = self.nodes[caller.0].zone;
        let to_zone =
            number_at(to).filter(|number| *number < self.nodes.len()).map(|number| self.nodes[number].zone);
        let to_zone = to_zone.unwrap_or(from_zone);
        if self.links.open_at(self.now, from_zone, to_zone) > self.now {
            let input = Box::new(umberpond_overlay::interface::Input::ConnectFailed { to });
            self.queue.schedule(self.now + CONNECT_TIMEOUT, Event::Feed { process: caller, input });
            return;
        }
        let arrival = self.now + self.links.delay(from_zone, to_zone);
        self.queue.schedule(arrival, Event::Arrive { caller, to });
    }

    fn send(&mut self, connection: ConnectionId, message: PeerMessage) {
        let from = *self.connections.end(connection);
        let peer = Connections::other(connection);
        let to = *self.connections.end(peer);
        if !from.open {
            return;
        }
        let bytes = self.measurement.size_of(&message) + OVERHEAD_BYTES;
        self.nodes[from.node].bytes.count(self.now, bytes);
        self.nodes[to.node].bytes.count(self.now, bytes);
        self.measurement.sent(&message, bytes);
        let at = self.delivery_time(from.node, to.node, peer);
        self.queue.schedule(at, Event::Deliver { to: peer, message: Box::new(message) });
    }

    /// When something sent now arrives: in order, and after the end of a cut.
    fn delivery_time(&mut self, from: usize, to: usize, at: ConnectionId) -> Timestamp {
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let sent_at = self.links.open_at(self.now, from_zone, to_zone);
        let arrival = sent_at + self.links.delay(from_zone, to_zone);
        let end = self.connections.end(at);
        end.last_delivery = end.last_delivery.max(arrival);
        end.last_delivery
    }

    fn close(&mut self, process: Process, connection: ConnectionId) {
        if !self.connections.end(connection).open {
            return;
        }
        self.connections.end(connection).open = false;
        self.nodes[process.0].connections.remove(&connection);
        let zone = self.nodes[process.0].zone;
        self.tell_closed(connection, zone);
    }

    /// Lets the other end learn that `connection` is closed.
    pub(super) fn tell_closed(&mut self, connection: ConnectionId, _zone: usize) {
        let from = self.connections.end(connection).node;
        let peer = Connections::other(connection);
        let to = self.connections.end(peer).node;
        let at = self.delivery_time(from, to, peer);
        self.queue.schedule(at, Event::Closed { at: peer });
    }

    pub(super) fn platform_request(&mut self, process: Process, request: PlatformRequest, attempt: u32) {
        if !self.is_running(process) {
            return;
        }
        let zone = self.nodes[process.0].zone;
        if request == PlatformRequest::ReleaseReaderLease {
            self.platform.release(zone, process);
            return;
        }
        self.platform.count_request(self.now, process);
        if !self.platform.is_up(self.now) || !self.links.reaches_platform(self.now, zone) {
            self.retry_later(process, request, attempt);
            return;
        }
        match request {
            PlatformRequest::AcquireReaderLease => self.acquire_lease(process, zone),
            PlatformRequest::ReleaseReaderLease => {}
            PlatformRequest::Watch { after } => self.watch(process, after),
            PlatformRequest::ReadHeadVersion { nonce } => {
                let version = self.platform.head();
                self.answer(process, PlatformEvent::HeadVersion { nonce, version });
            }
        }
    }

    fn retry_later(&mut self, process: Process, request: PlatformRequest, attempt: u32) {
        if attempt == 0 {
            self.answer_after(process, PlatformEvent::Unavailable, REQUEST_TIMEOUT);
        }
        let bound = BACKOFF_CAP.0.min(BACKOFF_BASE.0 << attempt.min(5));
        let wait = REQUEST_TIMEOUT.0 + self.rng.random_range(0..=bound);
        let event = Event::Request { process, request, attempt: attempt + 1 };
        self.queue.schedule(self.now + Millis(wait), event);
    }

    fn acquire_lease(&mut self, process: Process, zone: usize) {
        if self.platform.acquire_lease(self.now, zone, process) {
            self.answer(process, PlatformEvent::LeaseGranted);
            self.queue.schedule(self.now + LEASE_RENEWAL, Event::RenewLease { process });
        } else {
            self.answer(process, PlatformEvent::LeaseLost);
        }
    }

    pub(super) fn renew_lease(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        let zone = self.nodes[process.0].zone;
        if !self.platform.holds_lease(zone, process) {
            return;
        }
        self.platform.count_request(self.now, process);
        if self.platform.is_up(self.now)
            && self.links.reaches_platform(self.now, zone)
            && !self.platform.acquire_lease(self.now, zone, process)
        {
            self.answer(process, PlatformEvent::LeaseLost);
            return;
        }
        self.queue.schedule(self.now + LEASE_RENEWAL, Event::RenewLease { process });
    }

    fn watch(&mut self, process: Process, after: umberpond_model::Version) {
        let missed = self.platform.watch(process, after);
        self.answer(process, PlatformEvent::Machines(Arc::clone(&self.platform.machines)));
        match missed {
            Some(missed) => {
                for accepted in missed {
                    self.answer(process, PlatformEvent::Accepted(accepted));
                }
            }
            None => self.answer_whole(process),
        }
    }

    fn answer_whole(&mut self, process: Process) {
        let Some(record) = self.workload.record.clone() else { return };
        let whole = WholeVersion {
            previous_witnesses: record.previous_witnesses.clone(),
            record,
            snapshot: self.workload.snapshot.as_ref().clone(),
        };
        self.answer(process, PlatformEvent::Whole(Arc::new(whole)));
    }

    fn answer(&mut self, process: Process, event: PlatformEvent) {
        self.answer_after(process, event, Millis(0));
    }

    fn answer_after(&mut self, process: Process, event: PlatformEvent, extra: Millis) {
        let slow = if self.now < self.platform.slow_until { SLOW_ANSWER } else { Millis(0) };
        let input = Box::new(umberpond_overlay::interface::Input::Platform(event));
        self.queue.schedule(self.now + PLATFORM_DELAY + slow + extra, Event::Feed { process, input });
    }

    /// Sends what has changed to all watching readers that the platform reaches.
    pub(super) fn tell_watchers(&mut self, watchers: Vec<Process>, event: &PlatformEvent) {
        for process in watchers {
            let zone = self.nodes[process.0].zone;
            if self.is_running(process) && self.links.reaches_platform(self.now, zone) {
                self.answer(process, event.clone());
            } else {
                // The stream broke; the reader's heartbeat time-out notices it and watches again.
                self.platform.forget_watch(process);
                let after = self.nodes[process.0].core.as_ref().and_then(|core| core.status().held);
                let request = PlatformRequest::Watch { after: after.unwrap_or_default() };
                self.queue
                    .schedule(self.now + CONNECT_TIMEOUT, Event::Request { process, request, attempt: 0 });
            }
        }
    }
}
