//! Runs a task repeatedly, with at most one run at a time.

use actix::{Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture};
use std::{future::Future, time::Duration};
use tokio::sync::oneshot;

/// Work that is repeated with a pause between runs.
pub trait PeriodicTask: Unpin + 'static {
    /// Pause between two runs.
    const PAUSE_MS: u64;

    /// Runs the task once.
    fn run(&mut self) -> impl Future<Output = ()>;

    /// Cleans up; called once after the last run.
    fn stop(&mut self) -> impl Future<Output = ()> {
        async {}
    }
}

/// Message that starts a run.
#[derive(Message)]
#[rtype(result = "()")]
struct RunMessage;

/// Message that stops the task after its current run; answered once the task has stopped.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StopMessage;

/// Actor that runs a task periodically.
pub struct PeriodicActor<T> {
    /// The task; `None` during a run, which owns it, and after the stop.
    task: Option<T>,
    /// Notified when the task has stopped; `None` until a stop is requested.
    stopped_sender: Option<oneshot::Sender<()>>,
}

impl<T: PeriodicTask> PeriodicActor<T> {
    /// Wraps `task`.
    pub fn new(task: T) -> Self {
        Self { task: Some(task), stopped_sender: None }
    }

    fn run_ended(&mut self, task: T, context: &mut Context<Self>) {
        self.task = Some(task);
        if self.stopped_sender.is_some() {
            self.stop_task(context);
        } else {
            context.notify_later(RunMessage, Duration::from_millis(T::PAUSE_MS));
        }
    }

    fn stop_task(&mut self, context: &mut Context<Self>) {
        let Some(mut task) = self.task.take() else { return };
        let stop = async move { task.stop().await }.into_actor(self).map(|(), actor, _context| {
            if let Some(sender) = actor.stopped_sender.take() {
                // The sender of the stop message may have given up waiting.
                let _ = sender.send(());
            }
        });
        context.spawn(stop);
    }
}

impl<T: PeriodicTask> Actor for PeriodicActor<T> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.notify(RunMessage);
    }
}

impl<T: PeriodicTask> Handler<RunMessage> for PeriodicActor<T> {
    type Result = ();

    fn handle(&mut self, _message: RunMessage, context: &mut Context<Self>) {
        let Some(mut task) = self.task.take() else { return };
        let run = async move {
            task.run().await;
            task
        };
        context.spawn(run.into_actor(self).map(|task, actor, context| actor.run_ended(task, context)));
    }
}

impl<T: PeriodicTask> Handler<StopMessage> for PeriodicActor<T> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _message: StopMessage, context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.stopped_sender = Some(sender);
        // During a run the run owns the task; `run_ended` then stops it.
        self.stop_task(context);
        Box::pin(async move {
            let _ = receiver.await;
        })
    }
}
