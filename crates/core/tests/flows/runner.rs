//! Runner for reproducible property tests: fixed seeds, no regression files, number of cases set by
//! environment.

use std::env;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseResult, TestError, TestRng, TestRunner};

/// Environment variable that sets the number of cases of each property.
const CASES: &str = "CITRONHOLLOW_CASES";
/// Environment variable that replaces the fixed seed, as a number.
const SEED: &str = "CITRONHOLLOW_SEED";

fn number_in(variable: &str) -> Option<u32> {
    env::var(variable).ok()?.parse().ok()
}

/// Number of cases to run: the environment's, else `default`.
pub fn cases(default: u32) -> u32 {
    number_in(CASES).unwrap_or(default)
}

/// Runs a property on generated values. Panics with the smallest failing input.
pub fn run<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value) -> TestCaseResult) {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let mut seed = [7; 32];
    if let Some(number) = number_in(SEED) {
        seed[..4].copy_from_slice(&number.to_le_bytes());
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let outcome = TestRunner::new_with_rng(config, rng).run(&strategy, property);
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, input)) => panic!("{reason}\nsmallest input: {input:#?}"),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}
