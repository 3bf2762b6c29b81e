//! Fetching a version in parts: received parts are retained, and each attempt makes progress.

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

/// A package that leads to a version.
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

    /// The part that a peer sends which has only this package.
    fn part(&self, request: PartRequest) -> Part {
        let package = Digest::of(&self.bytes);
        let has_begun = request.package == Some(package);
        let offset = if has_begun {
            request.offset as usize
        } else {
            0
        };
        let end = (offset + request.bytes_max).min(self.bytes.len());
        Part {
            version: BundleVersion::new(self.version),
            package,
            total_bytes: self.bytes.len() as u64,
            offset: offset as u64,
            bytes: self.bytes[offset..end].to_vec(),
        }
    }
}

/// Requests a part from a peer that has only this package, and records the answer.
fn fetch_next(fetch: &mut VersionFetch, package: &Package) -> Fetched {
    let request = fetch.request(HELD);
    fetch.record_part(request, package.part(request))
}

#[test]
fn a_package_comes_whole_in_as_many_parts_as_it_takes() {
    let package = Package::new(4, 3 * PART_BYTES_MAX + 5);
    let mut fetch = VersionFetch::default();
    for _ in 0..3 {
        assert_eq!(fetch_next(&mut fetch, &package), Fetched::More);
    }
    let last = fetch_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn another_peer_goes_on_where_the_first_one_stopped() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    fetch_next(&mut fetch, &package);
    // The first peer has failed; the fetch is not notified.
    let request = fetch.request(HELD);
    assert_eq!(request.offset, PART_BYTES_MAX as u64);
    assert_eq!(request.package, Some(Digest::of(&package.bytes)));
    let last = fetch_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn a_peer_with_another_package_begins_anew() {
    let (old, new) = (
        Package::new(4, 2 * PART_BYTES_MAX),
        Package::new(5, PART_BYTES_MAX + 1),
    );
    let mut fetch = VersionFetch::default();
    fetch_next(&mut fetch, &old);
    assert_eq!(fetch_next(&mut fetch, &new), Fetched::More);
    let last = fetch_next(&mut fetch, &new);
    assert_eq!(last, Fetched::Package(new.bytes));
}

/// Parts that are wrong in one property each.
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
fn rejected_parts_do_not_prevent_a_later_fetch() {
    let package = Package::new(4, 3 * PART_BYTES_MAX);
    for received in 0..3 {
        let mut fetch = VersionFetch::default();
        for _ in 0..received {
            fetch_next(&mut fetch, &package);
        }
        let right = package.part(fetch.request(HELD));
        for wrong in wrong_parts(&right) {
            let request = fetch.request(HELD);
            assert_eq!(
                fetch.record_part(request, wrong.clone()),
                Fetched::Rejected,
                "{received}: {wrong:?}"
            );
        }
        // The next peer then sends the whole package.
        assert_eq!(fetch_next(&mut fetch, &package), Fetched::More);
        assert_eq!(fetch_next(&mut fetch, &package), Fetched::More);
        let last = fetch_next(&mut fetch, &package);
        assert_eq!(last, Fetched::Package(package.bytes.clone()));
    }
}

#[test]
fn a_first_part_with_a_wrong_total_size_costs_one_attempt() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    let request = fetch.request(HELD);
    let wrong_size = Part {
        total_bytes: 100 * PART_BYTES_MAX as u64,
        ..package.part(request)
    };
    assert_eq!(fetch.record_part(request, wrong_size), Fetched::More);
    assert_eq!(fetch_next(&mut fetch, &package), Fetched::Rejected);
    assert_eq!(fetch_next(&mut fetch, &package), Fetched::More);
    let last = fetch_next(&mut fetch, &package);
    assert_eq!(last, Fetched::Package(package.bytes));
}

#[test]
fn bytes_that_do_not_have_the_digest_of_their_package_are_of_no_use() {
    let package = Package::new(4, PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    let request = fetch.request(HELD);
    let mut altered = package.part(request);
    altered.bytes[5] ^= 1;
    assert_eq!(fetch.record_part(request, altered), Fetched::Rejected);
}

#[test]
fn what_was_begun_is_dropped_once_another_version_is_in_force() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    fetch_next(&mut fetch, &package);
    assert!(fetch.request(HELD).package.is_some());
    // The partial package is dropped whichever version is in force now, also if this fetch did not
    // deliver that version.
    assert_eq!(fetch.request(HELD.next()).package, None);
}

/// Parts that timed out were requested again in the same size, and timed out again on a saturated link.
#[test]
fn parts_that_come_too_late_are_asked_for_in_smaller_sizes_until_they_come() {
    let mut fetch = VersionFetch::default();
    let mut sizes = Vec::new();
    for _ in 0..6 {
        sizes.push(fetch.request(HELD).bytes_max);
        fetch.record_timeout();
    }
    assert_eq!(sizes, [16_384, 8_192, 4_096, 2_048, 1_024, 1_024]);
    let package = Package::new(4, 5_000);
    fetch_next(&mut fetch, &package);
    assert_eq!(fetch.request(HELD).bytes_max, 2_048);
    let rest = (0..2).map(|_| fetch_next(&mut fetch, &package)).last();
    assert_eq!(rest, Some(Fetched::Package(package.bytes)));
    assert_eq!(fetch.request(HELD).bytes_max, 8_192);
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
fn transfers_use_half_of_the_link_and_no_peer_waits_long() {
    // 10 Mbit/s are 1.25 MB/s.
    let mut budget = TransferBudget::new(10.0);
    let mut sent_bytes = 0;
    for time_ms in 0..10_000 {
        match budget.begin(PACKAGE_BYTES, Microseconds::from_ms(time_ms)) {
            Ok(()) => sent_bytes += PACKAGE_BYTES,
            Err(retry_after) => assert!(retry_after <= RETRY_DELAY_MAX),
        }
    }
    let share = sent_bytes as f64 / 12_500_000.0;
    assert!((0.48..0.52).contains(&share), "{share}");
}

#[test]
fn few_transfers_start_at_a_time_so_that_the_receivers_can_soon_serve_others() {
    let mut budget = TransferBudget::new(10.0);
    let started = (0..100).filter(|_| budget.begin(PACKAGE_BYTES, Microseconds::ZERO).is_ok());
    assert_eq!(started.count(), 2);
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
        lacks_store: false,
    }
}

#[test]
fn those_who_lack_a_version_spread_over_those_of_their_domain_that_have_it() {
    let mut members = Membership::new(row(0, "a", 1), Microseconds::from_ms(1_000));
    let now = Microseconds::from_ms(1);
    for (number, domain, version) in [(1, "a", 2), (2, "a", 2), (3, "a", 1), (4, "b", 2)] {
        members.record_member(row(number, domain, version), now);
    }
    let newer = BundleVersion::new(2);
    let mut chosen: Vec<u16> = (0..100)
        .filter_map(|random| members.find_holder(newer, &[], random, now))
        .map(|address| address.port())
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, [7_001, 7_002]);
    let near = [row(1, "a", 2).peer_address, row(2, "a", 2).peer_address];
    let far = members.find_holder(newer, &near, 0, now);
    assert_eq!(far.map(|address| address.port()), Some(7_004));
    let all = [near[0], near[1], row(4, "b", 2).peer_address];
    assert_eq!(members.find_holder(newer, &all, 0, now), None);
}
