//! Runs one short seed against the real programs. Longer runs are started by hand (`docs/SOAK.md`).

use citronhollow_core::clock::Millis;
use citronhollow_soak::run::{SHAPE, run_seed};

/// Seed of the run in CI. Its plan includes restarts of both kinds of processes, a configuration
/// change and a store that refuses calls.
const SEED: u64 = 1;

const LENGTH: Millis = Millis::from_secs(8);

#[tokio::test]
async fn invariants_hold_under_a_short_plan() {
    let name = format!("citronhollow-soak-short-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    let report = run_seed(SEED, SHAPE, LENGTH, &dir).await.expect("a run");
    assert!(
        report.violations.is_empty(),
        "{report:#?}\nlogs: {}",
        dir.display()
    );
    assert!(report.answered > 0, "{report:?}");
    std::fs::remove_dir_all(&dir).expect("the folder is there");
}
