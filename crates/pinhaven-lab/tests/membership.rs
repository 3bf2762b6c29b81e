//! Entries named to callers while entries lose power, in emulated time.

use pinhaven_lab::membership::MembershipOutcome;
use pinhaven_lab::membership::MembershipPlan;
use pinhaven_lab::membership::PowerLoss;
use pinhaven_lab::membership::emulate;

/// Numbers of entries: a small deployment, a grown one and one of several hundred.
const ENTRIES: [usize; 3] = [17, 100, 300];
/// Time of the loss of power, and duration of the runs, in milliseconds.
const LOST_AT_MS: u64 = 12_000;
const DURATION_MS: u64 = 22_000;
/// Maximum time for which a lost entry may be named, in milliseconds: the users allow an entry 3,000 ms until it counts
/// as out of touch, and 3,000 ms more.
const NAMED_FOR_MAX_MS: f64 = 6_000.0;
/// Share of lost datagrams on harmed links.
const LOST_DATAGRAMS: f64 = 0.2;
/// Maximum share of running serving entries that are not named while datagrams are lost.
const UNNAMED_SHARE_MAX: f64 = 0.01;

fn plan(entries: usize) -> MembershipPlan {
    MembershipPlan {
        duration_ms: DURATION_MS,
        ..MembershipPlan::new(entries, 1)
    }
}

/// Plays the loss of power of a third of the entries.
fn lose_power(plan: MembershipPlan) -> MembershipOutcome {
    let loss = PowerLoss {
        at_ms: LOST_AT_MS,
        share: 0.3,
    };
    let plan = plan.with_power_loss(loss);
    let outcome = emulate(&plan);
    println!("{} entries: {outcome:?}", plan.entries);
    outcome
}

#[test]
fn a_seed_gives_the_same_membership_outcome_each_time() {
    let plan = plan(17).with_lost_datagrams(LOST_DATAGRAMS);
    assert_eq!(emulate(&plan), emulate(&plan));
}

#[test]
fn answers_do_not_name_entries_long_without_power() {
    for entries in ENTRIES {
        let outcome = lose_power(plan(entries));
        assert!(
            outcome.lost_named_for_ms < NAMED_FOR_MAX_MS,
            "{entries} entries: {outcome:?}"
        );
    }
}

#[test]
fn answers_do_not_name_entries_long_without_power_while_the_store_is_away() {
    for entries in ENTRIES {
        let outcome = lose_power(plan(entries).without_store());
        assert!(
            outcome.lost_named_for_ms < NAMED_FOR_MAX_MS,
            "{entries} entries: {outcome:?}"
        );
    }
}

#[test]
fn answers_do_not_name_entries_long_without_power_beside_links_that_lose_datagrams() {
    for entries in ENTRIES {
        let outcome = lose_power(plan(entries).with_lost_datagrams(LOST_DATAGRAMS));
        assert!(
            outcome.lost_named_for_ms < NAMED_FOR_MAX_MS,
            "{entries} entries: {outcome:?}"
        );
    }
}

#[test]
fn running_entries_that_serve_are_named_by_all() {
    for entries in ENTRIES {
        let outcome = emulate(&plan(entries));
        assert_eq!(
            outcome.running_unnamed_share, 0.0,
            "{entries} entries: {outcome:?}"
        );
    }
}

#[test]
fn running_entries_that_serve_are_named_beside_links_that_lose_datagrams() {
    for entries in ENTRIES {
        let outcome = emulate(&plan(entries).with_lost_datagrams(LOST_DATAGRAMS));
        assert!(
            outcome.running_unnamed_share < UNNAMED_SHARE_MAX,
            "{entries} entries: {outcome:?}"
        );
    }
}

/// Guards against entries that forget whom they hear seldom: the entry that replaced a lost one did not know the standby
/// entries of its failure domain, and these did not know it.
#[test]
fn entries_that_replace_lost_ones_are_named_by_all() {
    for entries in ENTRIES {
        for seed in [1, 2] {
            let plan = MembershipPlan {
                seed,
                duration_ms: 30_000,
                ..plan(entries)
            };
            let outcome = lose_power(plan);
            assert!(
                outcome.running_unnamed_share < UNNAMED_SHARE_MAX,
                "{entries} entries, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against shares that count only the members heard of lately: each entry that stands by took a larger part.
#[test]
fn the_shares_of_added_attempts_of_all_entries_are_at_most_the_whole() {
    for entries in ENTRIES {
        let outcome = emulate(&plan(entries));
        assert!(
            outcome.added_attempts_max < 1.0 + 1e-9,
            "{entries} entries: {outcome:?}"
        );
    }
}
