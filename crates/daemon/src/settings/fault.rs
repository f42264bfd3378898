//! Faults in the settings of a node, collected in one report.

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

/// A fault in one setting.
#[derive(Debug, Error)]
#[allow(missing_docs, reason = "each variant's message says what its fields are")]
pub enum FaultKind {
    #[error("the settings file can't be read: {reason}")]
    UnreadableFile { reason: std::io::ErrorKind },
    #[error("the settings file is not UTF-8 text; byte {offset} is the first that is not")]
    NotText { offset: usize },
    #[error("the settings file is not valid TOML: {message}")]
    Syntax { message: String },
    #[error("unknown setting `{key}`")]
    UnknownKey { key: String, nearest: Option<&'static str> },
    #[error("the setting `{key}` is missing")]
    Missing { key: &'static str },
    #[error("`{key}` must be {expected}, not {found}")]
    WrongType { key: &'static str, expected: &'static str, found: &'static str },
    #[error(transparent)]
    Name(#[from] InvalidName),
    #[error("`{value}` in `{key}` is not a valid address")]
    Address { key: &'static str, value: String },
    #[error("`{value}` in `{key}` is not a valid duration")]
    Duration { key: &'static str, value: String, source: InvalidDuration },
    #[error("`{value}` in `{key}` is not one of {allowed}")]
    Choice { key: &'static str, value: String, allowed: &'static str },
    #[error("`{key}` is {value}, but must be between {min} and {max}")]
    OutOfRange { key: &'static str, value: String, min: u64, max: u64 },
    #[error("the region `{region}` has no zone in `[zones]`")]
    UnknownRegion { region: RegionName },
    #[error("the region `{region}` has no zone `{zone}`")]
    UnknownZone { region: RegionName, zone: ZoneName, known: String },
    #[error("`{first}` and `{second}` both use the address {address}")]
    SameAddress { first: &'static str, second: &'static str, address: SocketAddr },
    #[error("other nodes can't connect to the address in `{key}`: {address}")]
    NotReachable { key: &'static str, address: SocketAddr },
    #[error("the file `{}` named by `{key}` can't be read: {reason}", path.display())]
    MissingFile { key: &'static str, path: PathBuf, reason: std::io::ErrorKind },
    #[error("the file `{}` named by `{key}` contains no valid seal key", path.display())]
    SealKeyFile { key: &'static str, path: PathBuf, source: InvalidSealKey },
    #[error("`{key}` is not allowed at an edge, which has no back end")]
    NotAtEdge { key: &'static str },
}

impl FaultKind {
    /// A suggestion how to correct the setting.
    #[must_use]
    pub fn suggestion(&self) -> String {
        match self {
            Self::UnreadableFile { .. } => "specify an existing file that this user may read".to_owned(),
            Self::NotText { .. } | Self::Syntax { .. } => {
                "start from examples/node.toml, which explains every setting".to_owned()
            }
            Self::UnknownKey { nearest: Some(nearest), .. } => format!("did you mean `{nearest}`?"),
            Self::UnknownKey { nearest: None, .. } => {
                "remove it; examples/node.toml lists all settings".to_owned()
            }
            Self::Missing { key } => format!("add `{key}` to the settings file, or pass its flag"),
            Self::WrongType { expected, .. } => format!("use {expected}"),
            Self::Name(_) => "use a-z, 0-9, `-` and `.`, at most 63 characters".to_owned(),
            Self::Address { .. } => "use an IP address and a port, such as `10.0.0.7:7101`".to_owned(),
            Self::Duration { .. } => "use for example `500ms`, `30s` or `2m`".to_owned(),
            Self::Choice { allowed, .. } => format!("use one of {allowed}"),
            Self::OutOfRange { min, max, .. } => format!("use a number from {min} to {max}"),
            Self::UnknownRegion { .. } => "add a zone of the region to `[zones]`".to_owned(),
            Self::UnknownZone { known, .. } => {
                format!("use one of {known}, or add the zone to `[zones]`")
            }
            Self::SameAddress { second, .. } => format!("use a different port for `{second}`"),
            Self::NotReachable { key, .. } => {
                format!("set `{}` to the address of this machine", advertised_key(key))
            }
            Self::MissingFile { .. } => {
                "relative paths are resolved from the settings file's directory".to_owned()
            }
            Self::SealKeyFile { .. } => "create one with `umberpond keygen`".to_owned(),
            Self::NotAtEdge { key } => format!("remove `{key}`, or set `node.edge` to false"),
        }
    }
}

fn advertised_key(key: &str) -> &'static str {
    if key == "listen.inbound" { "advertise.inbound" } else { "advertise.control" }
}

/// Origin of a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// Byte range in the settings file.
    File(Range<usize>),
    /// A command line flag.
    Flag(&'static str),
    /// No origin: the setting is missing, or the fault concerns the whole file.
    Nowhere,
}

/// One fault with its location.
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

    /// The kind of the fault.
    #[must_use]
    pub const fn kind(&self) -> &FaultKind {
        &self.kind
    }

    /// Line number in the settings file, starting at 1; absent if the fault has no line.
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
        Some(Box::new(self.kind.suggestion()))
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
    /// The faults, ordered by line.
    #[related]
    pub faults: Vec<SettingsFault>,
}
