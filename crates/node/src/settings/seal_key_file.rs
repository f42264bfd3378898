//! The file that holds a service's private seal key: 64 hex digits.

use std::fmt;

use thiserror::Error;

/// Size of a private seal key, in bytes.
pub const SEAL_KEY_BYTES: usize = 32;

/// The private key that opens the secrets of a service. Never printed.
#[derive(Clone)]
pub struct SealKeySecret([u8; SEAL_KEY_BYTES]);

/// A file that holds no seal key. Tells nothing of the file's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a seal key file holds exactly {} hex digits", SEAL_KEY_BYTES * 2)]
pub struct InvalidSealKeyFile;

impl SealKeySecret {
    /// Wraps a private key.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; SEAL_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads the content of a seal key file.
    ///
    /// # Errors
    /// Returns [`InvalidSealKeyFile`] unless it holds 64 hex digits and nothing else but white space around them.
    pub fn parse(content: &str) -> Result<Self, InvalidSealKeyFile> {
        let digits = content.trim().as_bytes();
        if digits.len() != SEAL_KEY_BYTES * 2 {
            return Err(InvalidSealKeyFile);
        }
        let mut bytes = [0; SEAL_KEY_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(bytes))
    }

    /// The key itself, for opening secrets.
    #[must_use]
    pub const fn expose(&self) -> &[u8; SEAL_KEY_BYTES] {
        &self.0
    }

    /// The content of a seal key file.
    #[must_use]
    pub fn file_content(&self) -> String {
        let mut content: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        content.push('\n');
        content
    }
}

impl fmt::Debug for SealKeySecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SealKeySecret(redacted)")
    }
}

fn hex_digit(digit: u8) -> Result<u8, InvalidSealKeyFile> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        b'A'..=b'F' => Ok(digit - b'A' + 10),
        _ => Err(InvalidSealKeyFile),
    }
}
