//! The digest under which keys are stored.

use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::KeyDigest;

/// Returns the SHA-256 of a key.
///
/// The time of a look-up by digest depends on the digest alone, so it reveals
/// nothing about the stored keys (FIPS 180-4 preimage resistance).
pub fn digest_key(key: &[u8]) -> KeyDigest {
    Bytes::copy_from_slice(&Sha256::digest(key))
}
