//! Rendezvous hashing: all processes with the same list of members select the same member for a key.

use crate::fingerprint;

/// `members` sorted by their weight for `key`, highest first.
#[must_use]
pub fn rank<'a, T: AsRef<str>>(key: &str, members: &'a [T]) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = members.iter().map(|member| (weight(key, member.as_ref()), member)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The member with the highest weight for `key`, the first one that [`rank`] returns; `None` without members.
#[must_use]
pub fn highest_ranked<'a, T: AsRef<str>>(key: &str, members: &'a [T]) -> Option<&'a T> {
    members
        .iter()
        .max_by(|a, b| weight(key, a.as_ref()).cmp(&weight(key, b.as_ref())).then_with(|| b.as_ref().cmp(a.as_ref())))
}

/// The pseudo-random weight of `member` for `key`, the same in every process.
#[must_use]
pub fn weight(key: &str, member: &str) -> u64 {
    fingerprint(&[key.as_bytes(), member.as_bytes()])
}
