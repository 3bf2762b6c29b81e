//! Getting a version part by part: what has come is kept, and every try ends nearer to the version.

use pinhaven_agree::Fetched;
use pinhaven_agree::GivingBudget;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::PART_BYTES_MAX;
use pinhaven_agree::Part;
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
    fn part(&self, fetch: &VersionFetch) -> Part {
        let request = fetch.request(HELD);
        let package = Digest::of(&self.bytes);
        let has_begun = request.package == Some(package);
        let offset = if has_begun {
            request.offset as usize
        } else {
            0
        };
        let end = (offset + PART_BYTES_MAX).min(self.bytes.len());
        Part {
            version: BundleVersion::new(self.version),
            package,
            total_bytes: self.bytes.len() as u64,
            offset: offset as u64,
            bytes: self.bytes[offset..end].to_vec(),
        }
    }
}

#[test]
fn a_package_comes_whole_in_as_many_parts_as_it_takes() {
    let package = Package::new(4, 3 * PART_BYTES_MAX + 5);
    let mut fetch = VersionFetch::default();
    for _ in 0..3 {
        let part = package.part(&fetch);
        assert_eq!(fetch.take(part), Fetched::More);
    }
    let last = package.part(&fetch);
    assert_eq!(fetch.take(last), Fetched::Package(package.bytes));
}

#[test]
fn another_peer_goes_on_where_the_first_one_stopped() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    fetch.take(package.part(&fetch));
    // The first peer is gone; nothing is told to the fetch.
    let request = fetch.request(HELD);
    assert_eq!(request.offset, PART_BYTES_MAX as u64);
    assert_eq!(request.package, Some(Digest::of(&package.bytes)));
    let part = package.part(&fetch);
    assert_eq!(fetch.take(part), Fetched::Package(package.bytes));
}

#[test]
fn a_peer_with_another_package_begins_anew() {
    let (old, new) = (
        Package::new(4, 2 * PART_BYTES_MAX),
        Package::new(5, PART_BYTES_MAX + 1),
    );
    let mut fetch = VersionFetch::default();
    fetch.take(old.part(&fetch));
    let part = new.part(&fetch);
    assert_eq!(fetch.take(part), Fetched::More);
    let part = new.part(&fetch);
    assert_eq!(fetch.take(part), Fetched::Package(new.bytes));
}

#[test]
fn parts_that_fit_nothing_are_of_no_use() {
    let package = Package::new(4, 3 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    let first = package.part(&fetch);
    let misplaced = Part {
        offset: 7,
        ..first.clone()
    };
    assert_eq!(fetch.take(misplaced), Fetched::Useless);
    let empty = Part {
        bytes: Vec::new(),
        ..first.clone()
    };
    assert_eq!(fetch.take(empty), Fetched::Useless);
    let too_long = Part {
        total_bytes: 1,
        ..first.clone()
    };
    assert_eq!(fetch.take(too_long), Fetched::Useless);
    let altered = Part {
        total_bytes: first.bytes.len() as u64,
        ..first
    };
    assert_eq!(
        fetch.take(altered),
        Fetched::Useless,
        "its digest is another"
    );
}

#[test]
fn what_was_begun_is_dropped_once_that_version_is_in_force() {
    let package = Package::new(4, 2 * PART_BYTES_MAX);
    let mut fetch = VersionFetch::default();
    fetch.take(package.part(&fetch));
    fetch.put_in_force(BundleVersion::new(4));
    assert_eq!(fetch.request(BundleVersion::new(4)).package, None);
}

#[test]
fn after_differences_that_can_not_be_used_a_whole_body_is_asked_for() {
    let mut fetch = VersionFetch::default();
    assert!(!fetch.request(HELD).needs_whole);
    fetch.reject_differences();
    assert!(fetch.request(HELD).needs_whole);
    fetch.put_in_force(BundleVersion::new(4));
    assert!(!fetch.request(HELD).needs_whole);
}

#[test]
fn giving_keeps_to_a_quarter_of_the_link_and_no_asker_waits_for_ever() {
    // 10 Mbit/s are 1.25 MB a second.
    let mut budget = GivingBudget::new(10.0);
    let mut given_bytes = 0;
    for time_ms in 0..10_000 {
        let now = Microseconds::from_ms(time_ms);
        match budget.take(PART_BYTES_MAX, now) {
            Ok(()) => given_bytes += PART_BYTES_MAX,
            Err(away) => assert!(away <= Microseconds::from_ms(500)),
        }
    }
    let share = given_bytes as f64 / 12_500_000.0;
    assert!((0.24..0.26).contains(&share), "{share}");
}

#[test]
fn a_link_that_is_smaller_than_a_part_a_second_gives_all_the_same() {
    let mut budget = GivingBudget::new(0.01);
    assert_eq!(budget.take(PART_BYTES_MAX, Microseconds::ZERO), Ok(()));
    let later = (1..600).find(|second| {
        let now = Microseconds::from_ms(second * 1_000);
        budget.take(PART_BYTES_MAX, now).is_ok()
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
        members.hear(row(number, domain, version), now);
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
