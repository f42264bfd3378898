//! The content of a back end's answer, which both sides can compute: the caller checks with it that it received
//! the whole answer to its own request.

use bytes::Bytes;

/// Stands for an absent request id or idempotency key in the first line of an answer.
const ABSENT: &str = "-";

/// What a back end received as the body of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upload {
    /// Bytes received.
    pub length: u64,
    /// BLAKE3 hash of these bytes, in hexadecimal.
    pub hash: String,
}

impl Upload {
    /// Describes the given bytes; `None` if there are none.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Option<Self> {
        let length = bytes.len() as u64;
        (length > 0).then(|| Self { length, hash: blake3::hash(bytes).to_hex().to_string() })
    }
}

/// Everything that an answer's bytes are derived from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerContent<'a> {
    /// Request id that the outbound half gave to the request.
    pub request_id: Option<&'a str>,
    /// Key that the caller gave to the request.
    pub idempotency_key: Option<&'a str>,
    /// Path and query of the request.
    pub path: &'a str,
    /// Body of the request.
    pub upload: Option<&'a Upload>,
    /// Length of the answer, in bytes; its first lines are written whole even if this is less.
    pub length: usize,
}

impl AnswerContent<'_> {
    /// The answer's bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let mut bytes = self.first_lines().into_bytes();
        let lines = bytes.len();
        if lines < self.length {
            bytes.resize(self.length, 0);
            let (seed, filler) = bytes.split_at_mut(lines);
            blake3::Hasher::new().update(seed).finalize_xof().fill(filler);
        }
        Bytes::from(bytes)
    }

    fn first_lines(&self) -> String {
        let request_id = self.request_id.unwrap_or(ABSENT);
        let key = self.idempotency_key.unwrap_or(ABSENT);
        let mut lines = format!("{request_id} {key} {}\n", self.path);
        if let Some(upload) = self.upload {
            lines.push_str(&format!("upload {} {}\n", upload.length, upload.hash));
        }
        lines
    }
}

/// The request id that an answer names, if it names one.
#[must_use]
pub fn named_request_id(answer: &[u8]) -> Option<&str> {
    let end = answer.iter().position(|byte| *byte == b' ')?;
    let request_id = std::str::from_utf8(&answer[..end]).ok()?;
    (request_id != ABSENT).then_some(request_id)
}
