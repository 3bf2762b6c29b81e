//! Failure domains in emulated time: what crosses between them and what is answered within the aim, with the usual cost
//! of a crossing and with one that operators set.

use pinhaven_lab::emulate::EmulationPlan;
use pinhaven_lab::emulate::LocalityDay;
use pinhaven_lab::emulate::Tally;
use pinhaven_lab::emulate::emulate;
use pinhaven_types::CrossingCost;

const SEEDS: [u64; 2] = [1, 2];

/// Means over the seeds.
#[derive(Debug, Default)]
struct Figures {
    far_bytes_share: f64,
    in_time: f64,
    worst: f64,
    refused: f64,
}

fn emulate_day(day: LocalityDay, cost: Option<f64>) -> Vec<Tally> {
    let cost = cost.map(|cost| CrossingCost::try_from(cost).unwrap());
    let play = |seed| emulate(&EmulationPlan::for_locality(day, cost, 0.4, seed));
    SEEDS.into_iter().map(play).collect()
}

fn figures(tallies: &[Tally]) -> Figures {
    let mean =
        |figure: fn(&Tally) -> f64| tallies.iter().map(figure).sum::<f64>() / tallies.len() as f64;
    Figures {
        far_bytes_share: mean(|tally| tally.crossings.far_bytes_share()),
        in_time: mean(|tally| tally.in_time as f64 / tally.requests as f64),
        worst: mean(Tally::worst_credit),
        refused: mean(|tally| tally.refused as f64 / tally.requests as f64),
    }
}

/// Plays a day with the usual cost and with a cost of 1. At most `share` of the bytes that crossed may still cross.
fn check_day(day: LocalityDay, share: f64, tolerance: f64) -> Vec<Tally> {
    let tallies = emulate_day(day, Some(1.0));
    let (before, after) = (figures(&emulate_day(day, None)), figures(&tallies));
    println!("{day:?}: {before:?} {after:?}");
    let message = || format!("{day:?}: {before:?}, with a cost {after:?}");
    assert!(
        after.far_bytes_share < before.far_bytes_share * share,
        "{}",
        message()
    );
    assert!(after.in_time > before.in_time - tolerance, "{}", message());
    assert!(
        after.worst > before.worst - 2.0 * tolerance,
        "{}",
        message()
    );
    assert!(after.refused < before.refused + tolerance, "{}", message());
    tallies
}

#[test]
fn on_an_even_load_less_than_half_of_the_bytes_cross() {
    check_day(LocalityDay::Even, 0.5, 0.01);
}

#[test]
fn the_peak_of_a_domain_spills_over_before_it_queues() {
    let tallies = check_day(LocalityDay::Peaks, 0.5, 0.01);
    for tally in tallies {
        for (requests, in_time) in &tally.crossings.in_time_by_domain {
            assert!(
                *in_time as f64 > *requests as f64 * 0.96,
                "{:?}",
                tally.crossings
            );
        }
        // No domain gets most of what crosses.
        let far = &tally.crossings.far_by_domain;
        let most = far.iter().max().unwrap();
        assert!(*most * 2 < far.iter().sum(), "{far:?}");
    }
}

#[test]
fn callers_that_move_while_targets_are_few_and_slow_are_served_as_before() {
    check_day(LocalityDay::CallersMove, 0.7, 0.03);
}

#[test]
fn callers_in_a_domain_without_targets_are_served_elsewhere() {
    check_day(LocalityDay::Drained, 0.6, 0.02);
}

#[test]
fn callers_in_a_domain_with_cold_targets_are_served_as_before() {
    check_day(LocalityDay::Cold, 0.6, 0.02);
}
