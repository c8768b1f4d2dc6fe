//! A comparison detects real differences and does not report chance as a difference.

use std::path::PathBuf;

use citronhollow_lab::pairs::{Pair, Summary, Verdict};
use citronhollow_lab::run::{Benchmark, RunError, parse_value};
use rstest::rstest;

fn pairs(differences: &[f64]) -> Vec<Pair> {
    let seeds = 1..;
    seeds
        .zip(differences)
        .map(|(seed, difference)| Pair {
            seed,
            before: 0.5,
            after: 0.5 + difference,
        })
        .collect()
}

#[rstest]
#[case::clear_gain(&[0.02, 0.03, 0.02, 0.03], Verdict::Higher)]
#[case::clear_loss(&[-0.02, -0.03, -0.02, -0.03], Verdict::Lower)]
#[case::noise(&[0.02, -0.03, 0.01, -0.01], Verdict::Undecided)]
#[case::one_large_gain(&[0.30, 0.0, 0.0, 0.0], Verdict::Undecided)]
fn interval_decides(#[case] differences: &[f64], #[case] expected: Verdict) {
    let summary = Summary::of(&pairs(differences)).expect("pairs enough");
    assert_eq!(summary.verdict, expected, "{summary:?}");
}

// Four pairs: the interval extends 3.182 (tabulated t quantile) standard errors of 0.0029 to each
// side of the mean of 0.025.
#[test]
fn interval_uses_students_t() {
    let summary = Summary::of(&pairs(&[0.02, 0.03, 0.02, 0.03])).expect("pairs enough");
    assert!((summary.mean - 0.025).abs() < 1e-9);
    let half = 3.182 * 0.005_773_502_7 / 2.0;
    assert!(
        (summary.to - summary.mean - half).abs() < 1e-6,
        "{summary:?}"
    );
}

#[test]
fn one_pair_gives_no_interval() {
    assert_eq!(Summary::of(&pairs(&[0.5])), None);
}

// Equal versions differ only by chance. About 5 % of 1,000 comparisons may report a difference; the
// bound of 70 leaves room for variation of the draws.
#[test]
fn equal_versions_rarely_show_a_difference() {
    let mut state = 1_u64;
    let mut draw = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(state >> 33).expect("31 bits")) / f64::from(1_u32 << 31)
    };
    let mut false_verdicts = 0;
    for _ in 0..1_000 {
        let differences: Vec<_> = (0..8).map(|_| draw() + draw() - draw() - draw()).collect();
        let summary = Summary::of(&pairs(&differences)).expect("pairs enough");
        false_verdicts += u32::from(summary.verdict != Verdict::Undecided);
    }
    assert!(false_verdicts <= 70, "{false_verdicts} of 1,000");
}

#[rstest]
#[case::behind_its_label("a 1\nworth 0.25 = whole day\n", Some(0.25))]
#[case::label_within_a_line("the worth 0.25\n", None)]
#[case::no_number("worth much\n", None)]
fn value_follows_its_label(#[case] printed: &str, #[case] expected: Option<f64>) {
    assert_eq!(parse_value(printed, "worth"), expected);
}

#[test]
fn seed_replaces_its_placeholder() {
    let benchmark = Benchmark {
        command: String::from("echo worth {seed}"),
        folder: PathBuf::from("."),
        label: String::from("worth"),
    };
    assert!((benchmark.run(7).expect("a value") - 7.0).abs() < 1e-9);
}

#[test]
fn run_without_a_value_names_the_seed_and_the_label() {
    let benchmark = Benchmark {
        command: String::from("echo nothing"),
        folder: PathBuf::from("."),
        label: String::from("worth"),
    };
    let err = benchmark.run(7).expect_err("no value");
    assert!(matches!(err, RunError::NoValue { seed: 7, .. }), "{err}");
    assert!(err.to_string().contains("worth"), "{err}");
}
