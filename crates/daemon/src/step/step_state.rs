//! One step at its home.

use super::step_actor::StepOutcome;
use crate::shared_state::SharedState;
use actix_rt::task::JoinHandle;
use pimentoslip_kernel::{SharedName, StepLedger, StepSpec, TimePoint};
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, SampleBody};
use std::{collections::HashMap, sync::Arc};
use tokio::sync::oneshot;

/// A fetch without samples yet.
pub struct WaitingFetch {
    /// What was asked.
    pub fetch: FetchRequest,
    /// When it is answered without samples.
    pub deadline: TimePoint,
    /// Where the answer goes.
    pub sender: oneshot::Sender<StepOutcome<FetchResponse>>,
}

/// A step at home here, with its trainer's waiting fetches and running attempts.
pub struct StepState {
    /// Organisation that opened it.
    pub organisation: SharedName,
    /// What is sampled.
    pub spec: Arc<StepSpec>,
    /// Which samples run, are whole, were handed over.
    pub ledger: StepLedger,
    /// Fetches without samples yet.
    pub waiting: Vec<WaitingFetch>,
    /// Running attempts by number.
    pub runs: HashMap<u64, JoinHandle<()>>,
    /// When the step is dropped unless a trainer asks for it.
    pub idle_at: TimePoint,
    counted_waste: u64,
}

impl StepState {
    /// A step of which nothing has run.
    pub fn new(organisation: SharedName, spec: StepSpec, bound: u64, published: u64, idle_at: TimePoint) -> Self {
        Self {
            organisation,
            spec: Arc::new(spec.clone()),
            ledger: StepLedger::new(spec, bound, published),
            waiting: Vec::new(),
            runs: HashMap::new(),
            idle_at,
            counted_waste: 0,
        }
    }

    /// Answers waiting fetches that have samples, are complete, or waited long enough.
    pub fn answer(&mut self, shared: &SharedState, now: TimePoint) {
        let waiting = std::mem::take(&mut self.waiting);
        for wait in waiting {
            if wait.sender.is_closed() {
                continue;
            }
            let samples = self.ledger.fetch(&wait.fetch.cursor, wait.fetch.published_version, wait.fetch.samples_max);
            let complete = self.ledger.is_complete();
            if samples.is_empty() && !complete && now < wait.deadline {
                self.waiting.push(wait);
                continue;
            }
            shared.metrics.samples.inc_by(samples.len() as u64);
            let samples = samples.into_iter().map(SampleBody::from).collect();
            // The asker may have gone; it will ask again with the same cursor.
            let _ = wait.sender.send(Ok(FetchResponse { samples, complete, sample_count: self.spec.sample_count() }));
        }
        let wasted = self.ledger.wasted_tokens();
        shared.metrics.wasted_tokens.inc_by(wasted - self.counted_waste);
        self.counted_waste = wasted;
    }
}
