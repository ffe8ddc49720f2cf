//! Answers of the daemon's own.

use crate::edge_metrics::EdgeMetrics;
use actix_web::{HttpResponse, http::StatusCode};
use pimentoslip_platform::header;

/// Why the daemon answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiRefusal {
    /// No configuration is known yet.
    ConfigNotLoaded,
    /// No route matches.
    RouteNotFound,
    /// The key is missing or unknown.
    KeyInvalid,
    /// The request or its body is malformed.
    Malformed,
    /// The header is too large.
    HeaderTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No upstream has room or can be reached; nothing ran.
    NoUpstream,
    /// Time is up; nothing ran.
    DeadlinePassed,
    /// Time is up; it may have run.
    ResponseTimeout,
    /// An upstream broke off; it may have run.
    UpstreamLost,
    /// The store cannot be asked; nothing ran.
    StoreUnreachable,
    /// The store did not say whether a batch job is on record.
    OutcomeUnknown,
    /// No such batch job or item exists.
    JobNotFound,
}

impl ApiRefusal {
    /// Spelling in metrics and logs.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ConfigNotLoaded => "config_unknown",
            Self::RouteNotFound => "route_unknown",
            Self::KeyInvalid => "key_unknown",
            Self::Malformed => "malformed",
            Self::HeaderTooLarge => "header_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_late",
            Self::NoUpstream => "no_upstream",
            Self::DeadlinePassed => "deadline_passed",
            Self::ResponseTimeout => "answer_late",
            Self::UpstreamLost => "upstream_lost",
            Self::StoreUnreachable => "store_away",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::JobNotFound => "job_unknown",
        }
    }

    /// Status; 408, 429 and 503 promise that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::RouteNotFound | Self::JobNotFound => StatusCode::NOT_FOUND,
            Self::KeyInvalid => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::ConfigNotLoaded | Self::NoUpstream | Self::DeadlinePassed | Self::StoreUnreachable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::ResponseTimeout | Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Seconds after which a caller may come again: about the time in which the cause passes.
    fn retry_after(self) -> Option<&'static str> {
        match self {
            Self::ConfigNotLoaded | Self::StoreUnreachable => Some("0.5"),
            Self::NoUpstream | Self::DeadlinePassed => Some("0.1"),
            _ => None,
        }
    }

    /// The answer.
    #[must_use]
    pub fn response(self) -> HttpResponse {
        EdgeMetrics::increment(&EdgeMetrics::global().refusals, self.code());
        let mut response = HttpResponse::build(self.status());
        if let Some(seconds) = self.retry_after() {
            response.insert_header((header::RETRY_AFTER, seconds));
        }
        response.body(self.code())
    }
}
