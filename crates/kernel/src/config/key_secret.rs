//! API keys of organisations in the form in which callers send them.

use crate::SharedName;
use rand::Rng;
use sha2::{Digest, Sha256};

/// Prefix of every key, by which keys are found in other text.
const KEY_PREFIX: &str = "psk-";
const ID_CHARS: usize = 12;
const SECRET_CHARS: usize = 40;
/// Characters of ids and secrets, without `l`, `o`, `0` and `1`, which look alike.
const ALPHABET: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";

/// An API key of the form `psk-ID-SECRET`. It does not implement `Debug`, so that it cannot be logged by accident.
#[derive(Clone)]
pub struct KeySecret {
    /// Public part, by which operators refer to the key.
    pub id: SharedName,
    /// The complete key, including the secret.
    token: String,
}

impl KeySecret {
    /// Generates a random key.
    pub fn generate<R: Rng>(rng: &mut R) -> Self {
        let id: SharedName = random_chars(rng, ID_CHARS).into();
        let token = format!("{KEY_PREFIX}{id}-{}", random_chars(rng, SECRET_CHARS));
        Self { id, token }
    }

    /// Parses a complete key; `None` if `token` does not have the form of a key.
    #[must_use]
    pub fn parse(token: &str) -> Option<Self> {
        let id_and_secret = token.strip_prefix(KEY_PREFIX)?;
        let (id, secret) = id_and_secret.split_once('-')?;
        if id.len() != ID_CHARS || secret.len() != SECRET_CHARS {
            return None;
        }
        Some(Self { id: id.into(), token: token.to_owned() })
    }

    /// Ids of all parts of `text` that have the form of a key.
    #[must_use]
    pub fn find_ids(text: &[u8]) -> Vec<SharedName> {
        let key_chars = KEY_PREFIX.len() + ID_CHARS + 1 + SECRET_CHARS;
        memchr::memmem::find_iter(text, KEY_PREFIX.as_bytes())
            .filter_map(|start| std::str::from_utf8(text.get(start..start + key_chars)?).ok())
            .filter_map(|token| Some(Self::parse(token)?.id))
            .collect()
    }

    /// The complete key with its secret. It is returned to its owner once, when the key is created.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.token
    }

    /// SHA-256 of the complete key in hexadecimal, which is stored instead of the key.
    #[must_use]
    pub fn hash(&self) -> String {
        Sha256::digest(self.token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

fn random_chars<R: Rng>(rng: &mut R, count: usize) -> String {
    (0..count).map(|_| char::from(ALPHABET[rng.random_range(0..ALPHABET.len())])).collect()
}
