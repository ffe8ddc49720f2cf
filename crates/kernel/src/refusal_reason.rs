//! Complete list of the reasons for which a daemon refuses a request, with their codes, HTTP statuses and remedies.

/// Whether an upstream ran the request. A request with several attempts has the greatest state among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunState {
    /// No upstream ran any part of the request.
    NotRun,
    /// An upstream may have run the request.
    MayHaveRun,
    /// An upstream ran the request, but its response could not be delivered completely.
    Ran,
}

impl RunState {
    /// Text used in refusals and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
            Self::Ran => "ran",
        }
    }
}

macro_rules! refusal_reasons {
    ($($variant:ident, $code:literal, $status:literal, $remedy:literal;)*) => {
        /// Reason for refusing a request. Its code is stable and is a label of the refusal counter. Each variant is
        /// documented by the remedy that the caller receives.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum RefusalReason { $(#[doc = $remedy] $variant,)* }

        impl RefusalReason {
            /// All reasons, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Stable machine-readable code.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }

            /// HTTP status code of the refusal.
            #[must_use]
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Advice to the caller on how to resolve the refusal.
            #[must_use]
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$variant => $remedy,)* }
            }
        }
    };
}

refusal_reasons! {
    KeyMissing, "key_missing", 401, "send one Authorization: Bearer header with your key";
    KeyUnknown, "key_unknown", 401, "check the key; ask an operator for a new one if it was withdrawn";
    KeyAmbiguous, "key_ambiguous", 400, "send exactly one key, in the Authorization header";
    KeyMisplaced, "key_misplaced", 400, "take the key out of the path, query and body";
    ServiceUnknown, "service_unknown", 404, "name a configured service in the model field or path";
    ServiceForbidden, "service_forbidden", 403, "ask an operator to grant the service to your organisation";
    BodyMalformed, "body_malformed", 400, "send the documented JSON";
    BodyTooLarge, "body_too_large", 413, "send a smaller body";
    IdempotencyKeyInvalid, "idempotency_key_invalid", 400, "send one Idempotency-Key of 1 to 200 printable characters";
    IdempotencyKeyReused, "idempotency_key_reused", 422, "use a new Idempotency-Key for a different request";
    ClaimInProgress, "claim_in_progress", 409, "wait, then send the same request again";
    OutcomeUnknown, "outcome_unknown", 409, "ask the service whether the order exists; do not send it again under a new key";
    ClaimUnavailable, "claim_unavailable", 503, "send the same request again after the given time";
    ConfigStale, "config_stale", 503, "send the request again; this daemon cannot confirm that keys still hold";
    Draining, "draining", 503, "send the request again; the balancer picks another daemon";
    MemoryUsedUp, "memory_used_up", 503, "send the request again after the given time";
    QueueFull, "queue_full", 429, "send fewer requests at a time";
    DeadlinePassed, "deadline_passed", 504, "send the request again with a longer timeout";
    NoUpstream, "no_upstream", 503, "send the request again after the given time";
    Quarantined, "quarantined", 422, "change the request; it ended the upstreams that ran it";
    UpstreamUnreachable, "upstream_unreachable", 503, "send the request again after the given time";
    UpstreamLost, "upstream_lost", 502, "the request may have run; repeat it only if that is safe";
    AnswerMismatch, "answer_mismatch", 502, "the request may have run; repeat it only if that is safe";
    RetryExhausted, "retry_exhausted", 503, "send the request again after the given time";
    StepUnknown, "step_unknown", 409, "open the step again with the same body and keep the cursor";
    StepConflict, "step_conflict", 409, "use a new step name for different prompts";
    PeerUnreachable, "peer_unreachable", 503, "send the request again after the given time";
}
