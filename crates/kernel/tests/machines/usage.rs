//! Tests of usage windows: all counted usage is billed exactly once.

use crate::sequence;
use pimentoslip_kernel::{SharedName, UsageCount, UsageKey, UsageLine, UsageWindow};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: u8 = 3;

/// Input to the simulation of usage reporting.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon counts one request.
    Count { daemon: u8, key: u8, tokens: u8 },
    /// The reporter collects the counters of a daemon. For the other daemons it keeps those collected last.
    Collect { daemon: u8 },
    /// The next window is sealed.
    Seal,
    /// The reporter is replaced by one that has collected no counters yet.
    Replace,
    /// A daemon restarts as a new incarnation, whose counters start at zero.
    Restart { daemon: u8 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, value) = (u8::arbitrary(rng) % DAEMONS, u8::arbitrary(rng));
        match u8::arbitrary(rng) % 8 {
            0..=2 => Self::Count { daemon, key: value % 2, tokens: value },
            3 | 4 => Self::Collect { daemon },
            5 => Self::Seal,
            6 => Self::Replace,
            _ => Self::Restart { daemon },
        }
    }
}

fn usage_key(number: u8) -> UsageKey {
    UsageKey { organisation: format!("o{number}").into(), service: "s".into() }
}

fn check_billed_once(commands: Vec<Command>) -> Result<(), String> {
    let mut incarnations = [0_u32; DAEMONS as usize];
    let mut counters: BTreeMap<SharedName, BTreeMap<u8, UsageCount>> = BTreeMap::new();
    let mut collected: BTreeMap<SharedName, Vec<UsageLine>> = BTreeMap::new();
    let mut windows = vec![UsageWindow::default()];
    let name =
        |daemon: u8, incarnations: &[u32]| SharedName::from(format!("{daemon}/{}", incarnations[usize::from(daemon)]));
    let lines = |counts: &BTreeMap<u8, UsageCount>| -> Vec<UsageLine> {
        counts.iter().map(|(key, count)| UsageLine { key: usage_key(*key), count: *count }).collect()
    };
    for command in commands {
        match command {
            Command::Count { daemon, key, tokens } => {
                let count = UsageCount { requests: 1, tokens: tokens.into() };
                counters.entry(name(daemon, &incarnations)).or_default().entry(key).or_default().add(count);
            }
            Command::Collect { daemon } => {
                let name = name(daemon, &incarnations);
                if let Some(counts) = counters.get(&name) {
                    collected.insert(name, lines(counts));
                }
            }
            Command::Seal => {
                let last = windows.last().cloned().unwrap_or_default();
                windows.push(UsageWindow::seal(last.index + 1, &last, &collected));
            }
            Command::Replace => collected.clear(),
            Command::Restart { daemon } => incarnations[usize::from(daemon)] += 1,
        }
    }
    // Finally, the counters of all incarnations are collected and sealed.
    for (name, counts) in &counters {
        collected.insert(name.clone(), lines(counts));
    }
    let last = windows.last().cloned().unwrap_or_default();
    windows.push(UsageWindow::seal(last.index + 1, &last, &collected));
    for key in 0..2 {
        let billed = windows.iter().flat_map(|window| &window.lines).filter(|line| line.key == usage_key(key));
        let billed = billed.fold(UsageCount::default(), |mut sum, line| {
            sum.add(line.count);
            sum
        });
        let counted =
            counters.values().filter_map(|counts| counts.get(&key)).fold(UsageCount::default(), |mut sum, count| {
                sum.add(*count);
                sum
            });
        if billed != counted {
            return Err(format!("key {key}: counted {counted:?}, billed {billed:?}"));
        }
    }
    Ok(())
}

#[test]
fn all_counted_usage_is_billed_exactly_once() {
    sequence::check(0xb111, 60, check_billed_once);
}
