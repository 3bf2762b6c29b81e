//! Spreading of bundle versions in emulated time.
//!
//! The tests play each way in which a version can be late, and check that every living entry has the last version in
//! the end, so that no entry stays behind permanently.

use pinhaven_lab::versions::Transfer;
use pinhaven_lab::versions::VersionChange;
use pinhaven_lab::versions::VersionFault;
use pinhaven_lab::versions::VersionsOutcome;
use pinhaven_lab::versions::VersionsPlan;
use pinhaven_lab::versions::emulate;

/// Number of entries of most plans.
const ENTRIES: usize = 30;
/// Number of routes of most plans.
const ROUTES: usize = 1_000;
/// Number of routes whose package takes several parts.
const MULTIPART_ROUTES: usize = 6_000;
/// Seeds with which each plan is played.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Maximum time until a version is in force everywhere when nothing fails, and maximum wait of an entry for a newer
/// version when versions follow each other without a pause, in milliseconds.
const IN_FORCE_MAX_MS: f64 = 20_000.0;
/// Slowest emulated link, in megabits per second.
const LINK_MIN_MBPS: f64 = 1.0;

fn plan(change: VersionChange, seed: u64) -> VersionsPlan {
    VersionsPlan::new(ENTRIES, ROUTES, change, seed)
}

/// Plays a plan and checks that all living entries have the last version in the end.
fn play_to_last_version(name: &str, plan: &VersionsPlan) -> VersionsOutcome {
    let outcome = emulate(plan);
    let behind = outcome.behind();
    let last_ms = outcome.in_force_ms(1.0);
    println!(
        "{name}, seed {}: in force at all entries after {last_ms:?} ms",
        plan.seed
    );
    assert!(
        behind.is_empty(),
        "{name}, seed {}: entries {behind:?} are behind",
        plan.seed
    );
    outcome
}

/// Entries that called the store.
fn delegates(outcome: &VersionsOutcome) -> Vec<usize> {
    let entries = outcome.entries.iter().enumerate();
    let callers = entries.filter(|(_, entry)| entry.store_calls > 0);
    callers.map(|(index, _)| index).collect()
}

#[test]
fn a_seed_gives_the_same_outcome_each_time() {
    let plan = plan(VersionChange::AddRoutes, 5);
    assert_eq!(emulate(&plan), emulate(&plan));
}

#[test]
fn every_change_is_in_force_everywhere_in_time() {
    for change in [
        VersionChange::OneRoute,
        VersionChange::AddRoutes,
        VersionChange::FreshEntry,
    ] {
        for seed in SEEDS {
            let outcome = play_to_last_version("no faults", &plan(change, seed));
            let last_ms = outcome.in_force_ms(1.0).unwrap();
            assert!(last_ms < IN_FORCE_MAX_MS, "{change:?}: {last_ms} ms");
        }
    }
}

#[test]
fn a_version_that_must_come_whole_within_a_second_never_comes() {
    let large = VersionsPlan::new(ENTRIES, 8_000, VersionChange::AddRoutes, 1);
    let whole_transfer = emulate(&large.clone().with_transfer(Transfer::WholeInASecond));
    assert!(!whole_transfer.behind().is_empty());
    play_to_last_version("large", &large);
}

#[test]
fn holders_that_die_in_the_middle_are_replaced() {
    for seed in SEEDS {
        let faultless_plan =
            VersionsPlan::new(ENTRIES, MULTIPART_ROUTES, VersionChange::AddRoutes, seed);
        let faultless = emulate(&faultless_plan);
        let mut failed_tries = 0;
        for after_ms in [10, 300, 900] {
            let mut plan = faultless_plan.clone();
            for entry in delegates(&faultless) {
                let at_ms = faultless.entries[entry].in_force_ms.unwrap() as u64 + after_ms;
                plan = plan.with_fault(VersionFault::Crashes { entry, at_ms });
            }
            let outcome = play_to_last_version("delegates die", &plan);
            let dead = outcome.entries.iter().filter(|entry| !entry.is_alive);
            assert_eq!(dead.count(), delegates(&faultless).len());
            let tries = outcome.entries.iter().map(|entry| entry.failed_tries);
            failed_tries += tries.sum::<u64>();
        }
        assert!(failed_tries > 0, "seed {seed}: no fetch was interrupted");
    }
}

#[test]
fn a_single_holder_that_all_other_entries_ask_serves_them_all_in_the_end() {
    for seed in SEEDS {
        let until_ms = 600_000;
        let plan = VersionsPlan::new(2 * ENTRIES, 10_000, VersionChange::AddRoutes, seed)
            .with_fault(VersionFault::StoreAnswersOne { until_ms });
        let outcome = play_to_last_version("one holder", &plan);
        let sent_away = outcome
            .entries
            .iter()
            .filter(|entry| entry.busy_answers > 0);
        let sent_away = sent_away.count();
        assert!(
            sent_away * 2 > outcome.entries.len(),
            "seed {seed}: {sent_away} entries were sent away"
        );
        let readers = outcome.entries.iter().filter(|entry| entry.store_calls > 0);
        assert!(readers.count() < outcome.entries.len());
    }
}

#[test]
fn the_store_may_be_unavailable_for_most_delegates() {
    for seed in SEEDS {
        for change in [VersionChange::OneRoute, VersionChange::AddRoutes] {
            let until_ms = 10_000;
            let plan = plan(change, seed)
                .with_versions(4, 700)
                .with_fault(VersionFault::StoreAnswersOne { until_ms });
            play_to_last_version("store unavailable", &plan);
        }
    }
}

#[test]
fn a_storm_of_versions_ends_with_the_last_one_everywhere() {
    for seed in SEEDS {
        for (change, versions, gap_ms) in [
            (VersionChange::OneRoute, 40, 50),
            (VersionChange::OneRoute, 10, 500),
            (VersionChange::AddRoutes, 8, 300),
        ] {
            let plan = plan(change, seed).with_versions(versions, gap_ms);
            play_to_last_version("storm", &plan);
        }
    }
}

#[test]
fn a_storm_of_versions_ends_with_the_last_one_everywhere_on_the_slowest_link() {
    for seed in SEEDS {
        for (change, routes, versions) in [
            (VersionChange::OneRoute, 1_000, 20),
            (VersionChange::AddRoutes, 200, 6),
        ] {
            let plan = VersionsPlan::new(ENTRIES, routes, change, seed)
                .with_link_mbps(LINK_MIN_MBPS)
                .with_versions(versions, 200);
            play_to_last_version("storm, slowest link", &plan);
        }
    }
}

/// Plays versions that are rolled faster than entries can fetch them, and checks that no entry waits too long for a
/// newer version.
fn play_endless_storm(link_mbps: f64, routes: usize, versions: u64) {
    for seed in SEEDS {
        let plan = VersionsPlan::new(ENTRIES, routes, VersionChange::AddRoutes, seed)
            .with_link_mbps(link_mbps)
            .with_versions(versions, 250);
        let outcome = play_to_last_version("endless storm", &plan);
        let wait_ms = outcome.longest_wait_ms();
        println!("endless storm, {link_mbps} Mbit/s: longest wait {wait_ms} ms");
        assert!(
            wait_ms < IN_FORCE_MAX_MS,
            "seed {seed}: {wait_ms} ms without a newer version"
        );
    }
}

#[test]
fn versions_rolled_faster_than_entries_fetch_them_leave_no_entry_at_an_old_one() {
    play_endless_storm(10.0, 250, 24);
}

#[test]
fn peers_that_claim_a_version_and_serve_no_part_block_no_entry_permanently() {
    for seed in SEEDS {
        for change in [VersionChange::OneRoute, VersionChange::AddRoutes] {
            let mut silent = plan(change, seed);
            let mut empty = plan(change, seed);
            for entry in (0..ENTRIES).step_by(4) {
                silent = silent.with_fault(VersionFault::AdvertisesButIsSilent { entry });
                empty = empty.with_fault(VersionFault::AdvertisesButHasNone { entry });
            }
            let outcome = play_to_last_version("claims and is silent", &silent);
            assert!(outcome.entries.iter().any(|entry| entry.failed_tries > 0));
            play_to_last_version("claims and has none", &empty);
        }
    }
}

#[test]
fn packages_that_are_no_longer_retained_are_built_again() {
    for seed in SEEDS {
        let plan = VersionsPlan::new(ENTRIES, MULTIPART_ROUTES, VersionChange::AddRoutes, seed)
            .with_fault(VersionFault::PackagesAreDropped);
        play_to_last_version("packages not retained", &plan);
    }
    let plan = plan(VersionChange::AddRoutes, SEEDS[0]).with_versions(5, 400);
    let plan = plan.with_fault(VersionFault::PackagesAreDropped);
    play_to_last_version("packages not retained, storm", &plan);
}

#[test]
fn entries_that_can_not_use_differences_fetch_the_whole_bundle() {
    for seed in SEEDS {
        let mut plan = plan(VersionChange::OneRoute, seed);
        for entry in (0..ENTRIES).step_by(3) {
            plan = plan.with_fault(VersionFault::DifferencesFail { entry });
        }
        let outcome = play_to_last_version("differences fail", &plan);
        assert!(outcome.entries.iter().any(|entry| entry.failed_tries > 0));
        play_to_last_version("differences fail, storm", &plan.with_versions(10, 300));
    }
}

#[test]
fn lost_calls_are_retried() {
    for seed in SEEDS {
        for (change, routes) in [
            (VersionChange::OneRoute, ROUTES),
            (VersionChange::AddRoutes, MULTIPART_ROUTES),
            (VersionChange::FreshEntry, MULTIPART_ROUTES),
        ] {
            let plan = VersionsPlan::new(ENTRIES, routes, change, seed)
                .with_fault(VersionFault::CallsAreLost { share: 0.2 });
            play_to_last_version("calls lost", &plan);
        }
    }
}

#[test]
fn all_faults_at_once_leave_no_entry_behind() {
    for seed in SEEDS {
        let mut plan = plan(VersionChange::AddRoutes, seed)
            .with_versions(4, 600)
            .with_fault(VersionFault::CallsAreLost { share: 0.1 })
            .with_fault(VersionFault::PackagesAreDropped)
            .with_fault(VersionFault::StoreAnswersOne { until_ms: 8_000 });
        for entry in (0..ENTRIES).step_by(6) {
            plan = plan
                .with_fault(VersionFault::DifferencesFail { entry: entry + 1 })
                .with_fault(VersionFault::AdvertisesButIsSilent { entry: entry + 2 })
                .with_fault(VersionFault::Crashes {
                    entry: entry + 3,
                    at_ms: 1_500,
                });
        }
        play_to_last_version("all faults at once", &plan);
    }
}

#[test]
fn versions_rolled_fast_leave_no_entry_at_an_old_one_on_the_slowest_link() {
    play_endless_storm(LINK_MIN_MBPS, 50, 60);
}

#[test]
fn the_maximum_of_routes_and_entries_is_in_force_everywhere_in_time() {
    let plan = VersionsPlan::new(300, 20_000, VersionChange::AddRoutes, 1);
    let outcome = play_to_last_version("largest", &plan);
    let last_ms = outcome.in_force_ms(1.0).unwrap();
    assert!(last_ms < IN_FORCE_MAX_MS, "{last_ms} ms");
}
