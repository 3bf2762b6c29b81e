//! Getting a version part by part: what has come is kept, and every try ends nearer to the version.

use pinhaven_agree::Fetched;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::PART_BYTES_MAX;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use pinhaven_agree::RETRY_DELAY_MAX;
use pinhaven_agree::TransferBudget;
use pinhaven_agree::VersionFetch;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;

const HELD: BundleVersion = BundleVersion::new(3);

/// A package of a version.
struct Package {
    version: u64,
    bytes: Vec<u8>,
}

impl Package {
    fn new(version: u64, length: usize) -> Self {
        let bytes = (0..length).map(|index| (index as u64 * version) as u8);
        Self {
            version,
            bytes: bytes.collect(),
        }
    }

    /// The part that a peer gives which has this package only.
    fn part(&self, request: PartRequest) -> Part {
        let package = Digest::of(&self.bytes);
        let has_begun = request.package == Some(package);
        let offset = if has_begun {
            request.offset as usize
        } else {
            0
        };
        let end = (offset + request.bytes_most).min(self.bytes.len());
        Part {
            version: BundleVersion::new(self.version),
            package,
            total_bytes: self.bytes.len() as u64,
            offset: offset as u64,
            bytes: self.bytes[offset..end].to_vec(),
        }
    }
}

/// Asks a peer which has this package only, and takes its answer in.
fn take_next(fetch: &mut VersionFetch, package: &Package) -> Fetched {
    let request = fetch.request(HELD);
    fetch.take(request, package.part(request))
}

#[test]
fn a_package_comes_whole_in_as_many_parts_as_it_takes() {
    let package = Package::new(4, 3 * PART_BYTES_MAX + 5);
    let mut fetch = VersionFetch::default();
    for _ in 0..3 {
        assert_eq!(take_next(&mut fetch, &package), Fetched::More);
    }
    let last = take_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn another_peer_goes_on_where_the_first_one_stopped() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    take_next(&mut fetch, &package);
    // The first peer is gone; nothing is told to the fetch.
    let request = fetch.request(HELD);
    assert_eq!(request.offset, PART_BYTES_MAX as u64);
    assert_eq!(request.package, Some(Digest::of(&package.bytes)));
    let last = take_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn a_peer_with_another_package_begins_anew() {
    let (old, new) = (
        Package::new(4, 2 * PART_BYTES_MAX),
        Package::new(5, PART_BYTES_MAX + 1),
    );
    let mut fetch = VersionFetch::default();
    take_next(&mut fetch, &old);
    assert_eq!(take_next(&mut fetch, &new), Fetched::More);
    let last = take_next(&mut fetch, &new);
    assert_eq!(last, Fetched::Package(new.bytes));
}

/// Parts that are wrong in one point each.
fn wrong_parts(right: &Part) -> Vec<Part> {
    let mut misplaced = right.clone();
    misplaced.offset += 7;
    let mut far_out = right.clone();
    far_out.offset = u64::MAX;
    let mut empty = right.clone();
    empty.bytes.clear();
    let mut too_long = right.clone();
    too_long.bytes.resize(PART_BYTES_MAX + 1, 0);
    let mut too_large = right.clone();
    too_large.total_bytes = u64::MAX;
    let mut short = right.clone();
    short.total_bytes = 1;
    vec![misplaced, far_out, empty, too_long, too_large, short]
}

#[test]
fn parts_that_fit_nothing_are_of_no_use_and_spoil_nothing_for_good() {
    let package = Package::new(4, 3 * PART_BYTES_MAX);
    for begun in 0..3 {
        let mut fetch = VersionFetch::default();
        for _ in 0..begun {
            take_next(&mut fetch, &package);
        }
        let right = package.part(fetch.request(HELD));
        for wrong in wrong_parts(&right) {
            let request = fetch.request(HELD);
            assert_eq!(
                fetch.take(request, wrong.clone()),
                Fetched::Useless,
                "{begun}: {wrong:?}"
            );
        }
        // An honest peer then gives all of it.
        assert_eq!(take_next(&mut fetch, &package), Fetched::More);
        assert_eq!(take_next(&mut fetch, &package), Fetched::More);
        let last = take_next(&mut fetch, &package);
        assert_eq!(last, Fetched::Package(package.bytes.clone()));
    }
}

#[test]
fn a_first_part_that_lies_of_the_whole_costs_one_try() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    let request = fetch.request(HELD);
    let lie = Part {
        total_bytes: 100 * PART_BYTES_MAX as u64,
        ..package.part(request)
    };
    assert_eq!(fetch.take(request, lie), Fetched::More);
    assert_eq!(take_next(&mut fetch, &package), Fetched::Useless);
    assert_eq!(take_next(&mut fetch, &package), Fetched::More);
    let last = take_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn bytes_that_do_not_have_the_digest_of_their_package_are_of_no_use() {
    let package = Package::new(4, PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    let request = fetch.request(HELD);
    let mut altered = package.part(request);
    altered.bytes[5] ^= 1;
    assert_eq!(fetch.take(request, altered), Fetched::Useless);
}

#[test]
fn what_was_begun_is_dropped_once_another_version_is_in_force() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    take_next(&mut fetch, &package);
    assert!(fetch.request(HELD).package.is_some());
    // Also by another way than this fetch, and although it is older than the one that was begun.
    assert_eq!(fetch.request(HELD.next()).package, None);
}

/// Parts that took longer than their timeout were asked for again in the same size, which is no better on a full
/// link.
#[test]
fn parts_that_come_too_late_are_asked_for_in_smaller_sizes_until_they_come() {
    let mut fetch = VersionFetch::default();
    let mut sizes = Vec::new();
    for _ in 0..6 {
        sizes.push(fetch.request(HELD).bytes_most);
        fetch.take_timeout();
    }
    assert_eq!(sizes, [16_384, 8_192, 4_096, 2_048, 1_024, 1_024]);
    let package = Package::new(4, 5_000);
    take_next(&mut fetch, &package);
    assert_eq!(fetch.request(HELD).bytes_most, 2_048);
    let rest = (0..2).map(|_| take_next(&mut fetch, &package)).last();
    assert_eq!(rest, Some(Fetched::Package(package.bytes)));
    assert_eq!(fetch.request(HELD).bytes_most, 8_192);
}

#[test]
fn after_differences_that_can_not_be_used_a_whole_body_is_asked_for() {
    let mut fetch = VersionFetch::default();
    assert!(!fetch.request(HELD).needs_whole);
    fetch.reject_differences();
    assert!(fetch.request(HELD).needs_whole);
    fetch.put_in_force();
    assert!(!fetch.request(HELD).needs_whole);
}

const PACKAGE_BYTES: usize = 20_000;

#[test]
fn giving_keeps_to_half_of_the_link_and_sends_nobody_away_for_long() {
    // 10 Mbit/s are 1.25 MB a second.
    let mut budget = TransferBudget::new(10.0);
    let mut given_bytes = 0;
    for time_ms in 0..10_000 {
        match budget.begin(PACKAGE_BYTES, Microseconds::from_ms(time_ms)) {
            Ok(()) => given_bytes += PACKAGE_BYTES,
            Err(away) => assert!(away <= RETRY_DELAY_MAX),
        }
    }
    let share = given_bytes as f64 / 12_500_000.0;
    assert!((0.48..0.52).contains(&share), "{share}");
}

#[test]
fn few_packages_are_begun_at_a_time_so_that_their_askers_can_soon_give_them_on() {
    let mut budget = TransferBudget::new(10.0);
    let at_once = (0..100).filter(|_| budget.begin(PACKAGE_BYTES, Microseconds::ZERO).is_ok());
    assert_eq!(at_once.count(), 2);
}

#[test]
fn a_link_that_takes_minutes_for_a_package_gives_it_all_the_same() {
    let mut budget = TransferBudget::new(0.01);
    assert_eq!(budget.begin(PACKAGE_BYTES, Microseconds::ZERO), Ok(()));
    let later = (1..600).find(|second| {
        let now = Microseconds::from_ms(second * 1_000);
        budget.begin(PACKAGE_BYTES, now).is_ok()
    });
    assert!(later.is_some());
}

fn row(number: u8, domain: &str, version: u64) -> MemberRow {
    let port = 7_000 + u16::from(number);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberRow {
        incarnation: Incarnation::random(),
        instance_id: format!("entry-{number}").parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
        region: None,
        capacity: Default::default(),
        demand: Default::default(),
        caller_address: address,
        peer_address: address,
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::new(version),
        epoch: 1,
    }
}

#[test]
fn those_who_lack_a_version_spread_over_those_of_their_domain_that_have_it() {
    let mut members = Membership::new(row(0, "a", 1), Microseconds::from_ms(1_000));
    let now = Microseconds::from_ms(1);
    for (number, domain, version) in [(1, "a", 2), (2, "a", 2), (3, "a", 1), (4, "b", 2)] {
        members.record_member(row(number, domain, version), now);
    }
    let wanted = BundleVersion::new(2);
    let mut asked: Vec<u16> = (0..100)
        .filter_map(|draw| members.holder_of(wanted, &[], draw, now))
        .map(|address| address.port())
        .collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, [7_001, 7_002]);
    let near = [row(1, "a", 2).peer_address, row(2, "a", 2).peer_address];
    let far = members.holder_of(wanted, &near, 0, now);
    assert_eq!(far.map(|address| address.port()), Some(7_004));
    let all = [near[0], near[1], row(4, "b", 2).peer_address];
    assert_eq!(members.holder_of(wanted, &all, 0, now), None);
}
