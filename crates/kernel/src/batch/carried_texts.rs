//! Texts of items whose job ended before they were complete, for the later job that contains them again.
//!
//! Load: a trainer ends its step when enough groups are complete, and submits the others again with a later step, in which
//! it waits for all of them. They hold the longest items, whose texts take most of the time until that step is due.
//! What is generated already is not generated again.

use super::SampleText;
use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Time for which a text is kept: several steps of a trainer, each of which takes seconds.
const KEPT_MS: u64 = 60_000;
/// Estimated size of an item without its text.
const ITEM_OVERHEAD_BYTES: usize = 300;

/// An item as it is submitted. Its id alone is unique only within its job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemIdentity {
    /// Organisation that submitted the item.
    pub organisation: SharedName,
    /// Id of the item.
    pub id: SharedName,
    /// Fingerprint of the request that generates the text.
    pub fingerprint: u64,
}

/// Text of an item whose job has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarriedText {
    /// Events received so far.
    pub text: SampleText,
    /// Whether the text is complete.
    pub is_complete: bool,
}

impl CarriedText {
    /// Whether a job may use the text that accepts versions of the weights from `oldest_version` on, for each text a single one
    /// with `single_version`.
    fn is_usable(&self, oldest_version: u64, single_version: bool) -> bool {
        let versions = self.text.versions();
        let is_accepted = versions.iter().all(|version| *version >= oldest_version);
        !versions.is_empty() && is_accepted && (!single_version || versions.len() == 1)
    }

    fn bytes(&self) -> usize {
        self.text.byte_count() + ITEM_OVERHEAD_BYTES
    }
}

/// A kept text.
#[derive(Clone, Debug)]
struct KeptText {
    carried: CarriedText,
    forgotten_at: TimePoint,
}

/// Texts by item, up to a number of bytes. Lost with the process, which costs only the time to generate them again.
#[derive(Debug)]
pub struct CarriedTexts {
    bytes_max: usize,
    /// Estimated size of all texts.
    bytes: usize,
    texts: HashMap<ItemIdentity, KeptText>,
}

impl CarriedTexts {
    /// Creates an empty store of up to `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max, bytes: 0, texts: HashMap::new() }
    }

    /// Keeps the text of an item, in place of an earlier one. Ignored if it is empty or there is no memory for it; texts that are
    /// older yield to it.
    pub fn keep(&mut self, item: ItemIdentity, carried: CarriedText, now: TimePoint) {
        if carried.text.last_event().is_none() || carried.bytes() > self.bytes_max {
            return;
        }
        self.remove(&item);
        self.bytes += carried.bytes();
        self.texts.insert(item, KeptText { carried, forgotten_at: now.plus_ms(KEPT_MS) });
        self.forget_expired(now);
        while self.bytes > self.bytes_max {
            let oldest = self.texts.iter().min_by_key(|(item, kept)| (kept.forgotten_at, &item.id));
            let Some(oldest) = oldest.map(|(item, _)| item.clone()) else { return };
            self.remove(&oldest);
        }
    }

    /// Removes and returns the text of an item, if the job that contains the item may use it; see [`CarriedText::is_usable`].
    pub fn take(
        &mut self,
        item: &ItemIdentity,
        oldest_version: u64,
        single_version: bool,
        now: TimePoint,
    ) -> Option<CarriedText> {
        self.forget_expired(now);
        self.remove(item).filter(|carried| carried.is_usable(oldest_version, single_version))
    }

    /// Estimated size of all texts.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        self.bytes
    }

    fn forget_expired(&mut self, now: TimePoint) {
        self.texts.retain(|_, kept| now < kept.forgotten_at);
        self.bytes = self.texts.values().map(|kept| kept.carried.bytes()).sum();
    }

    fn remove(&mut self, item: &ItemIdentity) -> Option<CarriedText> {
        let kept = self.texts.remove(item)?;
        self.bytes -= kept.carried.bytes();
        Some(kept.carried)
    }
}
