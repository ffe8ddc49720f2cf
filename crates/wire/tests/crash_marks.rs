//! Tests of crash marks that daemons send to each other.

use pimentoslip_kernel::{SuspectTable, SuspectVerdict, TimePoint};
use pimentoslip_wire::{decode, encode, peer::CrashMarkBody, stored::CrashEntry};
use serde::{Deserialize, Serialize};

/// Guards against marks that expire at once, or hardly ever, at a daemon whose clock started earlier or later.
#[test]
fn marks_of_a_daemon_hold_for_the_same_time_at_daemons_that_started_earlier_or_later() {
    // The clock of a daemon counts from the start of its process.
    for (sender_now, receiver_now) in
        [(5_000, 3_600_000), (3_600_000, 5_000)].map(|(a, b)| (TimePoint(a), TimePoint(b)))
    {
        let (mut sender, mut receiver) = (SuspectTable::default(), SuspectTable::default());
        for process in ["a", "b", "c"] {
            sender.process_crashed(1, process.into(), Some(1_700_000_000_000), false, sender_now);
        }
        for mark in sender.active_marks(sender_now) {
            let message = encode(&CrashMarkBody::from_mark(mark, sender_now)).expect("encode a mark");
            let body: CrashMarkBody = decode(&message).expect("decode a mark");
            receiver.merge(body.into_mark(receiver_now), receiver_now);
        }
        let until = receiver_now.plus_ms(SuspectTable::MARK_TTL_MS);
        assert_eq!(receiver.verdict(1, receiver_now), SuspectVerdict::Quarantined { until });
        assert_eq!(receiver.verdict(1, until), SuspectVerdict::Unsuspected);
    }
}

/// Stored entry of a crash as an earlier release writes and reads it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierEntry {
    daemon: String,
    observed_unix_ms: u64,
}

/// Guards against crashes that are ignored while daemons of two releases run side by side.
#[test]
fn an_entry_of_a_crash_is_read_by_an_earlier_release_and_the_reverse() {
    let earlier = EarlierEntry { daemon: "edge-1".to_owned(), observed_unix_ms: 1_700_000_000_000 };
    let entry: CrashEntry =
        decode(&encode(&earlier).expect("encode an entry")).expect("an entry of an earlier release");
    assert_eq!((entry.observed_unix_ms, entry.sent_unix_ms, entry.inferred), (1_700_000_000_000, None, false));
    let entry = CrashEntry { sent_unix_ms: Some(1_699_999_999_000), inferred: true, ..entry };
    let read: EarlierEntry = decode(&encode(&entry).expect("encode an entry")).expect("an entry of this release");
    assert_eq!(read, earlier);
}
