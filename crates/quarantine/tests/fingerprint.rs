//! Fingerprints are equal for the same request and differ for any other.

use quickcheck::quickcheck;
use umberpond_quarantine::{FINGERPRINTED_BYTES, RequestContent, RequestFingerprint};

const CONTENT: RequestContent<'static> = RequestContent {
    method: b"GET",
    host: "a.example",
    target: b"/one/a?b=c",
    body_length: Some(0),
    body: b"",
};

#[test]
fn requests_that_differ_in_any_part_get_different_fingerprints() {
    let others = [
        RequestContent { method: b"POST", ..CONTENT },
        RequestContent { host: "b.example", ..CONTENT },
        RequestContent { target: b"/one/a?b=d", ..CONTENT },
        RequestContent { body_length: None, ..CONTENT },
        RequestContent { body_length: Some(1), body: b"x", ..CONTENT },
        // The same bytes with another boundary between the parts.
        RequestContent { method: b"GE", host: "Ta.example", ..CONTENT },
    ];
    let fingerprint = RequestFingerprint::of(&CONTENT);
    for other in others {
        assert_ne!(RequestFingerprint::of(&other), fingerprint, "{other:?}");
    }
    assert_eq!(RequestFingerprint::of(&RequestContent { host: "A.Example", ..CONTENT }), fingerprint);
}

#[test]
fn same_content_of_different_callers_gets_different_fingerprints() {
    let content = RequestFingerprint::of(&CONTENT);
    let by_web = content.for_caller("web");
    assert_eq!(by_web, content.for_caller("web"));
    assert!(by_web != content && by_web != content.for_caller("desk"));
}

#[test]
fn long_body_is_identified_by_its_beginning_and_length() {
    let long = vec![7; FINGERPRINTED_BYTES + 9];
    let whole = RequestContent { body_length: Some(long.len() as u64), body: &long, ..CONTENT };
    let beginning = RequestContent { body: &long[..FINGERPRINTED_BYTES], ..whole };
    assert_eq!(RequestFingerprint::of(&whole), RequestFingerprint::of(&beginning));
    let longer = RequestContent { body_length: Some(long.len() as u64 + 1), ..whole };
    assert_ne!(RequestFingerprint::of(&whole), RequestFingerprint::of(&longer));
}

quickcheck! {
    fn fingerprint_round_trips_through_text(target: Vec<u8>) -> bool {
        let fingerprint = RequestFingerprint::of(&RequestContent { target: &target, ..CONTENT });
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn invalid_text_is_rejected(text: String) -> bool {
        text.parse::<RequestFingerprint>().is_err() || text.len() == 32
    }
}
