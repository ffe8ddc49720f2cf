//! Detects calls that are received more than once.

/// Words of 64 numbers each that are kept. Calls that are in flight at the same time have closer numbers.
const WORDS: u64 = 64;

/// Latest numbers of the calls that were received from one process of a daemon; all older ones count as received.
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    newest_word: u64,
    /// A bit for each number, in a ring of words.
    received: [u64; WORDS as usize],
}

impl Default for ReplayWindow {
    fn default() -> Self {
        Self { newest_word: 0, received: [0; WORDS as usize] }
    }
}

impl ReplayWindow {
    /// Records the call `number`. Returns false if it may have been received before.
    pub fn accept(&mut self, number: u64) -> bool {
        let word = number / u64::from(u64::BITS);
        if self.newest_word.saturating_sub(word) >= WORDS {
            return false;
        }
        let new_words = word.saturating_sub(self.newest_word).min(WORDS);
        for skipped in 0..new_words {
            self.received[((word - skipped) % WORDS) as usize] = 0;
        }
        self.newest_word = self.newest_word.max(word);
        let bit = 1 << (number % u64::from(u64::BITS));
        let received = &mut self.received[(word % WORDS) as usize];
        let is_new = *received & bit == 0;
        *received |= bit;
        is_new
    }
}
