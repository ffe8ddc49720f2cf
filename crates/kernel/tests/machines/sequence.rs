//! Checks a property on random command sequences that are generated from a fixed seed.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Number of sequences per property unless `PIMENTOSLIP_SEQUENCES` is set.
const SEQUENCES_DEFAULT: u64 = 10_000;

/// Checks `property` on sequences of up to `length` commands. The environment variable `PIMENTOSLIP_SEQUENCES`
/// overrides their number. Panics with a shrunk sequence if the property fails.
pub fn check<C: Arbitrary + std::fmt::Debug>(seed: u64, length: usize, property: fn(Vec<C>) -> Result<(), String>) {
    check_count(seed, length, SEQUENCES_DEFAULT, property);
}

/// Like [`check`], for a property that is slow to check: `sequences_default` is the number of sequences.
pub fn check_count<C: Arbitrary + std::fmt::Debug>(
    seed: u64,
    length: usize,
    sequences_default: u64,
    property: fn(Vec<C>) -> Result<(), String>,
) {
    let requested = std::env::var("PIMENTOSLIP_SEQUENCES").ok().and_then(|text| text.parse().ok());
    let sequences = requested.unwrap_or(sequences_default);
    fn test<C: Arbitrary + std::fmt::Debug>(property: fn(Vec<C>) -> Result<(), String>) -> Property<C> {
        Property(property)
    }
    let outcome = QuickCheck::new()
        .rng(Gen::from_size_and_seed(length, seed))
        .tests(sequences)
        .max_tests(sequences)
        .quicktest(test(property));
    match outcome {
        Ok(passed) => assert_eq!(passed, sequences, "number of sequences that were checked"),
        Err(failure) => panic!("seed {seed}: {failure:?}"),
    }
}

/// A property of command sequences; the error says how it was violated.
struct Property<C>(fn(Vec<C>) -> Result<(), String>);

impl<C: Arbitrary + std::fmt::Debug> quickcheck::Testable for Property<C> {
    fn result(&self, rng: &mut Gen) -> TestResult {
        let commands = Vec::<C>::arbitrary(rng);
        let Err(violation) = (self.0)(commands.clone()) else { return TestResult::passed() };
        let (mut smallest, mut error) = (commands, violation);
        'shrink: loop {
            for candidate in smallest.shrink() {
                if let Err(violation) = (self.0)(candidate.clone()) {
                    (smallest, error) = (candidate, violation);
                    continue 'shrink;
                }
            }
            return TestResult::error(format!("{error}\nshrunk sequence: {smallest:#?}"));
        }
    }
}
