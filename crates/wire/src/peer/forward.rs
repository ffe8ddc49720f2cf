//! A trainer's call, passed on to the home of its step.

use crate::caller::{FetchRequest, FetchResponse, OpenRequest, OpenResponse, Refusal};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The call, with the organisation whose key came with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardRequest {
    /// Opens a step.
    Open {
        /// Organisation.
        organisation: Arc<str>,
        /// Id of the request.
        request_id: Arc<str>,
        /// Body.
        open: OpenRequest,
    },
    /// Fetches samples.
    Fetch {
        /// Organisation.
        organisation: Arc<str>,
        /// Id of the request.
        request_id: Arc<str>,
        /// Body.
        fetch: FetchRequest,
    },
}

/// The home's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardResponse {
    /// The step is open.
    Opened(OpenResponse),
    /// Samples.
    Fetched(FetchResponse),
    /// Refused, with its HTTP status.
    Refused(u16, Refusal),
}
