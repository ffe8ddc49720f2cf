//! Stored entries of batch jobs, between releases.

use pimentoslip_wire::{decode, encode, stored::JobEntry};
use serde::{Deserialize, Serialize};

/// Entry of a release that does not store the version of the configuration.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierEntry {
    organisation: String,
    host: String,
    path: String,
    items: usize,
    submitted_unix_ms: u64,
}

/// Guards against jobs that one release accepts and another one cannot read.
#[test]
fn a_job_entry_is_read_with_and_without_the_version_of_its_configuration() {
    let (organisation, host, path) = ("rose".to_owned(), "desk.example".to_owned(), "/cards/".to_owned());
    let earlier = EarlierEntry { organisation, host, path, items: 3, submitted_unix_ms: 7 };
    let read: JobEntry =
        decode(&encode(&earlier).expect("an encodable entry")).expect("an entry of the earlier release");
    assert_eq!((read.item_count, read.config_version), (3, None));
    let entry = JobEntry { config_version: Some(9), ..read };
    let bytes = encode(&entry).expect("an encodable entry");
    assert_eq!(decode::<JobEntry>(&bytes).expect("an entry").config_version, Some(9));
    assert_eq!(decode::<EarlierEntry>(&bytes).expect("an entry for the earlier release"), earlier);
}
