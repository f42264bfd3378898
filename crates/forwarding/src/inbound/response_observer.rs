//! Applies what the back end reports in the heads of its responses.

use tokio::time::Instant;
use umberpond_http1::ResponseHead;
use umberpond_model::{BackEndProcess, RequestRate};
use umberpond_telemetry::Event;

use super::back_end::{CurrentBackEnd, Inbound};
use crate::clock::now;
use crate::message::id_text;
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
        let before = current.limit.rate();
        if current.limit.on_response(now(), sent_at.into_std(), signals.limit) {
            self.report_limit_changed(current, before, request);
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

    fn report_limit_changed(&self, current: &CurrentBackEnd, before: Option<RequestRate>, request: &[u8]) {
        let rate = current.limit.rate();
        self.telemetry.metrics().set_request_limit(rate);
        self.telemetry.emit(Event::RequestLimitChanged {
            instance: current.back_end.process.to_string(),
            service: current.back_end.service.clone(),
            limit: limit_text(rate),
            before: limit_text(before),
            source: "response",
            request: id_text(request),
        });
    }
}

/// A request limit for logs.
pub(crate) fn limit_text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
