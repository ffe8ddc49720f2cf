//! Requests for permits under the limits of upstreams, and their responses. The clocks of daemons have different origins,
//! so that spans from or until the time of the message are sent.

use pimentoslip_kernel::{
    ColdPeriod, GrantedPermit, LimitObservation, PermitAnswer, PermitAsk, PermitWant, RateLimit, RequestUrgency,
    SharedName, TimePoint,
};
use serde::{Deserialize, Serialize};

/// Longest span that is accepted from another daemon; permits are granted for less than a second ahead.
const SPAN_MS_MAX: u64 = 60_000;

/// Time for which an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdBody {
    /// Requests per 1,000 seconds from all daemons together.
    pub limit: u64,
    /// Time left, in milliseconds.
    pub left_ms: u64,
}

impl ColdBody {
    fn from_period(period: ColdPeriod, now: TimePoint) -> Self {
        Self { limit: period.limit.millihertz(), left_ms: period.until.since_ms(now) }
    }

    fn into_period(self, now: TimePoint) -> ColdPeriod {
        let until = now.plus_ms(self.left_ms.min(SPAN_MS_MAX));
        ColdPeriod { limit: RateLimit::from_millihertz(self.limit), until }
    }
}

/// Limit that a response of an upstream named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationBody {
    /// Requests per 1,000 seconds; `None` if the response named no limit.
    pub limit: Option<u64>,
    /// Time since the response was received, in milliseconds; the highest number if there was none.
    pub age_ms: u64,
    /// Time for which the upstream is cold; `None` if it is not known to be, or from daemons that do not send it.
    #[serde(default)]
    pub cold: Option<ColdBody>,
}

impl ObservationBody {
    fn from_observation(observation: LimitObservation, now: TimePoint) -> Self {
        Self {
            limit: observation.limit.map(RateLimit::millihertz),
            age_ms: if observation.seen_at == TimePoint(0) { u64::MAX } else { now.since_ms(observation.seen_at) },
            cold: observation.cold_at(now).map(|period| ColdBody::from_period(period, now)),
        }
    }

    fn into_observation(self, now: TimePoint) -> LimitObservation {
        LimitObservation {
            limit: self.limit.map(RateLimit::from_millihertz),
            seen_at: now.minus_ms(self.age_ms),
            cold: self.cold.map(|cold| cold.into_period(now)),
        }
    }
}

/// Permits wanted for requests of one urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantBody {
    /// Urgency of the requests; lower goes first.
    pub urgency: u32,
    /// Number of requests.
    pub count: u32,
    /// Time for which the requests can wait, in milliseconds.
    pub useful_ms: u64,
}

/// Permits wanted of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskBody {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Limit that the sender observed last.
    pub seen: ObservationBody,
    /// Wanted permits, the most urgent first.
    pub wants: Vec<WantBody>,
}

impl AskBody {
    /// The message for `ask`, sent at `now` by the sender's clock.
    #[must_use]
    pub fn from_ask(ask: &PermitAsk, now: TimePoint) -> Self {
        let want = |want: &PermitWant| WantBody {
            urgency: want.urgency.level(),
            count: want.count,
            useful_ms: want.useful_until.since_ms(now),
        };
        Self {
            upstream: ask.upstream.clone(),
            started: ask.started_unix_ms,
            seen: ObservationBody::from_observation(ask.observation, now),
            wants: ask.wants.iter().map(want).collect(),
        }
    }

    /// The request in this message, received at `now` by the receiver's clock.
    #[must_use]
    pub fn into_ask(self, now: TimePoint) -> PermitAsk {
        let want = |body: WantBody| PermitWant {
            urgency: RequestUrgency::from_level(body.urgency),
            count: body.count,
            useful_until: now.plus_ms(body.useful_ms.min(SPAN_MS_MAX)),
        };
        PermitAsk {
            upstream: self.upstream,
            started_unix_ms: self.started,
            observation: self.seen.into_observation(now),
            wants: self.wants.into_iter().map(want).collect(),
        }
    }
}

/// Request for permits of several upstreams, sent to their coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Wanted permits by upstream.
    pub asks: Vec<AskBody>,
}

/// Urgency of a request and a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgencyTimeBody {
    /// Urgency; lower goes first.
    pub urgency: u32,
    /// Time from the request for permits on, in milliseconds.
    pub after_ms: u64,
}

/// Permits of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Newest limit that the coordinator knows.
    pub seen: ObservationBody,
    /// Granted permits, with the time from which each may be used.
    pub permits: Vec<UrgencyTimeBody>,
    /// Urgency of the first want that is not met in full, with the time from which there may be permits for it.
    pub blocked: Option<UrgencyTimeBody>,
}

impl AnswerBody {
    /// The message for `answer`, sent at `now` by the sender's clock.
    #[must_use]
    pub fn from_answer(answer: &PermitAnswer, now: TimePoint) -> Self {
        let body = |urgency: RequestUrgency, at: TimePoint| UrgencyTimeBody {
            urgency: urgency.level(),
            after_ms: at.since_ms(now),
        };
        Self {
            upstream: answer.upstream.clone(),
            started: answer.started_unix_ms,
            seen: ObservationBody::from_observation(answer.observation, now),
            permits: answer.permits.iter().map(|permit| body(permit.urgency, permit.usable_from)).collect(),
            blocked: answer.blocked.map(|(urgency, until)| body(urgency, until)),
        }
    }

    /// The answer in this message to a request that was sent at `sent_at` by the receiver's clock. Its times count from
    /// there, so that a delayed message makes no permit valid for longer.
    #[must_use]
    pub fn into_answer(self, sent_at: TimePoint) -> PermitAnswer {
        let time = |body: UrgencyTimeBody| {
            (RequestUrgency::from_level(body.urgency), sent_at.plus_ms(body.after_ms.min(SPAN_MS_MAX)))
        };
        let permit = |body: UrgencyTimeBody| {
            let (urgency, usable_from) = time(body);
            GrantedPermit { urgency, usable_from }
        };
        PermitAnswer {
            upstream: self.upstream,
            started_unix_ms: self.started,
            observation: self.seen.into_observation(sent_at),
            permits: self.permits.into_iter().map(permit).collect(),
            blocked: self.blocked.map(time),
        }
    }
}

/// Response to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Permits by upstream, in the order of the request.
    pub answers: Vec<AnswerBody>,
}
