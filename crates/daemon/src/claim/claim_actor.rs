//! The owner of claim shards: grants claims after a group commit.

use super::{
    CLAIM_SHARDS,
    claim_store::{ClaimBody, ClaimStore},
    shard_of, shard_owner,
};
use crate::shared_state::SharedState;
use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture, WrapFuture,
};
use pimentoslip_client::KeyValueClient;
use pimentoslip_kernel::{ClaimAnswer, ClaimKey, ClaimTable};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredResponse};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Asks for a claim.
#[derive(Message)]
#[rtype(result = "ClaimResponse")]
pub struct ClaimMessage(pub ClaimRequest);

/// Settles a grant.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SettleMessage(pub SettleRequest);

struct ShardState {
    table: ClaimTable<StoredResponse>,
    loading: bool,
    /// Claims that came while the shard was being taken over.
    parked: Vec<(ClaimRequest, oneshot::Sender<ClaimResponse>)>,
}

/// Owns claim tables. Commits one group at a time; what arrives meanwhile forms the next group.
pub struct ClaimActor<K> {
    shared: Arc<SharedState>,
    store: Option<ClaimStore<K>>,
    kv: K,
    shards: Vec<ShardState>,
    waiting: HashMap<(ClaimKey, u64), Vec<oneshot::Sender<ClaimResponse>>>,
    flush_planned: bool,
}

impl<K: KeyValueClient + Unpin> ClaimActor<K> {
    /// Creates the actor.
    pub fn new(shared: Arc<SharedState>, kv: K) -> Self {
        let shards = (0..CLAIM_SHARDS)
            .map(|_| ShardState { table: ClaimTable::default(), loading: false, parked: Vec::new() })
            .collect();
        let store = Some(ClaimStore::new(kv.clone(), shared.clone()));
        Self { shared, store, kv, shards, waiting: HashMap::new(), flush_planned: false }
    }

    fn claim(&mut self, request: ClaimRequest, sender: oneshot::Sender<ClaimResponse>, context: &mut Context<Self>) {
        let shard = shard_of(&request.key);
        if shard_owner(shard, &self.shared.members().active_names()).as_deref() != Some(&*self.shared.settings.name) {
            let _ = sender.send(ClaimResponse::NotOwner);
            return;
        }
        let state = &mut self.shards[shard as usize];
        if state.table.epoch().is_none() {
            state.parked.push((request, sender));
            self.take_over(shard, context);
            return;
        }
        let key = ClaimKey(request.key.clone());
        let now = self.shared.now();
        let deadline = now.plus_ms(request.within_ms);
        let response = match state.table.claim(&key, request.grant_id, request.fingerprint, deadline, now) {
            Ok(ClaimAnswer::Queued) => {
                self.waiting.entry((key, request.grant_id)).or_default().push(sender);
                self.plan_flush(context);
                return;
            }
            Ok(ClaimAnswer::Granted) => ClaimResponse::Granted,
            Ok(ClaimAnswer::InProgress) => ClaimResponse::InProgress,
            Ok(ClaimAnswer::Replay(answer)) => ClaimResponse::Replay(answer),
            Ok(ClaimAnswer::Unknown) => ClaimResponse::Unknown,
            Ok(ClaimAnswer::Reused) => ClaimResponse::Reused,
            Err(_) => ClaimResponse::NotOwner,
        };
        // The asker may have gone; its claim then runs into its deadline.
        let _ = sender.send(response);
    }

    fn take_over(&mut self, shard: u64, context: &mut Context<Self>) {
        let state = &mut self.shards[shard as usize];
        if state.loading {
            return;
        }
        state.loading = true;
        let store = ClaimStore::new(self.kv.clone(), self.shared.clone());
        let load = async move { store.take_over(shard).await }.into_actor(self).map(move |loaded, actor, context| {
            let state = &mut actor.shards[shard as usize];
            state.loading = false;
            let parked = std::mem::take(&mut state.parked);
            match loaded {
                Ok((epoch, recorded)) => {
                    LogLine::new("claim_shard_taken")
                        .field("shard", shard)
                        .field("epoch", epoch)
                        .field("claims", recorded.len())
                        .info();
                    state.table.load(epoch, recorded);
                    for (request, sender) in parked {
                        actor.claim(request, sender, context);
                    }
                }
                Err(error) => {
                    LogLine::new("claim_shard_failed").field("shard", shard).field("error", error).warn();
                    for (_, sender) in parked {
                        let _ = sender.send(ClaimResponse::Unavailable);
                    }
                }
            }
        });
        context.spawn(load);
    }

    fn plan_flush(&mut self, context: &mut Context<Self>) {
        if self.flush_planned {
            return;
        }
        self.flush_planned = true;
        let interval = Duration::from_millis(self.shared.settings.claim_interval_ms);
        context.run_later(interval, Self::flush);
    }

    fn flush(&mut self, context: &mut Context<Self>) {
        let Some(mut store) = self.store.take() else { return };
        let mut groups = Vec::new();
        let mut grants = Vec::new();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let Some(epoch) = state.table.epoch() else { continue };
            let batch = state.table.take_batch();
            if batch.is_empty() {
                continue;
            }
            let claims =
                batch.iter().map(|(key, _, fingerprint)| ClaimBody { key: key.0.clone(), fingerprint: *fingerprint });
            groups.push((shard as u64, epoch, claims.collect::<Vec<_>>()));
            grants.extend(batch.into_iter().map(|(key, grant, _)| (shard, key, grant)));
        }
        self.shared.metrics.claim_commits.inc();
        self.shared.metrics.claims.inc_by(grants.len() as u64);
        let commit = async move {
            let outcome = if groups.is_empty() { Ok(true) } else { store.commit(&groups).await };
            (store, outcome)
        };
        let commit = commit.into_actor(self).map(move |(store, outcome), actor, context| {
            actor.store = Some(store);
            actor.flush_planned = false;
            if let Err(error) = &outcome {
                LogLine::new("claim_commit_failed").field("error", error).warn();
            }
            for (shard, key, grant) in grants {
                let response = actor.committed(shard, &key, grant, outcome.as_ref().ok().copied());
                actor.answer(key, grant, &response);
            }
            if outcome.as_ref().is_ok_and(|owned| !owned) {
                actor.depose_all();
            }
            if !actor.waiting.is_empty() {
                actor.plan_flush(context);
            }
        });
        context.spawn(commit);
    }

    fn committed(&mut self, shard: usize, key: &ClaimKey, grant: u64, owned: Option<bool>) -> ClaimResponse {
        let table = &mut self.shards[shard].table;
        match owned {
            Some(true) if table.claim_committed(key, grant) => ClaimResponse::Granted,
            Some(false) => {
                table.commit_failed(key, grant);
                ClaimResponse::NotOwner
            }
            Some(true) | None => {
                table.commit_failed(key, grant);
                ClaimResponse::Unavailable
            }
        }
    }

    fn answer(&mut self, key: ClaimKey, grant: u64, response: &ClaimResponse) {
        for sender in self.waiting.remove(&(key, grant)).unwrap_or_default() {
            let _ = sender.send(response.clone());
        }
    }

    /// One of the shards has another owner. Each is loaded again before it grants anything.
    fn depose_all(&mut self) {
        for state in &mut self.shards {
            state.table.drop_ownership();
        }
        for ((_, _), senders) in self.waiting.drain() {
            for sender in senders {
                let _ = sender.send(ClaimResponse::NotOwner);
            }
        }
        LogLine::new("claim_shards_lost").warn();
    }
}

impl<K: KeyValueClient + Unpin> Actor for ClaimActor<K> {
    type Context = Context<Self>;
}

impl<K: KeyValueClient + Unpin> Handler<ClaimMessage> for ClaimActor<K> {
    type Result = ResponseFuture<ClaimResponse>;

    fn handle(&mut self, message: ClaimMessage, context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.claim(message.0, sender, context);
        Box::pin(async move { receiver.await.unwrap_or(ClaimResponse::Unavailable) })
    }
}

impl<K: KeyValueClient + Unpin> Handler<SettleMessage> for ClaimActor<K> {
    type Result = MessageResult<SettleMessage>;

    fn handle(&mut self, message: SettleMessage, _context: &mut Context<Self>) -> Self::Result {
        let SettleRequest { key, grant_id: grant, state } = message.0;
        let table = &mut self.shards[shard_of(&key) as usize].table;
        let key = ClaimKey(key);
        match state {
            SettleState::Ran(answer) => table.finish(&key, grant, answer),
            SettleState::Lost => table.mark_unknown(&key, grant),
            SettleState::NotRun => table.release(&key, grant),
        }
        MessageResult(())
    }
}
