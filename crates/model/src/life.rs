//! The lives of a back end.

use std::fmt;

/// One life of a back end, from a start of its process to its end. A back end may start again under the identity that it had; when the life began tells the
/// two apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndProcess {
    /// Identity of the back end.
    pub instance: String,
    /// Unix milliseconds of its start by the clock of its own machine; absent if it does not tell.
    pub born: Option<u64>,
}

impl BackEndProcess {
    /// The life of the back end called `instance` that does not tell when it began.
    #[must_use]
    pub fn of(instance: &str) -> Self {
        Self { instance: instance.to_owned(), born: None }
    }

    /// Whether this and `other` may be the same life. One that is not known to have begun at some time may be any.
    #[must_use]
    pub fn may_equal(&self, other: &Self) -> bool {
        let tells_apart = self.born.is_some() && other.born.is_some();
        self.instance == other.instance && (!tells_apart || self.born == other.born)
    }

    /// Whether this began before `other`, by the clocks of their machines; `false` if that is not known.
    #[must_use]
    pub fn started_before(&self, other: &Self) -> bool {
        self.born.zip(other.born).is_some_and(|(one, other)| one < other)
    }
}

impl fmt::Display for BackEndProcess {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.instance)?;
        self.born.map_or(Ok(()), |born| write!(formatter, "@{born}"))
    }
}
