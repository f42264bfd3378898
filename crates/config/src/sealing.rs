//! Sealing: a value is encrypted on the operator's machine to the key of each service that may read it.
//!
//! Uses the sealed boxes of libsodium (X25519, XSalsa20-Poly1305). The name of the secret is sealed in with the value,
//! so that whoever carries the cipher texts can't exchange two secrets of one reader.

use std::fmt;

use crypto_box::aead::rand_core as crypto_box_rand;
use crypto_box::{PublicKey, SecretKey};
use rand::CryptoRng;
use thiserror::Error;
use umberpond_model::SecretName;
use zeroize::Zeroizing;

use crate::seal_key::{InvalidSealKey, decode_key, encode_key};
use crate::{SealKey, SealedValue, SecretValue};

/// Bytes of the key's hash in front of each sealed value.
const FINGERPRINT_BYTES: usize = 8;

/// Why a value couldn't be sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SealError {
    /// The cipher refused the value; it is far larger than any secret.
    #[error("the value can't be sealed")]
    Refused,
}

/// Why a sealed value couldn't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The value was sealed to another key, or was changed on its way.
    #[error("the value is not sealed to this key, or was changed on its way")]
    NotForThisKey,
    /// The value was sealed as another secret.
    #[error("the value was sealed under the name of another secret")]
    OtherSecret,
}

/// The key pair of one service's nodes. Its memory is overwritten when it is dropped.
pub struct SealKeyPair(SecretKey);

impl SealKeyPair {
    /// Makes a new key pair.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(rng: &mut R) -> Self {
        Self(SecretKey::generate(&mut RngAdapter(rng)))
    }

    /// Reads the private key from its text form, 64 hexadecimal digits; white space around them is ignored.
    ///
    /// # Errors
    /// Returns [`InvalidSealKey`] if the text is anything else.
    pub fn from_private_text(text: &SecretValue) -> Result<Self, InvalidSealKey> {
        let key = Zeroizing::new(decode_key(text.expose().trim_ascii())?);
        Ok(Self(SecretKey::from(*key)))
    }

    /// The text form of the private key, for the settings of the service's nodes.
    #[must_use]
    pub fn private_text(&self) -> SecretValue {
        let key = Zeroizing::new(self.0.to_bytes());
        SecretValue::new(encode_key(&key).into_bytes())
    }

    /// The public half, which goes into the service's `seal_key`.
    #[must_use]
    pub fn public(&self) -> SealKey {
        SealKey(self.0.public_key().to_bytes())
    }

    /// Opens a value that was sealed to this key as the secret `name`.
    ///
    /// # Errors
    /// Returns [`OpenError`] if the value was sealed to another key or as another secret, or was changed.
    pub fn open(&self, name: &SecretName, sealed: &SealedValue) -> Result<SecretValue, OpenError> {
        if !sealed.is_sealed_to(&self.public()) {
            return Err(OpenError::NotForThisKey);
        }
        let boxed = sealed.0.get(FINGERPRINT_BYTES..).ok_or(OpenError::NotForThisKey)?;
        let clear = self.0.unseal(boxed).map_err(|_| OpenError::NotForThisKey)?;
        let clear = Zeroizing::new(clear);
        let value = clear.strip_prefix(name_prefix(name).as_slice()).ok_or(OpenError::OtherSecret)?;
        Ok(SecretValue::new(value.to_vec()))
    }
}

impl fmt::Debug for SealKeyPair {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealKeyPair({})", self.public())
    }
}

/// Seals `value` as the secret `name` to one reader's key. Each call gives another cipher text.
///
/// # Errors
/// Returns [`SealError`] if the cipher refuses the value.
pub fn seal<R: CryptoRng + ?Sized>(
    name: &SecretName,
    value: &SecretValue,
    key: &SealKey,
    rng: &mut R,
) -> Result<SealedValue, SealError> {
    let prefix = name_prefix(name);
    let mut clear = Zeroizing::new(Vec::with_capacity(prefix.len() + value.expose().len()));
    clear.extend_from_slice(&prefix);
    clear.extend_from_slice(value.expose());
    let public_key = PublicKey::from(key.0);
    let sealed = public_key.seal(&mut RngAdapter(rng), &clear).map_err(|_| SealError::Refused)?;
    Ok(SealedValue([fingerprint(key).as_slice(), &sealed].concat()))
}

impl SealedValue {
    /// Whether the value says that it is sealed to `key`. Tells a value that was left behind by a change of the key.
    #[must_use]
    pub fn is_sealed_to(&self, key: &SealKey) -> bool {
        self.0.starts_with(&fingerprint(key))
    }
}

fn fingerprint(key: &SealKey) -> [u8; FINGERPRINT_BYTES] {
    let hash = blake3::hash(&key.0);
    std::array::from_fn(|index| hash.as_bytes()[index])
}

/// The name and a zero byte, which no name holds, so that one name can't be the start of another's.
fn name_prefix(name: &SecretName) -> Vec<u8> {
    let mut prefix = name.as_str().as_bytes().to_vec();
    prefix.push(0);
    prefix
}

/// `crypto_box` 0.9 asks for the traits of rand_core 0.6; this crate hands in those of rand_core 0.10.
struct RngAdapter<'a, R: ?Sized>(&'a mut R);

impl<R: CryptoRng + ?Sized> crypto_box_rand::RngCore for RngAdapter<'_, R> {
    fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.0.fill_bytes(bytes);
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), crypto_box_rand::Error> {
        self.fill_bytes(bytes);
        Ok(())
    }
}

impl<R: CryptoRng + ?Sized> crypto_box_rand::CryptoRng for RngAdapter<'_, R> {}
