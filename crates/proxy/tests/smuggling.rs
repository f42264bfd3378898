//! Whatever bytes are sent: for each request that is answered as run, exactly one well-formed request was
//! forwarded, the one that was sent, and otherwise none.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::mesh::backend_at;
use support::{MemoryNetwork, MeshBuilder, Peer, Step};
use tokio::io::AsyncWriteExt;

/// Fragments that smuggling attempts are made of.
const FRAGMENTS: [&str; 30] = [
    "GET /read/1 HTTP/1.1\r\nhost: archive\r\n",
    "POST /buy/1 HTTP/1.1\r\nhost: archive\r\n",
    "GET /read/1 HTTP/1.1\r\nhost: archive\r\n\r\n",
    "POST /buy/1 HTTP/1.1\r\nhost: archive\r\ncontent-length: 3\r\n\r\nabc",
    "POST /buy/1 HTTP/1.1\r\nhost: archive\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "content-length: 3\r\n",
    "content-length: 0\r\n",
    "Content-Length:44\r\n",
    "content-length: 3, 3\r\n",
    "content-length : 3\r\n",
    "transfer-encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "transfer-encoding:\tchunked\r\n",
    "transfer-encoding: chunked\r\n\r\n",
    "connection: close\r\n",
    "connection: content-length\r\n",
    "upgrade: h2c\r\n",
    "expect: 100-continue\r\n",
    "x: 1\r\n 2\r\n",
    "\r\n",
    "\n",
    "\r",
    "\0",
    "3\r\nabc\r\n",
    "3;a=b\r\nabc\r\n",
    "0\r\n\r\n",
    "0\r\nhost: other\r\n\r\n",
    "abc",
    "ffffffffffffffff\r\n",
    "GET http://archive/read/2 HTTP/1.1\r\nhost: archive\r\n\r\n",
];

#[derive(Debug, Clone)]
struct Bytes(Vec<u8>);

impl Arbitrary for Bytes {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..1 + usize::arbitrary(gen_) % 9 {
            let fragment = gen_.choose(&FRAGMENTS).copied().unwrap_or_default();
            bytes.extend_from_slice(fragment.as_bytes());
        }
        // Some runs also change one byte.
        if u8::arbitrary(gen_) % 4 == 0 && !bytes.is_empty() {
            let at = usize::arbitrary(gen_) % bytes.len();
            bytes[at] = u8::arbitrary(gen_);
        }
        Self(bytes)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let bytes = self.0.clone();
        Box::new((0..bytes.len()).map(move |at| {
            let mut shorter = bytes.clone();
            shorter.remove(at);
            Self(shorter)
        }))
    }
}

/// One request as it must be forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    method: String,
    path: String,
    body: Vec<u8>,
}

/// A strict reading: the requests in `bytes`, up to the first that is ambiguous, malformed or incomplete.
fn strict_reading(mut bytes: &[u8]) -> Vec<Sent> {
    let mut requests = Vec::new();
    while let Some((request, rest)) = read_one(bytes) {
        requests.push(request);
        bytes = rest;
    }
    requests
}

fn read_line(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    Some((std::str::from_utf8(line).ok()?, &bytes[end + 1..]))
}

fn read_one(mut bytes: &[u8]) -> Option<(Sent, &[u8])> {
    let (mut line, mut rest) = read_line(bytes)?;
    while line.is_empty() {
        bytes = rest;
        (line, rest) = read_line(bytes)?;
    }
    let words: Vec<_> = line.split(' ').collect();
    let [method, target, "HTTP/1.1"] = words[..] else { return None };
    let path = target.strip_prefix("http://archive").unwrap_or(target);
    let (mut lengths, mut encodings) = (Vec::new(), Vec::new());
    loop {
        let (line, after) = read_line(rest)?;
        rest = after;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let is_token = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_token || value.contains('\0') || value.contains('\r') {
            return None;
        }
        match name.to_ascii_lowercase().as_str() {
            "content-length" => lengths.push(value.trim().parse::<usize>().ok()?),
            "transfer-encoding" => encodings.push(value.trim().to_ascii_lowercase()),
            _ => {}
        }
    }
    let sent = |body: &[u8]| Sent { method: method.into(), path: path.into(), body: body.into() };
    match (&lengths[..], &encodings[..]) {
        ([], []) => Some((sent(b""), rest)),
        ([length], []) => Some((sent(rest.get(..*length)?), &rest[*length..])),
        ([], [encoding]) if encoding == "chunked" => {
            let (body, rest) = read_chunks(rest)?;
            Some((sent(&body), rest))
        }
        _ => None,
    }
}

fn read_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let mut body = Vec::new();
    loop {
        let (line, after) = read_line(rest)?;
        let digits = line.split(';').next()?.trim_end();
        let size = usize::from_str_radix(digits, 16).ok()?;
        rest = after;
        if size == 0 {
            loop {
                let (line, after) = read_line(rest)?;
                rest = after;
                if line.is_empty() {
                    return Some((body, rest));
                }
            }
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size..)?.strip_prefix(b"\r\n")?;
    }
}

/// Whether `some` are among `all`, each once and in order.
fn is_subsequence(some: &[Sent], all: &[Sent]) -> bool {
    let mut all = all.iter();
    some.iter().all(|wanted| all.any(|candidate| candidate == wanted))
}

/// Statuses of the answers in `raw`, one after another.
fn statuses(mut raw: &[u8]) -> Vec<u16> {
    let mut statuses = Vec::new();
    while let Some(answer) = support::Answer::parse(raw) {
        let head = raw.windows(4).position(|window| window == b"\r\n\r\n").unwrap() + 4;
        statuses.push(answer.status);
        raw = &raw[head + answer.body.len()..];
    }
    statuses
}

async fn holds(bytes: &[u8]) -> Result<usize, String> {
    let network = MemoryNetwork::new();
    let backend = Peer::start(&network, backend_at(0), vec![Step::ok("done")]);
    let mesh = MeshBuilder::default().build(&network).await;
    let mut stream = network.dial(mesh.entry()).unwrap();
    let _ = stream.write_all(bytes).await;
    support::mesh::settle().await;
    let _ = stream.shutdown().await;
    let raw = support::caller::read_all(&mut stream).await;

    let ran: Vec<_> = backend.ran().iter().map(as_sent).collect();
    let answered = statuses(&raw).into_iter().filter(|status| *status == 200).count();
    if ran.len() < answered {
        return Err(format!("{answered} answers, {} runs", ran.len()));
    }
    let sent = strict_reading(bytes);
    if !is_subsequence(&ran, &sent) {
        return Err(format!("ran {ran:?}, but sent was {sent:?}"));
    }
    Ok(ran.len())
}

fn as_sent(received: &support::peer::Received) -> Sent {
    let mut words = received.head.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    Sent { method, path, body: received.body.clone() }
}

fn run(bytes: &[u8]) -> Result<usize, String> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_all().start_paused(true).build().unwrap().block_on(holds(bytes))
}

/// Runs of the property with each seed.
const RUNS: u64 = 500;
/// Seed 19 found that the body of a GET in chunks was dropped on the way.
const SEEDS: [u64; 4] = [1, 2, 3, 19];
const GENERATOR_SIZE: usize = 100;

#[test]
fn whatever_is_sent_is_forwarded_once_or_not_at_all() {
    fn property(bytes: Bytes) -> TestResult {
        match run(&bytes.0) {
            Ok(_) => TestResult::passed(),
            Err(fault) => TestResult::error(format!("{fault} for {:?}", String::from_utf8_lossy(&bytes.0))),
        }
    }
    for seed in SEEDS {
        let generator = Gen::from_size_and_seed(GENERATOR_SIZE, seed);
        QuickCheck::new().rng(generator).tests(RUNS).quickcheck(property as fn(Bytes) -> TestResult);
    }
}

#[test]
fn whole_requests_in_one_write_are_each_forwarded() {
    let two = "POST /buy/1 HTTP/1.1\r\nhost: archive\r\ncontent-length: 3\r\n\r\nabc\
        POST /buy/2 HTTP/1.1\r\nhost: archive\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
        GET /read/3 HTTP/1.1\r\nhost: archive\r\n\r\n";
    assert_eq!(run(two.as_bytes()), Ok(3));
}

#[test]
fn a_body_in_chunks_is_forwarded_with_any_method() {
    for method in ["GET", "DELETE", "POST"] {
        let request = format!(
            "{method} /buy/1 HTTP/1.1\r\nhost: archive\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        );
        assert_eq!(run(request.as_bytes()), Ok(1), "{method}");
    }
}
