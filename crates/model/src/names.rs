//! Validated names: lower-case letters, digits, `-` and `.`, at most 63 bytes, as in DNS labels.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes (the limit of one DNS label).
pub const MAX_NAME_BYTES: usize = 63;

/// A name that violates the naming rule.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidName {
    /// The name is empty.
    #[error("a {kind} name must not be empty")]
    Empty {
        /// Kind of the named entity.
        kind: &'static str,
    },
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("the {kind} name is {length} bytes long; at most {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// Kind of the named entity.
        kind: &'static str,
        /// Length of the name in bytes.
        length: usize,
    },
    /// The name contains a character that is not allowed, or starts or ends with `-` or `.`.
    #[error(
        "invalid {kind} name `{name}`: use only a-z, 0-9, `-` and `.`, with a letter or digit at both ends"
    )]
    BadCharacter {
        /// Kind of the named entity.
        kind: &'static str,
        /// The rejected name.
        name: String,
    },
}

fn validate(kind: &'static str, name: &str) -> Result<(), InvalidName> {
    if name.is_empty() {
        return Err(InvalidName::Empty { kind });
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(InvalidName::TooLong { kind, length: name.len() });
    }
    let inner_is_valid = name
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.');
    let edge_is_valid = |byte: Option<u8>| byte.is_some_and(|byte| byte.is_ascii_alphanumeric());
    if inner_is_valid && edge_is_valid(name.bytes().next()) && edge_is_valid(name.bytes().last()) {
        return Ok(());
    }
    Err(InvalidName::BadCharacter { kind, name: name.to_owned() })
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `name`.
            ///
            /// # Errors
            /// Returns [`InvalidName`] if the name violates the naming rule.
            pub fn new(name: &str) -> Result<Self, InvalidName> {
                validate($kind, name)?;
                Ok(Self(Arc::from(name)))
            }

            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(name: &str) -> Result<Self, InvalidName> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(name: String) -> Result<Self, InvalidName> {
                Self::new(&name)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

checked_name!(
    /// Name of a bundle: a set of files that is submitted and withdrawn as a whole.
    BundleName,
    "bundle"
);
checked_name!(
    /// Name of a service: a group of interchangeable back ends.
    ServiceName,
    "service"
);
checked_name!(
    /// Name of a release: a version of the software of a service's back ends.
    ReleaseName,
    "release"
);
checked_name!(
    /// Name of a route.
    RouteName,
    "route"
);
checked_name!(
    /// Name of a secret. Its value has a separate type and is never printed.
    SecretName,
    "secret"
);
checked_name!(
    /// Name of a node. A replacement machine may reuse the name with a higher incarnation.
    NodeName,
    "node"
);
checked_name!(
    /// Name of a region, a group of zones.
    RegionName,
    "region"
);
checked_name!(
    /// Name of a zone, unique inside its region.
    ZoneName,
    "zone"
);
checked_name!(
    /// Name of a tenant: a customer or team on whose behalf callers send requests.
    TenantName,
    "tenant"
);
