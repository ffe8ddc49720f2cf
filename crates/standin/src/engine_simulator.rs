//! How long an engine stand-in's answers are and how fast they come.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Mutex, PoisonError},
};

/// Shape of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Answers in the batch at a time.
    pub slots: usize,
    /// Time of one token in microseconds.
    pub token_us: u64,
    /// Time to read an uncached prompt in microseconds.
    pub prefill_us: u64,
    /// Prompts whose prefix stays cached.
    pub max_cached_prefixes: usize,
    /// Tokens in each chunk.
    pub chunk_tokens: u32,
    /// Length of the shortest answers in tokens.
    pub min_answer_tokens: u32,
    /// Weight version at the start.
    pub initial_version: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            token_us: 500,
            prefill_us: 5_000,
            max_cached_prefixes: 64,
            chunk_tokens: 4,
            min_answer_tokens: 8,
            initial_version: 1,
        }
    }
}

/// Exponent of the length distribution; a larger one has longer stragglers.
const TAIL_EXPONENT: f64 = 0.6;
const PREFIX_CHARS: usize = 64;

/// Decides lengths and prefix hits. Equal prompts and seeds give equal lengths.
#[derive(Debug)]
pub struct EngineSimulator {
    settings: EngineSettings,
    cached: Mutex<VecDeque<u64>>,
}

impl EngineSimulator {
    /// Creates a model of `settings` with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings, cached: Mutex::default() }
    }

    /// Shape of the stand-in.
    #[must_use]
    pub fn settings(&self) -> EngineSettings {
        self.settings
    }

    /// Tokens of the answer to `prompt`, heavy-tailed.
    #[must_use]
    pub fn answer_tokens(&self, prompt: &str, seed: u64, max_tokens: u32) -> u32 {
        let mut rng = ChaCha8Rng::seed_from_u64(hash(&(prompt, seed)));
        let uniform: f64 = rng.random_range(0.001..1.0);
        let length = f64::from(self.settings.min_answer_tokens) * uniform.powf(-TAIL_EXPONENT);
        (length as u32).clamp(1, max_tokens.max(1))
    }

    /// Time to read `prompt` in microseconds; a cached prefix costs nothing. Remembers the prefix.
    pub fn prefill_us(&self, prompt: &str) -> u64 {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let key = hash(&prefix);
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let known = cached.iter().position(|entry| *entry == key);
        if let Some(at) = known {
            cached.remove(at);
        }
        cached.push_back(key);
        while cached.len() > self.settings.max_cached_prefixes {
            cached.pop_front();
        }
        if known.is_some() { 0 } else { self.settings.prefill_us }
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
