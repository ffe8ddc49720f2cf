//! Trainers' steps: the home's actor, and the way to it.

mod sample_run;
mod step_actor;
mod step_gate;
mod step_state;

pub use step_actor::{FetchMessage, OpenMessage, StepActor, StepListMessage};
pub use step_gate::StepGate;

use pimentoslip_kernel::SharedName;

/// Identifies a step in its site: `ORGANISATION/TRAINER/STEP`.
#[must_use]
pub fn step_key(organisation: &str, trainer: &str, step: u64) -> SharedName {
    format!("{organisation}/{trainer}/{step}").into()
}
