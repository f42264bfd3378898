//! The kinds of faults of a bundle.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use umberpond_model::{BundleName, RegionName, RouteName, SecretName, ServiceName, ZoneName};

use crate::Origin;

/// The kind of a fault. Its message never contains the value of a key that may hold a secret.
#[allow(missing_docs, reason = "each message says what the fields of its variant hold")]
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum FaultKind {
    // Files.
    #[error("can't be read: {reason}")]
    Unreadable { reason: String },
    #[error("contains no `*.toml` file")]
    NoFiles,
    #[error("contains more than {limit} files")]
    TooManyFiles { limit: usize },
    #[error("is larger than {limit} bytes")]
    OversizeFile { limit: u64 },
    #[error("together with the files before it is larger than {limit} bytes")]
    OversizeBundle { limit: u64 },
    #[error("is not UTF-8 text")]
    NotUtf8,
    #[error("is not a regular file inside the bundle's directory")]
    OutsideDirectory,
    #[error("is not valid TOML: {message}")]
    Syntax { message: String },
    #[error("`schema` is missing")]
    MissingSchema,
    #[error("schema {found} is unknown")]
    UnknownSchema { found: i64 },

    // Keys.
    #[error("unknown key")]
    UnknownKey { known: Vec<String> },
    #[error("is missing")]
    MissingKey,
    #[error("must be {expected}, not {found}")]
    WrongType { expected: String, found: String },
    #[error("must be one of {}", allowed.join(", "))]
    UnknownWord { allowed: Vec<String> },
    #[error("{reason}")]
    BadName { reason: String },
    #[error("the name is already used at {first}")]
    DuplicateName { first: Origin },
    #[error("lists `{value}` twice")]
    DuplicateValue { value: String },

    // Values.
    #[error("must list at least one value")]
    Empty,
    #[error("must be from {least} to {most}")]
    OutOfRange { least: u64, most: u64 },
    #[error("the path prefix {reason}")]
    BadPrefix { reason: String },
    #[error("`{method}` is not a method that a route may match")]
    BadMethod { method: String },
    #[error("`{header}` is not a lower-case header name")]
    BadHeader { header: String },
    #[error("the header `{header}` is connection-specific or reserved for umberpond")]
    ForbiddenHeader { header: String },
    #[error("is not a seal key")]
    BadSealKey,
    #[error("the entry is stored under another name, `{key}`")]
    NameMismatch { key: String },

    // Secrets.
    #[error("a bundle may not contain a secret value (it is not repeated here)")]
    InlineValue,
    #[error("specifies no source of its value")]
    NoValueSource,
    #[error("specifies two sources of its value")]
    TwoValueSources,
    #[error("the value's file is outside the bundle's directory")]
    ValueOutsideDirectory,
    #[error("the value can't be read: {reason}")]
    UnreadableValue { reason: String },
    #[error("the value is empty, larger than {limit} bytes or contains characters not allowed in a header")]
    UnfitValue { limit: u64 },

    // The joined configuration.
    #[error("is defined in bundle `{bundle}` as well, at {origin}")]
    DefinedTwice { bundle: BundleName, origin: Origin },
    #[error("region `{region}` does not exist")]
    UnknownRegion { region: RegionName },
    #[error("zone `{zone}` does not exist in region `{region}`")]
    UnknownZone { region: RegionName, zone: ZoneName },
    #[error("service `{service}` does not exist")]
    UnknownService { service: ServiceName },
    #[error("secret `{secret}` does not exist")]
    UnknownSecret { secret: SecretName },
    #[error("caller `{caller}` is not among the readers of secret `{secret}`")]
    CallerNotReader { caller: ServiceName, secret: SecretName },
    #[error("reader `{reader}` has no seal key")]
    ReaderWithoutSealKey { reader: ServiceName },
    #[error("the value is not sealed to the current key of reader `{reader}`")]
    SealedToOtherKey { reader: ServiceName },
    #[error("matches the same requests of caller `{caller}` as route `{other}`, at {origin}")]
    AmbiguousRoute { caller: ServiceName, other: RouteName, origin: Origin },
}

impl FaultKind {
    /// Returns a suggested correction.
    #[must_use]
    pub fn suggestion(&self) -> String {
        match self {
            Self::UnknownKey { known } => format!("remove it, or use one of {}", known.join(", ")),
            Self::DuplicateName { first } => format!("rename this entry or the one at {first}"),
            Self::DefinedTwice { bundle, .. } => {
                format!("rename it, or remove it from one of the two bundles (the other is `{bundle}`)")
            }
            Self::UnknownRegion { region } => format!("add `[[region]]` with `name = \"{region}\"`"),
            Self::UnknownZone { region, .. } => {
                format!("use a zone of region `{region}`, or add the zone to its `zones`")
            }
            Self::UnknownService { service } => {
                format!("add `[[service]]` with `name = \"{service}\"`, or remove the reference")
            }
            Self::UnknownSecret { secret } => {
                format!("add `[[secret]]` with `name = \"{secret}\"`, or remove the credential")
            }
            Self::CallerNotReader { caller, secret } => {
                format!("add `{caller}` to the `readers` of secret `{secret}`, or remove it from the callers")
            }
            Self::ReaderWithoutSealKey { reader } => {
                format!("set `seal_key` of service `{reader}`, or remove it from the readers")
            }
            Self::SealedToOtherKey { reader } => {
                format!("submit the secret's bundle again, so that it is sealed to the new key of `{reader}`")
            }
            Self::AmbiguousRoute { other, .. } => {
                format!("give this route or `{other}` another prefix, other methods or other callers")
            }
            other => other.fixed_suggestion().to_owned(),
        }
    }

    /// Returns the suggested correction of the kinds for which it depends on no field.
    const fn fixed_suggestion(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "check that the path exists and is readable",
            Self::NoFiles => "write at least one file that ends in `.toml`",
            Self::TooManyFiles { .. } | Self::OversizeBundle { .. } => "split the bundle into several",
            Self::OversizeFile { .. } => "split the file into several",
            Self::NotUtf8 => "save the file as UTF-8",
            Self::OutsideDirectory => "replace the link by the file itself",
            Self::Syntax { .. } => "correct the line so that it is TOML",
            Self::MissingSchema | Self::UnknownSchema { .. } => "set `schema = 1` at the top of the file",
            Self::MissingKey => "add the key",
            Self::WrongType { .. } => "write a value of the expected type",
            Self::UnknownWord { .. } => "use one of the listed values",
            Self::BadName { .. } => {
                "use 1 to 63 of a-z, 0-9, `-` and `.`, with a letter or digit at both ends"
            }
            Self::DuplicateValue { .. } => "list each value once",
            Self::Empty => "list what the entry applies to; there is no \"all\"",
            Self::OutOfRange { .. } => "choose a number in the range",
            Self::BadPrefix { .. } => "write a plain path such as `/archive`, without a slash at its end",
            Self::BadMethod { .. } => "write methods in upper case, such as `GET`; `CONNECT` is not served",
            Self::BadHeader { .. } => "write the header name in lower case, such as `authorization`",
            Self::ForbiddenHeader { .. } => "use another header, such as `authorization`",
            Self::BadSealKey => "copy the 64 hexadecimal digits published by the service's operator",
            Self::NameMismatch { .. } => "submit the bundle's directory again",
            Self::InlineValue => {
                "remove the value, use `file` or `environment`, and replace the secret if it was shared"
            }
            Self::NoValueSource | Self::TwoValueSources => "set exactly one of `file` and `environment`",
            Self::ValueOutsideDirectory => "name a file inside the bundle's directory by a relative path",
            Self::UnreadableValue { .. } => "make the file or the environment variable available",
            Self::UnfitValue { .. } => "store one line of printable ASCII text",
            _ => "correct the entry",
        }
    }
}
