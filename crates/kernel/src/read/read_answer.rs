//! Answer to a read of a job's results.

use super::AbsenceProof;

/// Results from the requested position on, or the proof that there is none. A reader that has neither cannot answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadAnswer<T> {
    results: Vec<T>,
    absence: Option<AbsenceProof>,
}

impl<T> ReadAnswer<T> {
    /// The answer with `results`, or without any if `absence` proves that there are none. `None` if the reader cannot be sure.
    #[must_use]
    pub fn new(results: Vec<T>, absence: Option<AbsenceProof>) -> Option<Self> {
        match (results.is_empty(), absence) {
            (false, _) => Some(Self { results, absence: None }),
            (true, Some(proof)) => Some(Self::absent(proof)),
            (true, None) => None,
        }
    }

    /// The answer without results.
    #[must_use]
    pub const fn absent(proof: AbsenceProof) -> Self {
        Self { results: Vec::new(), absence: Some(proof) }
    }

    /// Results from the requested position on.
    #[must_use]
    pub fn results(&self) -> &[T] {
        &self.results
    }

    /// The results, without the answer around them.
    #[must_use]
    pub fn into_results(self) -> Vec<T> {
        self.results
    }

    /// The proof that there is no result at the position; `None` if there is one.
    #[must_use]
    pub const fn absence(&self) -> Option<&AbsenceProof> {
        self.absence.as_ref()
    }
}
