//! Keys of one organisation, stored hashed.

use super::KeySecret;
use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;

/// One key on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// SHA-256 of the whole key, in hexadecimal.
    pub hash: String,
    /// Whether an operator withdrew it.
    pub withdrawn: bool,
}

/// All keys of an organisation by their ids. Withdrawn ones stay on record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySet {
    /// Keys by id.
    pub keys: BTreeMap<SharedName, KeyEntry>,
}

impl KeySet {
    /// Whether `secret` is one of the keys and was not withdrawn. Compares in constant time.
    #[must_use]
    pub fn accepts(&self, secret: &KeySecret) -> bool {
        let Some(entry) = self.keys.get(&secret.id) else { return false };
        let same: bool = entry.hash.as_bytes().ct_eq(secret.hash().as_bytes()).into();
        same && !entry.withdrawn
    }
}
