//! Settings of the engine stand-in, and the simulation of its answer lengths and prompt processing times.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Mutex, PoisonError},
};

/// Capacity and timing of the engine stand-in.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Number of requests generated concurrently.
    pub slots: usize,
    /// Time to generate one token, in microseconds.
    pub token_us: u64,
    /// Time to process a prompt whose prefix is not cached, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache; the least recently used prefix is evicted.
    pub max_cached_prefixes: usize,
    /// Tokens in each streamed chunk.
    pub chunk_tokens: u32,
    /// Minimum length of an answer in tokens, unless the request's `max_tokens` is smaller.
    pub min_answer_tokens: u32,
    /// Weight version before any weights are loaded.
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

/// Exponent of the distribution of answer lengths; a larger exponent gives a heavier tail.
const LENGTH_TAIL_EXPONENT: f64 = 0.6;
/// Length of the prompt prefix that the cache compares, in characters.
const PREFIX_CHARS: usize = 64;

/// Simulates answer lengths and the prefix cache of an engine. Equal prompts and seeds give equal lengths.
#[derive(Debug)]
pub struct EngineSimulator {
    settings: EngineSettings,
    /// Hashes of the cached prefixes, least recently used first.
    cached_prefixes: Mutex<VecDeque<u64>>,
}

impl EngineSimulator {
    /// Creates a simulator with an empty prefix cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings, cached_prefixes: Mutex::default() }
    }

    /// Settings that the simulator was created with.
    #[must_use]
    pub fn settings(&self) -> EngineSettings {
        self.settings
    }

    /// Length of the answer to `prompt` in tokens, drawn from a heavy-tailed distribution and limited to `max_tokens`.
    #[must_use]
    pub fn answer_tokens(&self, prompt: &str, seed: u64, max_tokens: u32) -> u32 {
        let mut rng = ChaCha8Rng::seed_from_u64(hash(&(prompt, seed)));
        let uniform: f64 = rng.random_range(0.001..1.0);
        let length = f64::from(self.settings.min_answer_tokens) * uniform.powf(-LENGTH_TAIL_EXPONENT);
        (length as u32).clamp(1, max_tokens.max(1))
    }

    /// Time to process `prompt` in microseconds, zero if its prefix is cached. Adds the prefix to the cache.
    pub fn prefill_us(&self, prompt: &str) -> u64 {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let key = hash(&prefix);
        let mut cached_prefixes = self.cached_prefixes.lock().unwrap_or_else(PoisonError::into_inner);
        let position = cached_prefixes.iter().position(|entry| *entry == key);
        if let Some(index) = position {
            cached_prefixes.remove(index);
        }
        cached_prefixes.push_back(key);
        while cached_prefixes.len() > self.settings.max_cached_prefixes {
            cached_prefixes.pop_front();
        }
        if position.is_some() { 0 } else { self.settings.prefill_us }
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
