//! Connections of clients: requests are passed on one by one, and connections without progress yield to others.

use crate::sequence;
use pimentoslip_kernel::{ClientPhase, ClientSample, HeadScanner, yielding_client};
use quickcheck::{Arbitrary, Gen};

/// Part of what a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Text,
    Newline,
    CarriageReturn,
    /// The bytes sent so far are received.
    Received,
}

impl Arbitrary for Part {
    fn arbitrary(rng: &mut Gen) -> Self {
        *rng.choose(&[Self::Text, Self::Newline, Self::Newline, Self::CarriageReturn, Self::Received])
            .unwrap_or(&Self::Text)
    }
}

/// Ends of heads in `bytes`, found by comparing each line.
fn expected_ends(bytes: &[u8]) -> Vec<usize> {
    let (mut ends, mut line, mut is_within_head) = (Vec::new(), Vec::new(), false);
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            line.push(*byte);
            continue;
        }
        let is_blank = line.is_empty() || line == b"\r" || (!is_within_head && line.iter().all(|byte| *byte == b'\r'));
        if is_blank && is_within_head {
            ends.push(index + 1);
        }
        is_within_head = !is_blank;
        line.clear();
    }
    ends
}

/// Guards against a head whose end is missed where a block of received bytes ends, so that several requests are passed on.
#[test]
fn every_head_is_passed_on_alone_however_its_bytes_arrive() {
    sequence::check::<Part>(501, 60, |parts| {
        let (mut scanner, mut bytes, mut block, mut ends) =
            (HeadScanner::default(), Vec::new(), Vec::new(), Vec::new());
        for part in parts.iter().chain([&Part::Received]) {
            match part {
                Part::Text => block.push(b'a'),
                Part::Newline => block.push(b'\n'),
                Part::CarriageReturn => block.push(b'\r'),
                Part::Received => {
                    let mut rest = block.as_slice();
                    while let Some(end) = scanner.find_end(rest) {
                        rest = &rest[end..];
                        ends.push(bytes.len() + block.len() - rest.len());
                    }
                    bytes.append(&mut block);
                }
            }
        }
        let expected = expected_ends(&bytes);
        if ends == expected { Ok(()) } else { Err(format!("{ends:?} instead of {expected:?}")) }
    });
}

/// Connections that are open at a time.
const CONNECTIONS_MAX: usize = 4;

/// Input to the simulation of a listener.
#[derive(Clone, Copy, Debug)]
enum Command {
    /// A client connects.
    Connect,
    /// A connection begins to wait for something else.
    Change { client: u8, phase: ClientPhase },
    /// A tick passes.
    Tick,
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let phases = [ClientPhase::New, ClientPhase::Idle, ClientPhase::Head, ClientPhase::Served, ClientPhase::Unread];
        match u8::arbitrary(rng) % 6 {
            0 | 1 => Self::Connect,
            2 | 3 => Self::Change { client: u8::arbitrary(rng), phase: *rng.choose(&phases).unwrap_or(&phases[0]) },
            _ => Self::Tick,
        }
    }
}

/// Adds a connection as the listener does, and checks which one was closed for it.
fn connect(clients: &mut Vec<ClientSample>) -> Result<(), String> {
    if clients.len() >= CONNECTIONS_MAX {
        let longest_idle =
            |phase| clients.iter().filter(|client| client.phase == phase).map(|client| client.ticks).max();
        match yielding_client(clients.iter().copied().enumerate()) {
            Some(index) => {
                let closed = clients.remove(index);
                if closed.phase == ClientPhase::Served {
                    return Err(format!("{closed:?} was being served"));
                }
                if closed.phase != ClientPhase::Idle && closed.ticks == 0 {
                    return Err(format!("{closed:?} was closed at once"));
                }
                if let Some(other) =
                    clients.iter().find(|other| other.phase != ClientPhase::Served && other.ticks > closed.ticks)
                {
                    return Err(format!("{closed:?} was closed, {other:?} was not"));
                }
            }
            None if longest_idle(ClientPhase::Idle).is_some() => return Err("an idle connection did not yield".into()),
            None if clients.iter().any(|client| client.phase != ClientPhase::Served && client.ticks > 0) => {
                return Err("a connection without progress did not yield".into());
            }
            None => return Ok(()),
        }
    }
    clients.push(ClientSample { phase: ClientPhase::New, ticks: 0 });
    Ok(())
}

/// Guards against connections without progress that keep new clients out, and against served ones that are closed for them.
#[test]
fn connections_without_progress_yield_to_new_ones_and_expire() {
    sequence::check::<Command>(502, 60, |commands| {
        let mut clients: Vec<ClientSample> = Vec::new();
        for command in commands {
            match command {
                Command::Connect => connect(&mut clients)?,
                Command::Change { client, phase } if !clients.is_empty() => {
                    let index = usize::from(client) % clients.len();
                    clients[index] = ClientSample { phase, ticks: 0 };
                }
                Command::Change { .. } => {}
                Command::Tick => {
                    clients.iter_mut().for_each(|client| client.ticks += 1);
                    clients.retain(|client| !client.is_expired());
                }
            }
            let late_head = |client: &&ClientSample| {
                matches!(client.phase, ClientPhase::New | ClientPhase::Head) && client.ticks >= 5
            };
            if let Some(client) = clients.iter().find(late_head) {
                return Err(format!("{client:?} is open"));
            }
            if let Some(client) =
                clients.iter().find(|client| client.phase == ClientPhase::Unread && client.ticks >= 30)
            {
                return Err(format!("{client:?} is open"));
            }
        }
        Ok(())
    });
}
