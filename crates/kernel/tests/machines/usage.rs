//! Usage windows: everything counted is billed exactly once.

use crate::sequence;
use pimentoslip_kernel::{SharedName, UsageCount, UsageKey, UsageLine, UsageWindow};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: u8 = 3;

#[derive(Clone, Debug)]
enum Command {
    Count {
        daemon: u8,
        key: u8,
        tokens: u8,
    },
    /// A daemon's counters are gathered now; others keep what was gathered last.
    Gather {
        daemon: u8,
    },
    Seal,
    /// The reporter is replaced by one that has gathered nothing yet.
    Replace,
    Restart {
        daemon: u8,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng) % DAEMONS, u8::arbitrary(rng));
        match u8::arbitrary(rng) % 8 {
            0..=2 => Self::Count { daemon: a, key: b % 2, tokens: b },
            3 | 4 => Self::Gather { daemon: a },
            5 => Self::Seal,
            6 => Self::Replace,
            _ => Self::Restart { daemon: a },
        }
    }
}

fn key(key: u8) -> UsageKey {
    UsageKey { organisation: format!("o{key}").into(), service: "s".into() }
}

fn billed_once(commands: Vec<Command>) -> Result<(), String> {
    let mut incarnations = [0_u32; DAEMONS as usize];
    let mut counters: BTreeMap<SharedName, BTreeMap<u8, UsageCount>> = BTreeMap::new();
    let mut gathered: BTreeMap<SharedName, Vec<UsageLine>> = BTreeMap::new();
    let mut windows = vec![UsageWindow::default()];
    let name =
        |daemon: u8, incarnations: &[u32]| SharedName::from(format!("{daemon}/{}", incarnations[usize::from(daemon)]));
    let lines = |counts: &BTreeMap<u8, UsageCount>| -> Vec<UsageLine> {
        counts.iter().map(|(k, count)| UsageLine { key: key(*k), count: *count }).collect()
    };
    for command in commands {
        match command {
            Command::Count { daemon, key, tokens } => {
                let count = UsageCount { requests: 1, tokens: tokens.into() };
                counters.entry(name(daemon, &incarnations)).or_default().entry(key).or_default().add(count);
            }
            Command::Gather { daemon } => {
                let name = name(daemon, &incarnations);
                if let Some(counts) = counters.get(&name) {
                    gathered.insert(name, lines(counts));
                }
            }
            Command::Seal => {
                let last = windows.last().cloned().unwrap_or_default();
                windows.push(UsageWindow::seal(last.index + 1, &last, &gathered));
            }
            Command::Replace => gathered.clear(),
            Command::Restart { daemon } => incarnations[usize::from(daemon)] += 1,
        }
    }
    // At last everything is gathered from every incarnation, and sealed.
    for (name, counts) in &counters {
        gathered.insert(name.clone(), lines(counts));
    }
    let last = windows.last().cloned().unwrap_or_default();
    windows.push(UsageWindow::seal(last.index + 1, &last, &gathered));
    for k in 0..2 {
        let billed = windows.iter().flat_map(|window| &window.lines).filter(|line| line.key == key(k));
        let billed = billed.fold(UsageCount::default(), |mut sum, line| {
            sum.add(line.count);
            sum
        });
        let counted =
            counters.values().filter_map(|counts| counts.get(&k)).fold(UsageCount::default(), |mut sum, count| {
                sum.add(*count);
                sum
            });
        if billed != counted {
            return Err(format!("key {k}: counted {counted:?}, billed {billed:?}"));
        }
    }
    Ok(())
}

#[test]
fn everything_counted_is_billed_exactly_once() {
    sequence::check(0xb111, 60, billed_once);
}
