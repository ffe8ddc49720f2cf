//! Results of attempts to connect to an upstream, and what they say about its process.

/// Result of an attempt to open a connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was opened.
    Accepted,
    /// The connection was refused: no process listens at the address, or the path to it is blocked.
    Refused,
    /// Nothing was received in time.
    Silent,
}

impl ConnectOutcome {
    /// Name of the result in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Whether the process of an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessVerdict {
    /// A process listens at the address.
    Running,
    /// No process listens at the address.
    Ended,
    /// It cannot be told from here: only this daemon has failed, or nobody has received anything.
    Unknown,
}

impl ProcessVerdict {
    /// Judges by this daemon's own attempt and by those of other daemons, on other paths. Without other daemons, its own
    /// attempt decides.
    #[must_use]
    pub fn judge(own: ConnectOutcome, others: Option<&[ConnectOutcome]>) -> Self {
        let outcomes = others.unwrap_or_default();
        if own == ConnectOutcome::Accepted || outcomes.contains(&ConnectOutcome::Accepted) {
            return Self::Running;
        }
        let is_refused = match others {
            Some(outcomes) => outcomes.contains(&ConnectOutcome::Refused),
            None => own == ConnectOutcome::Refused,
        };
        if is_refused { Self::Ended } else { Self::Unknown }
    }

    /// Name of the verdict in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}
