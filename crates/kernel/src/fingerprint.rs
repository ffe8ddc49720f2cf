//! Stable 64-bit hashes that all daemons agree on.

use sha2::{Digest, Sha256};

/// Hashes `parts` with their borders.
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
