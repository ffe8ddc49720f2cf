//! Streams of callers: while upstreams of several software versions come and go, daemons lose power, freeze and lose the
//! store, no stream holds events of two versions, and most streams that callers resume are continued.

use crate::sequence;
use pimentoslip_kernel::{SharedName, SoftwareHistory, SoftwareUse, StreamOrigin, StreamRegister, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 4;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const SERVICE: &str = "s";
/// Longest time until a running daemon learns of a change of the list or of the stored versions.
const SETTLE_MS: u64 = 3_000;
/// Time between two steps of the simulation.
const STEP_MS: u64 = 100;
/// Difference between the clocks of the simulation and the wall clock.
const UNIX_OFFSET_MS: u64 = 1_700_000_000_000;

/// Event of a simulated site.
#[derive(Clone, Debug)]
enum Command {
    /// A caller starts a stream at a daemon.
    Start { daemon: usize, pick: usize },
    /// A caller starts a stream at a daemon, which loses power before it has stored it.
    StartAndLose { daemon: usize, pick: usize },
    /// The caller of a stream resumes it at a daemon.
    Resume { stream: u8, daemon: usize },
    /// Upstreams with a version start, or leave.
    Toggle { version: usize },
    /// A daemon freezes; it has not received any change when it wakes.
    Freeze { daemon: usize, ms: u16 },
    /// A daemon reaches neither the store nor others; or only one of them, through which it receives all changes.
    CutOff { daemon: usize, from_store: bool, from_peers: bool, ms: u16 },
    /// Daemons lose power at once and start again.
    PowerLoss { daemons: u8 },
    /// The store is away.
    StoreAway { ms: u16 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, pick) = (usize::arbitrary(rng) % DAEMONS, usize::arbitrary(rng));
        let ms = u16::arbitrary(rng) % 9_000;
        match u8::arbitrary(rng) % 20 {
            0..=4 => Self::Start { daemon, pick },
            16 | 17 => Self::StartAndLose { daemon, pick },
            18 | 19 => Self::CutOff {
                daemon,
                from_store: pick & 3 != 1,
                from_peers: pick & 3 != 2,
                ms: u16::arbitrary(rng) % 9_000,
            },
            5..=9 => Self::Resume { stream: u8::arbitrary(rng), daemon },
            10..=11 => Self::Toggle { version: pick % VERSIONS.len() },
            12 => Self::Freeze { daemon, ms },
            13 => Self::PowerLoss { daemons: u8::arbitrary(rng) },
            14 => Self::StoreAway { ms },
            _ => Self::Wait { ms },
        }
    }
}

/// Contents of the store.
#[derive(Default)]
struct Store {
    uses: Vec<SoftwareUse>,
    /// Versions before the last change.
    previous_uses: Vec<SoftwareUse>,
    revision: u64,
    /// Streams by the daemon's incarnation that stored them; an entry outlives its daemon.
    streams: BTreeMap<u64, StreamOrigin>,
    away_until: u64,
}

#[derive(Default)]
struct Daemon {
    register: StreamRegister,
    history: SoftwareHistory,
    /// Versions of the listed upstreams, as received.
    listed: BTreeSet<SharedName>,
    /// When changes were last received; 0 after a start.
    current_as_of: u64,
    frozen_until: u64,
    cut_until: u64,
    is_cut_from_store: bool,
    is_cut_from_peers: bool,
}

impl Daemon {
    /// Whether the daemon reaches the store, directly or through others.
    fn reaches_store(&self, now: u64) -> bool {
        !(self.cut_until > now && self.is_cut_from_store && self.is_cut_from_peers)
    }

    /// Whether others reach the daemon, and it them.
    fn reaches_peers(&self, now: u64) -> bool {
        self.frozen_until <= now && !(self.cut_until > now && self.is_cut_from_peers)
    }
}

/// A stream with the versions that generated its events.
struct Stream {
    software: BTreeSet<SharedName>,
}

struct Site {
    now: u64,
    store: Store,
    daemons: Vec<Daemon>,
    serving: BTreeSet<SharedName>,
    streams: Vec<Stream>,
    /// Streams whose software served when their caller resumed them, and how many of them were continued.
    resumed_count: usize,
    continued_count: usize,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            now: 1_000,
            store: Store::default(),
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            serving: BTreeSet::from([VERSIONS[0].into()]),
            streams: Vec::new(),
            resumed_count: 0,
            continued_count: 0,
        };
        site.run(5_000);
        site
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Start { daemon, pick } => self.start(daemon, pick),
            Command::StartAndLose { daemon, pick } => {
                self.start(daemon, pick);
                self.lose_power(daemon);
            }
            Command::CutOff { daemon, from_store, from_peers, ms } => {
                let daemon = &mut self.daemons[daemon];
                daemon.cut_until = self.now + u64::from(ms);
                (daemon.is_cut_from_store, daemon.is_cut_from_peers) = (from_store, from_peers);
            }
            Command::Resume { stream, daemon } => return self.resume(usize::from(stream), daemon),
            Command::Toggle { version } => {
                let version: SharedName = VERSIONS[version].into();
                if !self.serving.remove(&version) {
                    self.serving.insert(version);
                }
            }
            Command::Freeze { daemon, ms } => self.daemons[daemon].frozen_until = self.now + u64::from(ms),
            Command::PowerLoss { daemons } => {
                (0..DAEMONS).filter(|daemon| daemons >> daemon & 1 == 1).for_each(|daemon| self.lose_power(daemon));
            }
            Command::StoreAway { ms } => self.store.away_until = self.now + u64::from(ms),
            Command::Wait { ms } => self.run(u64::from(ms)),
        }
        Ok(())
    }

    fn lose_power(&mut self, daemon: usize) {
        self.daemons[daemon] = Daemon { frozen_until: self.now + 500, ..Daemon::default() };
    }

    fn is_store_up(&self) -> bool {
        self.store.away_until <= self.now
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            if self.is_store_up() {
                (0..DAEMONS).for_each(|daemon| self.step(daemon));
            }
        }
    }

    /// Lets a daemon receive changes, each after a delay of its own, and write its own.
    fn step(&mut self, number: usize) {
        let (now, unix_ms) = (self.now, UNIX_OFFSET_MS + self.now);
        let daemon = &mut self.daemons[number];
        if daemon.frozen_until > now || !daemon.reaches_store(now) {
            return;
        }
        let is_behind = now / STEP_MS % (SETTLE_MS / STEP_MS) != (number * 7) as u64;
        if daemon.current_as_of == 0 || !is_behind {
            daemon.listed.clone_from(&self.serving);
            daemon.history.uses_stored(SERVICE, self.store.uses.clone(), self.store.revision);
            // A change may arrive after a newer one, which this daemon read or wrote itself.
            daemon.history.uses_stored(
                SERVICE,
                self.store.previous_uses.clone(),
                self.store.revision.saturating_sub(1),
            );
            daemon.current_as_of = now;
        }
        let update = daemon.history.due_update(&SERVICE.into(), &daemon.listed, number, TimePoint(now), unix_ms);
        if let Some(update) = update.filter(|update| update.replaced_revision == self.store.revision) {
            self.store.revision += 1;
            self.store.previous_uses = std::mem::replace(&mut self.store.uses, update.uses.clone());
            daemon.history.uses_stored(SERVICE, update.uses, self.store.revision);
        }
        let is_mixed = daemon.history.sole_software(SERVICE, unix_ms).is_none();
        let stored = daemon.register.take_unstored(|_| is_mixed, 1_000, TimePoint(now));
        self.store.streams.extend(stored);
    }

    /// Starts a stream at a listed upstream that still serves and whose version is stored.
    fn start(&mut self, number: usize, pick: usize) {
        let daemon = &mut self.daemons[number];
        let is_in_service = |version: &&SharedName| daemon.history.is_in_service(SERVICE, version);
        let usable: Vec<SharedName> =
            daemon.listed.intersection(&self.serving).filter(is_in_service).cloned().collect();
        if daemon.frozen_until > self.now || usable.is_empty() {
            return;
        }
        let software = usable[pick % usable.len()].clone();
        let key = self.streams.len() as u64;
        let stream = StreamOrigin { service: SERVICE.into(), software: software.clone() };
        daemon.register.started(key, stream, TimePoint(self.now));
        self.streams.push(Stream { software: BTreeSet::from([software]) });
    }

    /// Continues a stream at a daemon, or refuses it.
    fn resume(&mut self, stream: usize, number: usize) -> Result<(), String> {
        if self.streams.is_empty() || self.daemons[number].frozen_until > self.now {
            return Ok(());
        }
        let key = stream % self.streams.len();
        let origin = self.find(key as u64, number);
        let software = self.streams[key].software.clone();
        let is_served = software
            .iter()
            .any(|version| self.serving.contains(version) && self.daemons[number].listed.contains(version));
        self.resumed_count += usize::from(is_served);
        let Some(version) = origin else { return Ok(()) };
        let daemon = &self.daemons[number];
        if !daemon.listed.contains(&version) || !self.serving.contains(&version) {
            return Ok(());
        }
        self.continued_count += usize::from(is_served);
        self.streams[key].software.insert(version);
        if self.streams[key].software.len() > 1 {
            return Err(format!("stream {key} holds events of {:?} at {} ms", self.streams[key].software, self.now));
        }
        Ok(())
    }

    /// The version with which a daemon continues a stream: as it knows, as the store says, or as the others know.
    fn find(&mut self, key: u64, number: usize) -> Option<SharedName> {
        let (now, unix_ms) = (TimePoint(self.now), UNIX_OFFSET_MS + self.now);
        let is_store_up = self.is_store_up() && self.daemons[number].reaches_store(self.now);
        let daemon = &mut self.daemons[number];
        if let Some(stream) = daemon.register.get(key, now) {
            return Some(stream.software.clone());
        }
        if is_store_up {
            daemon.history.uses_stored(SERVICE, self.store.uses.clone(), self.store.revision);
            let sole = daemon.history.sole_software(SERVICE, unix_ms);
            let stored = self.store.streams.get(&key).map(|stream| stream.software.clone());
            if let Some(software) = stored.or(sole) {
                return Some(software);
            }
        }
        if !daemon.reaches_peers(now.0) {
            return None;
        }
        let others = self.daemons.iter_mut().filter(|daemon| daemon.reaches_peers(now.0));
        others.into_iter().find_map(|daemon| daemon.register.get(key, now).map(|stream| stream.software.clone()))
    }
}

fn check_streams(commands: Vec<Command>) -> Result<(), String> {
    let mut site = Site::new();
    for command in &commands {
        site.apply(command)?;
        site.run(STEP_MS);
    }
    Ok(())
}

/// Guards against streams joined from two software versions.
#[test]
fn no_stream_holds_events_of_two_software_versions() {
    sequence::check(0x57e4, 60, check_streams);
}

/// Guards against resumed streams that are refused although upstreams of their software serve: after a release began, at other
/// daemons than the one that started the stream, and after all have lost power.
#[test]
fn most_streams_go_on_while_upstreams_of_their_software_serve() {
    for is_power_lost in [false, true] {
        let mut site = Site::new();
        for round in 0..40 {
            if round == 10 {
                site.apply(&Command::Toggle { version: 1 }).expect("allowed");
            }
            for daemon in 0..DAEMONS {
                site.apply(&Command::Start { daemon, pick: round }).expect("allowed");
            }
            site.run(300);
            if is_power_lost && round > 20 {
                site.apply(&Command::PowerLoss { daemons: u8::MAX }).expect("allowed");
                site.run(1_000);
            }
            for stream in 0..DAEMONS {
                let newest = site.streams.len() - 1 - stream;
                let stream = u8::try_from(newest).expect("fewer than 256 streams");
                site.apply(&Command::Resume { stream, daemon: (stream as usize + 1) % DAEMONS }).expect("not joined");
            }
        }
        assert!(site.resumed_count >= 100, "{} streams were resumed", site.resumed_count);
        assert!(
            site.continued_count * 10 >= site.resumed_count * 9,
            "{} of {} were continued",
            site.continued_count,
            site.resumed_count
        );
    }
}

/// Guards against writes for each stream while one version alone has served, and for ever after a release.
#[test]
fn streams_are_stored_only_while_two_versions_may_have_started_them() {
    let mut site = Site::new();
    let stored_by_round = |site: &mut Site| {
        let before = site.store.streams.len();
        (0..DAEMONS).for_each(|daemon| site.start(daemon, 0));
        site.run(2_000);
        site.store.streams.len() - before
    };
    let revision = site.store.revision;
    assert_eq!(stored_by_round(&mut site), 0, "one version has served");
    assert_eq!(site.store.revision, revision);
    site.apply(&Command::Toggle { version: 1 }).expect("allowed");
    site.run(5_000);
    assert!(stored_by_round(&mut site) >= DAEMONS, "two versions serve");
    site.apply(&Command::Toggle { version: 0 }).expect("allowed");
    site.run(20_000);
    assert_eq!(stored_by_round(&mut site), DAEMONS, "streams of the version that left may be resumed");
    site.run(pimentoslip_kernel::STREAM_TTL_MS + 10_000);
    let revision = site.store.revision;
    assert_eq!(stored_by_round(&mut site), 0, "the version has left long ago");
    assert_eq!(site.store.revision, revision);
}

/// Guards against streams of a version that the store says has left, which are taken for streams of the other one when it
/// has been alone for long.
#[test]
fn a_version_that_is_marked_as_left_starts_no_stream_until_it_is_stored_again() {
    let mut history = SoftwareHistory::default();
    let software_use = |version: &str, left: Option<u64>| SoftwareUse { software: version.into(), left_unix_ms: left };
    history.uses_stored(SERVICE, vec![software_use("v1", None), software_use("v2", Some(1_000))], 7);
    assert!(history.is_in_service(SERVICE, "v1"));
    assert!(!history.is_in_service(SERVICE, "v2"));
    assert_eq!(history.sole_software(SERVICE, 2_000), None, "streams of v2 may be resumed");
    assert_eq!(history.sole_software(SERVICE, 500_000).as_deref(), Some("v1"));
    let listed: BTreeSet<SharedName> = BTreeSet::from(["v1".into(), "v2".into()]);
    let update = history.due_update(&SERVICE.into(), &listed, 0, TimePoint(600_000), 600_000).expect("v2 is back");
    assert_eq!(update.replaced_revision, 7);
    history.uses_stored(SERVICE, update.uses, 8);
    assert!(history.is_in_service(SERVICE, "v2"));
    assert_eq!(history.sole_software(SERVICE, 600_000), None);
}
