//! Idempotency claims: the request of a key runs at most once, whatever fails.

use crate::sequence;
use pimentoslip_kernel::{ClaimAnswer, ClaimKey, ClaimTable, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const DAEMONS: u8 = 3;
const KEYS: u8 = 2;
/// Time until the deadline of each attempt's request.
const RUN_TIMEOUT_MS: u64 = 1_000;

/// Input to the simulation of a claim shard.
#[derive(Clone, Debug)]
enum Command {
    /// A caller requests the claim of `key` from daemon `owner`.
    Request { owner: u8, key: u8 },
    /// An attempt that received no answer repeats its request under the same number.
    RequestAgain { attempt: u8, owner: u8 },
    /// The daemon takes its queue for a group commit.
    TakeBatch { owner: u8 },
    /// The platform's key-value service receives a commit that is in flight.
    ReceiveCommit { commit: u8 },
    /// The daemon receives the answer to a commit, or the call fails.
    AnswerCommit { commit: u8, lost: bool },
    /// A caller requests a claim, which is committed and answered at once.
    Grant { owner: u8, key: u8 },
    /// The latest attempt runs its request.
    RunLatest,
    /// The daemon becomes the shard's owner.
    TakeOver { owner: u8 },
    /// The daemon's process ends and restarts.
    Crash { owner: u8 },
    /// A granted attempt runs its request.
    Run { attempt: u8 },
    /// An attempt sends its outcome: finished if its request ran, released otherwise. The message may arrive late or
    /// twice.
    Settle { attempt: u8 },
    /// A message arrives at daemon `owner`, which may not be the shard's owner.
    Deliver { message: u8, owner: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            16 | 17 => Self::Grant { owner: first % DAEMONS, key: second % KEYS },
            18 => Self::RunLatest,
            0..=2 => Self::Request { owner: first % DAEMONS, key: second % KEYS },
            3 => Self::RequestAgain { attempt: first, owner: second % DAEMONS },
            4 | 5 => Self::TakeBatch { owner: first % DAEMONS },
            6 | 7 => Self::ReceiveCommit { commit: first },
            8 | 9 => Self::AnswerCommit { commit: first, lost: second % 4 == 0 },
            10 => Self::TakeOver { owner: first % DAEMONS },
            11 => Self::Crash { owner: first % DAEMONS },
            12 => Self::Run { attempt: first },
            13 => Self::Settle { attempt: first },
            14 => Self::Deliver { message: first, owner: second % DAEMONS },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 2_000 },
        }
    }
}

/// A caller's attempt to run the request of a key. Its index is its grant number.
struct Attempt {
    key: u8,
    granted: bool,
    ran: bool,
    ended: bool,
}

/// A group commit sent to the service.
struct Commit {
    owner: usize,
    process: u32,
    epoch: u64,
    /// Key, grant number and request fingerprint of each claim.
    batch: Vec<(ClaimKey, u64, u64)>,
    /// Whether the service applied the commit; `None` before it arrives.
    applied: Option<bool>,
}

/// The outcome of an attempt, on its way to the shard's owner.
enum Message {
    Finish { key: ClaimKey, grant: u64 },
    Release { key: ClaimKey, grant: u64 },
}

/// Model of the daemons, the claims stored in the service, and the requests that actually ran.
#[derive(Default)]
struct Simulation {
    tables: Vec<ClaimTable<u64>>,
    /// Incarnation of each daemon's process.
    processes: Vec<u32>,
    /// Revision of the shard's owner record.
    owner_revision: u64,
    /// Stored claims with the fingerprints of their requests.
    stored: Vec<(ClaimKey, u64)>,
    commits: Vec<Commit>,
    attempts: Vec<Attempt>,
    messages: Vec<Message>,
    /// Attempts that ran, by key.
    runs: HashMap<u8, Vec<u64>>,
    now: TimePoint,
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey(format!("key-{key}").into())
}

/// An index into `items`, from an arbitrary number; `None` if there are no items.
fn wrapped_index<T>(items: &[T], number: u8) -> Option<usize> {
    (!items.is_empty()).then(|| usize::from(number) % items.len())
}

impl Simulation {
    /// Requests the claim for `attempt` from daemon `owner`. Fails if a returned answer is not one of the key's runs.
    fn request_claim(&mut self, attempt: usize, owner: u8) -> Result<(), String> {
        let key = self.attempts[attempt].key;
        let deadline = self.now.plus_ms(RUN_TIMEOUT_MS);
        let table = &mut self.tables[usize::from(owner)];
        match table.claim(&claim_key(key), attempt as u64, u64::from(key), deadline, self.now) {
            Ok(ClaimAnswer::Granted) => self.attempts[attempt].granted = true,
            Ok(ClaimAnswer::Replay(answer)) => {
                let has_run = self.runs.get(&key).is_some_and(|runs| runs.contains(&answer));
                if !has_run {
                    return Err(format!("key {key} returned the answer of attempt {answer}, which did not run"));
                }
            }
            Ok(ClaimAnswer::Reused) => return Err("the same request was classified as a different one".to_owned()),
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

    fn receive_commit(&mut self, commit: usize) {
        let commit = &mut self.commits[commit];
        if commit.applied.is_some() {
            return;
        }
        let is_owner = commit.epoch == self.owner_revision;
        commit.applied = Some(is_owner);
        if is_owner {
            self.stored.extend(commit.batch.iter().map(|(key, _, fingerprint)| (key.clone(), *fingerprint)));
        }
    }

    fn answer_commit(&mut self, index: usize, lost: bool) {
        if self.commits[index].applied.is_none() && !lost {
            return;
        }
        let commit = self.commits.remove(index);
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
        // The daemon stopped waiting for a commit that is still in flight and may arrive later.
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
            Command::Request { owner, key } => {
                self.attempts.push(Attempt { key, granted: false, ran: false, ended: false });
                self.request_claim(self.attempts.len() - 1, owner)?;
            }
            Command::RequestAgain { attempt, owner } => {
                if let Some(index) = wrapped_index(&self.attempts, attempt)
                    && !self.attempts[index].ended
                {
                    self.request_claim(index, owner)?;
                }
            }
            Command::TakeBatch { owner } => self.take_batch(usize::from(owner)),
            Command::ReceiveCommit { commit } => {
                if let Some(index) = wrapped_index(&self.commits, commit) {
                    self.receive_commit(index);
                }
            }
            Command::AnswerCommit { commit, lost } => {
                if let Some(index) = wrapped_index(&self.commits, commit) {
                    self.answer_commit(index, lost);
                }
            }
            Command::Grant { owner, key } => {
                self.apply(&Command::Request { owner, key })?;
                self.take_batch(owner.into());
                if let Some(last) = self.commits.len().checked_sub(1) {
                    self.receive_commit(last);
                    self.answer_commit(last, false);
                }
            }
            Command::RunLatest => {
                if let Some(last) = self.attempts.len().checked_sub(1) {
                    self.run(last);
                }
            }
            Command::TakeOver { owner } => {
                self.owner_revision += 1;
                self.tables[usize::from(owner)].load(self.owner_revision, self.stored.clone());
            }
            Command::Crash { owner } => {
                self.tables[usize::from(owner)] = ClaimTable::default();
                self.processes[usize::from(owner)] += 1;
            }
            Command::Run { attempt } => {
                if let Some(index) = wrapped_index(&self.attempts, attempt) {
                    self.run(index);
                }
            }
            Command::Settle { attempt } => {
                if let Some(index) = wrapped_index(&self.attempts, attempt) {
                    self.settle(index);
                }
            }
            Command::Deliver { message, owner } => {
                if let Some(index) = wrapped_index(&self.messages, message) {
                    let table = &mut self.tables[usize::from(owner)];
                    match &self.messages[index] {
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

fn each_key_runs_at_most_once(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::default();
    simulation.tables.resize_with(usize::from(DAEMONS), ClaimTable::default);
    simulation.processes.resize(usize::from(DAEMONS), 0);
    simulation.owner_revision = 1;
    simulation.tables[0].load(1, Vec::new());
    for command in &commands {
        simulation.apply(command)?;
        if let Some((key, runs)) = simulation.runs.iter().find(|(_, runs)| runs.len() > 1) {
            return Err(format!("key {key} ran {} times", runs.len()));
        }
    }
    Ok(())
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    sequence::check(0x51a1, 80, each_key_runs_at_most_once);
}

/// An attempt is released and its release message arrives twice. The second one must not free the claim of a later
/// attempt that has run, or the key would run again.
#[test]
fn a_repeated_release_does_not_free_the_claim_of_a_later_attempt() {
    let request = Command::Request { owner: 0, key: 0 };
    let grant = [
        Command::TakeBatch { owner: 0 },
        Command::ReceiveCommit { commit: 0 },
        Command::AnswerCommit { commit: 0, lost: false },
    ];
    let mut commands = vec![request.clone()];
    commands.extend(grant.clone());
    commands.extend([Command::Settle { attempt: 0 }, Command::Deliver { message: 0, owner: 0 }, request.clone()]);
    commands.extend(grant.clone());
    commands.extend([Command::Run { attempt: 1 }, Command::Deliver { message: 0, owner: 0 }, request]);
    commands.extend(grant);
    commands.push(Command::Run { attempt: 2 });
    each_key_runs_at_most_once(commands).expect("the key runs once");
}
