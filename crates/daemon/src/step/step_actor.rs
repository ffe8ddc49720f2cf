//! The home of steps: runs their samples and hands them over.

use super::{
    sample_run::{SampleError, SampleRun},
    step_key,
    step_state::{StepState, WaitingFetch},
};
use crate::shared_state::SharedState;
use actix::{Actor, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use actix_rt::task::JoinHandle;
use awc::Client;
use pimentoslip_client::plain_client;
use pimentoslip_kernel::{DispatchOrder, RefusalReason, SampleResult, SharedName, StepSpec, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    admin::StepStatus,
    caller::{FetchRequest, FetchResponse, OpenRequest, OpenResponse},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;

const TICK: Duration = Duration::from_millis(20);
/// A step that no trainer asked for in this time is dropped.
const STEP_IDLE_MS: u64 = 600_000;
/// Longest wait of one fetch.
const FETCH_WAIT_MS_MAX: u64 = 20_000;
/// Most samples that a step may have.
const STEP_SAMPLES_MAX: usize = 65_536;
/// Share of an upstream's places that samples may take, so that customers' calls always find one.
const SAMPLE_SHARE: (u64, u64) = (3, 4);

/// Outcome of a trainer's call.
pub type StepOutcome<T> = std::result::Result<T, RefusalReason>;

/// Opens a step.
#[derive(Message)]
#[rtype(result = "StepOutcome<OpenResponse>")]
pub struct OpenMessage {
    /// Organisation.
    pub organisation: SharedName,
    /// Body.
    pub open: OpenRequest,
}

/// Fetches samples.
#[derive(Message)]
#[rtype(result = "StepOutcome<FetchResponse>")]
pub struct FetchMessage {
    /// Organisation.
    pub organisation: SharedName,
    /// Body.
    pub fetch: FetchRequest,
}

/// Lists the steps at home here.
#[derive(Message)]
#[rtype(result = "Vec<StepStatus>")]
pub struct StepListMessage;

/// An attempt ended.
#[derive(Message)]
#[rtype(result = "()")]
struct EndMessage {
    step: SharedName,
    order: DispatchOrder,
    outcome: Result<SampleResult, SampleError>,
}

/// Holds the ledgers of all steps whose home is this daemon.
pub struct StepActor {
    shared: Arc<SharedState>,
    client: Client,
    steps: BTreeMap<SharedName, StepState>,
}

impl StepActor {
    /// Creates the actor.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, client: plain_client(), steps: BTreeMap::new() }
    }

    fn open(&mut self, organisation: SharedName, open: OpenRequest) -> StepOutcome<OpenResponse> {
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
        let (bound, published) = {
            let config = self.shared.config();
            (config.site().map_or(0, |site| site.staleness_bound), config.published_version(&spec.service))
        };
        let idle_at = self.shared.now().plus_ms(STEP_IDLE_MS);
        let state = StepState::new(organisation, spec, bound, published, idle_at);
        LogLine::new("step_opened").field("step", &key).field("samples", samples).info();
        self.steps.insert(key, state);
        Ok(OpenResponse { sample_count: samples })
    }

    fn fetch(&mut self, organisation: &str, fetch: FetchRequest, sender: oneshot::Sender<StepOutcome<FetchResponse>>) {
        let key = step_key(organisation, &fetch.trainer, fetch.step);
        let now = self.shared.now();
        let Some(state) = self.steps.get_mut(&key) else {
            // The asker may have gone.
            let _ = sender.send(Err(RefusalReason::StepUnknown));
            return;
        };
        state.idle_at = now.plus_ms(STEP_IDLE_MS);
        let deadline = now.plus_ms(fetch.wait_ms.min(FETCH_WAIT_MS_MAX));
        state.waiting.push(WaitingFetch { fetch, deadline, sender });
        state.answer(&self.shared, now);
    }

    fn ended(&mut self, message: EndMessage) {
        let now = self.shared.now();
        let Some(state) = self.steps.get_mut(&message.step) else { return };
        state.runs.remove(&message.order.attempt);
        match message.outcome {
            Ok(sample) => {
                let outcome = state.ledger.attempt_finished(message.order, sample, now);
                for loser in outcome.superseded_attempts {
                    if let Some(run) = state.runs.remove(&loser) {
                        run.abort();
                    }
                }
            }
            Err(error) => {
                state.ledger.attempt_failed(message.order);
                LogLine::new("sample_failed")
                    .field("step", &message.step)
                    .field("sample", message.order.sample)
                    .field("error", error)
                    .info();
            }
        }
        state.answer(&self.shared, now);
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.shared.now();
        for state in self.steps.values_mut() {
            let published = self.shared.config().published_version(&state.spec.service);
            state.ledger.version_published(published);
            state.answer(&self.shared, now);
        }
        self.steps.retain(|_, state| {
            let keep = now < state.idle_at;
            if !keep {
                state.runs.values().for_each(JoinHandle::abort);
            }
            keep
        });
        if !self.shared.draining.load(std::sync::atomic::Ordering::SeqCst) {
            self.dispatch(now, context);
        }
    }

    /// Starts samples while engines have room, the step with the fewest running ones first.
    fn dispatch(&mut self, now: TimePoint, context: &mut Context<Self>) {
        let mut keys: Vec<(usize, SharedName)> =
            self.steps.iter().map(|(key, state)| (state.ledger.running_attempts(), key.clone())).collect();
        let mut running: HashMap<SharedName, usize> = HashMap::new();
        for state in self.steps.values() {
            *running.entry(state.spec.service.clone()).or_default() += state.ledger.running_attempts();
        }
        while !keys.is_empty() {
            keys.sort();
            let (_, key) = keys[0].clone();
            if self.start_one(&key, &mut running, now, context) {
                keys[0].0 += 1;
            } else {
                keys.remove(0);
            }
        }
    }

    fn start_one(
        &mut self,
        key: &SharedName,
        running: &mut HashMap<SharedName, usize>,
        now: TimePoint,
        context: &mut Context<Self>,
    ) -> bool {
        let Some(state) = self.steps.get_mut(key) else { return false };
        let service = state.spec.service.clone();
        let Some((inflight_max, timeout_ms)) = self.shared.config().service(&service).map(|service| {
            let share = service.inflight_per_upstream * SAMPLE_SHARE.0 / SAMPLE_SHARE.1;
            (share.max(1), service.timeout_ms)
        }) else {
            return false;
        };
        let count = running.entry(service.clone()).or_default();
        if *count >= self.shared.routes().capacity(&service, inflight_max) {
            return false;
        }
        let hedge_after_ms = if self.shared.settings.hedging { state.ledger.hedge_after_ms() } else { None };
        let Some(order) = state.ledger.dispatch(now, hedge_after_ms) else { return false };
        *count += 1;
        let run = SampleRun {
            organisation: state.organisation.clone(),
            step: key.clone(),
            sample: order.sample,
            attempt: order.attempt,
            inflight_max,
            timeout_ms,
        };
        let (shared, client, spec) = (self.shared.clone(), self.client.clone(), state.spec.clone());
        let (actor, step) = (context.address(), key.clone());
        let handle = actix_rt::spawn(async move {
            let outcome = run.run(shared, client, spec).await;
            actor.do_send(EndMessage { step, order, outcome });
        });
        state.runs.insert(order.attempt, handle);
        true
    }
}

impl Actor for StepActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK, Self::tick);
    }
}

impl Handler<OpenMessage> for StepActor {
    type Result = MessageResult<OpenMessage>;

    fn handle(&mut self, message: OpenMessage, _context: &mut Context<Self>) -> Self::Result {
        MessageResult(self.open(message.organisation, message.open))
    }
}

impl Handler<FetchMessage> for StepActor {
    type Result = ResponseFuture<StepOutcome<FetchResponse>>;

    fn handle(&mut self, message: FetchMessage, _context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.fetch(&message.organisation, message.fetch, sender);
        Box::pin(async move { receiver.await.unwrap_or(Err(RefusalReason::StepUnknown)) })
    }
}

impl Handler<StepListMessage> for StepActor {
    type Result = MessageResult<StepListMessage>;

    fn handle(&mut self, _message: StepListMessage, _context: &mut Context<Self>) -> Self::Result {
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

impl Handler<EndMessage> for StepActor {
    type Result = ();

    fn handle(&mut self, message: EndMessage, _context: &mut Context<Self>) {
        self.ended(message);
    }
}
