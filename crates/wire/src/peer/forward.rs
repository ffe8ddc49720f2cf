//! Calls of trainers, forwarded to the daemon that runs the step.

use crate::caller::{FetchRequest, FetchResponse, OpenRequest, OpenResponse, Refusal};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Forwarded call, with the organisation that the caller's key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardRequest {
    /// Opens a step.
    Open {
        /// Organisation of the trainer.
        organisation: Arc<str>,
        /// Id of the request.
        request_id: Arc<str>,
        /// Body of the trainer's call.
        open: OpenRequest,
    },
    /// Fetches samples of a step.
    Fetch {
        /// Organisation of the trainer.
        organisation: Arc<str>,
        /// Id of the request.
        request_id: Arc<str>,
        /// Body of the trainer's call.
        fetch: FetchRequest,
    },
}

/// Response of the daemon that runs the step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardResponse {
    /// The step is open.
    Opened(OpenResponse),
    /// Finished samples.
    Fetched(FetchResponse),
    /// The call was refused, with this HTTP status.
    Refused(u16, Refusal),
}
