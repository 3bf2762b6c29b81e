//! Choice of the entry to which requests are forwarded.

use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::ServiceKey;
use pinhaven_agree::TargetReach;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::BTreeSet;

const SERVICE: ServiceKey = ServiceKey(7);

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(time_ms)
}

fn row(number: u128) -> MemberRow {
    let address = format!("127.0.0.1:{}", 9_000 + number);
    MemberRow {
        incarnation: Incarnation::new(number),
        instance_id: format!("entry-{number}").parse().unwrap(),
        failure_domain: format!("domain-{}", number % 3).parse().unwrap(),
        region: None,
        capacity: RequestRate::new(100),
        demand: RequestRate::ZERO,
        caller_address: address.parse().unwrap(),
        peer_address: address.parse().unwrap(),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::NONE,
        epoch: 1,
        lacks_store: false,
    }
}

/// Entry 0, which knows entries 1 to 8 at 10 s.
fn members() -> Membership {
    let mut members = Membership::new(row(0), at_ms(1_200));
    for number in 1..9 {
        members.record_member(row(number), at_ms(10_000));
    }
    members
}

/// All entries that are chosen in 100 draws, when the own links were lost at 10 s.
fn chosen(reach: &TargetReach, members: &Membership, asked: &[u128]) -> BTreeSet<u128> {
    let asked: Vec<Incarnation> = asked.iter().map(|entry| Incarnation::new(*entry)).collect();
    let mut random = fastrand::Rng::with_seed(3);
    let (lost_at, now) = (at_ms(10_000), at_ms(10_500));
    (0..100)
        .filter_map(|_| reach.choose(SERVICE, members, lost_at, &asked, &mut random, now))
        .map(|forwarder| {
            let number = (1..9).find(|number| Incarnation::new(*number) == forwarder.incarnation);
            number.unwrap()
        })
        .collect()
}

#[test]
fn requests_go_to_entries_of_the_own_failure_domain_that_heard_targets_after_the_loss() {
    let (mut reach, members) = (TargetReach::default(), members());
    for number in 1..9 {
        reach.record(SERVICE, Incarnation::new(number), at_ms(10_200));
    }
    assert_eq!(chosen(&reach, &members, &[]), BTreeSet::from([3, 6]));
    assert_eq!(chosen(&reach, &members, &[3]), BTreeSet::from([6]));
}

#[test]
fn an_entry_that_heard_targets_before_the_loss_only_is_the_last_choice() {
    let (mut reach, members) = (TargetReach::default(), members());
    reach.record(SERVICE, Incarnation::new(3), at_ms(9_900));
    reach.record(SERVICE, Incarnation::new(4), at_ms(10_200));
    assert_eq!(chosen(&reach, &members, &[]), BTreeSet::from([4]));
    assert_eq!(chosen(&reach, &members, &[4]), BTreeSet::from([3]));
}

#[test]
fn an_entry_that_lost_its_links_too_is_not_chosen() {
    let (mut reach, members) = (TargetReach::default(), members());
    reach.record(SERVICE, Incarnation::new(3), at_ms(10_200));
    reach.record_lost(SERVICE, Incarnation::new(3), at_ms(10_300));
    assert!(chosen(&reach, &members, &[]).is_empty());
    let lost = reach.lost_services(Incarnation::new(3), at_ms(10_500));
    assert_eq!(lost, [SERVICE]);
    reach.record(SERVICE, Incarnation::new(3), at_ms(10_400));
    assert_eq!(chosen(&reach, &members, &[]), BTreeSet::from([3]));
}

#[test]
fn old_statements_are_of_no_use() {
    let (mut reach, members) = (TargetReach::default(), members());
    reach.record(SERVICE, Incarnation::new(3), at_ms(7_900));
    assert!(chosen(&reach, &members, &[]).is_empty());
    assert!(reach.latest(SERVICE, 2, at_ms(10_500)).is_empty());
    assert!(!reach.is_heard_since(SERVICE, at_ms(8_000)));
}
