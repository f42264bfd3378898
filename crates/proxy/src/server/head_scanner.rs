//! A second reading of every request head, beside the HTTP library's own.
//!
//! The library mends some ambiguous heads silently: it drops a `content-length` beside a `transfer-encoding`, and
//! a second equal `content-length`. Both are shapes of request smuggling and must be refused. The scanner sees
//! the same bytes before the library does, follows the framing by itself and leaves one [`Verdict`] for each
//! head. A request is served only if the verdict is good and names the same request line; where the two readings
//! disagree, nothing is forwarded and the connection closes.

use std::collections::VecDeque;

use thiserror::Error;

/// Longest line of a chunk's size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Most heads read ahead of the one that is served (pipelining).
const MAX_VERDICTS: usize = 64;

/// Why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum HeadFault {
    /// A field continues on the next line.
    #[error("obsolete line folding")]
    ObsoleteFold,
    /// A line is no header field.
    #[error("a line of the head is no header field")]
    NotAField,
    /// Both `content-length` and `transfer-encoding`.
    #[error("both content-length and transfer-encoding")]
    TwoFramings,
    /// More than one `content-length`.
    #[error("more than one content-length")]
    RepeatedLength,
    /// A `content-length` that is not a plain decimal number.
    #[error("content-length is no number")]
    BadLength,
    /// A `transfer-encoding` other than `chunked`.
    #[error("transfer-encoding is not chunked alone")]
    BadEncoding,
    /// The head is longer than allowed.
    #[error("the head is too long")]
    TooLong,
    /// The library and the scanner read different heads.
    #[error("the head can be read in two ways")]
    Ambiguous,
}

/// What the scanner says about one head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Verdict {
    request_line: Vec<u8>,
    fault: Option<HeadFault>,
}

impl Verdict {
    /// Checks that the head is unambiguous and starts with `method` and `target`.
    pub(crate) fn check(&self, method: &str, target: &str) -> Result<(), HeadFault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let mut parts = self.request_line.split(|byte| *byte == b' ');
        let same_method = parts.next() == Some(method.as_bytes());
        let same_target = parts.next().is_some_and(|raw| is_same_target(raw, target));
        if same_method && same_target { Ok(()) } else { Err(HeadFault::Ambiguous) }
    }
}

/// Whether the parsed `target` stands for `raw`. The parser drops a fragment and may add a path to an authority.
fn is_same_target(raw: &[u8], target: &str) -> bool {
    let raw = raw.split(|byte| *byte == b'#').next().unwrap_or(raw);
    let target = target.as_bytes();
    raw == target || target.strip_suffix(b"/") == Some(raw)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Between two requests, nothing of a head seen.
    Idle,
    /// Inside a head.
    Head,
    /// Inside a body of known length.
    Length(u64),
    /// In the line before a chunk.
    ChunkLine,
    /// Inside a chunk; its line end is counted.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// Framing is lost; nothing more is read.
    Lost,
}

/// Follows the bytes of one connection.
#[derive(Debug)]
pub(crate) struct HeadScanner {
    state: State,
    line: Vec<u8>,
    head_bytes: usize,
    max_head_bytes: usize,
    request_line: Vec<u8>,
    length: Option<u64>,
    is_chunked: bool,
    fault: Option<HeadFault>,
    verdicts: VecDeque<Verdict>,
}

impl HeadScanner {
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            state: State::Idle,
            line: Vec::new(),
            head_bytes: 0,
            max_head_bytes,
            request_line: Vec::new(),
            length: None,
            is_chunked: false,
            fault: None,
            verdicts: VecDeque::new(),
        }
    }

    /// The verdict on the next head that the library hands over; absent if the scanner saw no whole head there.
    pub(crate) fn next_verdict(&mut self) -> Option<Verdict> {
        self.verdicts.pop_front()
    }

    /// Whether a head has begun and not ended.
    pub(crate) fn is_inside_head(&self) -> bool {
        self.state == State::Head
    }

    /// Reads the next bytes of the connection.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != State::Lost {
            let used = match self.state {
                State::Idle | State::Head | State::ChunkLine | State::Trailers => self.scan_line(bytes),
                State::Length(left) => self.skip(bytes, left, State::Length, State::Idle),
                State::Chunk(left) => self.skip(bytes, left, State::Chunk, State::ChunkLine),
                State::Lost => bytes.len(),
            };
            bytes = &bytes[used..];
        }
    }

    fn skip(&mut self, bytes: &[u8], left: u64, inside: fn(u64) -> State, after: State) -> usize {
        let used = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        let left = left - used as u64;
        self.state = if left == 0 { after } else { inside(left) };
        used
    }

    /// Reads up to the end of the line, and the whole line once its end is there.
    fn scan_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        self.line.extend_from_slice(&bytes[..used]);
        if self.state == State::Idle {
            self.state = State::Head;
        }
        if self.state == State::Head {
            self.head_bytes += used;
            if self.head_bytes > self.max_head_bytes {
                self.lose(HeadFault::TooLong);
                return used;
            }
        } else if self.line.len() > self.max_line_bytes() {
            self.state = State::Lost;
            return used;
        }
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            let content = line.strip_suffix(b"\n").unwrap_or(&line);
            let content = content.strip_suffix(b"\r").unwrap_or(content);
            self.on_line(content);
            self.line = line;
            self.line.clear();
        }
        used
    }

    fn max_line_bytes(&self) -> usize {
        if self.state == State::ChunkLine { MAX_CHUNK_LINE_BYTES } else { self.max_head_bytes }
    }

    fn on_line(&mut self, line: &[u8]) {
        match self.state {
            State::Head if self.request_line.is_empty() => self.on_request_line(line),
            State::Head if line.is_empty() => self.on_head_end(),
            State::Head => self.on_field(line),
            State::ChunkLine => self.on_chunk_line(line),
            State::Trailers if line.is_empty() => self.state = State::Idle,
            _ => {}
        }
    }

    /// Empty lines before a request line are skipped, as the library does.
    fn on_request_line(&mut self, line: &[u8]) {
        if line.is_empty() {
            self.head_bytes = 0;
            self.state = State::Idle;
            return;
        }
        self.request_line.extend_from_slice(line);
    }

    fn on_field(&mut self, line: &[u8]) {
        if line.starts_with(b" ") || line.starts_with(b"\t") {
            self.note(HeadFault::ObsoleteFold);
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            self.note(HeadFault::NotAField);
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || name.iter().any(u8::is_ascii_whitespace) {
            self.note(HeadFault::NotAField);
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.on_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.on_encoding(value);
        }
    }

    fn on_length(&mut self, value: &[u8]) {
        let is_decimal = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let parsed = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        match parsed.filter(|_| is_decimal) {
            None => self.note(HeadFault::BadLength),
            Some(_) if self.length.is_some() => self.note(HeadFault::RepeatedLength),
            Some(_) if self.is_chunked => self.note(HeadFault::TwoFramings),
            Some(length) => self.length = Some(length),
        }
    }

    fn on_encoding(&mut self, value: &[u8]) {
        if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
            self.note(HeadFault::BadEncoding);
        } else if self.length.is_some() {
            self.note(HeadFault::TwoFramings);
        }
        self.is_chunked = true;
    }

    fn on_head_end(&mut self) {
        let request_line = std::mem::take(&mut self.request_line);
        let fault = self.fault.take();
        self.verdicts.push_back(Verdict { request_line, fault });
        let length = self.length.take().unwrap_or(0);
        let is_chunked = std::mem::take(&mut self.is_chunked);
        self.head_bytes = 0;
        self.state = if fault.is_some() || self.verdicts.len() > MAX_VERDICTS {
            State::Lost
        } else if is_chunked {
            State::ChunkLine
        } else if length > 0 {
            State::Length(length)
        } else {
            State::Idle
        };
    }

    fn on_chunk_line(&mut self, line: &[u8]) {
        let digits = line.split(|byte| matches!(byte, b';' | b' ' | b'\t')).next().unwrap_or(line);
        let size = std::str::from_utf8(digits)
            .ok()
            .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit()))
            .and_then(|digits| u64::from_str_radix(digits, 16).ok());
        self.state = match size {
            Some(0) => State::Trailers,
            Some(size) => State::Chunk(size.saturating_add(CHUNK_END_BYTES)),
            None => State::Lost,
        };
    }

    fn note(&mut self, fault: HeadFault) {
        self.fault.get_or_insert(fault);
    }

    fn lose(&mut self, fault: HeadFault) {
        let request_line = std::mem::take(&mut self.request_line);
        self.verdicts.push_back(Verdict { request_line, fault: Some(fault) });
        self.state = State::Lost;
    }
}

/// Bytes of the line end after a chunk.
const CHUNK_END_BYTES: u64 = 2;
