//! The set of samples that a trainer already holds.

use serde::{Deserialize, Serialize};

/// One bit a sample, carried by the trainer in every fetch. 4,096 samples take 512 bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchCursor(#[serde(with = "serde_hex")] Vec<u8>);

impl FetchCursor {
    /// Marks sample `index` as received.
    pub fn insert(&mut self, index: usize) {
        let byte = index / 8;
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (index % 8);
    }

    /// Whether the trainer holds sample `index`.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// How many samples the trainer holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Whether the trainer holds nothing yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds everything that `other` holds.
    pub fn merge(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine |= theirs;
        }
    }
}

/// Bitmaps travel as lowercase hexadecimal in JSON.
mod serde_hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        serializer.serialize_str(&text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text.len() % 2 != 0 || !text.is_ascii() {
            return Err(D::Error::custom("a cursor is an even number of hexadecimal digits"));
        }
        (0..text.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&text[at..at + 2], 16).map_err(D::Error::custom))
            .collect()
    }
}
