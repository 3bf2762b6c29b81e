//! Targets that restart under the same id, as lists name them.

use pinhaven_agree::KnownTargets;
use pinhaven_agree::ListedTarget;
use pinhaven_agree::PeerList;
use pinhaven_agree::TargetList;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetIncarnation;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Numbers of two runs; each run listens on a port of its own.
const EARLIER: u64 = 1;
const LATER: u64 = 2;

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

/// A run of the only target.
fn run(number: u64) -> ListedTarget {
    ListedTarget {
        id: "i-1".parse().unwrap(),
        incarnation: Some(TargetIncarnation::new(1_764_720_000_000 + number)),
        service: "quote".parse().unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        failure_domain: "vienna-1".parse().unwrap(),
        slots: 6,
        is_leaving: false,
        warm_up_ms: 0,
    }
}

fn list(revision: u64, targets: impl IntoIterator<Item = ListedTarget>) -> TargetList {
    TargetList::new(revision, targets)
}

/// The only target as the entry uses it.
fn used(known: &KnownTargets) -> Option<ListedTarget> {
    known.targets().targets.values().next().cloned()
}

fn used_run(known: &KnownTargets) -> Option<TargetIncarnation> {
    used(known).and_then(|target| target.incarnation)
}

#[test]
fn lists_with_different_runs_of_a_target_are_different() {
    let mut later_at_same_address = run(EARLIER);
    later_at_same_address.incarnation = run(LATER).incarnation;
    let (before, after) = (
        list(1, [run(EARLIER)]),
        list(2, [later_at_same_address.clone()]),
    );
    assert_ne!(before.digest(), after.digest());
    let mut known = KnownTargets::new();
    known.record_read(before, at_ms(0));
    assert_eq!(
        known.record_peer_revision(2, after.digest(), at_ms(100)),
        PeerList::Fetch
    );
    assert!(known.record_peer_list(after, at_ms(100), at_ms(110)));
    assert_eq!(used(&known), Some(later_at_same_address));
}

/// The digest of a list of targets that report no start time must stay the one that older versions of
/// the software compute, so that entries of different versions recognise the same list.
#[test]
fn the_digest_of_targets_without_a_start_stays_what_it_was() {
    let mut old = run(EARLIER);
    old.incarnation = None;
    let text = serde_json::to_string(&list(1, [old.clone()])).unwrap();
    assert!(!text.contains("incarnation"), "{text}");
    assert_eq!(list(1, [old]).digest(), 12_366_829_204_709_453_449);
}

#[test]
fn a_late_entry_of_an_earlier_run_changes_nothing() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(EARLIER)]), at_ms(0));
    known.record_read(list(2, [run(LATER)]), at_ms(600));
    known.record_read(list(3, [run(EARLIER)]), at_ms(1_200));
    assert_eq!(used(&known), Some(run(LATER)));
    // Peers are sent the list as the store returned it, so that all entries agree on its digest.
    assert_eq!(**known.list(), list(3, [run(EARLIER)]));
    known.record_read(list(4, [run(EARLIER)]), at_ms(1_800));
    assert_eq!(used(&known), Some(run(LATER)));
    known.record_read(list(5, [run(LATER)]), at_ms(2_400));
    assert_eq!(used(&known), Some(run(LATER)));
    known.record_read(list(6, []), at_ms(3_000));
    assert_eq!(used(&known), None);
}

#[test]
fn a_list_of_a_peer_brings_no_earlier_run_back() {
    let mut known = KnownTargets::new();
    known.record_read(list(2, [run(LATER)]), at_ms(0));
    // The peer's read does not include the later start yet, although the read is the more recent one.
    known.record_peer_list(list(2, [run(EARLIER)]), at_ms(500), at_ms(510));
    assert_eq!(used(&known), Some(run(LATER)));
}

#[test]
fn an_earlier_run_is_not_used_after_the_later_one_lapsed() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(LATER)]), at_ms(0));
    known.record_read(list(1, []), at_ms(600));
    known.record_read(list(2, [run(EARLIER)]), at_ms(1_200));
    assert_eq!(used(&known), None, "neither run is known to be alive");
}

#[test]
fn what_is_kept_over_an_outage_gives_way_to_a_later_run_and_not_to_an_earlier_one() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(LATER)]), at_ms(0));
    known.record_failure(at_ms(1_000));
    known.record_read(list(2, []), at_ms(5_000));
    assert_eq!(
        used(&known),
        Some(run(LATER)),
        "the target may only have lapsed"
    );
    known.record_read(list(3, [run(EARLIER)]), at_ms(5_600));
    assert_eq!(used(&known), Some(run(LATER)));
    known.record_read(list(4, [run(3)]), at_ms(6_200));
    assert_eq!(used(&known), Some(run(3)));
    known.expire_retained(at_ms(9_000));
    assert_eq!(used(&known), Some(run(3)));
}

#[test]
fn a_run_that_left_is_not_revived_by_a_stale_entry() {
    let mut leaving = run(EARLIER);
    leaving.is_leaving = true;
    let mut known = KnownTargets::new();
    known.record_read(list(1, [leaving]), at_ms(0));
    known.record_read(list(2, [run(EARLIER)]), at_ms(600));
    assert!(used(&known).unwrap().is_leaving);
    known.record_read(list(3, []), at_ms(1_200));
    known.record_read(list(4, [run(EARLIER)]), at_ms(1_800));
    assert!(used(&known).unwrap().is_leaving);
    known.record_read(list(5, [run(LATER)]), at_ms(2_400));
    assert_eq!(used(&known), Some(run(LATER)));
}

#[test]
fn a_later_run_is_slow_from_its_own_start() {
    let mut warming = run(EARLIER);
    warming.warm_up_ms = 3_000;
    let mut known = KnownTargets::new();
    known.record_read(list(1, [warming]), at_ms(0));
    let mut restarted = run(LATER);
    restarted.warm_up_ms = 5_000;
    known.record_read(list(2, [restarted.clone()]), at_ms(600));
    assert_eq!(used(&known).unwrap().warm_up_ms, 5_000);
    restarted.warm_up_ms = 4_400;
    assert!(!known.record_read(list(3, [restarted]), at_ms(1_200)));
    assert_eq!(used(&known).unwrap().warm_up_ms, 5_000);
}

#[test]
fn a_later_run_that_answered_is_used_before_the_store_tells_of_it() {
    let mut leaving = run(EARLIER);
    leaving.is_leaving = true;
    let (id, later) = (run(LATER).id, run(LATER).incarnation.unwrap());
    let mut known = KnownTargets::new();
    assert!(
        !known.record_run(&id, later, at_ms(0)),
        "the target is not listed"
    );
    known.record_read(list(1, [leaving.clone()]), at_ms(0));
    assert!(known.record_run(&id, later, at_ms(100)));
    assert!(!known.record_run(&id, later, at_ms(110)));
    assert!(known.is_superseded(&id, leaving.incarnation));
    known.record_read(list(1, [leaving.clone()]), at_ms(600));
    let answering = used(&known).unwrap();
    assert_eq!(
        (answering.incarnation, answering.address),
        (Some(later), leaving.address)
    );
    assert!(!answering.is_leaving);
    // A late answer of the earlier run is ignored.
    assert!(!known.record_run(&id, leaving.incarnation.unwrap(), at_ms(700)));
    known.record_read(list(2, [run(LATER)]), at_ms(1_200));
    assert_eq!(used(&known), Some(run(LATER)));
    known.record_read(list(3, []), at_ms(1_800));
    assert_eq!(used(&known), None);
}

#[test]
fn a_target_that_tells_no_start_is_taken_as_it_is_listed() {
    let mut old = run(EARLIER);
    old.incarnation = None;
    let mut moved = run(LATER);
    moved.incarnation = None;
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(LATER)]), at_ms(0));
    for (revision, target) in [(2, old), (3, moved)] {
        known.record_read(list(revision, [target.clone()]), at_ms(revision * 600));
        assert_eq!(used(&known), Some(target));
    }
}

/// Reinstates the runs that the store lists in place of later ones without a sign of life. Returns whether there are any.
fn reinstate(known: &mut KnownTargets) -> bool {
    let ids = known.contradicted_runs();
    known.reinstate_listed_runs(&ids);
    !ids.is_empty()
}

/// Guards against a row of another writer with a later start, after which the real target is ignored for minutes.
#[test]
fn a_later_run_that_the_store_contradicts_for_seconds_gives_way_to_the_listed_one() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(EARLIER)]), at_ms(0));
    known.record_read(list(2, [run(LATER)]), at_ms(1_000));
    known.record_read(list(3, [run(EARLIER)]), at_ms(3_000));
    let digest = known.digest();
    // The list stays the same, and others confirm it.
    known.record_peer_revision(9, digest, at_ms(7_900));
    assert!(!reinstate(&mut known));
    assert_eq!(used(&known), Some(run(LATER)));
    known.record_peer_revision(10, digest, at_ms(8_000));
    assert!(reinstate(&mut known));
    assert_eq!(used(&known), Some(run(EARLIER)));
    assert!(!reinstate(&mut known));
    known.record_read(list(11, [run(LATER)]), at_ms(8_600));
    assert_eq!(used(&known), Some(run(LATER)), "it restarted after all");
}

#[test]
fn a_later_run_that_answered_is_used_for_as_long_as_the_store_is_away() {
    let mut known = KnownTargets::new();
    known.record_read(list(1, [run(EARLIER)]), at_ms(0));
    known.record_run(&run(LATER).id, run(LATER).incarnation.unwrap(), at_ms(500));
    known.record_failure(at_ms(1_000));
    known.record_failure(at_ms(60_000));
    assert!(!reinstate(&mut known));
    assert_eq!(used_run(&known), run(LATER).incarnation);
    known.record_read(list(2, [run(LATER)]), at_ms(61_000));
    assert_eq!(used(&known), Some(run(LATER)));

    // The last list before an outage names an earlier run.
    known.record_read(list(3, [run(EARLIER)]), at_ms(62_000));
    known.record_failure(at_ms(62_600));
    known.record_failure(at_ms(90_000));
    assert!(!reinstate(&mut known));
    assert_eq!(used(&known), Some(run(LATER)));
}

/// Whatever the order of lists, failed reads and answers, and whether they come from the store, peers
/// or targets, a run that was in use is followed by later runs only, unless the store has listed an earlier one for seconds
/// without a sign of the later one.
#[test]
fn an_entry_goes_back_to_an_earlier_run_only_after_seconds_without_a_sign_of_the_later_one() {
    /// Time without a sign of a run after which an earlier one may take its place.
    const UNSEEN_MAX: Microseconds = Microseconds::from_ms(5_000);
    fn never_goes_back(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut known = KnownTargets::new();
        let mut latest = None;
        let mut seen_at = Microseconds::ZERO;
        let mut is_monotonic = true;
        for (step, (number, revision, kind)) in steps.into_iter().enumerate() {
            let now = at_ms(600 * (step as u64 + 1));
            let target = (number % 4 > 0).then(|| run(u64::from(number % 4)));
            let list = list(u64::from(revision % 8), target);
            match kind % 4 {
                0 => known.record_failure(now),
                1 if revision % 3 == 0 => {
                    let run = run(u64::from(number % 4));
                    known.record_run(&run.id, run.incarnation.unwrap(), now);
                }
                1 => _ = known.record_peer_list(list, now, now),
                _ => _ = known.record_read(list, now),
            }
            let listed = known.list().targets.values().next().cloned();
            let is_reinstated = reinstate(&mut known);
            let used = used_run(&known);
            if is_reinstated {
                is_monotonic &= now >= seen_at.plus(UNSEEN_MAX);
                is_monotonic &= used == listed.as_ref().and_then(|target| target.incarnation);
                latest = used;
            }
            is_monotonic &= used.is_none() || used >= latest;
            let is_sign = used.is_some() && used > latest
                || latest.is_some() && listed.is_some_and(|target| target.incarnation == latest);
            if is_sign {
                seen_at = now;
            }
            latest = latest.max(used);
        }
        is_monotonic
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 43))
        .tests(2_000)
        .quickcheck(never_goes_back as fn(Vec<(u8, u8, u8)>) -> bool);
}
