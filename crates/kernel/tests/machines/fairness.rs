//! Fair admission: no ticket is lost or doubled, and a backlog delays only its own organisation.

use crate::sequence;
use pimentoslip_kernel::{FairQueue, QueueTicket, SharedName};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const DEPTH_MAX: usize = 8;
const RUNNING_MAX: usize = 3;

#[derive(Clone, Debug)]
enum Command {
    Enter { organisation: u8, tokens: u8 },
    Admit,
    Cancel { ticket: u8 },
    Done,
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let a = u8::arbitrary(rng);
        match u8::arbitrary(rng) % 8 {
            0..=3 => Self::Enter { organisation: a % 3, tokens: u8::arbitrary(rng) },
            4 | 5 => Self::Admit,
            6 => Self::Cancel { ticket: a },
            _ => Self::Done,
        }
    }
}

fn nothing_lost(commands: Vec<Command>) -> Result<(), String> {
    let mut queue = FairQueue::default();
    let mut waiting: BTreeMap<QueueTicket, u8> = BTreeMap::new();
    let mut admitted = BTreeSet::new();
    let mut running = 0;
    for command in commands {
        match command {
            Command::Enter { organisation, tokens } => {
                let name: SharedName = format!("o{organisation}").into();
                let depth = waiting.values().filter(|owner| **owner == organisation).count();
                let ticket = queue.enqueue(&name, 1, tokens.into(), DEPTH_MAX);
                if ticket.is_some() != (depth < DEPTH_MAX) {
                    return Err(format!("depth {depth} gave {ticket:?}"));
                }
                if let Some(ticket) = ticket {
                    waiting.insert(ticket, organisation);
                }
            }
            Command::Admit => {
                let ticket = queue.admit(RUNNING_MAX);
                if ticket.is_some() != (running < RUNNING_MAX && !waiting.is_empty()) {
                    return Err(format!("{running} running, {} waiting gave {ticket:?}", waiting.len()));
                }
                if let Some(ticket) = ticket {
                    running += 1;
                    if waiting.remove(&ticket).is_none() || !admitted.insert(ticket) {
                        return Err(format!("{ticket:?} was admitted twice"));
                    }
                }
            }
            Command::Cancel { ticket } => {
                if let Some(ticket) = waiting.keys().nth(usize::from(ticket) % waiting.len().max(1)).copied() {
                    queue.cancel(ticket);
                    waiting.remove(&ticket);
                }
            }
            Command::Done if running > 0 => {
                queue.release();
                running -= 1;
            }
            Command::Done => {}
        }
        if queue.len() != waiting.len() {
            return Err(format!("{} tickets wait, not {}", queue.len(), waiting.len()));
        }
    }
    Ok(())
}

#[test]
fn no_ticket_is_lost_or_doubled() {
    sequence::check(0xfa12, 80, nothing_lost);
}

/// How many of `small`'s requests come before the flood's `count`-th, when both have weight one.
#[test]
fn a_small_organisation_is_not_behind_a_flood() {
    let mut queue = FairQueue::default();
    let (flood, small): (SharedName, SharedName) = ("flood".into(), "small".into());
    for _ in 0..100 {
        queue.enqueue(&flood, 1, 100, usize::MAX).expect("room");
    }
    for _ in 0..5 {
        queue.admit(usize::MAX).expect("a ticket");
    }
    let late = queue.enqueue(&small, 1, 100, usize::MAX).expect("room");
    let place = (1..=100).find(|_| queue.admit(usize::MAX) == Some(late)).expect("it is admitted");
    assert!(place <= 2, "admitted after {place} others");
}

#[test]
fn weights_share_capacity() {
    let mut queue = FairQueue::default();
    let (heavy, light): (SharedName, SharedName) = ("heavy".into(), "light".into());
    let mut owners = BTreeMap::new();
    for _ in 0..400 {
        owners.insert(queue.enqueue(&heavy, 3, 10, usize::MAX).expect("room"), true);
        owners.insert(queue.enqueue(&light, 1, 10, usize::MAX).expect("room"), false);
    }
    let heavy = (0..400).filter(|_| queue.admit(usize::MAX).is_some_and(|ticket| owners[&ticket])).count();
    assert!((298..=302).contains(&heavy), "{heavy} of 400 went to weight 3 against 1");
}

/// An organisation that used less than expected is not charged for the rest.
#[test]
fn accounts_are_settled_by_true_cost() {
    let mut queue = FairQueue::default();
    let (short, long): (SharedName, SharedName) = ("short".into(), "long".into());
    queue.enqueue(&short, 1, 1_000, usize::MAX).expect("room");
    queue.enqueue(&long, 1, 1_000, usize::MAX).expect("room");
    queue.admit(usize::MAX).expect("a ticket");
    queue.admit(usize::MAX).expect("a ticket");
    queue.adjust_cost("short", 1, 1_000, 10);
    queue.enqueue(&long, 1, 1_000, usize::MAX).expect("room");
    let first = queue.enqueue(&short, 1, 1_000, usize::MAX).expect("room");
    assert_eq!(queue.admit(usize::MAX), Some(first));
}
