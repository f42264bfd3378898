//! Notices that the machine was suspended.
//!
//! The runtime's clock stands still meanwhile, and a clock that counts the time since the machine's start does not. What the difference grows by is time that passed for everybody else.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Growth of the difference from which on it counts as a suspension. Both clocks run alike but for that; between two readings of them the process may be held up for a tenth of a
/// second where its share of the processor is spent, and shorter gaps change nothing that a node believes.
const SUSPENDED_FROM: Duration = Duration::from_millis(250);

/// A clock that goes on while the machine is suspended.
pub trait BootClock: Send + Sync + 'static {
    /// Time since some moment before the process started; absent if it can't be had.
    fn now(&self) -> Option<Duration>;
}

/// The clock of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineClock;

impl BootClock for MachineClock {
    fn now(&self) -> Option<Duration> {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).ok()?;
        let nanos = u32::try_from(time.tv_nsec).ok()?;
        Some(Duration::new(seconds, nanos))
    }
}

/// No clock: the machine is taken never to be suspended. For surroundings in which time is not the machine's.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoBootClock;

impl BootClock for NoBootClock {
    fn now(&self) -> Option<Duration> {
        None
    }
}

/// Compares the runtime's clock with that of the machine.
pub(crate) struct SuspensionWatch {
    clock: Arc<dyn BootClock>,
    /// Both clocks when they were compared last.
    compared: Option<(Instant, Duration)>,
}

impl fmt::Debug for SuspensionWatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SuspensionWatch").field("compared", &self.compared).finish_non_exhaustive()
    }
}

impl SuspensionWatch {
    pub(crate) fn new(clock: Arc<dyn BootClock>) -> Self {
        Self { clock, compared: None }
    }

    /// Time for which the machine was suspended since this was asked last; absent if it was not.
    pub(crate) fn look(&mut self) -> Option<Duration> {
        let gap = self.gap()?;
        if gap < SUSPENDED_FROM {
            return None;
        }
        // The process may have been held up between the two readings: then the next pair shows no gap.
        let gap = gap.min(self.gap()?);
        self.compared = Some((Instant::now(), self.clock.now()?));
        (gap >= SUSPENDED_FROM).then_some(gap)
    }

    /// Growth of the difference since the last comparison.
    fn gap(&mut self) -> Option<Duration> {
        let steady = Instant::now();
        let boot = self.clock.now()?;
        let (steady_before, boot_before) = *self.compared.get_or_insert((steady, boot));
        let by_boot = boot.saturating_sub(boot_before);
        let by_steady = steady.saturating_duration_since(steady_before);
        let gap = by_boot.saturating_sub(by_steady);
        if gap < SUSPENDED_FROM {
            self.compared = Some((steady, boot));
        }
        Some(gap)
    }
}
