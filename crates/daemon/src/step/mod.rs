//! Steps of trainers: runs the samples of the steps that this daemon owns, and forwards calls for other steps to their
//! owners.

mod sample_attempt;
mod step_actor;
mod step_client;
mod step_state;

pub use step_actor::{FetchSamplesMessage, ListStepsMessage, OpenStepMessage, StepActor};
pub use step_client::StepClient;

use pimentoslip_kernel::SharedName;

/// Identifies a step in its site: `ORGANISATION/TRAINER/STEP`.
#[must_use]
pub fn step_key(organisation: &str, trainer: &str, step: u64) -> SharedName {
    format!("{organisation}/{trainer}/{step}").into()
}
