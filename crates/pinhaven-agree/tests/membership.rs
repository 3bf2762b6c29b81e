//! Membership: which entries count as live, and which of them are named to callers.

use pinhaven_agree::Heartbeat;
use pinhaven_agree::HeartbeatSource;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use pinhaven_types::ServiceName;
use std::collections::BTreeMap;

const SILENT_AFTER: Microseconds = Microseconds::from_ms(2_000);

fn row(number: u16, state: MemberState) -> MemberRow {
    MemberRow {
        incarnation: Incarnation::new(u128::from(number)),
        instance_id: format!("entry-{number:02}").parse().unwrap(),
        failure_domain: format!("domain-{}", number % 3).parse().unwrap(),
        region: None,
        capacity: RequestRate::new(100),
        demand: RequestRate::ZERO,
        caller_address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        peer_address: format!("127.0.0.1:{}", 8_000 + number).parse().unwrap(),
        state,
        heartbeat: 1,
        version: BundleVersion::new(1),
        epoch: 1,
        lacks_store: false,
    }
}

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(100_000 + time_ms)
}

/// Membership of entry 0 with `count` peers that all sent their rows at the start.
fn members(count: u16) -> Membership {
    let mut members = Membership::new(row(0, MemberState::Ready), SILENT_AFTER);
    for number in 1..=count {
        members.record_member(row(number, MemberState::Ready), at_ms(0));
    }
    members
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn named(members: &Membership, name: &str, count: usize, time_ms: u64) -> Vec<String> {
    members
        .entries_for(&service(name), None, count, at_ms(time_ms))
        .into_iter()
        .map(|row| row.instance_id.to_string())
        .collect()
}

#[test]
fn a_stopping_entry_is_not_named_and_a_late_message_does_not_bring_it_back() {
    let mut members = members(3);
    let mut stopping = row(2, MemberState::Stopping);
    stopping.heartbeat = 5;
    members.record_member(stopping, at_ms(10));
    let mut late = row(2, MemberState::Ready);
    late.heartbeat = 4;
    members.record_relayed_member(late.clone(), Microseconds::ZERO, at_ms(20));
    late.heartbeat = 9;
    members.record_member(late, at_ms(30));
    let names = named(&members, "quote", 10, 40);
    assert!(!names.contains(&"entry-02".to_owned()), "{names:?}");
    assert_eq!(names.len(), 3);
}

#[test]
fn an_entry_whose_heartbeats_stop_is_not_named() {
    let mut members = members(2);
    let mut advanced = row(1, MemberState::Ready);
    advanced.heartbeat = 2;
    members.record_relayed_member(advanced, Microseconds::ZERO, at_ms(1_500));
    assert_eq!(
        named(&members, "quote", 10, 2_100),
        ["entry-00", "entry-01"]
    );
}

#[test]
fn an_entry_whose_rows_arrive_at_long_intervals_stays_live_in_between() {
    let mut members = members(1);
    for step in 1..10 {
        let mut row = row(1, MemberState::Ready);
        row.heartbeat = 1 + step;
        members.record_relayed_member(row, Microseconds::ZERO, at_ms(step * 1_800));
    }
    // The last heartbeat arrived at 16.2 s.
    assert_eq!(named(&members, "quote", 10, 20_000).len(), 2);
    assert_eq!(named(&members, "quote", 10, 24_000).len(), 1);
}

#[test]
fn a_repeated_old_heartbeat_does_not_keep_an_entry_alive() {
    let mut members = members(1);
    for time_ms in (0..4_000).step_by(100) {
        members.record_relayed_member(
            row(1, MemberState::Ready),
            Microseconds::ZERO,
            at_ms(time_ms),
        );
    }
    assert_eq!(named(&members, "quote", 10, 4_000), ["entry-00"]);
}

#[test]
fn an_entry_known_only_from_a_list_is_not_named_before_its_heartbeat_counter_increases() {
    let mut members = members(0);
    members.record_relayed_member(row(1, MemberState::Ready), Microseconds::ZERO, at_ms(0));
    assert_eq!(named(&members, "quote", 10, 1), ["entry-00"]);
    let mut next = row(1, MemberState::Ready);
    next.heartbeat = 2;
    members.record_relayed_member(next, Microseconds::ZERO, at_ms(10));
    assert_eq!(named(&members, "quote", 10, 11).len(), 2);
}

#[test]
fn an_entry_that_is_starting_is_not_named() {
    let mut members = Membership::new(row(0, MemberState::Starting), SILENT_AFTER);
    assert!(named(&members, "quote", 10, 0).is_empty());
    members.advance_state(MemberState::Ready);
    assert_eq!(named(&members, "quote", 10, 0), ["entry-00"]);
    members.advance_state(MemberState::Stopping);
    members.advance_state(MemberState::Ready);
    assert!(
        named(&members, "quote", 10, 0).is_empty(),
        "the state never moves back"
    );
}

#[test]
fn all_entries_name_the_same_few_for_a_service() {
    let mut all = Vec::new();
    for own in 0..6 {
        let mut members = Membership::new(row(own, MemberState::Ready), SILENT_AFTER);
        for number in (0..6).filter(|number| *number != own) {
            members.record_member(row(number, MemberState::Ready), at_ms(0));
        }
        all.push(named(&members, "quote", 3, 0));
    }
    assert_eq!(all[0].len(), 3);
    assert!(all.iter().all(|names| *names == all[0]), "{all:?}");
}

#[test]
fn many_services_spread_evenly_over_the_entries() {
    let members = members(17);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..1_900 {
        for name in named(&members, &format!("service-{number}"), 4, 0) {
            *counts.entry(name).or_default() += 1;
        }
    }
    // 1900 services name 4 of 18 entries each: 422 on average.
    assert_eq!(counts.len(), 18);
    assert!(
        counts.values().all(|count| (340..510).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn the_loss_of_an_entry_moves_only_what_it_served() {
    let whole = members(17);
    let mut without = members(17);
    without.mark_gone(Incarnation::new(5));
    for number in 0..200 {
        let name = format!("service-{number}");
        let before = named(&whole, &name, 4, 0);
        let after = named(&without, &name, 4, 0);
        let retained = before.iter().filter(|entry| after.contains(entry)).count();
        let removed = usize::from(before.contains(&"entry-05".to_owned()));
        assert_eq!(retained, 4 - removed, "{before:?} {after:?}");
    }
}

#[test]
fn the_callers_own_domain_comes_first() {
    let members = members(17);
    let domain = "domain-1".parse().unwrap();
    for number in 0..50 {
        let name = service(&format!("service-{number}"));
        let rows = members.entries_for(&name, Some(&domain), 6, at_ms(0));
        let own: Vec<bool> = rows
            .iter()
            .map(|row| row.failure_domain == domain)
            .collect();
        let mut sorted = own.clone();
        sorted.sort_by_key(|own| !own);
        assert_eq!(own, sorted);
    }
}

#[test]
fn two_entries_of_each_domain_read_the_head() {
    let mut readers: BTreeMap<u16, u32> = BTreeMap::new();
    for own in 0..18 {
        let mut members = Membership::new(row(own, MemberState::Ready), SILENT_AFTER);
        for number in (0..18).filter(|number| *number != own) {
            members.record_member(row(number, MemberState::Ready), at_ms(0));
        }
        if members.is_head_reader(2, at_ms(0)) {
            *readers.entry(own % 3).or_default() += 1;
        }
    }
    assert_eq!(readers, BTreeMap::from([(0, 2), (1, 2), (2, 2)]));
}

#[test]
fn a_heartbeat_that_waited_at_third_entries_does_not_prolong_the_life_of_a_lost_entry() {
    let mut members = members(1);
    // The last heartbeat before the loss of power, as entries that were told of it late pass it on.
    for (received_ms, age_ms) in [(1_900, 1_890), (3_700, 3_680), (5_500, 5_480)] {
        let mut last = row(1, MemberState::Ready);
        last.heartbeat = 2 + received_ms;
        let heartbeat = Heartbeat {
            age: Microseconds::from_ms(age_ms),
            ..Heartbeat::of(&last)
        };
        members.record_heartbeat(&heartbeat, HeartbeatSource::Relay, at_ms(received_ms));
    }
    assert_eq!(named(&members, "quote", 10, 5_500), ["entry-00"]);
}

#[test]
fn a_heartbeat_is_passed_on_with_the_time_since_the_member_sent_it() {
    let mut first = members(1);
    let mut advanced = row(1, MemberState::Ready);
    advanced.heartbeat = 2;
    first.record_member(advanced, at_ms(500));
    let incarnation = Incarnation::new(1);
    let passed_on = first.heartbeat_of(incarnation, at_ms(1_200)).unwrap();
    assert_eq!(passed_on.age, Microseconds::from_ms(700));
    let mut second = members(1);
    second.record_heartbeat(&passed_on, HeartbeatSource::Relay, at_ms(1_200));
    let passed_on = second.heartbeat_of(incarnation, at_ms(2_000)).unwrap();
    assert_eq!(passed_on.age, Microseconds::from_ms(1_500));
}

#[test]
fn a_described_entry_that_was_lost_long_ago_is_not_named() {
    let mut members = members(0);
    let lost = row(1, MemberState::Ready);
    let age = Microseconds::from_ms(8_000);
    members.record_relayed_member(lost.clone(), age, at_ms(0));
    let later = Heartbeat {
        number: 9,
        age,
        ..Heartbeat::of(&lost)
    };
    members.record_heartbeat(&later, HeartbeatSource::Relay, at_ms(10));
    assert_eq!(named(&members, "quote", 10, 11), ["entry-00"]);
}

#[test]
fn an_entry_that_is_heard_seldom_is_not_named_for_longer_after_its_loss() {
    let mut members = members(1);
    for step in 1..10 {
        let mut row = row(1, MemberState::Ready);
        row.heartbeat = 1 + step;
        members.record_relayed_member(row, Microseconds::ZERO, at_ms(step * 3_000));
    }
    // The last heartbeat arrived at 27 s.
    assert_eq!(named(&members, "quote", 10, 30_900).len(), 2);
    assert_eq!(named(&members, "quote", 10, 31_100).len(), 1);
    let is_counted_as_live = members.live_peers(at_ms(31_100)).len() == 1;
    assert!(is_counted_as_live, "it may still be contacted");
    let serving = members.serving(at_ms(31_100));
    assert_eq!(serving.len(), 1, "nor does it serve");
}

#[test]
fn a_member_that_is_heard_seldom_is_not_removed_in_between() {
    let removal = Microseconds::from_ms(60_000);
    let mut members = members(1).with_removal_after(removal);
    members.remove_silent(at_ms(59_000));
    assert!(members.member(Incarnation::new(1)).is_some());
    members.remove_silent(at_ms(60_000));
    assert!(members.member(Incarnation::new(1)).is_none());
}

#[test]
fn an_earlier_incarnation_of_a_restarted_entry_is_removed_before_others_that_are_silent() {
    let removal = Microseconds::from_ms(600_000);
    let mut members = members(2).with_removal_after(removal);
    let mut restarted = row(1, MemberState::Ready);
    restarted.incarnation = Incarnation::new(101);
    members.record_member(restarted, at_ms(5_000));
    members.remove_silent(at_ms(20_000));
    let known = [1, 2, 101].map(|number| members.member(Incarnation::new(number)).is_some());
    assert_eq!(known, [false, true, true]);
}

/// Guards against entries that are cut off and each take themselves for the only one left.
#[test]
fn an_entry_sees_a_majority_while_more_than_half_of_the_instances_are_live() {
    let mut members = members(5);
    assert!(members.sees_majority(at_ms(100)));
    let later = SILENT_AFTER.as_ms() as u64 * 6;
    assert!(
        !members.sees_majority(at_ms(later)),
        "all others are silent"
    );
    for number in [1, 2] {
        let mut back = row(number, MemberState::Ready);
        back.heartbeat = 9;
        members.record_member(back, at_ms(later));
    }
    assert!(
        !members.sees_majority(at_ms(later)),
        "three of six are live"
    );
    let mut restarted = row(3, MemberState::Ready);
    restarted.incarnation = Incarnation::new(103);
    members.record_member(restarted, at_ms(later));
    assert!(members.sees_majority(at_ms(later)), "four of six are live");
}

#[test]
fn entries_that_said_that_they_stop_are_not_needed_for_a_majority() {
    let mut members = members(4);
    for number in 1..=4 {
        let mut stopping = row(number, MemberState::Stopping);
        stopping.heartbeat = 2;
        members.record_member(stopping, at_ms(10));
    }
    let later = SILENT_AFTER.as_ms() as u64 * 6;
    assert!(members.sees_majority(at_ms(later)));
}
