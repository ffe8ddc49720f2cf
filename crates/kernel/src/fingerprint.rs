//! Stable 64-bit hashes, on which all daemons agree.

use sha2::{Digest, Sha256};

/// A 64-bit hash of `parts`: the first eight bytes of their SHA-256. Each part's length is hashed with it, so that the
/// same bytes split into different parts give different hashes.
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}
