//! Reasons why a request is not sent to upstreams that could serve it.

/// Why a request may not be sent to an upstream that could serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// An operator has evacuated the upstream's failure domain.
    Evacuated,
    /// The upstream is outside of the homes of the request.
    OutsideHomes,
}

impl WithholdReason {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::OutsideHomes => "outside_homes",
        }
    }
}
