//! Tenant keys as callers present them.

use crate::SharedName;
use rand::Rng;
use sha2::{Digest, Sha256};

const KEY_PREFIX: &str = "psk-";
const ID_CHARS: usize = 12;
const SECRET_CHARS: usize = 40;
const ALPHABET: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";

/// A parsed key: a public id and a secret. It has no `Debug`, so that it cannot be logged by accident.
#[derive(Clone)]
pub struct KeySecret {
    /// Public part, by which operators name the key.
    pub id: SharedName,
    token: String,
}

impl KeySecret {
    /// Draws a new key.
    pub fn generate<R: Rng>(rng: &mut R) -> Self {
        let id: SharedName = draw_chars(rng, ID_CHARS).into();
        let token = format!("{KEY_PREFIX}{id}-{}", draw_chars(rng, SECRET_CHARS));
        Self { id, token }
    }

    /// Parses what a caller sent; None when it has not the form of a key.
    #[must_use]
    pub fn parse(token: &str) -> Option<Self> {
        let rest = token.strip_prefix(KEY_PREFIX)?;
        let (id, secret) = rest.split_once('-')?;
        if id.len() != ID_CHARS || secret.len() != SECRET_CHARS {
            return None;
        }
        Some(Self { id: id.into(), token: token.to_owned() })
    }

    /// Ids of everything in `text` that has the form of a key.
    #[must_use]
    pub fn find_ids(text: &[u8]) -> Vec<SharedName> {
        let length = KEY_PREFIX.len() + ID_CHARS + 1 + SECRET_CHARS;
        memchr::memmem::find_iter(text, KEY_PREFIX.as_bytes())
            .filter_map(|at| std::str::from_utf8(text.get(at..at + length)?).ok())
            .filter_map(|token| Some(Self::parse(token)?.id))
            .collect()
    }

    /// The whole key, to hand to its owner once.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.token
    }

    /// Hash under which the key is stored.
    #[must_use]
    pub fn hash(&self) -> String {
        Sha256::digest(self.token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

fn draw_chars<R: Rng>(rng: &mut R, count: usize) -> String {
    (0..count).map(|_| char::from(ALPHABET[rng.random_range(0..ALPHABET.len())])).collect()
}
