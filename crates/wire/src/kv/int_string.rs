//! Serde functions for 64-bit integers as decimal strings.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

pub fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(number)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
