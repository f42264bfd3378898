//! Identifies one process of a back end.

use std::fmt;

/// One process of a back end, from its start to its exit. A back end may restart under the same identity; the
/// start time distinguishes the two processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndProcess {
    /// Identity of the back end.
    pub instance: String,
    /// Unix milliseconds of the process start by the clock of its own machine; absent if the back end does
    /// not report it.
    pub started_at: Option<u64>,
}

/// Identity of a back end that reports none.
const UNNAMED: &str = "unnamed";

impl BackEndProcess {
    /// The process of a back end that reports no identity, so that the next one can't be distinguished from it.
    #[must_use]
    pub fn unnamed() -> Self {
        Self::of(UNNAMED)
    }

    /// Whether the back end reports its identity.
    #[must_use]
    pub fn is_named(&self) -> bool {
        self.instance != UNNAMED
    }

    /// The process of the back end called `instance`, with an unknown start time.
    #[must_use]
    pub fn of(instance: &str) -> Self {
        Self { instance: instance.to_owned(), started_at: None }
    }

    /// Parses the text form of a process, which is the identity, and `@` and the start time if that is known.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let with_start = text.rsplit_once('@').and_then(|(instance, started_at)| {
            Some(Self { instance: instance.to_owned(), started_at: Some(started_at.parse().ok()?) })
        });
        with_start.unwrap_or_else(|| Self::of(text))
    }

    /// Whether `self` and `other` may be the same process. A process with an unknown start time matches any
    /// process of the same back end.
    #[must_use]
    pub fn may_equal(&self, other: &Self) -> bool {
        let both_known = self.started_at.is_some() && other.started_at.is_some();
        self.instance == other.instance && (!both_known || self.started_at == other.started_at)
    }

    /// Whether this process has to be treated as `departed`, which accepts no new requests any more: it is that
    /// process, or its start time is unknown. A process without identity can't be recognized.
    #[must_use]
    pub fn may_have_departed_as(&self, departed: &Self) -> bool {
        let is_known_later = self.started_at.is_some() && self.started_at != departed.started_at;
        self.is_named() && self.instance == departed.instance && !is_known_later
    }

    /// Whether this process started before `other`, by the clocks of their machines; `false` if either start
    /// time is unknown.
    #[must_use]
    pub fn started_before(&self, other: &Self) -> bool {
        self.started_at.zip(other.started_at).is_some_and(|(one, other)| one < other)
    }
}

impl fmt::Display for BackEndProcess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.instance)?;
        self.started_at.map_or(Ok(()), |started_at| write!(formatter, "@{started_at}"))
    }
}
