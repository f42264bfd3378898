//! Applies what the back end reports in the heads of its responses.

use tokio::time::Instant;
use umberpond_http1::ResponseHead;
use umberpond_model::{BackEndProcess, RequestRate};
use umberpond_scheduling::RequestLimiter;
use umberpond_telemetry::Event;

use super::admission::LimitChange;
use super::back_end::{BackEnd, Inbound};
use crate::clock::now;
use crate::message::{Attempt, id_text};
use crate::upstream::{BackEndSignals, MISDIRECTED, ResponseListener, parse_slowdown};

/// Applies the head of the response to one request.
pub(super) struct ResponseObserver<'a> {
    pub(super) inbound: &'a Inbound,
    /// Process to which the request was sent.
    pub(super) process: &'a BackEndProcess,
    /// Id of the request.
    pub(super) request: &'a [u8],
}

impl ResponseListener for ResponseObserver<'_> {
    fn on_response_head(&self, sent_at: Instant, head: &ResponseHead) {
        // Such a response comes from another back end.
        if head.status == MISDIRECTED {
            return;
        }
        if let Some(load) = head.fields.text(self.inbound.header_profile.load) {
            self.inbound.on_reported_slowdown(parse_slowdown(load));
        }
        let signals = BackEndSignals::read(&self.inbound.header_profile, head.status, &head.fields);
        self.inbound.on_signals(self.process, sent_at, signals, self.request);
    }
}

impl Inbound {
    /// Applies the signals of a response of `process` to a request that was sent at `sent_at`.
    fn on_signals(
        &self,
        process: &BackEndProcess,
        sent_at: Instant,
        signals: BackEndSignals,
        request: &[u8],
    ) {
        if signals.has_invalid_limit {
            self.telemetry.metrics().invalid_request_limit();
        }
        let mut current = self.current.lock();
        let Some(current) = current.as_mut().filter(|current| current.back_end.process.may_equal(process))
        else {
            return;
        };
        let change = self
            .admission
            .update_request_limit(|limiter| limiter.on_response(now(), sent_at.into_std(), signals.limit));
        if let Some(change) = change {
            self.report_limit_changed(&current.back_end, change, "response", request);
        }
        if signals.is_leaving && !std::mem::replace(&mut current.is_leaving, true) {
            self.telemetry.emit(Event::BackEndLeaving {
                instance: current.back_end.process.to_string(),
                service: current.back_end.service.clone(),
                source: "response",
                request: id_text(request),
            });
        }
    }

    /// Applies the limit that the caller's node remembers from an earlier response of the back end. It is needed
    /// if this node has restarted since.
    pub(super) fn on_remembered_limit(&self, attempt: &Attempt) {
        let Some(remembered) = &attempt.remembered_limit else { return };
        let current = self.current.lock();
        let Some(current) =
            current.as_ref().filter(|current| current.back_end.process.may_equal(&remembered.process))
        else {
            return;
        };
        let change =
            self.admission.update_request_limit(|limiter| limiter.on_remembered(now(), remembered.rate));
        if let Some(change) = change {
            self.report_limit_changed(&current.back_end, change, "other-node", &attempt.id);
        }
    }

    /// Forgets the limit, because another process of the back end has replaced the one that advertised it.
    pub(super) fn forget_request_limit(&self) {
        let _ = self.admission.update_request_limit(RequestLimiter::forget);
        self.telemetry.metrics().set_request_limit(None);
    }

    fn report_limit_changed(
        &self,
        back_end: &BackEnd,
        change: LimitChange,
        source: &'static str,
        request: &[u8],
    ) {
        self.telemetry.metrics().set_request_limit(change.limit);
        self.telemetry.emit(Event::RequestLimitChanged {
            instance: back_end.process.to_string(),
            service: back_end.service.clone(),
            limit: limit_text(change.limit),
            before: limit_text(change.before),
            source,
            request: id_text(request),
        });
    }
}

/// A request limit for logs.
pub(crate) fn limit_text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
