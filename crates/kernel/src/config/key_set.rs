//! API keys of one organisation, of which only hashes are stored.

use super::KeySecret;
use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;

/// A stored API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// SHA-256 of the complete key, in hexadecimal.
    pub hash: String,
    /// Whether an operator has withdrawn the key.
    pub withdrawn: bool,
}

/// All keys of an organisation. Withdrawn keys stay stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySet {
    /// Keys by their public ids.
    pub keys: BTreeMap<SharedName, KeyEntry>,
}

impl KeySet {
    /// Whether `secret` is one of the keys and not withdrawn. Hashes are compared in constant time.
    #[must_use]
    pub fn accepts(&self, secret: &KeySecret) -> bool {
        let Some(entry) = self.keys.get(&secret.id) else { return false };
        let is_equal: bool = entry.hash.as_bytes().ct_eq(secret.hash().as_bytes()).into();
        is_equal && !entry.withdrawn
    }
}
