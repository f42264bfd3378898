//! Catalogue entries and event fields.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use umberpond_model::{
    BundleName, ContentHash, Incarnation, Locality, NodeName, RouteName, SecretName, ServiceName,
    SubmissionId, Version,
};

/// Severity of an event for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Diagnostic detail.
    Debug,
    /// Normal operation.
    Info,
    /// A failure that the program handles itself.
    Warn,
    /// A failure that an operator has to act on.
    Error,
}

impl Severity {
    /// Name of the severity in `docs/EVENTS.md`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warn => "warn",
            Self::Error => "error",
        }
    }
}

/// The catalogue's entry for one kind of event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CatalogueEntry {
    /// Number of the event; never reused for another event.
    pub number: u16,
    /// Severity of the event.
    pub severity: Severity,
    /// Short name for filters and alerts.
    pub slug: &'static str,
    /// Description of the event; the message of its log line.
    pub meaning: &'static str,
    /// Names of the fields, in declaration order.
    pub fields: &'static [&'static str],
}

/// One field of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Value of the field.
    pub value: FieldValue,
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FieldValue {
    /// A count, a number or a duration in the unit that the field's name ends with.
    Number(u64),
    /// Any other value, as text.
    Text(String),
}

impl fmt::Display for FieldValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => formatter.write_str(text),
        }
    }
}

macro_rules! numeric_field {
    ($($type:ty),*) => {
        $(impl From<&$type> for FieldValue {
            fn from(value: &$type) -> Self {
                Self::Number(u64::from(*value))
            }
        })*
    };
}

macro_rules! text_field {
    ($($type:ty),*) => {
        $(impl From<&$type> for FieldValue {
            fn from(value: &$type) -> Self {
                Self::Text(value.to_string())
            }
        })*
    };
}

numeric_field!(u16, u32, u64);
text_field!(
    String,
    SocketAddr,
    BundleName,
    ContentHash,
    Locality,
    NodeName,
    RouteName,
    SecretName,
    ServiceName,
    SubmissionId
);

impl From<&&'static str> for FieldValue {
    fn from(value: &&'static str) -> Self {
        Self::Text((*value).to_owned())
    }
}

impl From<&Version> for FieldValue {
    fn from(version: &Version) -> Self {
        Self::Number(version.0)
    }
}

impl From<&Incarnation> for FieldValue {
    fn from(incarnation: &Incarnation) -> Self {
        Self::Number(incarnation.0)
    }
}
