//! Bitmap of the samples that a trainer has received.

use serde::{Deserialize, Serialize};

/// Set of received samples with one bit for each sample of the step. The trainer sends it with every fetch; 4,096
/// samples take 512 bytes.
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

    /// Whether the trainer has received sample `index`.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Number of samples that the trainer has received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Whether the trainer has received no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds all samples in `other`.
    pub fn merge(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (own_byte, other_byte) in self.0.iter_mut().zip(&other.0) {
            *own_byte |= other_byte;
        }
    }
}

/// Serialises the bitmap as a string of lowercase hexadecimal digits.
mod serde_hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        serializer.serialize_str(&text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text.len() % 2 != 0 || !text.is_ascii() {
            return Err(D::Error::custom("malformed cursor; send an even number of hexadecimal digits"));
        }
        (0..text.len())
            .step_by(2)
            .map(|start| u8::from_str_radix(&text[start..start + 2], 16).map_err(D::Error::custom))
            .collect()
    }
}
