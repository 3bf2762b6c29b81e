//! A short soak with a fixed seed; `./scripts/soak` runs longer ones.

mod common;

use common::run_serially;
use pinhaven_lab::soak;

/// Seed of the random faults.
const SEED: u64 = 11;
/// Duration of the soak, in milliseconds.
const DURATION_MS: u64 = 25_000;

#[test]
fn random_faults_break_no_promise() {
    run_serially(async {
        let report = soak::run(SEED, DURATION_MS).await.unwrap();
        assert!(report.faults.is_empty(), "{report:#?}");
        assert!(report.with_home.once.answered > 0);
        assert!(report.without_home.once.answered > 0);
    });
}
