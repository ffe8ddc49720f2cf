//! Runs a task again and again, never twice at a time.

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use std::{future::Future, time::Duration};
use tokio::sync::oneshot;

/// Work done in rounds.
pub trait PeriodicTask: Unpin + 'static {
    /// Pause between two rounds in milliseconds.
    const PAUSE_MS: u64;

    /// One round.
    fn run(&mut self) -> impl Future<Output = ()>;

    /// Called once after the last round.
    fn stop(&mut self) -> impl Future<Output = ()> {
        async {}
    }
}

/// Begins a round.
#[derive(Message)]
#[rtype(result = "()")]
struct RoundMessage;

/// Ends the rounds; answered when the task has stopped.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StopMessage;

/// The actor around a task. While a round runs, the round owns the task.
pub struct PeriodicActor<T> {
    task: Option<T>,
    stopping: Option<oneshot::Sender<()>>,
}

impl<T: PeriodicTask> PeriodicActor<T> {
    /// Wraps `task`.
    pub fn new(task: T) -> Self {
        Self { task: Some(task), stopping: None }
    }

    fn round_ended(&mut self, task: T, context: &mut Context<Self>) {
        self.task = Some(task);
        if self.stopping.is_some() {
            self.stop_task(context);
        } else {
            context.notify_later(RoundMessage, Duration::from_millis(T::PAUSE_MS));
        }
    }

    fn stop_task(&mut self, context: &mut Context<Self>) {
        let Some(mut task) = self.task.take() else { return };
        let stop = async move { task.stop().await }.into_actor(self).map(|(), actor, _context| {
            if let Some(sender) = actor.stopping.take() {
                // The stopper may have given up waiting.
                let _ = sender.send(());
            }
        });
        context.spawn(stop);
    }
}

impl<T: PeriodicTask> Actor for PeriodicActor<T> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.notify(RoundMessage);
    }
}

impl<T: PeriodicTask> Handler<RoundMessage> for PeriodicActor<T> {
    type Result = ();

    fn handle(&mut self, _message: RoundMessage, context: &mut Context<Self>) {
        let Some(mut task) = self.task.take() else { return };
        let round = async move {
            task.run().await;
            task
        };
        context.spawn(round.into_actor(self).map(|task, actor, context| actor.round_ended(task, context)));
    }
}

impl<T: PeriodicTask> Handler<StopMessage> for PeriodicActor<T> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _message: StopMessage, context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.stopping = Some(sender);
        // While a round runs the task is away, and the round's end stops it.
        self.stop_task(context);
        Box::pin(async move {
            let _ = receiver.await;
        })
    }
}
