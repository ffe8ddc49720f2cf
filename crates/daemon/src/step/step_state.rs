//! State of a step on the daemon that owns it.

use super::step_actor::StepOutcome;
use crate::shared_state::SharedState;
use actix_rt::task::JoinHandle;
use pimentoslip_kernel::{SharedName, StepLedger, StepSpec, TimePoint};
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, SampleBody};
use std::{collections::HashMap, sync::Arc};
use tokio::sync::oneshot;

/// A trainer's fetch that waits for samples.
pub struct WaitingFetch {
    /// Body of the trainer's request.
    pub request: FetchRequest,
    /// Time at which the fetch is answered even without samples.
    pub deadline: TimePoint,
    /// Channel for the response.
    pub sender: oneshot::Sender<StepOutcome<FetchResponse>>,
}

/// A step that this daemon owns, with its trainer's waiting fetches and its running attempts.
pub struct StepState {
    /// Organisation that opened the step.
    pub organisation: SharedName,
    /// Specification of the step, as requested by the trainer.
    pub spec: Arc<StepSpec>,
    /// Tracks which samples are running, complete or confirmed by the trainer.
    pub ledger: StepLedger,
    /// Fetches that wait for samples.
    pub waiting_fetches: Vec<WaitingFetch>,
    /// Tasks of the running attempts, by attempt number.
    pub attempts: HashMap<u64, JoinHandle<()>>,
    /// Time at which the step is removed, unless a trainer fetches from it before.
    pub expires_at: TimePoint,
    /// Wasted tokens that have been added to the metric.
    counted_wasted_tokens: u64,
}

impl StepState {
    /// Creates a step without attempts. `staleness_bound` is the number of weight versions by which a sample may lag
    /// behind the newest one; `published_version` is the newest published version.
    pub fn new(
        organisation: SharedName,
        spec: StepSpec,
        staleness_bound: u64,
        published_version: u64,
        expires_at: TimePoint,
    ) -> Self {
        Self {
            organisation,
            spec: Arc::new(spec.clone()),
            ledger: StepLedger::new(spec, staleness_bound, published_version),
            waiting_fetches: Vec::new(),
            attempts: HashMap::new(),
            expires_at,
            counted_wasted_tokens: 0,
        }
    }

    /// Answers the waiting fetches for which there are samples or whose deadline has passed, and all of them once the
    /// trainer has confirmed every sample.
    pub fn answer_fetches(&mut self, shared: &SharedState, now: TimePoint) {
        let waiting_fetches = std::mem::take(&mut self.waiting_fetches);
        for fetch in waiting_fetches {
            if fetch.sender.is_closed() {
                continue;
            }
            let samples =
                self.ledger.fetch(&fetch.request.cursor, fetch.request.published_version, fetch.request.samples_max);
            let complete = self.ledger.is_complete();
            if samples.is_empty() && !complete && now < fetch.deadline {
                self.waiting_fetches.push(fetch);
                continue;
            }
            shared.metrics.samples.inc_by(samples.len() as u64);
            let samples = samples.into_iter().map(SampleBody::from).collect();
            // The trainer may have stopped waiting. It will then send the request again with the same cursor.
            let _ = fetch.sender.send(Ok(FetchResponse { samples, complete, sample_count: self.spec.sample_count() }));
        }
        let wasted = self.ledger.wasted_tokens();
        shared.metrics.wasted_tokens.inc_by(wasted - self.counted_wasted_tokens);
        self.counted_wasted_tokens = wasted;
    }
}
