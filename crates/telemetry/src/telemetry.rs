//! Handle through which all parts of a node emit events and update metrics.

use std::panic::Location;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use logforth::core::Logger;
use parking_lot::Mutex;

use crate::output::Output;
use crate::rate::{Decision, RateLimit};
use crate::{Event, LogFormat, Metrics, Severity, logging};

/// One of this many sampled events is logged.
const SAMPLING_INTERVAL: u64 = 64;

/// Receives every event of one node, regardless of severity.
pub trait EventObserver: Send + Sync + 'static {
    /// Called once per event, in the order in which the events were emitted.
    fn observe(&self, event: &Event);
}

/// Records all events in memory, for tests and the simulation.
#[derive(Debug, Default)]
pub struct MemoryRecorder {
    events: Mutex<Vec<Event>>,
}

impl MemoryRecorder {
    /// Events recorded so far, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().clone()
    }
}

impl EventObserver for MemoryRecorder {
    fn observe(&self, event: &Event) {
        self.events.lock().push(event.clone());
    }
}

/// Events and metrics of one node. Cheap to clone; uses no global state.
#[derive(Clone)]
pub struct Telemetry {
    inner: Arc<Inner>,
}

struct Inner {
    log: Option<Log>,
    min_severity: Severity,
    observer: Option<Arc<dyn EventObserver>>,
    metrics: Metrics,
    sampled_count: AtomicU64,
}

/// The log on standard output.
struct Log {
    logger: Logger,
    output: Arc<Output>,
    rate: Mutex<RateLimit>,
}

impl Log {
    fn write(&self, event: &Event, location: &'static Location<'static>) {
        let decision = self.rate.lock().take(Instant::now(), event.number());
        let Decision::Allow { suppressed } = decision else { return };
        if suppressed > 0 {
            let suppression = Event::LinesSuppressed { kind: event.number(), count: suppressed };
            logging::log(&self.logger, &suppression, location);
        }
        logging::log(&self.logger, event, location);
    }
}

impl Telemetry {
    /// Logs events to standard output, from severity `min_severity` up.
    #[must_use]
    pub fn to_log(format: LogFormat, min_severity: Severity) -> Self {
        let (logger, output) = logging::logger(format, min_severity);
        Self::new(Some(Log { logger, output, rate: Mutex::default() }), min_severity, None)
    }

    /// Passes events to `observer` only.
    #[must_use]
    pub fn to_observer(observer: Arc<dyn EventObserver>) -> Self {
        Self::new(None, Severity::Debug, Some(observer))
    }

    /// Drops events and keeps only metrics.
    #[must_use]
    pub fn silent() -> Self {
        Self::new(None, Severity::Error, None)
    }

    fn new(log: Option<Log>, min_severity: Severity, observer: Option<Arc<dyn EventObserver>>) -> Self {
        Self {
            inner: Arc::new(Inner {
                log,
                min_severity,
                observer,
                metrics: Metrics::default(),
                sampled_count: AtomicU64::new(0),
            }),
        }
    }

    /// Whether events of this severity are logged or observed. Lets the request path skip building events
    /// that would be dropped.
    #[must_use]
    pub fn is_enabled(&self, severity: Severity) -> bool {
        let is_logged = self.inner.log.is_some() && severity >= self.inner.min_severity;
        is_logged || self.inner.observer.is_some()
    }

    /// Emits `event`.
    #[track_caller]
    pub fn emit(&self, event: Event) {
        if let Some(log) = &self.inner.log
            && event.severity() >= self.inner.min_severity
        {
            log.write(&event, Location::caller());
        }
        if let Some(observer) = &self.inner.observer {
            observer.observe(&event);
        }
    }

    /// Emits every 64th event, or each one if there is an observer; the others are not built.
    #[track_caller]
    pub fn emit_sampled(&self, event: impl FnOnce() -> Event) {
        let count = self.inner.sampled_count.fetch_add(1, Ordering::Relaxed);
        if self.inner.observer.is_some()
            || (self.inner.log.is_some() && count.is_multiple_of(SAMPLING_INTERVAL))
        {
            self.emit(event());
        }
    }

    /// Waits a short time until the emitted events are written. Call it before the process exits.
    pub fn flush(&self) {
        if let Some(log) = &self.inner.log {
            log.output.flush();
        }
    }

    /// Metrics of the node.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }
}

impl std::fmt::Debug for Telemetry {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Telemetry").finish_non_exhaustive()
    }
}
