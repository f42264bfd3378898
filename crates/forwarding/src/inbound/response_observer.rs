//! Applies what the back end reports in the heads of its responses.

use tokio::time::Instant;
use umberpond_http1::ResponseHead;
use umberpond_model::{BackEndProcess, RequestRate};
use umberpond_scheduling::{LimitReport, RequestLimiter};
use umberpond_telemetry::Event;

use super::admission::LimitChange;
use super::back_end::{BackEnd, BackEndFinding, CurrentBackEnd, Inbound};
use crate::clock::now;
use crate::message::{Attempt, id_text};
use crate::upstream::{BackEndSignals, HealthResponse, MISDIRECTED, ResponseListener, parse_slowdown};

/// Applies the head of the response to one request.
pub(super) struct ResponseObserver<'a> {
    pub(super) inbound: &'a Inbound,
    /// Process to which the request was sent.
    pub(super) process: &'a BackEndProcess,
    /// Id of the request.
    pub(super) request: &'a [u8],
}

impl ResponseListener for ResponseObserver<'_> {
    fn on_response_head(&self, sent_at: Instant, head: &ResponseHead, is_trusted: bool) {
        // Such a response comes from another back end.
        if head.status == MISDIRECTED {
            return;
        }
        if let Some(load) = head.fields.text(self.inbound.header_profile.load) {
            self.inbound.on_reported_slowdown(parse_slowdown(load));
        }
        let mut signals = BackEndSignals::read(&self.inbound.header_profile, head.status, &head.fields);
        if !is_trusted && signals.limit == LimitReport::Unlimited {
            signals.limit = LimitReport::Unknown;
        }
        let source = SignalSource { name: "response", request: self.request };
        self.inbound.on_signals(self.process, sent_at, signals, source);
    }
}

/// Where a signal was received, for logs.
#[derive(Debug, Clone, Copy)]
struct SignalSource<'a> {
    name: &'static str,
    /// Id of the request; empty for health checks.
    request: &'a [u8],
}

impl Inbound {
    /// Applies the signals of a response of `process` to a request that was sent at `sent_at`.
    fn on_signals(
        &self,
        process: &BackEndProcess,
        sent_at: Instant,
        signals: BackEndSignals,
        source: SignalSource<'_>,
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
            self.report_limit_changed(&current.back_end, change, source);
        }
        if signals.is_leaving {
            self.on_leaving(current, source);
        }
    }

    /// Closes the back end because a response says that it is about to shut down. Further responses that say so
    /// have no effect.
    fn on_leaving(&self, current: &mut CurrentBackEnd, source: SignalSource<'_>) {
        if std::mem::replace(&mut current.is_leaving, true) {
            return;
        }
        current.is_open = false;
        self.admission.close();
        self.transfers.close();
        self.telemetry.emit(Event::BackEndLeaving {
            instance: current.back_end.process.to_string(),
            service: current.back_end.service.clone(),
            source: source.name,
            request: id_text(source.request),
        });
        self.report_finding(BackEndFinding::Leaving(current.back_end.process.clone()));
    }

    /// Applies the response of `process` to a health check that was sent at `sent_at`.
    pub(super) fn on_health_response(
        &self,
        process: &BackEndProcess,
        sent_at: Instant,
        response: &HealthResponse,
    ) {
        self.on_reported_slowdown(response.slowdown);
        let limit = self.limit_in_health(response.signals.limit);
        let source = SignalSource { name: "health-check", request: b"" };
        self.on_signals(process, sent_at, BackEndSignals { limit, ..response.signals }, source);
    }

    /// What the response to a health check says about the request limit. A back end need not advertise the limit
    /// there, so a response without it only counts after one with it.
    fn limit_in_health(&self, report: LimitReport) -> LimitReport {
        let is_limited = self.request_limit().is_some();
        let mut current = self.current.lock();
        let Some(current) = current.as_mut() else { return LimitReport::Unknown };
        let is_advertised = match report {
            LimitReport::Limited(_) => Some(true),
            LimitReport::Unlimited if is_limited => Some(false),
            LimitReport::Unlimited | LimitReport::Unknown => None,
        };
        if current.has_limit_in_health != Some(true) {
            current.has_limit_in_health = is_advertised.or(current.has_limit_in_health);
        }
        if current.has_limit_in_health == Some(true) { report } else { LimitReport::Unknown }
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
            let source = SignalSource { name: "other-node", request: &attempt.id };
            self.report_limit_changed(&current.back_end, change, source);
        }
    }

    /// Forgets the limit, because another process of the back end has replaced the one that advertised it.
    pub(super) fn forget_request_limit(&self) {
        let _ = self.admission.update_request_limit(RequestLimiter::forget);
        self.telemetry.metrics().set_request_limit(None);
    }

    fn report_limit_changed(&self, back_end: &BackEnd, change: LimitChange, source: SignalSource<'_>) {
        self.telemetry.metrics().set_request_limit(change.limit);
        self.report_finding(BackEndFinding::RequestLimitChanged);
        self.telemetry.emit(Event::RequestLimitChanged {
            instance: back_end.process.to_string(),
            service: back_end.service.clone(),
            limit: limit_text(change.limit),
            before: limit_text(change.before),
            source: source.name,
            request: id_text(source.request),
        });
    }
}

/// A request limit for logs.
pub(crate) fn limit_text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
