//! No entry stays behind for good: each way that a version can be late is played in emulated time, and every
//! entry that lives has the last version in the end.

use pinhaven_lab::versions::Transfer;
use pinhaven_lab::versions::VersionChange;
use pinhaven_lab::versions::VersionFault;
use pinhaven_lab::versions::VersionsOutcome;
use pinhaven_lab::versions::VersionsPlan;
use pinhaven_lab::versions::emulate;

const ENTRIES: usize = 30;
const ROUTES: usize = 1_000;
/// Routes whose package takes several parts.
const ROUTES_OF_PARTS: usize = 6_000;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Longest time until a version is in force everywhere when nothing goes wrong.
const IN_FORCE_MS: f64 = 20_000.0;
/// The smallest link that is played, in megabits a second.
const LINK_LEAST_MBPS: f64 = 1.0;

fn plan(change: VersionChange, seed: u64) -> VersionsPlan {
    VersionsPlan::new(ENTRIES, ROUTES, change, seed)
}

/// Plays a plan and checks that all living entries have the last version.
fn play_until_all_have_it(name: &str, plan: &VersionsPlan) -> VersionsOutcome {
    let outcome = emulate(plan);
    let behind = outcome.behind();
    let last_ms = outcome.in_force_ms(1.0);
    println!(
        "{name}, seed {}: in force at all after {last_ms:?} ms",
        plan.seed
    );
    assert!(
        behind.is_empty(),
        "{name}, seed {}: entries {behind:?} are behind",
        plan.seed
    );
    outcome
}

/// Entries that spoke with the store.
fn delegates(outcome: &VersionsOutcome) -> Vec<usize> {
    let entries = outcome.entries.iter().enumerate();
    let asked = entries.filter(|(_, entry)| entry.store_calls > 0);
    asked.map(|(index, _)| index).collect()
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
            let outcome = play_until_all_have_it("calm", &plan(change, seed));
            let last_ms = outcome.in_force_ms(1.0).unwrap();
            assert!(last_ms < IN_FORCE_MS, "{change:?}: {last_ms} ms");
        }
    }
}

#[test]
fn a_version_that_must_come_whole_within_a_second_never_comes() {
    let large = VersionsPlan::new(ENTRIES, 8_000, VersionChange::AddRoutes, 1);
    let before = emulate(&large.clone().with_transfer(Transfer::WholeInASecond));
    assert!(!before.behind().is_empty());
    play_until_all_have_it("large", &large);
}

#[test]
fn holders_that_die_in_the_middle_are_replaced() {
    for seed in SEEDS {
        let calm_plan = VersionsPlan::new(ENTRIES, ROUTES_OF_PARTS, VersionChange::AddRoutes, seed);
        let calm = emulate(&calm_plan);
        let mut failed_tries = 0;
        for after_ms in [10, 300, 900] {
            let mut plan = calm_plan.clone();
            for entry in delegates(&calm) {
                let at_ms = calm.entries[entry].in_force_ms.unwrap() as u64 + after_ms;
                plan = plan.with_fault(VersionFault::Crashes { entry, at_ms });
            }
            let outcome = play_until_all_have_it("delegates die", &plan);
            let dead = outcome.entries.iter().filter(|entry| !entry.is_alive);
            assert_eq!(dead.count(), delegates(&calm).len());
            let tries = outcome.entries.iter().map(|entry| entry.failed_tries);
            failed_tries += tries.sum::<u64>();
        }
        assert!(failed_tries > 0, "seed {seed}: nobody was in the middle");
    }
}

#[test]
fn one_holder_that_is_busy_with_all_others_serves_them_all_in_the_end() {
    for seed in SEEDS {
        let until_ms = 600_000;
        let plan = VersionsPlan::new(2 * ENTRIES, 10_000, VersionChange::AddRoutes, seed)
            .with_fault(VersionFault::StoreAnswersOne { until_ms });
        let outcome = play_until_all_have_it("one holder", &plan);
        let sent_away = outcome
            .entries
            .iter()
            .filter(|entry| entry.busy_answers > 0);
        let sent_away = sent_away.count();
        assert!(
            sent_away * 2 > outcome.entries.len(),
            "seed {seed}: {sent_away} sent away"
        );
        let readers = outcome.entries.iter().filter(|entry| entry.store_calls > 0);
        assert!(readers.count() < outcome.entries.len());
    }
}

#[test]
fn the_store_may_be_away_for_most_delegates() {
    for seed in SEEDS {
        for change in [VersionChange::OneRoute, VersionChange::AddRoutes] {
            let until_ms = 10_000;
            let plan = plan(change, seed)
                .with_versions(4, 700)
                .with_fault(VersionFault::StoreAnswersOne { until_ms });
            play_until_all_have_it("store away", &plan);
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
            play_until_all_have_it("storm", &plan);
        }
    }
}

#[test]
fn a_storm_ends_well_on_the_smallest_link_too() {
    for seed in SEEDS {
        for (change, routes, versions) in [
            (VersionChange::OneRoute, 1_000, 20),
            (VersionChange::AddRoutes, 200, 6),
        ] {
            let plan = VersionsPlan::new(ENTRIES, routes, change, seed)
                .with_link_mbps(LINK_LEAST_MBPS)
                .with_versions(versions, 200);
            play_until_all_have_it("storm, smallest link", &plan);
        }
    }
}

/// Plays versions that come faster than they can be taken, and checks that no entry goes long without a newer one.
fn play_endless_storm(link_mbps: f64, routes: usize, versions: u64) {
    for seed in SEEDS {
        let plan = VersionsPlan::new(ENTRIES, routes, VersionChange::AddRoutes, seed)
            .with_link_mbps(link_mbps)
            .with_versions(versions, 250);
        let outcome = play_until_all_have_it("endless storm", &plan);
        let wait_ms = outcome.longest_wait_ms();
        println!("endless storm, {link_mbps} Mbit/s: longest wait {wait_ms} ms");
        assert!(
            wait_ms < IN_FORCE_MS,
            "seed {seed}: {wait_ms} ms without a newer version"
        );
    }
}

#[test]
fn versions_that_come_faster_than_they_can_be_taken_leave_nobody_at_an_old_one() {
    play_endless_storm(10.0, 250, 24);
}

#[test]
fn peers_that_claim_a_version_and_give_nothing_hold_nobody_up_for_good() {
    for seed in SEEDS {
        for change in [VersionChange::OneRoute, VersionChange::AddRoutes] {
            let mut silent = plan(change, seed);
            let mut empty = plan(change, seed);
            for entry in (0..ENTRIES).step_by(4) {
                silent = silent.with_fault(VersionFault::AdvertisesButIsSilent { entry });
                empty = empty.with_fault(VersionFault::AdvertisesButHasNone { entry });
            }
            let outcome = play_until_all_have_it("claims and is silent", &silent);
            assert!(outcome.entries.iter().any(|entry| entry.failed_tries > 0));
            play_until_all_have_it("claims and has none", &empty);
        }
    }
}

#[test]
fn packages_that_are_no_longer_kept_are_made_again() {
    for seed in SEEDS {
        let plan = VersionsPlan::new(ENTRIES, ROUTES_OF_PARTS, VersionChange::AddRoutes, seed)
            .with_fault(VersionFault::PackagesAreDropped);
        play_until_all_have_it("packages forgotten", &plan);
    }
    let plan = plan(VersionChange::AddRoutes, SEEDS[0]).with_versions(5, 400);
    let plan = plan.with_fault(VersionFault::PackagesAreDropped);
    play_until_all_have_it("packages forgotten, storm", &plan);
}

#[test]
fn entries_that_can_not_use_differences_take_the_whole() {
    for seed in SEEDS {
        let mut plan = plan(VersionChange::OneRoute, seed);
        for entry in (0..ENTRIES).step_by(3) {
            plan = plan.with_fault(VersionFault::DifferencesFail { entry });
        }
        let outcome = play_until_all_have_it("differences fail", &plan);
        assert!(outcome.entries.iter().any(|entry| entry.failed_tries > 0));
        play_until_all_have_it("differences fail, storm", &plan.with_versions(10, 300));
    }
}

#[test]
fn calls_that_are_lost_are_made_again() {
    for seed in SEEDS {
        for (change, routes) in [
            (VersionChange::OneRoute, ROUTES),
            (VersionChange::AddRoutes, ROUTES_OF_PARTS),
            (VersionChange::FreshEntry, ROUTES_OF_PARTS),
        ] {
            let plan = VersionsPlan::new(ENTRIES, routes, change, seed)
                .with_fault(VersionFault::CallsAreLost { share: 0.2 });
            play_until_all_have_it("calls lost", &plan);
        }
    }
}

#[test]
fn all_of_it_at_once_ends_well_too() {
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
        play_until_all_have_it("all at once", &plan);
    }
}

#[test]
fn versions_that_come_fast_are_taken_on_the_smallest_link_too() {
    play_endless_storm(LINK_LEAST_MBPS, 50, 60);
}

#[test]
fn as_many_routes_and_entries_as_there_may_be_are_in_force_in_time() {
    let plan = VersionsPlan::new(300, 20_000, VersionChange::AddRoutes, 1);
    let outcome = play_until_all_have_it("largest", &plan);
    let last_ms = outcome.in_force_ms(1.0).unwrap();
    assert!(last_ms < IN_FORCE_MS, "{last_ms} ms");
}
