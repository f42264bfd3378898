//! Detects that the machine was suspended.
//!
//! The clock of the runtime stops while the machine is suspended, but the boot clock advances. The growth of
//! the difference between the two is the time of the suspension, which has passed for all other nodes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Minimum growth of the difference that counts as a suspension. Apart from suspensions both clocks advance
/// equally. Between the readings of the two clocks the process may be throttled for a tenth of a second, when
/// its CPU quota is used up; shorter gaps have no effect on the state of a node.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// A clock that advances while the machine is suspended.
pub trait BootClock: Send + Sync + 'static {
    /// Time since a fixed instant before the process started; absent if the clock can't be read.
    fn now(&self) -> Option<Duration>;
}

/// The boot clock of the machine.
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

/// No boot clock, so that no suspension is ever detected. For environments with simulated time.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoBootClock;

impl BootClock for NoBootClock {
    fn now(&self) -> Option<Duration> {
        None
    }
}

/// Detects suspensions by comparing the runtime's clock with the boot clock.
pub(crate) struct SuspensionWatch {
    clock: Arc<dyn BootClock>,
    /// Readings of both clocks at the last comparison.
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

    /// Time for which the machine was suspended since the last call; absent if it was not.
    pub(crate) fn check(&mut self) -> Option<Duration> {
        let gap = self.gap()?;
        if gap < MIN_SUSPENSION {
            return None;
        }
        // The process may have been paused between the two readings; then the next pair shows no gap.
        let gap = gap.min(self.gap()?);
        self.compared = Some((Instant::now(), self.clock.now()?));
        (gap >= MIN_SUSPENSION).then_some(gap)
    }

    /// Growth of the difference since the last comparison.
    fn gap(&mut self) -> Option<Duration> {
        let runtime = Instant::now();
        let boot = self.clock.now()?;
        let (runtime_before, boot_before) = *self.compared.get_or_insert((runtime, boot));
        let boot_elapsed = boot.saturating_sub(boot_before);
        let runtime_elapsed = runtime.saturating_duration_since(runtime_before);
        let gap = boot_elapsed.saturating_sub(runtime_elapsed);
        if gap < MIN_SUSPENSION {
            self.compared = Some((runtime, boot));
        }
        Some(gap)
    }
}
