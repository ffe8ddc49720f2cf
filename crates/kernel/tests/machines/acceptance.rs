//! Owners of batch jobs: one that decides about the route of a job knows a configuration at least as new as the one under which
//! the job was accepted.

use crate::sequence;
use pimentoslip_kernel::{AcceptanceBound, TimePoint};
use quickcheck::{Arbitrary, Gen};

/// Input to the simulation of a daemon that accepts jobs and another one that owns them.
#[derive(Clone, Debug)]
enum Command {
    /// The operators write a configuration with the route, or without it.
    Write { has_route: bool },
    /// The accepting daemon reads all configurations.
    ReadByAcceptor,
    /// The owner reads some of the configurations that it does not know yet.
    ReadByOwner { count: u8 },
    /// The owner learns that it knows all configurations.
    ProveOwner,
    /// A job is accepted, by a release that stores the version or by an earlier one, if the accepting daemon knows the route.
    Accept { has_version: bool },
    /// The owner decides about the route of each job.
    Decide,
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 8 {
            0 | 1 => Self::Write { has_route: bool::arbitrary(rng) },
            2 => Self::ReadByAcceptor,
            3 => Self::ReadByOwner { count: u8::arbitrary(rng) % 3 },
            4 => Self::ProveOwner,
            5 => Self::Accept { has_version: bool::arbitrary(rng) },
            _ => Self::Decide,
        }
    }
}

/// The operators, a daemon that accepts jobs, and the daemon that owns them.
#[derive(Default)]
struct Simulation {
    now: TimePoint,
    /// Whether each configuration has the route; versions are positions plus one.
    written: Vec<bool>,
    acceptor_version: usize,
    owner_version: usize,
    owner_current_as_of: TimePoint,
    /// Version under which each job was accepted, and the owner's bound.
    jobs: Vec<(usize, AcceptanceBound)>,
}

impl Simulation {
    fn apply(&mut self, command: &Command) -> Result<(), String> {
        self.now = self.now.plus_ms(1);
        match *command {
            Command::Write { has_route } => self.written.push(has_route),
            Command::ReadByAcceptor => self.acceptor_version = self.written.len(),
            Command::ReadByOwner { count } => {
                self.owner_version = self.written.len().min(self.owner_version + usize::from(count));
            }
            Command::ProveOwner => (self.owner_version, self.owner_current_as_of) = (self.written.len(), self.now),
            Command::Accept { has_version } => {
                let version = self.acceptor_version;
                if version > 0 && self.written[version - 1] {
                    let config_version = has_version.then_some(version as u64);
                    self.jobs.push((version, AcceptanceBound { config_version, learned_at: self.now }));
                }
            }
            Command::Decide => self.decide()?,
        }
        Ok(())
    }

    /// Checks each decision that the owner may take now.
    fn decide(&mut self) -> Result<(), String> {
        if self.owner_version == 0 {
            return Ok(());
        }
        for (accepted_version, bound) in &self.jobs {
            let is_met = bound.is_met(self.owner_version as u64, self.owner_current_as_of);
            let is_absent = !self.written[self.owner_version - 1];
            let was_removed =
                self.written[accepted_version - 1..self.owner_version.max(*accepted_version)].contains(&false);
            if is_met && is_absent && !was_removed {
                return Err(format!("version {} ends a job of version {accepted_version}", self.owner_version));
            }
            if !is_met && self.owner_current_as_of >= bound.learned_at {
                return Err(format!("a job waits although version {} includes its route", self.owner_version));
            }
        }
        Ok(())
    }
}

#[test]
fn no_owner_takes_a_route_that_it_does_not_know_yet_for_a_removed_one() {
    sequence::check(0xacce, 40, |commands: Vec<Command>| {
        let mut simulation = Simulation::default();
        commands.iter().try_for_each(|command| simulation.apply(command))
    });
}
