//! Targets whose store entries another writer replaces: removed at once, and back with their own store
//! entries.

use pinhaven_agree::KnownTargets;
use pinhaven_agree::ListedTarget;
use pinhaven_agree::PeerList;
use pinhaven_agree::TargetList;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::collections::BTreeSet;

/// Number of targets in the generated lists.
const TARGETS: u16 = 8;

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

fn id(number: u16) -> TargetId {
    format!("i-{number}").parse().unwrap()
}

fn target(number: u16) -> ListedTarget {
    ListedTarget {
        incarnation: None,
        id: id(number),
        service: "quote".parse().unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        failure_domain: "vienna-1".parse().unwrap(),
        slots: 6,
        is_leaving: false,
        warm_up_ms: 0,
    }
}

fn list(revision: u64, numbers: &[u16], foreign: &[u16]) -> TargetList {
    TargetList::new(revision, numbers.iter().copied().map(target))
        .with_foreign_ids(foreign.iter().copied().map(id))
}

fn ids(known: &KnownTargets) -> Vec<String> {
    let targets = &known.targets().targets;
    targets.keys().map(ToString::to_string).collect()
}

#[test]
fn after_an_outage_a_lapsed_target_is_kept_and_a_spoiled_one_is_gone() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, &[1, 2, 3], &[]), at_ms(0));
    known.record_failure(at_ms(1_000));
    known.record_read(list(2, &[1], &[2]), at_ms(5_000));
    assert_eq!(ids(&known), ["i-1", "i-3"]);
    assert!(known.record_read(list(3, &[1, 2, 3], &[]), at_ms(6_000)));
    assert_eq!(ids(&known), ["i-1", "i-2", "i-3"]);
}

#[test]
fn a_target_that_is_kept_is_gone_once_its_entry_is_spoiled() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, &[1, 2], &[]), at_ms(0));
    known.record_failure(at_ms(1_000));
    known.record_read(list(2, &[1], &[]), at_ms(5_000));
    assert_eq!(ids(&known), ["i-1", "i-2"]);
    assert!(known.record_read(list(3, &[1], &[2]), at_ms(5_600)));
    assert_eq!(ids(&known), ["i-1"]);
}

/// A replaced store entry does not change the targets of a list, but peers may retain the target that
/// it named.
#[test]
fn a_peer_that_keeps_a_target_hears_that_its_entry_is_spoiled() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, &[1, 2], &[]), at_ms(0));
    known.record_failure(at_ms(1_000));
    known.record_read(list(2, &[1], &[]), at_ms(5_000));
    let newer = list(3, &[1], &[2]);
    let comparison = known.record_peer_revision(3, newer.digest(), at_ms(5_100));
    assert_eq!(comparison, PeerList::Fetch);
    let sent = serde_json::to_vec(&newer).unwrap();
    let received: TargetList = serde_json::from_slice(&sent).unwrap();
    assert!(known.record_peer_list(received, at_ms(5_100), at_ms(5_110)));
    assert_eq!(ids(&known), ["i-1"]);
}

/// Whatever the order of reads and failures, an id whose store entry is replaced names no target, and
/// all targets of the newest list are in use.
#[test]
fn a_spoiled_entry_never_names_a_target_and_the_others_hold() {
    fn holds(reads: Vec<(u8, u8, bool)>) -> bool {
        let mut known = KnownTargets::new();
        let mut now_ms = 0;
        for (number, (listed, spoiled, fails)) in reads.into_iter().enumerate() {
            now_ms += 600;
            if fails {
                known.record_failure(at_ms(now_ms));
                continue;
            }
            let has = |bits: u8, target: u16| bits & (1 << target) != 0;
            let foreign: Vec<u16> = (0..TARGETS).filter(|t| has(spoiled, *t)).collect();
            let own: Vec<u16> = (0..TARGETS)
                .filter(|t| has(listed, *t) && !has(spoiled, *t))
                .collect();
            known.record_read(list(number as u64 + 1, &own, &foreign), at_ms(now_ms));
            let used: BTreeSet<TargetId> = known.targets().targets.keys().cloned().collect();
            let names_spoiled = foreign.iter().any(|t| used.contains(&id(*t)));
            let names_all = own.iter().all(|t| used.contains(&id(*t)));
            if names_spoiled || !names_all {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 74))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}
