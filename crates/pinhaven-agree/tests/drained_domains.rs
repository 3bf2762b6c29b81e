//! Drained failure domains: which set an entry keeps, whatever way and in whatever order the sets arrive.

use pinhaven_agree::DrainChange;
use pinhaven_agree::DrainOrder;
use pinhaven_agree::DrainedDomains;
use pinhaven_agree::KnownDrains;
use pinhaven_types::FailureDomain;

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn set(revision: u64, names: &[&str]) -> DrainedDomains {
    DrainedDomains::new(revision, names.iter().map(|name| domain(name)))
}

/// All orders about two failure domains.
fn orders() -> [DrainOrder; 4] {
    [
        DrainOrder::Drain(domain("a")),
        DrainOrder::Restore(domain("a")),
        DrainOrder::Drain(domain("b")),
        DrainOrder::Restore(domain("b")),
    ]
}

/// The sets after each of some orders, given one after another.
fn history(given: &[DrainOrder]) -> Vec<DrainedDomains> {
    let mut sets = vec![set(10, &[])];
    for (index, order) in given.iter().enumerate() {
        let mut next = sets[index].clone();
        next.carry_out(11 + index as u64, [order.clone()]);
        sets.push(next);
    }
    sets
}

/// Calls `check` with each sequence of `length` indexes below `count`.
fn for_each_sequence(count: usize, length: u32, check: &mut dyn FnMut(&[usize])) {
    for number in 0..count.pow(length) {
        let digits = (0..length).map(|digit| number / count.pow(digit) % count);
        check(&digits.collect::<Vec<_>>());
    }
}

/// Guards against an order that comes back with a late message after it was withdrawn.
#[test]
fn in_whatever_order_sets_arrive_the_newest_of_them_is_in_force() {
    for_each_sequence(4, 3, &mut |given| {
        let given: Vec<DrainOrder> = given.iter().map(|i| orders()[*i].clone()).collect();
        let sets = history(&given);
        for_each_sequence(sets.len(), 4, &mut |arrivals| {
            let mut known = KnownDrains::new();
            let mut newest = 0;
            for arrival in arrivals {
                newest = newest.max(*arrival);
                known.record(sets[*arrival].clone());
                assert_eq!(
                    known.newest(),
                    Some(&sets[newest]),
                    "{given:?} {arrivals:?}"
                );
            }
        });
    });
}

/// A store that lost its history is read as a whole, and the feed then repeats orders that the whole contains.
#[test]
fn orders_that_are_carried_out_again_lead_to_the_same_set() {
    for_each_sequence(4, 3, &mut |given| {
        let given: Vec<DrainOrder> = given.iter().map(|i| orders()[*i].clone()).collect();
        let sets = history(&given);
        let last = &sets[given.len()];
        for (first, read) in
            (0..=given.len()).flat_map(|first| (first..=given.len()).map(move |read| (first, read)))
        {
            let mut repeated = sets[read].clone();
            repeated.carry_out(last.revision, given[first..].iter().cloned());
            assert_eq!(
                &repeated, last,
                "{given:?}, read after {read}, fed from {first}"
            );
        }
    });
}

#[test]
fn a_change_names_what_is_drained_and_what_is_restored() {
    let mut known = KnownDrains::new();
    assert!(!known.is_known());
    let first = known.record(set(5, &["a"]));
    assert_eq!(first.map(|change| change.drained), Some(vec![domain("a")]));
    assert!(known.is_drained(&domain("a")) && !known.is_drained(&domain("b")));
    let change = known.record(set(7, &["b"]));
    let expected = DrainChange {
        drained: vec![domain("b")],
        restored: vec![domain("a")],
    };
    assert_eq!(change, Some(expected));
    assert_eq!(known.record(set(6, &["a"])), None, "an older set");
    assert_eq!(known.record(set(9, &["b"])), None, "the same domains");
    assert_eq!(known.newest().map(|newest| newest.revision), Some(9));
}
