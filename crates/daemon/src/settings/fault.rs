//! Everything that is wrong with a node's settings, in one report.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use thiserror::Error;
use umberpond_config::InvalidSealKey;
use umberpond_model::{InvalidName, RegionName, ZoneName};

use super::InvalidDuration;

/// What is wrong with one setting.
#[derive(Debug, Error)]
#[allow(missing_docs, reason = "each variant's message says what its fields are")]
pub enum FaultKind {
    #[error("the settings file can't be read: {reason}")]
    UnreadableFile { reason: std::io::ErrorKind },
    #[error("the settings file is not UTF-8 text; byte {offset} is the first that is not")]
    NotText { offset: usize },
    #[error("the settings file is not TOML: {message}")]
    Syntax { message: String },
    #[error("there is no setting `{key}`")]
    UnknownKey { key: String, nearest: Option<&'static str> },
    #[error("the setting `{key}` is missing")]
    Missing { key: &'static str },
    #[error("`{key}` must be {expected}, not {found}")]
    WrongType { key: &'static str, expected: &'static str, found: &'static str },
    #[error(transparent)]
    Name(#[from] InvalidName),
    #[error("`{value}` in `{key}` is no address")]
    Address { key: &'static str, value: String },
    #[error("`{value}` in `{key}` is no duration")]
    Duration { key: &'static str, value: String, source: InvalidDuration },
    #[error("`{value}` in `{key}` is not one of {allowed}")]
    Choice { key: &'static str, value: String, allowed: &'static str },
    #[error("`{key}` is {value}; it must lie between {least} and {greatest}")]
    OutOfRange { key: &'static str, value: String, least: u64, greatest: u64 },
    #[error("the region `{region}` is not one of the known localities")]
    UnknownRegion { region: RegionName },
    #[error("the region `{region}` has no zone `{zone}`")]
    UnknownZone { region: RegionName, zone: ZoneName, known: String },
    #[error("`{first}` and `{second}` both take the address {address}")]
    SameAddress { first: &'static str, second: &'static str, address: SocketAddr },
    #[error("`{key}` names an address that other nodes can't connect to: {address}")]
    NotReachable { key: &'static str, address: SocketAddr },
    #[error("the file `{}` named by `{key}` can't be read: {reason}", path.display())]
    MissingFile { key: &'static str, path: PathBuf, reason: std::io::ErrorKind },
    #[error("the file `{}` named by `{key}` holds no seal key", path.display())]
    SealKeyFile { key: &'static str, path: PathBuf, source: InvalidSealKey },
    #[error("`{key}` makes no sense at an edge, which has no back end")]
    NotAtEdge { key: &'static str },
}

impl FaultKind {
    /// How to mend it.
    #[must_use]
    pub fn mend(&self) -> String {
        match self {
            Self::UnreadableFile { .. } => "name a file that exists and that this user may read".to_owned(),
            Self::NotText { .. } | Self::Syntax { .. } => {
                "start from examples/node.toml, which explains every setting".to_owned()
            }
            Self::UnknownKey { nearest: Some(nearest), .. } => format!("did you mean `{nearest}`?"),
            Self::UnknownKey { nearest: None, .. } => {
                "remove it; examples/node.toml lists all settings".to_owned()
            }
            Self::Missing { key } => format!("add `{key}` to the settings file, or give its flag"),
            Self::WrongType { expected, .. } => format!("write {expected}"),
            Self::Name(_) => "use a-z, 0-9, `-` and `.`, at most 63 characters".to_owned(),
            Self::Address { .. } => "write an IP number and a port, such as `10.0.0.7:7101`".to_owned(),
            Self::Duration { .. } => "write for example `500ms`, `30s` or `2m`".to_owned(),
            Self::Choice { allowed, .. } => format!("use one of {allowed}"),
            Self::OutOfRange { least, greatest, .. } => format!("use a number from {least} to {greatest}"),
            Self::UnknownRegion { .. } => "add a zone of the region to `[zones]`".to_owned(),
            Self::UnknownZone { known, .. } => {
                format!("use one of {known}, or add the zone to `[zones]`")
            }
            Self::SameAddress { second, .. } => format!("give `{second}` a port of its own"),
            Self::NotReachable { key, .. } => {
                format!("set `{}` to the address of this machine", advertised_key(key))
            }
            Self::MissingFile { .. } => "relative paths start at the settings file's directory".to_owned(),
            Self::SealKeyFile { .. } => "make one by `umberpond keygen`".to_owned(),
            Self::NotAtEdge { key } => format!("remove `{key}`, or set `node.edge` to false"),
        }
    }
}

fn advertised_key(key: &str) -> &'static str {
    if key == "listen.inbound" { "advertise.inbound" } else { "advertise.control" }
}

/// Where a setting came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// Bytes of the settings file.
    File(Range<usize>),
    /// A flag.
    Flag(&'static str),
    /// Nowhere: it is missing, or concerns the whole file.
    Nowhere,
}

/// One fault with its place.
#[derive(Debug)]
pub struct SettingsFault {
    kind: FaultKind,
    origin: Origin,
    source: Option<Arc<NamedSource<String>>>,
}

impl SettingsFault {
    pub(super) const fn new(
        kind: FaultKind,
        origin: Origin,
        source: Option<Arc<NamedSource<String>>>,
    ) -> Self {
        Self { kind, origin, source }
    }

    /// What is wrong.
    #[must_use]
    pub const fn kind(&self) -> &FaultKind {
        &self.kind
    }

    /// Line of the settings file, counted from 1, if the fault lies in one.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        let Origin::File(range) = &self.origin else { return None };
        let text = self.source.as_ref()?.inner();
        let before = text.get(..range.start)?;
        Some(before.matches('\n').count() + 1)
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.origin, &self.source, self.line()) {
            (Origin::Flag(flag), _, _) => write!(formatter, "flag {flag}: {}", self.kind),
            (_, Some(source), Some(line)) => write!(formatter, "{}:{line}: {}", source.name(), self.kind),
            _ => write!(formatter, "{}", self.kind),
        }
    }
}

impl std::error::Error for SettingsFault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&self.kind)
    }
}

impl Diagnostic for SettingsFault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("umberpond::settings"))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.mend()))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        matches!(self.origin, Origin::File(_)).then_some(())?;
        self.source.as_deref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let Origin::File(range) = &self.origin else { return None };
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), range.clone());
        Some(Box::new(std::iter::once(label)))
    }
}

/// All faults of a node's settings.
#[derive(Debug, Error, Diagnostic)]
#[error("the settings have {} fault{}; nothing was started", faults.len(), if faults.len() == 1 { "" } else { "s" })]
#[diagnostic(code("umberpond::settings"))]
pub struct SettingsReport {
    /// The faults, in the order of the file.
    #[related]
    pub faults: Vec<SettingsFault>,
}
