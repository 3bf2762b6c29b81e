//! Steps between lists of targets lead to exactly the peer's list and name only what changed.

use pinhaven_agree::KnownTargets;
use pinhaven_agree::ListStepError;
use pinhaven_agree::ListedTarget;
use pinhaven_agree::TargetList;
use pinhaven_types::Microseconds;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;

/// A target, which accepts no new work if `state` is 2.
fn target(number: usize, state: u8) -> ListedTarget {
    let port = 9_000 + number;
    serde_json::from_value(json!({
        "id": format!("i-{number}"), "service": "quote", "address": format!("127.0.0.1:{port}"),
        "failure_domain": "a", "slots": 4, "is_leaving": state == 2, "warm_up_ms": 0,
    }))
    .unwrap()
}

/// A list with a target for each state other than 0.
fn list(revision: u64, states: &[u8]) -> TargetList {
    let states = states.iter().map(|state| state % 3).enumerate();
    let present = states.filter(|(_, state)| *state > 0);
    TargetList::new(
        revision,
        present.map(|(number, state)| target(number, state)),
    )
}

/// The state of an entry that has read these lists in order, and the digests of the lists.
fn reader_of(lists: &[Vec<u8>]) -> (KnownTargets, Vec<u64>) {
    let mut known = KnownTargets::new();
    let mut digests = Vec::new();
    for (index, states) in lists.iter().enumerate() {
        let number = index as u64 + 1;
        known.record_read(list(number, states), Microseconds::from_ms(number));
        digests.push(known.digest());
    }
    (known, digests)
}

/// From each list that was read, there are steps to the last list, and they lead to that list.
fn steps_lead_to_the_list(lists: Vec<Vec<u8>>) -> bool {
    let (known, digests) = reader_of(&lists);
    let held = lists.iter().zip(digests).enumerate();
    let mut all = held.map(|(index, (states, digest))| {
        let held = list(index as u64 + 1, states);
        let steps = known.steps_from(digest).unwrap();
        let text = serde_json::to_vec(&steps).unwrap();
        let steps: pinhaven_agree::ListSteps = serde_json::from_slice(&text).unwrap();
        steps.apply(&held, digest).as_ref() == Ok(&**known.list())
    });
    all.all(|leads_to_list| leads_to_list)
}

#[test]
fn steps_lead_from_every_earlier_list_to_the_one_that_is_held() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(12, 61))
        .quickcheck(steps_lead_to_the_list as fn(Vec<Vec<u8>>) -> bool);
}

#[test]
fn a_change_of_one_target_is_told_in_a_small_part_of_the_list() {
    let mut states = vec![1; 1_000];
    let before = states.clone();
    states[500] = 2;
    let (known, digests) = reader_of(&[before, states]);
    let steps = serde_json::to_vec(&known.steps_from(digests[0]).unwrap()).unwrap();
    let whole = serde_json::to_vec(&**known.list()).unwrap();
    assert!(
        steps.len() * 100 < whole.len(),
        "{} of {} bytes",
        steps.len(),
        whole.len()
    );
}

#[test]
fn from_a_list_that_was_never_held_there_are_no_steps() {
    let (known, _) = reader_of(&[vec![1, 1], vec![1, 2]]);
    assert_eq!(known.steps_from(list(9, &[2, 2, 2]).digest()), None);
}

#[test]
fn steps_from_another_list_are_refused() {
    let (known, digests) = reader_of(&[vec![1, 1], vec![1, 2], vec![2, 2]]);
    let steps = known.steps_from(digests[1]).unwrap();
    let other = list(1, &[1, 1]);
    let error = steps.clone().apply(&other, digests[0]).unwrap_err();
    assert!(matches!(error, ListStepError::WrongStart { .. }));
    // The list differs from the list that the digest names.
    let error = steps.apply(&list(2, &[1, 1, 1]), digests[1]).unwrap_err();
    assert!(matches!(error, ListStepError::WrongEnd { .. }));
}

#[test]
fn a_list_that_changes_for_long_keeps_the_last_steps_only() {
    let lists: Vec<Vec<u8>> = (0..40)
        .map(|number| vec![if number % 2 == 0 { 1 } else { 2 }; 1_000])
        .collect();
    let (known, digests) = reader_of(&lists);
    // When a list occurs again, the steps lead on from its last occurrence.
    let steps = known.steps_from(digests[0]).unwrap();
    assert_eq!(steps.steps.len(), 1);
    let (known, digests) = reader_of(&(1..10).map(|n| vec![1; n * 1_000]).collect::<Vec<_>>());
    assert_eq!(
        known.steps_from(digests[0]),
        None,
        "8,000 targets were added since this list"
    );
    assert!(known.steps_from(digests[6]).is_some());
}

#[test]
fn a_peer_hears_which_entries_are_of_other_writers_now() {
    let before = list(1, &[1, 1]);
    let after = list(2, &[1]).with_foreign_ids(["i-1".parse().unwrap()]);
    let mut known = KnownTargets::new();
    known.record_read(before.clone(), Microseconds::from_ms(1));
    let digest = known.digest();
    known.record_read(after.clone(), Microseconds::from_ms(2));
    let steps = known.steps_from(digest).unwrap();
    assert_eq!(steps.apply(&before, digest), Ok(after));
}
