//! Runs the samples of the steps that this daemon owns, and delivers them to the trainers.

use super::{
    sample_attempt::{SampleAttempt, SampleError},
    step_key,
    step_state::{StepState, WaitingFetch},
};
use crate::shared_state::SharedState;
use actix::{Actor, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use actix_rt::task::JoinHandle;
use awc::Client;
use pimentoslip_client::plain_upstream_client;
use pimentoslip_kernel::{DispatchOrder, RefusalReason, SampleResult, SharedName, StepSpec, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    REQUEST_ID_HEADER,
    admin::StepStatus,
    caller::{FetchRequest, FetchResponse, OpenRequest, OpenResponse},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;

/// Interval at which attempts are started and waiting fetches are answered.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a fetch after which a step is removed.
const STEP_IDLE_TIMEOUT_MS: u64 = 600_000;
/// Maximum time for which a fetch waits for a sample.
pub const FETCH_WAIT_MS_MAX: u64 = 20_000;
/// Maximum number of samples in a step.
const STEP_SAMPLES_MAX: usize = 65_536;
/// Share of an upstream's request slots that samples may use, as numerator and denominator. The other slots stay free
/// for callers' requests.
const SAMPLE_SLOT_SHARE: (u64, u64) = (3, 4);

/// Outcome of a trainer's call: the response, or the reason for refusing it.
pub type StepOutcome<T> = std::result::Result<T, RefusalReason>;

/// Request to open a step on this daemon, its owner. Opening it again with the same specification has no effect.
#[derive(Message)]
#[rtype(result = "StepOutcome<OpenResponse>")]
pub struct OpenStepMessage {
    /// Organisation of the trainer.
    pub organisation: SharedName,
    /// Body of the trainer's request.
    pub open: OpenRequest,
}

/// Request for complete samples of a step that this daemon owns.
#[derive(Message)]
#[rtype(result = "StepOutcome<FetchResponse>")]
pub struct FetchSamplesMessage {
    /// Organisation of the trainer.
    pub organisation: SharedName,
    /// Body of the trainer's request.
    pub fetch: FetchRequest,
}

/// Request for the list of steps that this daemon owns, with their progress.
#[derive(Message)]
#[rtype(result = "Vec<StepStatus>")]
pub struct ListStepsMessage;

/// Report that an attempt at a sample ended.
#[derive(Message)]
#[rtype(result = "()")]
struct AttemptEndedMessage {
    /// Key of the step.
    step: SharedName,
    /// Order by which the attempt was started.
    order: DispatchOrder,
    outcome: Result<SampleResult, SampleError>,
}

/// Holds the state of all steps that this daemon owns.
pub struct StepActor {
    shared: Arc<SharedState>,
    /// HTTP client for upstreams.
    client: Client,
    /// Steps by key.
    steps: BTreeMap<SharedName, StepState>,
}

impl StepActor {
    /// Creates an actor without steps.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, client: plain_upstream_client(REQUEST_ID_HEADER), steps: BTreeMap::new() }
    }

    /// Opens a step. Returns an error if the specification is invalid, or if the step was opened with another one.
    fn open_step(&mut self, organisation: SharedName, open: OpenRequest) -> StepOutcome<OpenResponse> {
        let key = step_key(&organisation, &open.trainer, open.step);
        let spec = StepSpec::from(open);
        if spec.group_size == 0
            || spec.max_tokens == 0
            || spec.sample_count() == 0
            || spec.sample_count() > STEP_SAMPLES_MAX
        {
            return Err(RefusalReason::BodyMalformed);
        }
        let samples = spec.sample_count();
        if let Some(state) = self.steps.get(&key) {
            return if *state.spec == spec {
                Ok(OpenResponse { sample_count: samples })
            } else {
                Err(RefusalReason::StepConflict)
            };
        }
        let (staleness_bound, published_version) = {
            let config = self.shared.config();
            (config.site().map_or(0, |site| site.staleness_bound), config.published_version(&spec.service))
        };
        let expires_at = self.shared.now().plus_ms(STEP_IDLE_TIMEOUT_MS);
        let state = StepState::new(organisation, spec, staleness_bound, published_version, expires_at);
        LogLine::new("step_opened").field("step", &key).field("samples", samples).info();
        self.steps.insert(key, state);
        Ok(OpenResponse { sample_count: samples })
    }

    /// Sends the response to a fetch to `sender`: at once, or when there are samples or the wait times out.
    fn fetch_samples(
        &mut self,
        organisation: &str,
        fetch: FetchRequest,
        sender: oneshot::Sender<StepOutcome<FetchResponse>>,
    ) {
        let key = step_key(organisation, &fetch.trainer, fetch.step);
        let now = self.shared.now();
        let Some(state) = self.steps.get_mut(&key) else {
            // The requester may have stopped waiting.
            let _ = sender.send(Err(RefusalReason::StepUnknown));
            return;
        };
        state.expires_at = now.plus_ms(STEP_IDLE_TIMEOUT_MS);
        let deadline = now.plus_ms(fetch.wait_ms.min(FETCH_WAIT_MS_MAX));
        state.waiting_fetches.push(WaitingFetch { request: fetch, deadline, sender });
        state.answer_fetches(&self.shared, now);
    }

    /// Records the outcome of an attempt, and aborts other attempts that it makes superfluous.
    fn attempt_ended(&mut self, message: AttemptEndedMessage) {
        let now = self.shared.now();
        let Some(state) = self.steps.get_mut(&message.step) else { return };
        state.attempts.remove(&message.order.attempt);
        match message.outcome {
            Ok(sample) => {
                let outcome = state.ledger.attempt_finished(message.order, sample, now);
                for superseded in outcome.superseded_attempts {
                    if let Some(attempt) = state.attempts.remove(&superseded) {
                        attempt.abort();
                    }
                }
            }
            Err(error) => {
                state.ledger.attempt_failed(message.order, now);
                LogLine::new("sample_failed")
                    .field("step", &message.step)
                    .field("sample", message.order.position)
                    .field("error", error)
                    .info();
            }
        }
        state.answer_fetches(&self.shared, now);
    }

    /// Applies newly published weight versions, answers waiting fetches, removes idle steps and, unless this daemon is
    /// shutting down, starts attempts.
    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.shared.now();
        for state in self.steps.values_mut() {
            let published_version = self.shared.config().published_version(&state.spec.service);
            state.ledger.version_published(published_version);
            state.answer_fetches(&self.shared, now);
        }
        self.steps.retain(|_, state| {
            let in_use = now < state.expires_at;
            if !in_use {
                state.attempts.values().for_each(JoinHandle::abort);
            }
            in_use
        });
        if !self.shared.draining.load(std::sync::atomic::Ordering::SeqCst) {
            self.start_attempts(now, context);
        }
    }

    /// Starts attempts while the engines have free slots. The step with the fewest running attempts comes first.
    fn start_attempts(&mut self, now: TimePoint, context: &mut Context<Self>) {
        let mut queue: Vec<(usize, SharedName)> =
            self.steps.iter().map(|(key, state)| (state.ledger.running_attempts(), key.clone())).collect();
        let mut running_by_service: HashMap<SharedName, usize> = HashMap::new();
        for state in self.steps.values() {
            *running_by_service.entry(state.spec.service.clone()).or_default() += state.ledger.running_attempts();
        }
        while !queue.is_empty() {
            queue.sort();
            let (_, key) = queue[0].clone();
            if self.start_attempt(&key, &mut running_by_service, now, context) {
                queue[0].0 += 1;
            } else {
                queue.remove(0);
            }
        }
    }

    /// Starts the next attempt of the step `key`, and counts it in `running_by_service`. Returns false if nothing was
    /// started: the step has nothing to start, or the service has no free slots or no configuration.
    fn start_attempt(
        &mut self,
        key: &SharedName,
        running_by_service: &mut HashMap<SharedName, usize>,
        now: TimePoint,
        context: &mut Context<Self>,
    ) -> bool {
        let Some(state) = self.steps.get_mut(key) else { return false };
        let service = state.spec.service.clone();
        let Some((inflight_max, timeout_ms)) = self.shared.config().service(&service).map(|service| {
            let sample_slots = service.inflight_per_upstream * SAMPLE_SLOT_SHARE.0 / SAMPLE_SLOT_SHARE.1;
            (sample_slots.max(1), service.timeout_ms)
        }) else {
            return false;
        };
        let running_count = running_by_service.entry(service.clone()).or_default();
        if *running_count >= self.shared.routes().capacity(&service, inflight_max) {
            return false;
        }
        let hedge_after_ms = if self.shared.settings.hedging { state.ledger.hedge_after_ms() } else { None };
        let Some(order) = state.ledger.dispatch(now, hedge_after_ms) else { return false };
        *running_count += 1;
        let attempt = SampleAttempt {
            organisation: state.organisation.clone(),
            step: key.clone(),
            position: order.position,
            attempt: order.attempt,
            inflight_max,
            timeout_ms,
        };
        let (shared, client, spec) = (self.shared.clone(), self.client.clone(), state.spec.clone());
        let (actor, step) = (context.address(), key.clone());
        let handle = actix_rt::spawn(async move {
            let outcome = attempt.run(shared, client, spec).await;
            actor.do_send(AttemptEndedMessage { step, order, outcome });
        });
        state.attempts.insert(order.attempt, handle);
        true
    }
}

impl Actor for StepActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, Self::tick);
    }
}

impl Handler<OpenStepMessage> for StepActor {
    type Result = MessageResult<OpenStepMessage>;

    fn handle(&mut self, message: OpenStepMessage, _context: &mut Context<Self>) -> Self::Result {
        MessageResult(self.open_step(message.organisation, message.open))
    }
}

impl Handler<FetchSamplesMessage> for StepActor {
    type Result = ResponseFuture<StepOutcome<FetchResponse>>;

    fn handle(&mut self, message: FetchSamplesMessage, _context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.fetch_samples(&message.organisation, message.fetch, sender);
        Box::pin(async move { receiver.await.unwrap_or(Err(RefusalReason::StepUnknown)) })
    }
}

impl Handler<ListStepsMessage> for StepActor {
    type Result = MessageResult<ListStepsMessage>;

    fn handle(&mut self, _message: ListStepsMessage, _context: &mut Context<Self>) -> Self::Result {
        let steps = self.steps.iter().map(|(key, state)| StepStatus {
            step: key.clone(),
            confirmed: state.ledger.confirmed_count(),
            ready: state.ledger.ready_count(),
            running: state.ledger.running_attempts(),
            total: state.spec.sample_count(),
            wasted_tokens: state.ledger.wasted_tokens(),
        });
        MessageResult(steps.collect())
    }
}

impl Handler<AttemptEndedMessage> for StepActor {
    type Result = ();

    fn handle(&mut self, message: AttemptEndedMessage, _context: &mut Context<Self>) {
        self.attempt_ended(message);
    }
}
