//! For how long and in which order entries advertise that targets leave.

use pinhaven_agree::ReportedLeaves;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;

fn at_s(time_s: u64) -> Microseconds {
    Microseconds::from_ms(1_000 * (1_000 + time_s))
}

fn leaves(keys: std::ops::Range<u32>) -> ReportedLeaves {
    let mut leaves = ReportedLeaves::new();
    for key in keys {
        leaves.record(key, at_s(u64::from(key)));
    }
    leaves
}

/// Guards against an entry that starts late in an outage of the store and never learns of a leave.
#[test]
fn a_leave_is_advertised_for_as_long_as_the_list_does_not_contain_it() {
    let mut leaves = leaves(0..1);
    for time_s in [9, 11, 600] {
        leaves.expire(at_s(time_s), |_| true);
        assert_eq!(leaves.to_advertise(0), [0], "after {time_s} s");
    }
    leaves.expire(at_s(601), |_| false);
    assert!(leaves.to_advertise(0).is_empty());
}

#[test]
fn a_leave_is_advertised_for_a_while_although_the_list_contains_it() {
    let mut leaves = leaves(0..1);
    leaves.expire(at_s(9), |_| false);
    assert_eq!(leaves.to_advertise(0), [0]);
    leaves.expire(at_s(10), |_| false);
    assert!(leaves.to_advertise(0).is_empty());
}

#[test]
fn hearing_of_a_leave_again_does_not_extend_the_time_for_which_it_is_advertised() {
    let mut leaves = leaves(0..1);
    leaves.record(0, at_s(8));
    leaves.expire(at_s(10), |_| false);
    assert!(leaves.all().is_empty());
}

#[test]
fn of_many_leaves_the_latest_are_in_each_datagram_and_the_others_take_turns() {
    let leaves = leaves(0..300);
    let mut advertised = BTreeSet::new();
    for round in 0..300 {
        let keys = leaves.to_advertise(round);
        assert_eq!(keys.len(), 64);
        let latest: Vec<u32> = (268..300).rev().collect();
        assert_eq!(keys[..32], latest);
        advertised.extend(keys);
    }
    assert_eq!(advertised.len(), 300);
}

#[test]
fn the_number_of_remembered_leaves_is_bounded() {
    let leaves = leaves(0..2_000);
    let expected: Vec<u32> = (976..2_000).collect();
    assert_eq!(leaves.all(), expected);
}
