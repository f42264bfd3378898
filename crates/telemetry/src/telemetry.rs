//! The handle through which every part of a node tells events and counts.

use std::panic::Location;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use logforth::core::Logger;
use parking_lot::Mutex;

use crate::output::Output;
use crate::rate::{RateLimit, Verdict};
use crate::{Event, LogFormat, Metrics, Severity, logging};

/// Of so many ordinary events one is logged.
const SAMPLED: u64 = 64;

/// Sees every event of one node, whatever its severity.
pub trait EventObserver: Send + Sync + 'static {
    /// Called once an event, in the order in which the events were told.
    fn observe(&self, event: &Event);
}

/// Keeps every event in memory; for tests and the simulation.
#[derive(Debug, Default)]
pub struct MemoryRecorder {
    events: Mutex<Vec<Event>>,
}

impl MemoryRecorder {
    /// The events so far, oldest first.
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

/// Events and metrics of one node. Cheap to copy; there is no global state behind it.
#[derive(Clone)]
pub struct Telemetry {
    inner: Arc<Inner>,
}

struct Inner {
    log: Option<Log>,
    least: Severity,
    observer: Option<Arc<dyn EventObserver>>,
    metrics: Metrics,
    sampled: AtomicU64,
}

/// The log on standard output.
struct Log {
    logger: Logger,
    output: Arc<Output>,
    rate: Mutex<RateLimit>,
}

impl Log {
    fn tell(&self, event: &Event, location: &'static Location<'static>) {
        let verdict = self.rate.lock().take(Instant::now(), event.number());
        let Verdict::Tell { suppressed } = verdict else { return };
        if suppressed > 0 {
            let told = Event::LinesSuppressed { kind: event.number(), count: suppressed };
            logging::log(&self.logger, &told, location);
        }
        logging::log(&self.logger, event, location);
    }
}

impl Telemetry {
    /// Events go to standard output, from severity `least` on.
    #[must_use]
    pub fn to_log(format: LogFormat, least: Severity) -> Self {
        let (logger, output) = logging::logger(format, least);
        Self::new(Some(Log { logger, output, rate: Mutex::default() }), least, None)
    }

    /// Events go to `observer` and nowhere else.
    #[must_use]
    pub fn to_observer(observer: Arc<dyn EventObserver>) -> Self {
        Self::new(None, Severity::Debug, Some(observer))
    }

    /// Events are dropped; metrics are kept.
    #[must_use]
    pub fn silent() -> Self {
        Self::new(None, Severity::Error, None)
    }

    fn new(log: Option<Log>, least: Severity, observer: Option<Arc<dyn EventObserver>>) -> Self {
        Self {
            inner: Arc::new(Inner {
                log,
                least,
                observer,
                metrics: Metrics::default(),
                sampled: AtomicU64::new(0),
            }),
        }
    }

    /// Whether anybody sees events of this severity. Saves the request path the making of events that nobody sees.
    #[must_use]
    pub fn is_enabled(&self, severity: Severity) -> bool {
        let is_logged = self.inner.log.is_some() && severity >= self.inner.least;
        is_logged || self.inner.observer.is_some()
    }

    /// Tells `event`.
    #[track_caller]
    pub fn emit(&self, event: Event) {
        if let Some(log) = &self.inner.log
            && event.severity() >= self.inner.least
        {
            log.tell(&event, Location::caller());
        }
        if let Some(observer) = &self.inner.observer {
            observer.observe(&event);
        }
    }

    /// Tells one of so many events; the others are not even made.
    #[track_caller]
    pub fn emit_sampled(&self, event: impl FnOnce() -> Event) {
        let count = self.inner.sampled.fetch_add(1, Ordering::Relaxed);
        if self.inner.observer.is_some() || (self.inner.log.is_some() && count.is_multiple_of(SAMPLED)) {
            self.emit(event());
        }
    }

    /// Waits a short time until what was told is written. Call it at the end of the process.
    pub fn flush(&self) {
        if let Some(log) = &self.inner.log {
            log.output.flush();
        }
    }

    /// The node's metrics.
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
