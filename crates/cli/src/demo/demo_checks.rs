//! Outcome of the demo's checks.

/// Prints the outcome of each check and counts passed and failed checks.
#[derive(Debug, Default)]
pub struct DemoChecks {
    failed: usize,
    passed: usize,
}

impl DemoChecks {
    /// Prints whether the check described by `description` passed, and counts it.
    pub fn expect(&mut self, passed: bool, description: impl std::fmt::Display) {
        if passed {
            self.passed += 1;
            println!("  ok      {description}");
        } else {
            self.failed += 1;
            println!("  FAILED  {description}");
        }
    }

    /// Number of failed checks.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Number of passed checks.
    pub fn passed(&self) -> usize {
        self.passed
    }
}
