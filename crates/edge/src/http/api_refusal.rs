//! Error responses that the daemon creates itself, without a response from an upstream.

use crate::edge_metrics::EdgeMetrics;
use actix_web::{HttpResponse, http::StatusCode};
use pimentoslip_kernel::WithholdReason;
use pimentoslip_platform::header;
use std::borrow::Cow;

const MS_PER_SECOND: u64 = 1_000;
/// Shortest time until a retry of a request that was refused because of limits.
const RETRY_AFTER_MS_MIN: u64 = 100;

/// Reason why a request is refused or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiRefusal {
    /// No configuration has been read from the store yet.
    ConfigNotLoaded,
    /// The route or API key is not known, but may be in a configuration that this daemon has not received.
    ConfigStale,
    /// No route matches.
    RouteNotFound,
    /// The API key is missing, sent more than once, or not in the configuration.
    KeyInvalid,
    /// The request or its body is malformed.
    Malformed,
    /// The request header exceeds the configured limit.
    HeaderTooLarge,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The request body was not received before the deadline.
    BodyTimeout,
    /// No upstream has capacity or can be reached; the request did not run.
    NoUpstream,
    /// The failure domains of all upstreams that could serve the request are evacuated; it did not run.
    Evacuated,
    /// No upstream is in a region in which the route and the organisation allow the request to be served; it did not run.
    OutsideHomes,
    /// Several upstreams crashed while they ran this request; it did not run again.
    Quarantined {
        /// Time until it may run again.
        retry_after_ms: u64,
    },
    /// Two upstreams crashed while they ran this request, and only one is left; it did not run again.
    Isolated,
    /// Every upstream gets as many requests as it accepts; the request did not run.
    RateLimited {
        /// Time until an upstream may have room.
        retry_after_ms: u64,
    },
    /// The request would get a slot too late; it did not run.
    NoRoom {
        /// Time until a slot would be free in time.
        retry_after_ms: u64,
    },
    /// As many requests wait for the service as may; the request did not run.
    LineFull {
        /// Time until there may be room.
        retry_after_ms: u64,
    },
    /// The configuration no longer allows the request, which waited for a slot, to be sent to its service; it did not run.
    RouteChanged,
    /// It is not certain which software started the stream that the request resumes; the request did not run.
    StreamUnknown,
    /// The list of upstreams is too old to name their software, which must be known to start or resume a stream that callers may
    /// resume; the request did not run.
    ListOutdated,
    /// No upstream has the software that started the stream that the request resumes; the request did not run.
    SoftwareGone,
    /// The deadline has passed; the request did not run.
    DeadlinePassed,
    /// The deadline has passed without a response, or the caller has disconnected; the request may have run.
    ResponseTimeout,
    /// An upstream failed without a complete response; the request may have run.
    UpstreamLost,
    /// The memory for request and response bodies is used up; the request did not run.
    MemoryUsedUp,
    /// This process is about to exit; the request did not run.
    Stopping,
    /// The store is unreachable; nothing was done.
    StoreUnreachable,
    /// The store did not confirm whether a batch job was stored.
    OutcomeUnknown,
    /// No such batch job or item exists, or the job belongs to another organisation.
    JobNotFound,
}

impl From<WithholdReason> for ApiRefusal {
    fn from(reason: WithholdReason) -> Self {
        match reason {
            WithholdReason::Evacuated => Self::Evacuated,
            WithholdReason::OutsideHomes => Self::OutsideHomes,
        }
    }
}

/// Milliseconds as seconds.
fn seconds_text(ms: u64) -> Cow<'static, str> {
    (ms as f64 / MS_PER_SECOND as f64).to_string().into()
}

impl ApiRefusal {
    /// Code in metrics, logs and the response body.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ConfigNotLoaded => "config_unknown",
            Self::ConfigStale => "config_stale",
            Self::RouteNotFound => "route_unknown",
            Self::KeyInvalid => "key_unknown",
            Self::Malformed => "malformed",
            Self::HeaderTooLarge => "header_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_late",
            Self::NoUpstream => "no_upstream",
            Self::Evacuated => WithholdReason::Evacuated.as_str(),
            Self::OutsideHomes => WithholdReason::OutsideHomes.as_str(),
            Self::Quarantined { .. } => "quarantined",
            Self::Isolated => "isolated",
            Self::RateLimited { .. } => "rate_limited",
            Self::NoRoom { .. } => "no_room",
            Self::LineFull { .. } => "line_full",
            Self::RouteChanged => "route_changed",
            Self::StreamUnknown => "stream_unknown",
            Self::ListOutdated => "list_outdated",
            Self::SoftwareGone => "software_gone",
            Self::DeadlinePassed => "deadline_passed",
            Self::ResponseTimeout => "answer_late",
            Self::UpstreamLost => "upstream_lost",
            Self::MemoryUsedUp => "memory_used_up",
            Self::Stopping => "stopping",
            Self::StoreUnreachable => "store_away",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::JobNotFound => "job_unknown",
        }
    }

    /// HTTP status. The statuses 408, 429 and 503 guarantee that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::RouteNotFound | Self::JobNotFound => StatusCode::NOT_FOUND,
            Self::KeyInvalid => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::ConfigNotLoaded
            | Self::ConfigStale
            | Self::NoUpstream
            | Self::Evacuated
            | Self::OutsideHomes
            | Self::Quarantined { .. }
            | Self::Isolated
            | Self::RateLimited { .. }
            | Self::NoRoom { .. }
            | Self::LineFull { .. }
            | Self::RouteChanged
            | Self::StreamUnknown
            | Self::ListOutdated
            | Self::SoftwareGone
            | Self::DeadlinePassed
            | Self::MemoryUsedUp
            | Self::Stopping
            | Self::StoreUnreachable => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseTimeout | Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Value of the `Retry-After` header in seconds: about the time after which the cause has passed. `None` if the
    /// response has no such header.
    fn retry_after(self) -> Option<Cow<'static, str>> {
        match self {
            Self::ConfigNotLoaded | Self::ConfigStale | Self::StoreUnreachable | Self::StreamUnknown => {
                Some("0.5".into())
            }
            Self::NoUpstream | Self::DeadlinePassed | Self::MemoryUsedUp | Self::ListOutdated => Some("0.1".into()),
            // Operators seldom withdraw these within the time that a caller has.
            Self::Evacuated | Self::OutsideHomes => Some("1".into()),
            // Crashed upstreams are replaced within seconds.
            Self::Isolated => Some("1".into()),
            Self::Quarantined { retry_after_ms } => Some(retry_after_ms.div_ceil(MS_PER_SECOND).to_string().into()),
            Self::RateLimited { retry_after_ms } => Some(seconds_text(retry_after_ms.max(RETRY_AFTER_MS_MIN))),
            Self::NoRoom { retry_after_ms } | Self::LineFull { retry_after_ms } => Some(seconds_text(retry_after_ms)),
            // Another daemon, or the new route, serves the request at once.
            Self::RouteChanged | Self::Stopping => Some("0".into()),
            _ => None,
        }
    }

    /// The error response. Counts the refusal in the metrics.
    #[must_use]
    pub fn response(self) -> HttpResponse {
        EdgeMetrics::increment(&EdgeMetrics::global().refusals, self.code());
        let mut response = HttpResponse::build(self.status());
        if let Some(seconds) = self.retry_after() {
            response.insert_header((header::RETRY_AFTER, &*seconds));
        }
        response.body(self.code())
    }
}
