//! Says what happened and remembers whether everything held.

/// Collects the outcome of the demo's checks.
#[derive(Debug, Default)]
pub struct DemoCheck {
    failed: usize,
    passed: usize,
}

impl DemoCheck {
    /// Says `what` and whether it held.
    pub fn expect(&mut self, held: bool, what: impl std::fmt::Display) {
        if held {
            self.passed += 1;
            println!("  ok      {what}");
        } else {
            self.failed += 1;
            println!("  FAILED  {what}");
        }
    }

    /// Checks that failed.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Checks that held.
    pub fn passed(&self) -> usize {
        self.passed
    }
}
