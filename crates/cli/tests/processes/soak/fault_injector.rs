//! Injects the faults of a seed.

use super::{EDGES, KEYS, NORTHERN_DESKS, SOFTWARE, SOUTH_KEY};
use crate::support::{EdgeSite, PathMatrix};
use pimentoslip_standin::{PlatformUpstream, RelayRule, StoreFault, TcpRelay, UpstreamFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

/// Faults of one seed.
const FAULTS: usize = 16;
/// Ways in which paths to upstreams are lost.
const PATH_LOSSES: [RelayRule; 4] = [RelayRule::Silence, RelayRule::Refuse, RelayRule::RefuseNew, RelayRule::Cut];
/// Key of the entry that names the holder of the duty.
const DUTY_KEY: &str = "p/w/duty";
/// Shortest time of a long standstill: longer than the lease of an edge, which is 3 s.
const LONG_STANDSTILL: Duration = Duration::from_millis(3_500);

/// A desk that says in its responses that it leaves, while the store lists it as ready.
pub struct LeavingDesk {
    /// The desk.
    pub desk: PlatformUpstream,
    /// Time of its first response that says so.
    pub announced_at: Instant,
}

/// Parts of a site in which faults are injected, several of which may last at the same time.
pub struct FaultInjector<'a> {
    /// The site.
    pub site: &'a mut EdgeSite,
    /// Relay between each edge and the store.
    pub relays: &'a [TcpRelay],
    /// Relays between edges and upstreams.
    pub matrix: &'a mut PathMatrix,
    /// Batch routes that were added.
    pub routes: &'a RefCell<Vec<String>>,
    rng: ChaCha8Rng,
    /// Draws what the operator does, so that the faults of a seed do not depend on it.
    operator_rng: ChaCha8Rng,
    /// Until when each edge is suspended at least; `None` for one that is not.
    standstills: [Option<Instant>; EDGES],
    leaving: Vec<LeavingDesk>,
}

impl<'a> FaultInjector<'a> {
    /// Creates the injector of the faults of `seed`.
    pub fn new(
        site: &'a mut EdgeSite,
        relays: &'a [TcpRelay],
        matrix: &'a mut PathMatrix,
        routes: &'a RefCell<Vec<String>>,
        seed: u64,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let operator_rng = ChaCha8Rng::seed_from_u64(seed + 2);
        Self { site, relays, matrix, routes, rng, operator_rng, standstills: [None; EDGES], leaving: Vec::new() }
    }

    /// Injects all faults and ends them. Returns the desks that leave.
    pub async fn run(mut self) -> Vec<LeavingDesk> {
        for _ in 0..FAULTS {
            self.operate();
            match self.rng.random_range(0..23) {
                fault @ (0..=4 | 16 | 20..=22) => self.fail_processes(fault),
                fault @ (5..=8 | 17) => self.fail_store(fault),
                fault @ (9 | 12..=15) => self.fail_paths(fault).await,
                fault => self.fail_responses(fault),
            }
            actix_rt::time::sleep(Duration::from_millis(self.rng.random_range(50..900))).await;
            // One of the faults of before may end.
            let edge = self.rng.random_range(0..EDGES);
            if self.rng.random_bool(0.7) && !self.stands_still(edge) {
                self.heal(edge);
            }
            if self.rng.random_bool(0.5) {
                self.site.store.set_fault(StoreFault::default());
            }
        }
        while (0..EDGES).any(|edge| self.stands_still(edge)) {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        (0..EDGES).for_each(|edge| self.heal(edge));
        self.site.store.set_fault(StoreFault::default());
        self.leaving
    }

    /// Lets the operator evacuate the south or end that, from time to time.
    fn operate(&mut self) {
        match self.operator_rng.random_range(0..6) {
            0 => self.site.store.put(SOUTH_KEY, &json!({})),
            1 => self.site.store.contents().remove(SOUTH_KEY),
            2 => self.site.store.contents().discard_history(),
            _ => {}
        }
    }

    /// Kills, stops or suspends edges.
    fn fail_processes(&mut self, fault: u32) {
        let edge = self.rng.random_range(0..EDGES);
        if let 20 | 21 = fault {
            return self.restart_all();
        }
        let process = &mut self.site.edges[edge].process;
        if process.exit_status().is_some() {
            return self.fail_responses(fault);
        }
        match fault {
            0 | 1 => {
                process.kill();
                self.standstills[edge] = None;
            }
            2 if self.standstills[edge].is_none() => process.terminate(),
            3 | 4 => self.suspend(edge, Duration::ZERO),
            16 => {
                self.suspend(edge, Duration::ZERO);
                let mut routes = self.routes.borrow_mut();
                let name = format!("new-{}", routes.len());
                routes.push(name);
                self.site.write_config_with(2 + routes.len() as u64, &KEYS, &routes);
            }
            22 => {
                let extra = Duration::from_millis(self.rng.random_range(0..1_500));
                self.suspend(edge, LONG_STANDSTILL + extra);
            }
            _ => self.fail_responses(fault),
        }
    }

    /// Suspends an edge for `time` at least.
    fn suspend(&mut self, edge: usize, time: Duration) {
        self.site.edges[edge].process.freeze();
        let until = Instant::now() + time;
        self.standstills[edge] = Some(self.standstills[edge].map_or(until, |earlier| earlier.max(until)));
    }

    /// Whether an edge is suspended for some more time, whatever else happens.
    fn stands_still(&self, edge: usize) -> bool {
        self.standstills[edge].is_some_and(|until| until > Instant::now())
    }

    /// Kills all edges, and then starts them again. Other faults go on.
    fn restart_all(&mut self) {
        self.site.edges.iter_mut().for_each(|edge| edge.process.kill());
        (0..EDGES).for_each(|edge| self.site.restart_edge(edge));
        self.standstills = [None; EDGES];
    }

    /// Breaks the connections of an edge to the store, or the store itself.
    fn fail_store(&mut self, fault: u32) {
        let edge = self.rng.random_range(0..EDGES);
        let count = self.rng.random_range(1..4);
        let set_fault = |fault| self.site.store.set_fault(fault);
        match fault {
            5 => self.relays[edge].set_rule(RelayRule::Stall),
            6 => self.relays[edge].set_rule(RelayRule::Cut),
            7 => set_fault(StoreFault { down: true, ..StoreFault::default() }),
            8 => set_fault(StoreFault { lose_commits: count, ..StoreFault::default() }),
            _ => {
                set_fault(StoreFault { lost_writes: Some((DUTY_KEY, count)), ..StoreFault::default() });
                self.stop_duty_holder();
            }
        }
    }

    /// Asks the holder of the duty to stop, so that another edge takes the duty.
    fn stop_duty_holder(&mut self) {
        let Some(entry) = self.site.store.contents().value(DUTY_KEY) else { return };
        let entry = String::from_utf8_lossy(&entry);
        let Some(holder) = self.site.edges.iter().position(|edge| entry.contains(&edge.vm)) else { return };
        let process = &mut self.site.edges[holder].process;
        if process.exit_status().is_none() && self.standstills[holder].is_none() {
            process.terminate();
        }
    }

    /// Breaks paths to upstreams, or stops upstreams.
    async fn fail_paths(&mut self, fault: u32) {
        let edge = self.rng.random_range(0..EDGES);
        let loss = PATH_LOSSES[self.rng.random_range(0..PATH_LOSSES.len())];
        match fault {
            9 => {
                let engine = self.rng.random_range(0..self.site.engines.len());
                self.site.engines[engine].stop().await;
                let id = format!("engine-{}", self.site.engines.len() + 1);
                self.site.start_engine_with(&id, SOFTWARE[self.rng.random_range(0..SOFTWARE.len())]);
                self.matrix.add_upstreams(self.site).await;
            }
            14 => {
                let address = self.random_upstream().address;
                self.matrix.set(edge, address, loss);
            }
            15 if self.leaving.is_empty() => {
                let desk = self.site.desks[1].clone();
                desk.announce_leaving(true);
                self.leaving.push(LeavingDesk { desk, announced_at: Instant::now() });
            }
            15 => self.fail_responses(fault),
            _ => self.matrix.set_all(edge, loss),
        }
    }

    /// Lets an upstream break, spoil or refuse its next responses.
    fn fail_responses(&mut self, fault: u32) {
        let engine = self.rng.random_range(0..self.site.engines.len());
        let engine = &self.site.engines[engine];
        match fault {
            10 => engine.set_faults([UpstreamFault::CutAfter(3), UpstreamFault::CutAfter(12)]),
            18 => engine.set_faults([UpstreamFault::SpoilAfter(2), UpstreamFault::SpoilAfter(9)]),
            19 => engine.set_faults([UpstreamFault::EndlessAfter(1), UpstreamFault::EndlessAfter(0)]),
            _ => {
                let faults =
                    [UpstreamFault::LoseAnswer, UpstreamFault::Truncate, UpstreamFault::WrongId, UpstreamFault::Refuse];
                self.random_upstream().set_faults(faults);
            }
        }
    }

    /// Any upstream but the desk of the south, so that the seeds keep their faults.
    fn random_upstream(&mut self) -> PlatformUpstream {
        let upstreams: Vec<&PlatformUpstream> =
            self.site.desks.iter().take(NORTHERN_DESKS).chain(&self.site.engines).collect();
        upstreams[self.rng.random_range(0..upstreams.len())].clone()
    }

    /// Ends the faults of an edge.
    fn heal(&mut self, edge: usize) {
        self.relays[edge].set_rule(RelayRule::Pass);
        self.matrix.set_all(edge, RelayRule::Pass);
        if self.standstills[edge].take().is_some() {
            self.site.edges[edge].process.resume();
        }
        if self.site.edges[edge].process.exit_status().is_some() {
            self.site.restart_edge(edge);
        }
    }
}
