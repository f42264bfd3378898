//! Sealing: a value is encrypted on the operator's machine with the public key of each service that may read
//! it.
//!
//! Uses the sealed boxes of libsodium (X25519, XSalsa20-Poly1305). The name of the secret is encrypted
//! together with the value, so that nobody who handles the ciphertexts can swap two secrets of one reader.

use std::fmt;

use crypto_box::aead::rand_core as crypto_box_rand;
use crypto_box::{PublicKey, SecretKey};
use rand::CryptoRng;
use thiserror::Error;
use umberpond_model::SecretName;
use zeroize::Zeroizing;

use crate::seal_key::{InvalidSealKey, decode_key, encode_key};
use crate::{SealKey, SealedValue, SecretValue};

/// Length of the key fingerprint that prefixes each sealed value, in bytes.
const FINGERPRINT_BYTES: usize = 8;

/// Why a value couldn't be sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SealError {
    /// The cipher rejected the value, which is far larger than any secret.
    #[error("the value can't be sealed")]
    Rejected,
}

/// Why a sealed value couldn't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The value was sealed to another key or was modified.
    #[error("the value is not sealed to this key or was modified")]
    NotForThisKey,
    /// The value was sealed under the name of another secret.
    #[error("the value was sealed under the name of another secret")]
    OtherSecret,
}

/// The key pair of one service's nodes. Its memory is zeroed on drop.
pub struct SealKeyPair(SecretKey);

impl SealKeyPair {
    /// Generates a new key pair.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(rng: &mut R) -> Self {
        Self(SecretKey::generate(&mut RngAdapter(rng)))
    }

    /// Parses the private key from its text form, 64 hexadecimal digits; surrounding white space is ignored.
    ///
    /// # Errors
    /// Returns [`InvalidSealKey`] for any other text.
    pub fn from_private_text(text: &SecretValue) -> Result<Self, InvalidSealKey> {
        let key = Zeroizing::new(decode_key(text.expose().trim_ascii())?);
        Ok(Self(SecretKey::from(*key)))
    }

    /// Returns the text form of the private key, for the settings of the service's nodes.
    #[must_use]
    pub fn private_text(&self) -> SecretValue {
        let key = Zeroizing::new(self.0.to_bytes());
        SecretValue::new(encode_key(&key).into_bytes())
    }

    /// Returns the public key, which is configured as the service's `seal_key`.
    #[must_use]
    pub fn public(&self) -> SealKey {
        SealKey(self.0.public_key().to_bytes())
    }

    /// Decrypts a value that was sealed to this key under the secret name `name`.
    ///
    /// # Errors
    /// Returns [`OpenError`] if the value was sealed to another key or under another name, or was modified.
    pub fn open(&self, name: &SecretName, sealed: &SealedValue) -> Result<SecretValue, OpenError> {
        if !sealed.is_sealed_to(&self.public()) {
            return Err(OpenError::NotForThisKey);
        }
        let ciphertext = sealed.0.get(FINGERPRINT_BYTES..).ok_or(OpenError::NotForThisKey)?;
        let plaintext = self.0.unseal(ciphertext).map_err(|_| OpenError::NotForThisKey)?;
        let plaintext = Zeroizing::new(plaintext);
        let value = plaintext.strip_prefix(name_prefix(name).as_slice()).ok_or(OpenError::OtherSecret)?;
        Ok(SecretValue::new(value.to_vec()))
    }
}

impl fmt::Debug for SealKeyPair {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealKeyPair({})", self.public())
    }
}

/// Seals `value` under the secret name `name` to one reader's key. Each call returns a different ciphertext.
///
/// # Errors
/// Returns [`SealError`] if the cipher rejects the value.
pub fn seal<R: CryptoRng + ?Sized>(
    name: &SecretName,
    value: &SecretValue,
    key: &SealKey,
    rng: &mut R,
) -> Result<SealedValue, SealError> {
    let prefix = name_prefix(name);
    let mut plaintext = Zeroizing::new(Vec::with_capacity(prefix.len() + value.expose().len()));
    plaintext.extend_from_slice(&prefix);
    plaintext.extend_from_slice(value.expose());
    let public_key = PublicKey::from(key.0);
    let sealed = public_key.seal(&mut RngAdapter(rng), &plaintext).map_err(|_| SealError::Rejected)?;
    Ok(SealedValue([fingerprint(key).as_slice(), &sealed].concat()))
}

impl SealedValue {
    /// Whether the value's fingerprint matches `key`. Detects values that were sealed before a change of the
    /// key.
    #[must_use]
    pub fn is_sealed_to(&self, key: &SealKey) -> bool {
        self.0.starts_with(&fingerprint(key))
    }
}

fn fingerprint(key: &SealKey) -> [u8; FINGERPRINT_BYTES] {
    let hash = blake3::hash(&key.0);
    std::array::from_fn(|index| hash.as_bytes()[index])
}

/// Returns the name followed by a zero byte, which no name contains, so that no prefix is a prefix of another
/// one.
fn name_prefix(name: &SecretName) -> Vec<u8> {
    let mut prefix = name.as_str().as_bytes().to_vec();
    prefix.push(0);
    prefix
}

/// `crypto_box` 0.9 requires the traits of rand_core 0.6; this adapter implements them for those of rand_core
/// 0.10.
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
