//! Grants the claims of the shards that this daemon owns, after storing them in group commits.

use super::{
    CLAIM_SHARDS,
    claim_store::{ClaimStore, StoredClaim},
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

/// Request for a claim, sent to this daemon as the owner of the claim's shard.
#[derive(Message)]
#[rtype(result = "ClaimResponse")]
pub struct ClaimMessage(pub ClaimRequest);

/// Report of how the request of a granted claim ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SettleMessage(pub SettleRequest);

/// State of one claim shard, whether or not this daemon owns it.
struct ShardState {
    table: ClaimTable<StoredResponse>,
    /// Whether this daemon is taking the shard over.
    loading: bool,
    /// Claims that were requested while the shard was being taken over, with the channels for their responses.
    deferred: Vec<(ClaimRequest, oneshot::Sender<ClaimResponse>)>,
}

/// Holds the claim tables of all shards. One group commit runs at a time; claims that are requested during it form the
/// next group.
pub struct ClaimActor<K> {
    shared: Arc<SharedState>,
    /// Store for the commits; `None` while a commit is running.
    store: Option<ClaimStore<K>>,
    kv: K,
    /// States of the shards, by shard index.
    shards: Vec<ShardState>,
    /// Response channels of the queued claims, by claim key and grant ID.
    waiters: HashMap<(ClaimKey, u64), Vec<oneshot::Sender<ClaimResponse>>>,
    /// Whether a group commit is scheduled or running.
    flush_pending: bool,
}

impl<K: KeyValueClient + Unpin> ClaimActor<K> {
    /// Creates an actor that has not loaded any shard.
    pub fn new(shared: Arc<SharedState>, kv: K) -> Self {
        let shards = (0..CLAIM_SHARDS)
            .map(|_| ShardState { table: ClaimTable::default(), loading: false, deferred: Vec::new() })
            .collect();
        let store = Some(ClaimStore::new(kv.clone(), shared.clone()));
        Self { shared, store, kv, shards, waiters: HashMap::new(), flush_pending: false }
    }

    /// Sends the response to `request` to `sender`: at once, after the next group commit, or once the shard is loaded.
    fn handle_claim(
        &mut self,
        request: ClaimRequest,
        sender: oneshot::Sender<ClaimResponse>,
        context: &mut Context<Self>,
    ) {
        let shard = shard_of(&request.key);
        if shard_owner(shard, &self.shared.members().active_names()).as_deref() != Some(&*self.shared.settings.name) {
            let _ = sender.send(ClaimResponse::NotOwner);
            return;
        }
        let state = &mut self.shards[shard as usize];
        if state.table.epoch().is_none() {
            state.deferred.push((request, sender));
            self.take_over(shard, context);
            return;
        }
        let key = ClaimKey(request.key.clone());
        let now = self.shared.now();
        let deadline = now.plus_ms(request.within_ms);
        let response = match state.table.claim(&key, request.grant_id, request.fingerprint, deadline, now) {
            Ok(ClaimAnswer::Queued) => {
                self.waiters.entry((key, request.grant_id)).or_default().push(sender);
                self.schedule_flush(context);
                return;
            }
            Ok(ClaimAnswer::Granted) => ClaimResponse::Granted,
            Ok(ClaimAnswer::InProgress) => ClaimResponse::InProgress,
            Ok(ClaimAnswer::Replay(answer)) => ClaimResponse::Replay(answer),
            Ok(ClaimAnswer::Unknown) => ClaimResponse::Unknown,
            Ok(ClaimAnswer::Reused) => ClaimResponse::Reused,
            Err(_) => ClaimResponse::NotOwner,
        };
        // The requester may have stopped waiting. Its claim then stays in progress until its deadline.
        let _ = sender.send(response);
    }

    /// Starts to take `shard` over, unless that is already running. The deferred claims are handled at the end.
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
            let deferred = std::mem::take(&mut state.deferred);
            match loaded {
                Ok((epoch, stored)) => {
                    LogLine::new("claim_shard_taken")
                        .field("shard", shard)
                        .field("epoch", epoch)
                        .field("claims", stored.len())
                        .info();
                    state.table.load(epoch, stored);
                    for (request, sender) in deferred {
                        actor.handle_claim(request, sender, context);
                    }
                }
                Err(error) => {
                    LogLine::new("claim_shard_failed").field("shard", shard).field("error", error).warn();
                    for (_, sender) in deferred {
                        let _ = sender.send(ClaimResponse::Unavailable);
                    }
                }
            }
        });
        context.spawn(load);
    }

    /// Schedules a group commit, unless one is scheduled or running.
    fn schedule_flush(&mut self, context: &mut Context<Self>) {
        if self.flush_pending {
            return;
        }
        self.flush_pending = true;
        let interval = Duration::from_millis(self.shared.settings.claim_interval_ms);
        context.run_later(interval, Self::flush);
    }

    /// Commits the queued claims of all shards in one transaction, and responds to their requesters.
    fn flush(&mut self, context: &mut Context<Self>) {
        let Some(mut store) = self.store.take() else { return };
        let mut batches = Vec::new();
        let mut grants = Vec::new();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let Some(epoch) = state.table.epoch() else { continue };
            let batch = state.table.take_batch();
            if batch.is_empty() {
                continue;
            }
            let stored_claims =
                batch.iter().map(|(key, _, fingerprint)| StoredClaim { key: key.0.clone(), fingerprint: *fingerprint });
            batches.push((shard as u64, epoch, stored_claims.collect::<Vec<_>>()));
            grants.extend(batch.into_iter().map(|(key, grant_id, _)| (shard, key, grant_id)));
        }
        self.shared.metrics.claim_commits.inc();
        self.shared.metrics.claims.inc_by(grants.len() as u64);
        let commit = async move {
            let outcome = if batches.is_empty() { Ok(true) } else { store.commit(&batches).await };
            (store, outcome)
        };
        let commit = commit.into_actor(self).map(move |(store, outcome), actor, context| {
            actor.store = Some(store);
            actor.flush_pending = false;
            if let Err(error) = &outcome {
                LogLine::new("claim_commit_failed").field("error", error).warn();
            }
            for (shard, key, grant_id) in grants {
                let response = actor.finish_commit(shard, &key, grant_id, outcome.as_ref().ok().copied());
                actor.respond(key, grant_id, &response);
            }
            if outcome.as_ref().is_ok_and(|owned| !owned) {
                actor.drop_all_ownership();
            }
            if !actor.waiters.is_empty() {
                actor.schedule_flush(context);
            }
        });
        context.spawn(commit);
    }

    /// Applies the outcome of a group commit to one of its claims, and returns the response to the claim. `owned` is
    /// whether this daemon owned all shards of the commit; `None` if the outcome of the commit is unknown.
    fn finish_commit(&mut self, shard: usize, key: &ClaimKey, grant_id: u64, owned: Option<bool>) -> ClaimResponse {
        let table = &mut self.shards[shard].table;
        match owned {
            Some(true) if table.claim_committed(key, grant_id) => ClaimResponse::Granted,
            Some(false) => {
                table.commit_failed(key, grant_id);
                ClaimResponse::NotOwner
            }
            Some(true) | None => {
                table.commit_failed(key, grant_id);
                ClaimResponse::Unavailable
            }
        }
    }

    /// Sends `response` to all requesters that wait for the claim of `key` with `grant_id`.
    fn respond(&mut self, key: ClaimKey, grant_id: u64, response: &ClaimResponse) {
        for sender in self.waiters.remove(&(key, grant_id)).unwrap_or_default() {
            let _ = sender.send(response.clone());
        }
    }

    /// Drops the ownership of all shards after a commit failed because another daemon owns one of them. The commit does
    /// not report which one, so each shard is loaded again before it grants claims.
    fn drop_all_ownership(&mut self) {
        for state in &mut self.shards {
            state.table.drop_ownership();
        }
        for ((_, _), waiters) in self.waiters.drain() {
            for sender in waiters {
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
        self.handle_claim(message.0, sender, context);
        Box::pin(async move { receiver.await.unwrap_or(ClaimResponse::Unavailable) })
    }
}

impl<K: KeyValueClient + Unpin> Handler<SettleMessage> for ClaimActor<K> {
    type Result = MessageResult<SettleMessage>;

    fn handle(&mut self, message: SettleMessage, _context: &mut Context<Self>) -> Self::Result {
        let SettleRequest { key, grant_id, state } = message.0;
        let table = &mut self.shards[shard_of(&key) as usize].table;
        let key = ClaimKey(key);
        match state {
            SettleState::Ran(answer) => table.finish(&key, grant_id, answer),
            SettleState::Lost => table.mark_unknown(&key, grant_id),
            SettleState::NotRun => table.release(&key, grant_id),
        }
        MessageResult(())
    }
}
