//! Waits after a failed request to the platform.

use std::time::Duration;

use umberpond_platform::BackoffSettings;

/// Full jitter up to four seconds: after an outage the readers are back well within the ten seconds in which an
/// accepted version is to be in force, and thirty readers ask about fifteen times a second together until then.
pub(super) const PLATFORM_BACKOFF: BackoffSettings =
    BackoffSettings { base: Duration::from_millis(200), cap: Duration::from_secs(4) };
