//! Fingerprints: equal for the same request, different for any other one.

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
fn every_part_of_a_request_counts() {
    let others = [
        RequestContent { method: b"POST", ..CONTENT },
        RequestContent { host: "b.example", ..CONTENT },
        RequestContent { target: b"/one/a?b=d", ..CONTENT },
        RequestContent { body_length: None, ..CONTENT },
        RequestContent { body_length: Some(1), body: b"x", ..CONTENT },
        // The same bytes, divided in another way.
        RequestContent { method: b"GE", host: "Ta.example", ..CONTENT },
    ];
    let fingerprint = RequestFingerprint::of(&CONTENT);
    for other in others {
        assert_ne!(RequestFingerprint::of(&other), fingerprint, "{other:?}");
    }
    assert_eq!(RequestFingerprint::of(&RequestContent { host: "A.Example", ..CONTENT }), fingerprint);
}

#[test]
fn the_caller_makes_another_fingerprint_of_the_same_content() {
    let content = RequestFingerprint::of(&CONTENT);
    let by_web = content.asked_by("web");
    assert_eq!(by_web, content.asked_by("web"));
    assert!(by_web != content && by_web != content.asked_by("desk"));
}

#[test]
fn of_a_long_body_its_beginning_and_its_length_count() {
    let long = vec![7; FINGERPRINTED_BYTES + 9];
    let whole = RequestContent { body_length: Some(long.len() as u64), body: &long, ..CONTENT };
    let beginning = RequestContent { body: &long[..FINGERPRINTED_BYTES], ..whole };
    assert_eq!(RequestFingerprint::of(&whole), RequestFingerprint::of(&beginning));
    let longer = RequestContent { body_length: Some(long.len() as u64 + 1), ..whole };
    assert_ne!(RequestFingerprint::of(&whole), RequestFingerprint::of(&longer));
}

quickcheck! {
    fn text_is_read_back(target: Vec<u8>) -> bool {
        let fingerprint = RequestFingerprint::of(&RequestContent { target: &target, ..CONTENT });
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn any_text_is_a_fingerprint_or_refused(text: String) -> bool {
        text.parse::<RequestFingerprint>().is_err() || text.len() == 32
    }
}
