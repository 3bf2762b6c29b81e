//! Owners of targets: one entry for each target, in its failure domain if possible, and few hashes.

use pinhaven_agree::OwnedKeys;
use pinhaven_agree::OwnerCandidate;
use pinhaven_agree::ServiceKey;
use pinhaven_agree::UnassignedTarget;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;

const DOMAINS: usize = 5;
const TARGETS: u32 = 1_080;
const SERVICE: ServiceKey = ServiceKey(7);

fn domain(number: usize) -> FailureDomain {
    format!("domain-{}", number % DOMAINS).parse().unwrap()
}

fn candidates(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|number| OwnerCandidate::new(Incarnation::new(number as u128), domain(number)))
        .collect()
}

fn targets() -> Vec<(u32, FailureDomain)> {
    (0..TARGETS)
        .map(|key| (key, domain(key as usize)))
        .collect()
}

fn unassigned(targets: &[(u32, FailureDomain)]) -> impl Iterator<Item = UnassignedTarget<'_>> {
    targets
        .iter()
        .map(|(key, failure_domain)| UnassignedTarget {
            key: *key,
            failure_domain,
            service: SERVICE,
        })
}

/// What an entry owns after one assignment.
fn owned(own: usize, candidates: &[OwnerCandidate], targets: &[(u32, FailureDomain)]) -> OwnedKeys {
    let mut owned = OwnedKeys::new(Incarnation::new(own as u128));
    owned.assign(candidates.to_vec(), true, unassigned(targets));
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
    let listed = || unassigned(&targets);
    assert!(!owned.assign(candidates.clone(), false, listed()));
    assert_eq!((owned.keys().to_vec(), owned.hashed()), before);
    // An entry that is no candidate any more gives up its targets.
    assert!(owned.assign(candidates[4..].to_vec(), false, listed()));
    assert!(owned.keys().is_empty());
}

/// Guards against targets that nobody probes, and whose reserved slots stay empty, while their owner does not reach them.
#[test]
fn targets_that_their_owner_does_not_reach_are_owned_by_another_entry() {
    let (mut candidates, targets) = (candidates(10), targets());
    let cut = candidates[3].clone().with_unreached(vec![SERVICE]);
    candidates[3] = cut;
    assert!(owned(3, &candidates, &targets).keys().is_empty());
    let near_owner = owned(8, &candidates, &targets);
    let in_domain = targets.iter().filter(|(_, of)| *of == domain(8)).count();
    assert_eq!(near_owner.keys().len(), in_domain);
    // Services that the entry reaches are owned as before.
    candidates[3] = candidates[3].clone().with_unreached(vec![ServiceKey(8)]);
    assert!(!owned(3, &candidates, &targets).keys().is_empty());
}
