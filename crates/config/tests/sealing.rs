//! Tests of sealing: only the right key and name open a value, and no debug output reveals it.

mod support;

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use support::name;
use umberpond_config::{OpenError, SealKey, SealKeyPair, SealedValue, SecretValue, seal};
use umberpond_model::SecretName;

const PLAINTEXT: &str = "Bearer correct-horse";

fn key_pair(seed: u64) -> SealKeyPair {
    SealKeyPair::generate(&mut ChaCha20Rng::seed_from_u64(seed))
}

fn sealed_token(key: &SealKey) -> SealedValue {
    let value = SecretValue::new(PLAINTEXT.into());
    seal(&name("token"), &value, key, &mut ChaCha20Rng::seed_from_u64(9)).expect("seals")
}

quickcheck! {
    fn a_sealed_value_opens_to_itself(value: Vec<u8>, seed: u64) -> bool {
        let pair = key_pair(seed);
        let token: SecretName = name("token");
        let plaintext = SecretValue::new(value.clone());
        let sealed = seal(&token, &plaintext, &pair.public(), &mut ChaCha20Rng::seed_from_u64(!seed));
        pair.open(&token, &sealed.expect("seals")).expect("opens").expose() == value
    }

    fn a_modified_ciphertext_never_opens(position: usize, change: u8) -> bool {
        let pair = key_pair(1);
        let mut sealed = sealed_token(&pair.public());
        let position = position % sealed.0.len();
        sealed.0[position] ^= change.max(1);
        matches!(pair.open(&name("token"), &sealed), Err(OpenError::NotForThisKey))
    }

    fn arbitrary_bytes_do_not_open(bytes: Vec<u8>) -> bool {
        matches!(key_pair(1).open(&name("token"), &SealedValue(bytes)), Err(OpenError::NotForThisKey))
    }
}

#[test]
fn another_key_or_name_never_opens_a_value() {
    let sealed = sealed_token(&key_pair(1).public());
    assert!(matches!(key_pair(2).open(&name("token"), &sealed), Err(OpenError::NotForThisKey)));
    assert!(matches!(key_pair(1).open(&name("tok"), &sealed), Err(OpenError::OtherSecret)));
    assert!(matches!(key_pair(1).open(&name("token-2"), &sealed), Err(OpenError::OtherSecret)));
}

#[test]
fn keys_round_trip_through_their_text_form() {
    let pair = key_pair(3);
    let text = pair.public().to_string();
    assert_eq!(text.parse(), Ok(pair.public()));
    assert_eq!(text.to_uppercase().parse(), Ok(pair.public()));
    let again = SealKeyPair::from_private_text(&pair.private_text()).expect("reads back");
    assert_eq!(again.public(), pair.public());
    for bad in ["", "12", &text[1..], &format!("{text}0"), &text.replace(&text[..1], "g"), &"é".repeat(32)] {
        assert!(bad.parse::<SealKey>().is_err(), "{bad}");
    }
}

#[test]
fn debug_output_never_contains_a_value_or_private_key() {
    let pair = key_pair(4);
    let private = pair.private_text();
    let value = SecretValue::new(PLAINTEXT.into());
    let texts = format!("{value:?} {pair:?} {private:?} {:?}", sealed_token(&pair.public()));
    assert!(!texts.contains("horse"));
    assert!(!texts.contains(std::str::from_utf8(private.expose()).expect("hexadecimal")));
}
