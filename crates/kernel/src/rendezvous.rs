//! Rendezvous hashing: every process that sees the same members computes the same owner.

use crate::fingerprint;

/// Orders `members` for `key`, highest weight first.
#[must_use]
pub fn rank<'a, T: AsRef<str>>(key: &str, members: &'a [T]) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = members.iter().map(|m| (weight(key, m.as_ref()), m)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The member with the highest weight for `key`, if there is one.
#[must_use]
pub fn highest_ranked<'a, T: AsRef<str>>(key: &str, members: &'a [T]) -> Option<&'a T> {
    members
        .iter()
        .max_by(|a, b| weight(key, a.as_ref()).cmp(&weight(key, b.as_ref())).then_with(|| b.as_ref().cmp(a.as_ref())))
}

/// The weight of `member` for `key`.
#[must_use]
pub fn weight(key: &str, member: &str) -> u64 {
    fingerprint(&[key.as_bytes(), member.as_bytes()])
}
