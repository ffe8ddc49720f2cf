//! Claims: a key runs at most once, whatever fails.

use crate::sequence;
use pimentoslip_kernel::{ClaimAnswer, ClaimKey, ClaimTable, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const DAEMONS: u8 = 3;
const KEYS: u8 = 2;
const RUN_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Command {
    /// A caller asks daemon `owner` for the claim of `key`.
    Ask {
        owner: u8,
        key: u8,
    },
    /// An earlier asker that got no answer asks again under its own number.
    AskAgain {
        attempt: u8,
        owner: u8,
    },
    /// The daemon takes its queue for a group commit.
    TakeBatch {
        owner: u8,
    },
    /// The platform's service receives a commit under way.
    Receive {
        commit: u8,
    },
    /// The daemon gets the answer of a commit, or learns that it failed.
    Answer {
        commit: u8,
        lost: bool,
    },
    /// An ask that nothing disturbs: it is committed and answered.
    Grant {
        owner: u8,
        key: u8,
    },
    /// The latest attempt runs its request.
    RunLatest,
    /// The daemon becomes the shard's owner.
    TakeOver {
        owner: u8,
    },
    /// The daemon's process ends and starts again.
    Crash {
        owner: u8,
    },
    /// A granted attempt runs its request.
    Run {
        attempt: u8,
    },
    /// An attempt that has run tells the end; one that has not gives up. The message may arrive late or twice.
    Settle {
        attempt: u8,
    },
    /// A message arrives at some daemon.
    Deliver {
        message: u8,
        owner: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            16 | 17 => Self::Grant { owner: a % DAEMONS, key: b % KEYS },
            18 => Self::RunLatest,
            0..=2 => Self::Ask { owner: a % DAEMONS, key: b % KEYS },
            3 => Self::AskAgain { attempt: a, owner: b % DAEMONS },
            4 | 5 => Self::TakeBatch { owner: a % DAEMONS },
            6 | 7 => Self::Receive { commit: a },
            8 | 9 => Self::Answer { commit: a, lost: b % 4 == 0 },
            10 => Self::TakeOver { owner: a % DAEMONS },
            11 => Self::Crash { owner: a % DAEMONS },
            12 => Self::Run { attempt: a },
            13 => Self::Settle { attempt: a },
            14 => Self::Deliver { message: a, owner: b % DAEMONS },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 2_000 },
        }
    }
}

struct Attempt {
    key: u8,
    granted: bool,
    ran: bool,
    ended: bool,
}

struct Commit {
    owner: usize,
    process: u32,
    epoch: u64,
    batch: Vec<(ClaimKey, u64, u64)>,
    /// Whether the service applied it, once it has arrived.
    applied: Option<bool>,
}

enum Message {
    Finish { key: ClaimKey, grant: u64 },
    Release { key: ClaimKey, grant: u64 },
}

/// Three daemons, the service's records, and the truth about what ran.
#[derive(Default)]
struct World {
    tables: Vec<ClaimTable<u64>>,
    processes: Vec<u32>,
    owner_revision: u64,
    records: Vec<(ClaimKey, u64)>,
    commits: Vec<Commit>,
    attempts: Vec<Attempt>,
    messages: Vec<Message>,
    runs: HashMap<u8, Vec<u64>>,
    now: TimePoint,
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey(format!("key-{key}").into())
}

fn nth<T>(items: &[T], at: u8) -> Option<usize> {
    (!items.is_empty()).then(|| usize::from(at) % items.len())
}

impl World {
    fn ask(&mut self, attempt: usize, owner: u8) -> Result<(), String> {
        let key = self.attempts[attempt].key;
        let deadline = self.now.plus_ms(RUN_MS);
        let table = &mut self.tables[usize::from(owner)];
        match table.claim(&claim_key(key), attempt as u64, u64::from(key), deadline, self.now) {
            Ok(ClaimAnswer::Granted) => self.attempts[attempt].granted = true,
            Ok(ClaimAnswer::Replay(answer)) => {
                let ran = self.runs.get(&key).is_some_and(|runs| runs.contains(&answer));
                if !ran {
                    return Err(format!("key {key} was answered by attempt {answer}, which did not run"));
                }
            }
            Ok(ClaimAnswer::Reused) => return Err("an equal request counts as a different one".to_owned()),
            _ => {}
        }
        Ok(())
    }

    fn take_batch(&mut self, owner: usize) {
        let Some(epoch) = self.tables[owner].epoch() else { return };
        let batch = self.tables[owner].take_batch();
        if !batch.is_empty() {
            self.commits.push(Commit { owner, process: self.processes[owner], epoch, batch, applied: None });
        }
    }

    fn receive(&mut self, commit: usize) {
        let commit = &mut self.commits[commit];
        if commit.applied.is_some() {
            return;
        }
        let owned = commit.epoch == self.owner_revision;
        commit.applied = Some(owned);
        if owned {
            self.records.extend(commit.batch.iter().map(|(key, _, fingerprint)| (key.clone(), *fingerprint)));
        }
    }

    fn answer(&mut self, at: usize, lost: bool) {
        if self.commits[at].applied.is_none() && !lost {
            return;
        }
        let commit = self.commits.remove(at);
        if self.processes[commit.owner] != commit.process {
            return;
        }
        let table = &mut self.tables[commit.owner];
        for (key, grant, _) in &commit.batch {
            match commit.applied {
                Some(true) if !lost => {
                    if table.claim_committed(key, *grant) {
                        self.attempts[*grant as usize].granted = true;
                    }
                }
                _ => table.commit_failed(key, *grant),
            }
        }
        if commit.applied == Some(false) && !lost {
            table.drop_ownership();
        }
        // A commit that is still under way when its answer is given up may arrive later.
        if commit.applied.is_none() {
            self.commits.push(Commit { process: u32::MAX, ..commit });
        }
    }

    fn run(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if entry.granted && !entry.ran && !entry.ended {
            entry.ran = true;
            self.runs.entry(entry.key).or_default().push(attempt as u64);
        }
    }

    fn settle(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if entry.ended {
            return;
        }
        entry.ended = true;
        let (key, grant) = (claim_key(entry.key), attempt as u64);
        let message = if entry.ran { Message::Finish { key, grant } } else { Message::Release { key, grant } };
        self.messages.push(message);
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Ask { owner, key } => {
                self.attempts.push(Attempt { key, granted: false, ran: false, ended: false });
                self.ask(self.attempts.len() - 1, owner)?;
            }
            Command::AskAgain { attempt, owner } => {
                if let Some(at) = nth(&self.attempts, attempt)
                    && !self.attempts[at].ended
                {
                    self.ask(at, owner)?;
                }
            }
            Command::TakeBatch { owner } => self.take_batch(usize::from(owner)),
            Command::Receive { commit } => {
                if let Some(at) = nth(&self.commits, commit) {
                    self.receive(at);
                }
            }
            Command::Answer { commit, lost } => {
                if let Some(at) = nth(&self.commits, commit) {
                    self.answer(at, lost);
                }
            }
            Command::Grant { owner, key } => {
                self.apply(&Command::Ask { owner, key })?;
                self.take_batch(owner.into());
                if let Some(last) = self.commits.len().checked_sub(1) {
                    self.receive(last);
                    self.answer(last, false);
                }
            }
            Command::RunLatest => {
                if let Some(last) = self.attempts.len().checked_sub(1) {
                    self.run(last);
                }
            }
            Command::TakeOver { owner } => {
                self.owner_revision += 1;
                self.tables[usize::from(owner)].load(self.owner_revision, self.records.clone());
            }
            Command::Crash { owner } => {
                self.tables[usize::from(owner)] = ClaimTable::default();
                self.processes[usize::from(owner)] += 1;
            }
            Command::Run { attempt } => {
                if let Some(at) = nth(&self.attempts, attempt) {
                    self.run(at);
                }
            }
            Command::Settle { attempt } => {
                if let Some(at) = nth(&self.attempts, attempt) {
                    self.settle(at);
                }
            }
            Command::Deliver { message, owner } => {
                if let Some(at) = nth(&self.messages, message) {
                    let table = &mut self.tables[usize::from(owner)];
                    match &self.messages[at] {
                        Message::Finish { key, grant } => table.finish(key, *grant, *grant),
                        Message::Release { key, grant } => table.release(key, *grant),
                    }
                }
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

fn at_most_once(commands: Vec<Command>) -> Result<(), String> {
    let mut world = World::default();
    world.tables.resize_with(usize::from(DAEMONS), ClaimTable::default);
    world.processes.resize(usize::from(DAEMONS), 0);
    world.owner_revision = 1;
    world.tables[0].load(1, Vec::new());
    for command in &commands {
        world.apply(command)?;
        if let Some((key, runs)) = world.runs.iter().find(|(_, runs)| runs.len() > 1) {
            return Err(format!("key {key} ran {} times", runs.len()));
        }
    }
    Ok(())
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    sequence::check(0x51a1, 80, at_most_once);
}

/// A release that arrives a second time must not free the claim of a later attempt.
#[test]
fn a_repeated_release_frees_nothing_else() {
    let ask = Command::Ask { owner: 0, key: 0 };
    let grant =
        [Command::TakeBatch { owner: 0 }, Command::Receive { commit: 0 }, Command::Answer { commit: 0, lost: false }];
    let mut commands = vec![ask.clone()];
    commands.extend(grant.clone());
    commands.extend([Command::Settle { attempt: 0 }, Command::Deliver { message: 0, owner: 0 }, ask.clone()]);
    commands.extend(grant.clone());
    commands.extend([Command::Run { attempt: 1 }, Command::Deliver { message: 0, owner: 0 }, ask]);
    commands.extend(grant);
    commands.push(Command::Run { attempt: 2 });
    at_most_once(commands).expect("runs once");
}
