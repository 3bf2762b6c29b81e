//! Intervals between the updates of serving entries.

use pinhaven_agree::FillLevel;
use pinhaven_types::CrossingCost;

/// Utilization of the slots when targets have capacity, and when they are full.
const UTILIZATIONS: [f32; 2] = [0.05, 0.9];

/// Updates a second that a serving entry sends to this number of recipients in other failure domains.
fn updates_per_s(recipients: usize, utilization: f32) -> f64 {
    let interval = FillLevel::new(utilization).far_interval(recipients, None);
    recipients as f64 * 1_000.0 / interval.as_ms()
}

/// Guards against traffic between failure domains that grows with the square of the number of serving entries.
#[test]
fn updates_of_an_entry_do_not_grow_with_the_number_of_recipients() {
    for utilization in UTILIZATIONS {
        let few = updates_per_s(8, utilization);
        for recipients in [9, 12, 27, 64, 200] {
            let many = updates_per_s(recipients, utilization);
            assert!(many <= few, "{recipients} recipients: {many}, {few}");
        }
    }
}

#[test]
fn the_interval_for_few_recipients_does_not_depend_on_their_number() {
    for utilization in UTILIZATIONS {
        let level = FillLevel::new(utilization);
        let intervals = [1, 4, 8].map(|recipients| level.far_interval(recipients, None));
        assert!(intervals.iter().all(|interval| *interval == intervals[0]));
    }
}

#[test]
fn updates_are_sent_more_often_the_fuller_the_targets_are() {
    let intervals = [0.0, 0.15, 0.25, 0.35, 0.45, 1.0].map(|utilization| {
        let level = FillLevel::new(utilization);
        (level.round_interval(), level.far_interval(4, None))
    });
    assert!(intervals.windows(2).all(|pair| pair[0] >= pair[1]));
    let [calmest, .., fullest] = intervals;
    assert_eq!(calmest.0.as_ms(), 50.0);
    assert_eq!(fullest.0.as_ms(), 8.0);
}

/// Guards against billed traffic between failure domains while targets have capacity, and against counts that arrive too
/// late to place requests while targets are full.
#[test]
fn a_crossing_cost_makes_updates_rarer_mainly_while_targets_have_capacity() {
    let cost = CrossingCost::try_from(1.0).ok();
    let [idle, full] = UTILIZATIONS.map(|utilization| {
        let level = FillLevel::new(utilization);
        level.far_interval(6, cost).as_ms() / level.far_interval(6, None).as_ms()
    });
    assert!(idle > 3.0, "{idle}");
    assert!(full <= 2.0, "{full}");
}
