//! Owners of targets: one entry for each target, in its failure domain if possible, and few hashes.

use pinhaven_agree::OwnedKeys;
use pinhaven_agree::OwnerCandidate;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;

const DOMAINS: usize = 5;
const TARGETS: u32 = 1_080;

fn domain(number: usize) -> FailureDomain {
    format!("domain-{}", number % DOMAINS).parse().unwrap()
}

fn candidates(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|number| OwnerCandidate {
            incarnation: Incarnation::new(number as u128),
            failure_domain: domain(number),
        })
        .collect()
}

fn targets() -> Vec<(u32, FailureDomain)> {
    (0..TARGETS)
        .map(|key| (key, domain(key as usize)))
        .collect()
}

/// What an entry owns after one assignment.
fn owned(own: usize, candidates: &[OwnerCandidate], targets: &[(u32, FailureDomain)]) -> OwnedKeys {
    let mut owned = OwnedKeys::new(Incarnation::new(own as u128));
    let targets = targets.iter().map(|(key, domain)| (*key, domain));
    owned.assign(candidates.to_vec(), true, targets);
    owned
}

#[test]
fn each_target_has_one_owner_in_its_failure_domain() {
    let (candidates, targets) = (candidates(10), targets());
    let owned: Vec<OwnedKeys> = (0..12)
        .map(|own| owned(own, &candidates, &targets))
        .collect();
    for (key, domain) in &targets {
        let owners: Vec<usize> = (0..12).filter(|own| owned[*own].contains(*key)).collect();
        assert_eq!(owners.len(), 1, "owners of target {key}: {owners:?}");
        assert_eq!(candidates[owners[0]].failure_domain, *domain);
    }
}

#[test]
fn a_target_whose_failure_domain_has_no_candidate_is_owned_elsewhere() {
    let candidates = candidates(2);
    let targets = targets();
    let owned_keys: usize = (0..2)
        .map(|own| owned(own, &candidates, &targets).keys().len())
        .sum();
    assert_eq!(owned_keys, TARGETS as usize);
}

/// Guards against hashes at entries that stand by, and against hashes of candidates that can't be the owner.
#[test]
fn only_candidates_hash_and_each_only_the_candidates_of_the_targets_domain() {
    let (candidates, targets) = (candidates(10), targets());
    assert_eq!(owned(400, &candidates, &targets).hashed(), 0);
    let candidate = owned(3, &candidates, &targets);
    assert_eq!(candidate.hashed(), 2 * u64::from(TARGETS));
}

#[test]
fn nothing_is_computed_anew_while_candidates_and_targets_stay() {
    let (candidates, targets) = (candidates(10), targets());
    let mut owned = owned(3, &candidates, &targets);
    let before = (owned.keys().to_vec(), owned.hashed());
    let listed = || targets.iter().map(|(key, domain)| (*key, domain));
    assert!(!owned.assign(candidates.clone(), false, listed()));
    assert_eq!((owned.keys().to_vec(), owned.hashed()), before);
    // An entry that is no candidate any more gives up its targets.
    assert!(owned.assign(candidates[4..].to_vec(), false, listed()));
    assert!(owned.keys().is_empty());
}
