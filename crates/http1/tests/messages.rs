//! Tests of reading and writing whole messages.

use std::time::Duration;

use bytes::BytesMut;
use quickcheck::quickcheck;
use tokio::io::AsyncWriteExt;
use umberpond_http1::{
    BodyDecoder, BodyError, Fields, Framing, FramingError, HeadError, HttpVersion, MessageReader, ReadLimits,
    RequestHead, request_framing, response_framing, write_chunk, write_last_chunk, write_request_head,
    write_response_head,
};

const LIMITS: ReadLimits = ReadLimits { head_bytes: 1024, head_time: Duration::from_secs(1) };

async fn read_request(bytes: &[u8]) -> Result<Option<RequestHead>, HeadError> {
    MessageReader::new(bytes).request_head(LIMITS).await
}

async fn framing_of(bytes: &[u8]) -> Result<Framing, FramingError> {
    request_framing(&read_request(bytes).await.unwrap().unwrap())
}

#[tokio::test]
async fn request_fields_keep_order_case_and_value() {
    let bytes = b"POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nX-Odd:  two words \r\n\r\n";
    let head = read_request(bytes).await.unwrap().unwrap();
    assert_eq!(&head.method[..], b"POST");
    assert_eq!(&head.target[..], b"/a/b?c=d");
    assert_eq!(head.version, HttpVersion::Http11);
    assert_eq!(head.fields.text("host"), Some("x.example"));
    assert_eq!(head.fields.text("x-odd"), Some("two words"));
}

#[tokio::test]
async fn connection_end_is_an_error_only_inside_a_request() {
    assert!(read_request(b"").await.unwrap().is_none());
    assert!(read_request(b"\r\n").await.unwrap().is_none());
    assert!(matches!(read_request(b"GET / HT").await, Err(HeadError::Truncated)));
}

#[tokio::test]
async fn oversized_and_malformed_heads_are_distinguished() {
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(2000));
    assert!(matches!(read_request(long.as_bytes()).await, Err(HeadError::TooLarge)));
    let endless = "GET / HTTP/1.1\r\nX: ".to_owned() + &"y".repeat(2000);
    assert!(matches!(read_request(endless.as_bytes()).await, Err(HeadError::TooLarge)));
    assert!(matches!(read_request(b"\x16\x03\x01\x00\xa5\r\n\r\n").await, Err(HeadError::Malformed)));
    assert!(matches!(read_request(b"GET / HTTP/1.1\r\nX Y: z\r\n\r\n").await, Err(HeadError::Malformed)));
}

#[tokio::test(start_paused = true)]
async fn slow_head_times_out_and_idle_connection_does_not() {
    let (mut sender, receiver) = tokio::io::duplex(64);
    let mut reader = MessageReader::new(receiver);
    let idle = tokio::time::timeout(Duration::from_secs(60), reader.request_head(LIMITS)).await;
    assert!(idle.is_err(), "an idle connection has no head timeout");
    sender.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    assert!(matches!(reader.request_head(LIMITS).await, Err(HeadError::TooSlow)));
}

#[tokio::test]
async fn ambiguous_body_lengths_are_rejected() {
    let framing =
        async |fields: &str| framing_of(format!("POST / HTTP/1.1\r\n{fields}\r\n").as_bytes()).await;
    assert_eq!(framing("").await, Ok(Framing::Length(0)));
    assert_eq!(framing("Content-Length: 5\r\n").await, Ok(Framing::Length(5)));
    assert_eq!(framing("Content-Length: 5\r\nContent-Length: 5\r\n").await, Ok(Framing::Length(5)));
    assert_eq!(framing("Transfer-Encoding: chunked\r\n").await, Ok(Framing::Chunked));
    for length in ["+5", "5, 5", "-1", "0x5", "", "99999999999999999999999"] {
        let result = framing(&format!("Content-Length: {length}\r\n")).await;
        assert_eq!(result, Err(FramingError::InvalidLength), "{length}");
    }
    let two = framing("Content-Length: 5\r\nContent-Length: 6\r\n").await;
    assert_eq!(two, Err(FramingError::InvalidLength));
    let both = framing("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n").await;
    assert_eq!(both, Err(FramingError::LengthAndCoding));
    for coding in ["gzip, chunked", "identity", "xchunked"] {
        let result = framing(&format!("Transfer-Encoding: {coding}\r\n")).await;
        assert_eq!(result, Err(FramingError::UnknownCoding), "{coding}");
    }
}

#[tokio::test]
async fn response_without_length_extends_to_connection_end_unless_bodyless() {
    let read = async |bytes: &'static [u8]| MessageReader::new(bytes).response_head(1024).await.unwrap();
    let plain = read(b"HTTP/1.1 200 OK\r\n\r\n").await;
    assert_eq!(response_framing(&plain, b"GET"), Ok(Framing::UntilClose));
    assert_eq!(response_framing(&plain, b"HEAD"), Ok(Framing::Length(0)));
    let empty = read(b"HTTP/1.1 204 No Content\r\n\r\n").await;
    assert_eq!(response_framing(&empty, b"GET"), Ok(Framing::Length(0)));
}

async fn read_body(framing: Framing, bytes: &[u8]) -> Result<Option<Vec<u8>>, BodyError> {
    let mut reader = MessageReader::new(bytes);
    let body = reader.whole_body(&mut BodyDecoder::new(framing), 1024).await?;
    Ok(body.map(|body| body.to_vec()))
}

#[tokio::test]
async fn truncated_malformed_and_oversized_bodies_are_detected() {
    assert_eq!(read_body(Framing::Length(3), b"abcdef").await.unwrap(), Some(b"abc".to_vec()));
    assert!(matches!(read_body(Framing::Length(9), b"abc").await, Err(BodyError::Truncated)));
    assert_eq!(read_body(Framing::UntilClose, b"abc").await.unwrap(), Some(b"abc".to_vec()));
    let chunked = b"3\r\nabc\r\n2;extension=x\r\nde\r\n0\r\nTrailer: x\r\n\r\nrest";
    assert_eq!(read_body(Framing::Chunked, chunked).await.unwrap(), Some(b"abcde".to_vec()));
    assert!(matches!(read_body(Framing::Chunked, b"3\r\nabc\r\n").await, Err(BodyError::Truncated)));
    assert!(matches!(read_body(Framing::Chunked, b"zz\r\nabc\r\n").await, Err(BodyError::Malformed)));
    for size in ["zz", "", ";x", " 3", "-3", "+3", "0x3", "3 3", "11111111111111111"] {
        let chunked = format!("3\r\nabc\r\n{size}\r\nabc\r\n0\r\n\r\n");
        let read = read_body(Framing::Chunked, chunked.as_bytes()).await;
        assert!(matches!(read, Err(BodyError::Malformed)), "size {size:?}: {read:?}");
    }
    assert!(matches!(
        read_body(Framing::Chunked, b"3\r\nabcd\r\n0\r\n\r\n").await,
        Err(BodyError::Malformed)
    ));
    let long = vec![b'x'; 2000];
    assert_eq!(read_body(Framing::UntilClose, &long).await.unwrap(), None);
}

#[tokio::test]
async fn bytes_after_a_body_are_kept_for_the_next_message() {
    let bytes = b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /next HTTP/1.1\r\n\r\n";
    let mut reader = MessageReader::new(&bytes[..]);
    let first = reader.request_head(LIMITS).await.unwrap().unwrap();
    let mut decoder = BodyDecoder::new(request_framing(&first).unwrap());
    assert_eq!(reader.whole_body(&mut decoder, 10).await.unwrap().unwrap(), "ab");
    assert!(decoder.is_done());
    let second = reader.request_head(LIMITS).await.unwrap().unwrap();
    assert_eq!(&second.target[..], b"/next");
    assert!(reader.is_empty());
}

#[test]
fn hop_by_hop_fields_and_those_listed_by_connection_are_removed() {
    let mut fields = Fields::default();
    for (name, value) in [
        ("Host", "x"),
        ("Connection", "keep-alive, X-Private"),
        ("x-private", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "5"),
        ("TE", "trailers"),
        ("Upgrade", "h2c"),
        ("Kept", "yes"),
    ] {
        fields.push(name, value);
    }
    fields.remove_connection_fields();
    let names: Vec<&[u8]> = fields.iter().map(|field| &field.name[..]).collect();
    assert_eq!(names, [&b"Host"[..], b"Kept"]);
}

/// Sends `bytes` in pieces of the given sizes and returns the request head and body that a reader decodes.
fn read_segmented(bytes: &[u8], sizes: &[u8]) -> (RequestHead, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async {
        let (mut sender, receiver) = tokio::io::duplex(16);
        let bytes = bytes.to_vec();
        let sizes: Vec<usize> = sizes.iter().map(|size| usize::from(*size) % 7 + 1).chain([1]).collect();
        let sending = tokio::spawn(async move {
            let mut sizes = sizes.iter().cycle();
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                let size = (*sizes.next().unwrap()).min(rest.len());
                sender.write_all(&rest[..size]).await.unwrap();
                rest = &rest[size..];
            }
        });
        let mut reader = MessageReader::new(receiver);
        let head = reader.request_head(LIMITS).await.unwrap().unwrap();
        let mut decoder = BodyDecoder::new(request_framing(&head).unwrap());
        let body = reader.whole_body(&mut decoder, 1 << 20).await.unwrap().unwrap().to_vec();
        sending.await.unwrap();
        (head, body)
    })
}

quickcheck! {
    fn message_decodes_the_same_for_any_segmentation(parts: Vec<Vec<u8>>, sizes: Vec<u8>) -> bool {
        let mut fields = Fields::default();
        fields.push("Host", "x.example");
        let mut bytes = BytesMut::new();
        write_request_head(&mut bytes, b"POST", b"/path", &fields, Framing::Chunked);
        for part in &parts {
            write_chunk(&mut bytes, part);
        }
        write_last_chunk(&mut bytes);
        let (head, body) = read_segmented(&bytes, &sizes);
        head.fields.text("host") == Some("x.example") && body == parts.concat()
    }
}

#[test]
fn written_heads_contain_their_framing() {
    let mut fields = Fields::default();
    fields.push("A", "b");
    let written = |framing| {
        let mut buffer = BytesMut::new();
        write_response_head(&mut buffer, 200, &fields, framing);
        String::from_utf8(buffer.to_vec()).unwrap()
    };
    assert_eq!(written(Framing::Length(3)), "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(written(Framing::Chunked), "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut get = BytesMut::new();
    write_request_head(&mut get, b"GET", b"/", &fields, Framing::Length(0));
    assert_eq!(&get[..], b"GET / HTTP/1.1\r\nA: b\r\n\r\n");
}

/// A caller that goes on sending its body after the reply would otherwise fill the memory of the node.
#[tokio::test]
async fn discarded_input_is_not_buffered() {
    const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
    let (mut sender, receiver) = tokio::io::duplex(64 * 1024);
    let mut reader = MessageReader::new(receiver);
    let discarding = tokio::time::timeout(Duration::from_millis(500), reader.discard_until_gone());
    let sending = sender.write_all(&[7; UPLOAD_BYTES]);
    let (still_open, sent) = tokio::join!(discarding, sending);
    assert!(still_open.is_err() && sent.is_ok());
    assert!(reader.is_empty());
}

/// Only the size of a head is limited: callers that keep within it got 431 for their 101st field.
#[tokio::test]
async fn number_of_fields_is_limited_by_the_size_of_the_head_only() {
    let request = |count: usize| {
        let fields: String = (0..count).map(|number| format!("a{number}: 1\r\n")).collect();
        format!("GET / HTTP/1.1\r\n{fields}\r\n")
    };
    let limits = ReadLimits { head_bytes: 16 * 1024, head_time: Duration::from_secs(1) };
    for count in [100, 101, 1_000] {
        let request = request(count);
        let head = MessageReader::new(request.as_bytes()).request_head(limits).await.unwrap().unwrap();
        assert_eq!(head.fields.iter().count(), count);
    }
    let request = request(3_000);
    let refused = MessageReader::new(request.as_bytes()).request_head(limits).await;
    assert!(matches!(refused, Err(HeadError::TooLarge)), "{refused:?}");
}

/// Whether a byte may be part of a field name (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// The parser compares several bytes at a time, so every position of a long name counts.
#[tokio::test]
async fn field_names_contain_token_bytes_only() {
    const NAME_LENGTHS: [usize; 7] = [1, 7, 8, 15, 17, 33, 70];
    for length in NAME_LENGTHS {
        for position in 0..length {
            for byte in (0..=u8::MAX).filter(|byte| !is_token_byte(*byte) && !b":\r\n".contains(byte)) {
                let mut name = vec![b'n'; length];
                name[position] = byte;
                let head = [&b"HTTP/1.1 200 OK\r\nA: 1\r\n"[..], &name, b": 2\r\nB: 3\r\n\r\n"].concat();
                let read = MessageReader::new(&head[..]).response_head(1024).await;
                assert!(matches!(read, Err(HeadError::Malformed)), "{name:?}: {read:?}");
            }
        }
    }
}
