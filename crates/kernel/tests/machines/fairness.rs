//! Tests of the fair queue: no request is lost or admitted twice, and a backlog delays only its own organisation.

use crate::sequence;
use pimentoslip_kernel::{FairQueue, QueueTicket, SharedName};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const DEPTH_MAX: usize = 8;
const RUNNING_MAX: usize = 3;

/// Input to the queue.
#[derive(Clone, Debug)]
enum Command {
    /// An organisation adds a request.
    Enqueue { organisation: u8, tokens: u8 },
    /// The next waiting request is admitted, if capacity is free.
    Admit,
    /// A waiting request is cancelled.
    Cancel { ticket: u8 },
    /// A running request ends.
    Release,
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let value = u8::arbitrary(rng);
        match u8::arbitrary(rng) % 8 {
            0..=3 => Self::Enqueue { organisation: value % 3, tokens: u8::arbitrary(rng) },
            4 | 5 => Self::Admit,
            6 => Self::Cancel { ticket: value },
            _ => Self::Release,
        }
    }
}

/// Applies `commands` to a queue and compares it with a simple model after each one.
fn check_against_model(commands: Vec<Command>) -> Result<(), String> {
    let mut queue = FairQueue::default();
    let mut waiting: BTreeMap<QueueTicket, u8> = BTreeMap::new();
    let mut admitted = BTreeSet::new();
    let mut running = 0;
    for command in commands {
        match command {
            Command::Enqueue { organisation, tokens } => {
                let name: SharedName = format!("o{organisation}").into();
                let depth = waiting.values().filter(|owner| **owner == organisation).count();
                let ticket = queue.enqueue(&name, 1, tokens.into(), DEPTH_MAX);
                if ticket.is_some() != (depth < DEPTH_MAX) {
                    return Err(format!("enqueue at depth {depth} returned {ticket:?}"));
                }
                if let Some(ticket) = ticket {
                    waiting.insert(ticket, organisation);
                }
            }
            Command::Admit => {
                let ticket = queue.admit(RUNNING_MAX);
                if ticket.is_some() != (running < RUNNING_MAX && !waiting.is_empty()) {
                    return Err(format!(
                        "admit with {running} running and {} waiting returned {ticket:?}",
                        waiting.len()
                    ));
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
            Command::Release if running > 0 => {
                queue.release();
                running -= 1;
            }
            Command::Release => {}
        }
        if queue.len() != waiting.len() {
            return Err(format!("{} requests are waiting, expected {}", queue.len(), waiting.len()));
        }
    }
    Ok(())
}

#[test]
fn no_request_is_lost_or_admitted_twice() {
    sequence::check(0xfa12, 80, check_against_model);
}

/// A request of an organisation without a backlog must not wait behind the backlog of another one of equal weight.
#[test]
fn a_backlog_does_not_delay_another_organisation() {
    let mut queue = FairQueue::default();
    let (busy, idle): (SharedName, SharedName) = ("flood".into(), "small".into());
    for _ in 0..100 {
        queue.enqueue(&busy, 1, 100, usize::MAX).expect("room");
    }
    for _ in 0..5 {
        queue.admit(usize::MAX).expect("a ticket");
    }
    let ticket = queue.enqueue(&idle, 1, 100, usize::MAX).expect("room");
    let position = (1..=100).find(|_| queue.admit(usize::MAX) == Some(ticket)).expect("it is admitted");
    assert!(position <= 2, "admitted at position {position}");
}

#[test]
fn capacity_is_shared_in_proportion_to_weights() {
    let mut queue = FairQueue::default();
    let (heavy, light): (SharedName, SharedName) = ("heavy".into(), "light".into());
    let mut is_heavy = BTreeMap::new();
    for _ in 0..400 {
        is_heavy.insert(queue.enqueue(&heavy, 3, 10, usize::MAX).expect("room"), true);
        is_heavy.insert(queue.enqueue(&light, 1, 10, usize::MAX).expect("room"), false);
    }
    let heavy = (0..400).filter(|_| queue.admit(usize::MAX).is_some_and(|ticket| is_heavy[&ticket])).count();
    assert!((298..=302).contains(&heavy), "{heavy} of 400 admissions were of weight 3, the others of weight 1");
}

/// An organisation whose requests cost less than expected must not be charged for the difference.
#[test]
fn organisations_are_charged_the_actual_cost() {
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
