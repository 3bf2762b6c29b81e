//! Differences between versions: applying them gives exactly the signed body, or an error.

use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::DeltaError;
use pinhaven_bundle::describe_changes;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;

/// A bundle with one service for each nonzero element of `slots`; 0 omits the service.
fn bundle(version: u64, slots: &[u8]) -> Bundle {
    let services: Vec<_> = slots
        .iter()
        .enumerate()
        .filter(|(_, slots)| **slots > 0)
        .map(|(number, slots)| {
            json!({
                "name": format!("service-{number}"),
                "hosts": [format!("host-{number}")],
                "slots": slots,
                "targets": [{"address": "127.0.0.1:9001", "failure_domain": "a"}],
            })
        })
        .collect();
    serde_json::from_value(json!({"version": version, "services": services})).unwrap()
}

fn leads_to_the_signed_body(before: Vec<u8>, after: Vec<u8>) -> bool {
    let before = CanonicalBundle::new(bundle(1, &before));
    let after = CanonicalBundle::new(bundle(2, &after));
    let delta = BundleDelta::between(before.bundle(), after.bundle());
    let text = serde_json::to_vec(&delta).unwrap();
    let delta: BundleDelta = serde_json::from_slice(&text).unwrap();
    delta.apply(before.bundle(), after.digest()) == Ok(after)
}

#[test]
fn a_difference_leads_to_the_signed_body() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(20, 47))
        .quickcheck(leads_to_the_signed_body as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_difference_from_another_version_is_refused() {
    let delta = BundleDelta::between(&bundle(1, &[1]), &bundle(2, &[2]));
    let signed = CanonicalBundle::new(bundle(2, &[2])).digest();
    let error = delta.apply(&bundle(3, &[1]), signed).unwrap_err();
    assert!(matches!(error, DeltaError::WrongStart { .. }));
}

#[test]
fn a_difference_that_leads_elsewhere_is_refused() {
    let delta = BundleDelta::between(&bundle(1, &[1]), &bundle(2, &[2]));
    let signed = CanonicalBundle::new(bundle(2, &[3])).digest();
    let error = delta.apply(&bundle(1, &[1]), signed).unwrap_err();
    assert!(matches!(error, DeltaError::WrongDigest { .. }));
}

#[test]
fn a_difference_names_only_what_changed() {
    let mut slots = vec![1; 500];
    let before = bundle(1, &slots);
    slots[77] = 9;
    let delta = BundleDelta::between(&before, &bundle(2, &slots));
    assert_eq!(delta.changed.len(), 1);
    let whole = CanonicalBundle::new(bundle(2, &slots)).bytes().len();
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    assert!(bytes * 100 < whole, "{bytes} of {whole} bytes");
}

#[test]
fn changes_are_described_a_line_each() {
    let lines = describe_changes(&bundle(1, &[1, 2, 3]), &bundle(2, &[1, 9, 0, 4]));
    assert_eq!(
        lines,
        ["- service-2", "~ service-1 settings", "+ service-3"]
    );
}

#[test]
fn differences_that_follow_each_other_are_applied_together() {
    let bundles = [
        bundle(1, &[1, 1]),
        bundle(2, &[1, 2]),
        bundle(3, &[3, 2, 1]),
    ];
    let deltas = || {
        let pairs = bundles.windows(2);
        let between = pairs.map(|pair| BundleDelta::between(&pair[0], &pair[1]));
        between.collect::<Vec<BundleDelta>>()
    };
    let last = CanonicalBundle::new(bundles[2].clone());
    let applied = BundleDelta::apply_all(deltas(), &bundles[0], last.digest());
    assert_eq!(applied, Ok(last.clone()));
    let mut gap = deltas();
    gap.remove(0);
    let error = BundleDelta::apply_all(gap, &bundles[0], last.digest()).unwrap_err();
    assert!(matches!(error, DeltaError::WrongStart { .. }));
}

#[test]
fn a_difference_drains_and_restores_failure_domains() {
    let with_drained = |version, names: &[&str]| Bundle {
        drained_domains: names.iter().map(|name| name.parse().unwrap()).collect(),
        ..bundle(version, &[1])
    };
    for (before, after) in [(&["a"][..], &["b", "c"][..]), (&[], &["a"]), (&["a"], &[])] {
        let before = CanonicalBundle::new(with_drained(1, before));
        let after = CanonicalBundle::new(with_drained(2, after));
        let delta = BundleDelta::between(before.bundle(), after.bundle());
        assert_eq!(delta.apply(before.bundle(), after.digest()), Ok(after));
    }
    let lines = describe_changes(&with_drained(1, &["a"]), &with_drained(2, &["b"]));
    let expected = [
        "~ failure domain b is drained",
        "~ failure domain a is restored",
    ];
    assert_eq!(lines, expected);
}
