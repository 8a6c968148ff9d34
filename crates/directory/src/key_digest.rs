//! The digest under which keys are kept.

use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::KeyDigest;

/// Returns the SHA-256 of a key.
///
/// A look-up by digest takes time that depends on the digest alone, so its
/// timing tells nothing about the kept keys (FIPS 180-4 preimage resistance).
pub fn digest_key(key: &[u8]) -> KeyDigest {
    Bytes::copy_from_slice(&Sha256::digest(key))
}
