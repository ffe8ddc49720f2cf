//! Runs a law over many sequences of commands from a fixed seed.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEQUENCES: u64 = 10_000;

/// Checks `law` on sequences of up to `length` commands. `PIMENTOSLIP_SEQUENCES` asks for more of them.
/// A failing sequence is shrunk and printed.
pub fn check<C: Arbitrary + std::fmt::Debug>(seed: u64, length: usize, law: fn(Vec<C>) -> Result<(), String>) {
    let asked = std::env::var("PIMENTOSLIP_SEQUENCES").ok().and_then(|text| text.parse().ok());
    let sequences = asked.unwrap_or(SEQUENCES);
    fn test<C: Arbitrary + std::fmt::Debug>(law: fn(Vec<C>) -> Result<(), String>) -> Law<C> {
        Law(law)
    }
    let outcome = QuickCheck::new()
        .rng(Gen::from_size_and_seed(length, seed))
        .tests(sequences)
        .max_tests(sequences)
        .quicktest(test(law));
    match outcome {
        Ok(passed) => assert_eq!(passed, sequences, "sequences run"),
        Err(failure) => panic!("seed {seed}: {failure:?}"),
    }
}

struct Law<C>(fn(Vec<C>) -> Result<(), String>);

impl<C: Arbitrary + std::fmt::Debug> quickcheck::Testable for Law<C> {
    fn result(&self, rng: &mut Gen) -> TestResult {
        let commands = Vec::<C>::arbitrary(rng);
        let Err(problem) = (self.0)(commands.clone()) else { return TestResult::passed() };
        let (mut smallest, mut why) = (commands, problem);
        'shrink: loop {
            for candidate in smallest.shrink() {
                if let Err(problem) = (self.0)(candidate.clone()) {
                    (smallest, why) = (candidate, problem);
                    continue 'shrink;
                }
            }
            return TestResult::error(format!("{why}\nshrunk to {smallest:#?}"));
        }
    }
}
