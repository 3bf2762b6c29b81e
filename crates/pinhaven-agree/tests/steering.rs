//! Steering: which entries serve, which are named to a caller, and which are store delegates.

use pinhaven_agree::DemandMeter;
use pinhaven_agree::EntryWork;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::cmp::Reverse;
use std::collections::BTreeMap;

const SILENT_AFTER: Microseconds = Microseconds::from_ms(2_000);
const NOW: Microseconds = Microseconds::from_ms(100_000);

/// Row of an entry in one of three failure domains with a capacity of `capacity` requests per second.
fn row(number: u16, capacity: u32) -> MemberRow {
    MemberRow {
        incarnation: Incarnation::new(u128::from(number)),
        instance_id: format!("entry-{number:03}").parse().unwrap(),
        failure_domain: format!("domain-{}", number % 3).parse().unwrap(),
        region: None,
        capacity: RequestRate::new(capacity),
        demand: RequestRate::ZERO,
        caller_address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        peer_address: format!("127.0.0.1:{}", 8_000 + number).parse().unwrap(),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::new(1),
        epoch: 1,
        lacks_store: false,
    }
}

/// Membership of the first entry in `rows` after it received all other rows.
fn members(rows: &[MemberRow]) -> Membership {
    members_of(0, rows)
}

fn members_of(own: usize, rows: &[MemberRow]) -> Membership {
    let mut members = Membership::new(rows[own].clone(), SILENT_AFTER);
    for row in rows.iter().filter(|row| **row != rows[own]) {
        members.record_member(row.clone(), NOW);
    }
    members
}

fn numbers(rows: &[&MemberRow]) -> Vec<u32> {
    rows.iter()
        .map(|row| row.instance_id.as_str()[6..].parse().unwrap())
        .collect()
}

/// 100 small entries and six with ten times their capacity.
fn mixed() -> Vec<MemberRow> {
    (0..106)
        .map(|number| row(number, if number >= 100 { 350 } else { 35 }))
        .collect()
}

#[test]
fn the_largest_entries_serve_two_in_each_failure_domain() {
    let mut serving = numbers(&members(&mixed()).serving(NOW));
    serving.sort_unstable();
    assert_eq!(serving, [100, 101, 102, 103, 104, 105]);
}

#[test]
fn all_entries_agree_on_who_serves() {
    let rows: Vec<MemberRow> = (0..18).map(|number| row(number, 140)).collect();
    let first = members_of(0, &rows);
    for own in 1..18 {
        let other = members_of(own, &rows);
        assert_eq!(numbers(&other.serving(NOW)), numbers(&first.serving(NOW)));
    }
    assert_eq!(first.serving(NOW).len(), 6);
}

#[test]
fn more_entries_serve_while_callers_ask_for_more() {
    let mut rows = mixed();
    for large in &mut rows[100..] {
        large.demand = RequestRate::new(400);
    }
    let serving = numbers(&members(&rows).serving(NOW));
    // 2,400 requests per second with headroom are 2,880. Six large entries carry 2,100, so 23 small ones join.
    assert_eq!(serving.len(), 6 + 23);
}

#[test]
fn an_entry_that_leaves_still_counts_what_callers_ask_of_it() {
    let mut rows = mixed();
    rows[100].demand = RequestRate::new(1_500);
    rows[100].state = MemberState::Stopping;
    // The demand with headroom is 1,800. Five large entries and the small one that replaces the sixth carry 1,785.
    assert_eq!(members(&rows).serving(NOW).len(), 6 + 1);
}

#[test]
fn callers_are_told_entries_of_every_failure_domain() {
    let rows: Vec<MemberRow> = (0..18).map(|number| row(number, 140)).collect();
    let members = members(&rows);
    let domain = "domain-1".parse().unwrap();
    let named = members.named_for(None, Some(&domain), || 0.99, NOW);
    assert_eq!(named.len(), 6);
    let own: Vec<bool> = named
        .iter()
        .map(|row| row.failure_domain == domain)
        .collect();
    assert_eq!(own, [true, true, false, false, false, false]);
}

#[test]
fn callers_spread_over_entries_by_what_those_can_carry() {
    let mut rows = mixed();
    for large in &mut rows[100..] {
        large.demand = RequestRate::new(400);
    }
    let members = members(&rows);
    let mut random = fastrand::Rng::with_seed(11);
    let mut share: BTreeMap<bool, f64> = BTreeMap::new();
    for _ in 0..4_000 {
        let named = members.named_for(None, None, || random.f32(), NOW);
        for row in &named {
            let is_large = row.capacity == RequestRate::new(350);
            *share.entry(is_large).or_default() += 1.0 / named.len() as f64;
        }
    }
    let (large, small) = (share[&true] / 6.0, share[&false] / 23.0);
    let ratio = large / small;
    assert!(
        (8.0..12.0).contains(&ratio),
        "a large entry gets {ratio} times as much"
    );
}

#[test]
fn a_caller_is_told_the_entries_of_its_region_while_there_are_two() {
    let mut rows: Vec<MemberRow> = (0..12).map(|number| row(number, 140)).collect();
    for row in &mut rows {
        let number: u16 = row.instance_id.as_str()[6..].parse().unwrap();
        let region = if number < 6 { "north" } else { "south" };
        row.region = Some(region.parse().unwrap());
        row.failure_domain = format!("{region}-{}", number % 3).parse().unwrap();
    }
    let south = "south".parse().unwrap();
    let named_numbers = |rows: &[MemberRow]| {
        let members = members(rows);
        let named = members.named_for(Some(&south), None, || 0.5, NOW);
        let mut numbers = numbers(&named);
        numbers.sort_unstable();
        numbers
    };
    assert_eq!(named_numbers(&rows), [6, 7, 8, 9, 10, 11]);
    for row in &mut rows[6..11] {
        row.state = MemberState::Gone;
    }
    assert_eq!(named_numbers(&rows), [0, 1, 2, 3, 4, 5, 11]);
}

#[test]
fn few_entries_are_store_delegates_and_others_replace_lost_ones() {
    let delegates = |rows: &[MemberRow]| -> Vec<usize> {
        let is_delegate = |own: &usize| members_of(*own, rows).is_delegate(NOW);
        (0..rows.len()).filter(is_delegate).collect()
    };
    let mut rows = mixed();
    assert_eq!(delegates(&rows), [100, 101, 102, 103, 104, 105]);
    rows[101].state = MemberState::Stopping;
    rows[103].state = MemberState::Gone;
    let after = delegates(&rows);
    assert_eq!(after.len(), 6);
    assert!(!after.contains(&101) && !after.contains(&103));
}

#[test]
fn entries_replace_delegates_that_the_store_does_not_answer_and_are_named_in_their_place() {
    let mut rows = mixed();
    rows[101].lacks_store = true;
    let replacing: Vec<usize> = (0..rows.len())
        .filter(|own| members_of(*own, &rows).replaces_delegate(NOW))
        .collect();
    assert_eq!(replacing.len(), 1);
    let members = members(&rows);
    let named = numbers(&members.delegates(NOW));
    assert_eq!(named.len(), 6);
    assert!(!named.contains(&101) && named.contains(&(replacing[0] as u32)));
    for row in &mut rows {
        row.lacks_store = true;
    }
    let named = numbers(&self::members(&rows).delegates(NOW));
    assert_eq!(named.len(), 6, "someone has to go on trying");
    assert!(named.contains(&101));
}

/// Guards against a configuration that each of many serving entries reads, as all of them find the list old at once.
#[test]
fn few_entries_are_the_first_readers_however_many_serve() {
    let mut rows = mixed();
    for row in &mut rows {
        row.demand = RequestRate::new(30);
    }
    let is_first = |own: &usize| members_of(*own, &rows).is_first_reader(12, 8, NOW);
    let serving = members(&rows).serving(NOW).len();
    assert!(serving > 40, "{serving}");
    assert_eq!((0..rows.len()).filter(is_first).count(), 12 + 8);
}

#[test]
fn a_single_failure_domain_has_enough_store_delegates() {
    let mut rows: Vec<MemberRow> = (0..18).map(|number| row(number, 140)).collect();
    for row in &mut rows {
        row.failure_domain = "only".parse().unwrap();
        row.state = MemberState::Starting;
    }
    let count = (0..18)
        .filter(|own| members_of(*own, &rows).is_delegate(NOW))
        .count();
    assert_eq!(count, 6);
}

/// Records that an entry has sent `requests` and was busy for `busy_ms` until `at_ms`. Returns its demand.
fn demand(meter: &mut DemandMeter, at_ms: u64, requests: u64, busy_ms: u64) -> RequestRate {
    let total = EntryWork {
        requests,
        busy_time: Microseconds::from_ms(busy_ms),
    };
    meter.record(total, Microseconds::from_ms(at_ms))
}

#[test]
fn demand_is_the_most_of_the_last_seconds() {
    let mut meter = DemandMeter::new(RequestRate::new(600));
    assert_eq!(demand(&mut meter, 500, 50, 0), RequestRate::new(100));
    assert_eq!(demand(&mut meter, 1_000, 150, 0), RequestRate::new(200));
    // The window is shorter than the minimum, so the rate does not change.
    assert_eq!(demand(&mut meter, 1_010, 400, 0), RequestRate::new(200));
    let lull = demand(&mut meter, 11_000, 400, 0).per_second();
    assert!((95..=105).contains(&lull), "{lull}");
}

/// Guards against a few entries that are overloaded by fewer requests than their capacity while others stand by.
#[test]
fn entries_that_are_always_busy_get_help_at_any_rate() {
    const CAPACITY: u32 = 170;
    let mut meter = DemandMeter::new(RequestRate::new(CAPACITY));
    let demand_of = |second: u64| demand(&mut meter, second * 1_000, second * 100, second * 1_000);
    let own_demand = (1..=4).map(demand_of).last().unwrap();
    assert!(own_demand.per_second() > CAPACITY, "{own_demand}");
    let mut rows: Vec<MemberRow> = (0..12).map(|number| row(number, CAPACITY)).collect();
    let serves_with = |demand: RequestRate, rows: &mut Vec<MemberRow>| {
        rows[..6].iter_mut().for_each(|row| row.demand = demand);
        members_of(0, rows).serving(NOW).len()
    };
    let at_rate = RequestRate::new(100);
    assert_eq!(serves_with(at_rate, &mut rows), 6);
    assert_eq!(serves_with(own_demand, &mut rows), 12);
}

#[test]
fn an_entry_that_is_busy_without_requests_asks_for_no_help() {
    let mut meter = DemandMeter::new(RequestRate::new(170));
    for second in 1..=4 {
        let demand = demand(&mut meter, second * 1_000, second * 5, second * 1_000);
        assert!(demand <= RequestRate::new(20), "{demand} at {second} s");
    }
}

#[test]
fn an_entry_that_is_busy_for_a_moment_asks_for_no_help() {
    let mut meter = DemandMeter::new(RequestRate::new(170));
    // Usual requests keep the entry busy for a third of the time, and at 3 s a new version does for 400 ms.
    for half_second in 1..=12 {
        let (at_ms, requests) = (half_second * 500, half_second * 50);
        let version_ms = if at_ms > 3_000 { 400 } else { 0 };
        let demand = demand(&mut meter, at_ms, requests, at_ms / 3 + version_ms);
        assert!(demand <= RequestRate::new(170), "{demand} at {at_ms} ms");
    }
}

#[test]
fn each_entry_has_a_rank_of_its_own_and_serving_entries_rank_first() {
    let rows = mixed();
    let mut ranks: Vec<usize> = (0..rows.len())
        .map(|own| {
            let members = members_of(own, &rows);
            let rank = members.rank_among_all(NOW);
            let serving = members.serving(NOW);
            let serves = serving.iter().any(|row| **row == rows[own]);
            assert_eq!(serves, rank < serving.len(), "entry {own} at {rank}");
            rank
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..rows.len()).collect::<Vec<_>>());
}

/// 457 small entries and 15 with five times their capacity in five failure domains, all with the usual demand.
fn several_hundred() -> Vec<MemberRow> {
    let mut rows: Vec<MemberRow> = (0..472)
        .map(|number| row(number, if number >= 457 { 175 } else { 35 }))
        .collect();
    for (number, row) in rows.iter_mut().enumerate() {
        row.failure_domain = format!("domain-{}", number % 5).parse().unwrap();
    }
    for large in &mut rows[457..] {
        large.demand = RequestRate::new(100);
    }
    rows
}

/// Guards against selections whose cost grows with the number of entries: each entry makes dozens of them a second.
#[test]
fn a_selection_by_rank_examines_few_of_several_hundred_entries() {
    let members = members(&several_hundred());
    for (selection, limit) in [
        ("serving", 32),
        ("is_delegate", 32),
        ("delegates", 32),
        ("is_within_domain_rank", 80),
    ] {
        let before = members.examined();
        match selection {
            "serving" => assert_eq!(members.serving(NOW).len(), 11),
            "is_delegate" => assert!(!members.is_delegate(NOW)),
            "delegates" => assert_eq!(members.delegates(NOW).len(), 10),
            _ => assert!(!members.is_within_domain_rank(8, NOW)),
        }
        let examined = members.examined() - before;
        assert!(examined <= limit, "{selection} examined {examined} entries");
    }
}

/// Selects the serving entries by sorting all of them.
fn serving_by_sorting(rows: &[MemberRow]) -> Vec<u32> {
    let mut ranked: Vec<&MemberRow> = rows
        .iter()
        .filter(|row| row.state == MemberState::Ready)
        .collect();
    ranked.sort_by_key(|row| {
        let rank = Digest::of(row.instance_id.as_str().as_bytes()).short();
        (Reverse(row.capacity), rank)
    });
    let mut regions: Vec<_> = rows.iter().map(|row| row.region.clone()).collect();
    regions.sort();
    regions.dedup();
    let mut serving = Vec::new();
    for region in regions {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let in_region = ranked.iter().filter(|row| row.region == region);
        let (first, spare): (Vec<&MemberRow>, Vec<&MemberRow>) = in_region.partition(|row| {
            let count = counts.entry(row.failure_domain.as_str()).or_default();
            *count += 1;
            *count <= 2
        });
        let live = rows.iter().filter(|row| row.region == region);
        let live = live.filter(|row| row.state != MemberState::Gone);
        let demand: u32 = live.map(|row| row.demand.per_second()).sum();
        let mut capacity: u32 = first.iter().map(|row| row.capacity.per_second()).sum();
        serving.extend(first);
        for row in spare {
            if f64::from(capacity) >= f64::from(demand) * 1.2 {
                break;
            }
            capacity += row.capacity.per_second();
            serving.push(row);
        }
    }
    numbers(&serving)
}

fn is_same_as_by_sorting(described: Vec<(u8, u8, u8, u8)>) -> bool {
    let mut rows = vec![row(0, 35)];
    for (number, (capacity, domain, demand, state)) in described.into_iter().enumerate() {
        let mut row = row(number as u16 + 1, [35, 70, 175][usize::from(capacity) % 3]);
        row.failure_domain = format!("domain-{}", domain % 4).parse().unwrap();
        row.region = Some(format!("region-{}", domain % 2).parse().unwrap());
        row.demand = RequestRate::new(u32::from(demand) * u32::from(demand % 3));
        row.state = match state % 8 {
            0 => MemberState::Starting,
            1 => MemberState::Stopping,
            2 => MemberState::Gone,
            _ => MemberState::Ready,
        };
        rows.push(row);
    }
    numbers(&members(&rows).serving(NOW)) == serving_by_sorting(&rows)
}

#[test]
fn the_selection_that_ends_early_is_the_same_as_by_sorting() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 38))
        .quickcheck(is_same_as_by_sorting as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

#[test]
fn an_entry_that_describes_itself_anew_or_is_removed_changes_its_rank() {
    let mut rows = mixed();
    let mut members = members(&rows);
    // A small entry reports the capacity of a large one.
    rows[3].capacity = RequestRate::new(700);
    rows[3].heartbeat += 1;
    members.record_member(rows[3].clone(), NOW);
    assert_eq!(members.serving(NOW)[0].instance_id, rows[3].instance_id);
    assert_eq!(members.serving(NOW).len(), 6);
    let later = NOW.plus(Microseconds::from_ms(20_000));
    members.remove_silent(later);
    assert_eq!(numbers(&members.serving(later)), [0]);
    let before = members.examined();
    assert!(!members.is_within_domain_rank(0, later));
    assert!(members.examined() - before <= 1, "no other entry is known");
}
