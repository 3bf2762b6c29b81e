//! What an entry retains of the latest versions, so that peers that lack them receive little and can
//! complete a fetch.

use pinhaven_agree::Packages;
use pinhaven_agree::RecentDeltas;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_types::BundleVersion;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;

const fn version(number: u64) -> BundleVersion {
    BundleVersion::new(number)
}

/// A bundle of this version with this many routes, all of which are new in the version.
fn bundle(number: u64, routes: usize) -> Bundle {
    let route = |index: usize| {
        json!({
            "name": format!("route-{index}"), "path_prefix": format!("/path-{index:06}/"),
            "kind": "idempotent", "timeout_ms": number, "aim_ms": 1, "priority": 1,
            "attempts_most": 2, "split": [{"service": "a", "weight": 1.0}],
        })
    };
    let paths: Vec<Value> = (0..routes).map(route).collect();
    let hosts = json!([{"host": "a", "paths": paths}]);
    serde_json::from_value(json!({"version": number, "services": [], "hosts": hosts})).unwrap()
}

fn step(from: u64, to: u64) -> BundleDelta {
    BundleDelta::between(&bundle(from, 3), &bundle(to, 3))
}

fn starts(deltas: &RecentDeltas, from: u64) -> Option<Vec<u64>> {
    let steps = deltas.since(version(from))?;
    Some(steps.iter().map(|step| step.from.number()).collect())
}

#[test]
fn a_peer_is_given_the_steps_from_its_version_on() {
    let mut deltas = RecentDeltas::default();
    for (from, to) in [(1, 2), (2, 5), (5, 6)] {
        deltas.push(step(from, to));
    }
    assert_eq!(starts(&deltas, 2), Some(vec![2, 5]));
    assert_eq!(starts(&deltas, 6), None);
    assert_eq!(
        starts(&deltas, 3),
        None,
        "version 3 was never in force at this entry"
    );
}

#[test]
fn an_entry_that_took_several_steps_at_once_can_give_each_of_them() {
    let mut deltas = RecentDeltas::default();
    deltas.push(step(1, 2));
    deltas.push(step(2, 9));
    deltas.refine_last(vec![step(2, 4), step(4, 9)]);
    assert_eq!(starts(&deltas, 1), Some(vec![1, 2, 4]));
    assert_eq!(starts(&deltas, 4), Some(vec![4]));
}

#[test]
fn steps_that_lead_elsewhere_change_nothing() {
    let mut deltas = RecentDeltas::default();
    deltas.push(step(2, 9));
    deltas.refine_last(vec![step(2, 4), step(4, 8)]);
    deltas.refine_last(vec![step(1, 4), step(4, 9)]);
    deltas.refine_last(Vec::new());
    assert_eq!(starts(&deltas, 2), Some(vec![2]));
}

#[test]
fn a_series_of_large_versions_does_not_fill_the_memory() {
    let mut deltas = RecentDeltas::default();
    for number in 1..20 {
        deltas.push(BundleDelta::between(
            &bundle(number, 3_000),
            &bundle(number + 1, 3_000),
        ));
    }
    let retained = deltas.since(version(18)).unwrap();
    assert_eq!(retained.len(), 2);
    assert_eq!(
        starts(&deltas, 17),
        None,
        "three deltas of 3,000 routes each exceed the limit"
    );
}

fn package(number: u64) -> Arc<BundlePackage> {
    let body = CanonicalBundle::new(bundle(number, 1));
    let head = BundleHead {
        version: version(number),
        digest: body.digest(),
        signer: "a".parse().unwrap(),
        signature: String::new(),
        operation: "b".parse().unwrap(),
    };
    Arc::new(BundlePackage::with_whole(&head, &body).unwrap())
}

#[test]
fn a_package_that_is_being_taken_stays_while_newer_ones_come() {
    let requested = package(1);
    let mut packages = Packages::default();
    packages.insert(None, Arc::clone(&requested));
    for number in 2..100 {
        packages.insert(Some(version(number - 1)), package(number));
        assert!(
            packages.find_by_digest(requested.digest()).is_some(),
            "version {number}"
        );
    }
}

#[test]
fn a_package_that_nobody_asks_for_goes() {
    let old = package(1);
    let mut packages = Packages::default();
    packages.insert(None, Arc::clone(&old));
    for number in 2..100 {
        packages.insert(None, package(number));
    }
    assert!(packages.find_by_digest(old.digest()).is_none());
    assert!(packages.find_leading_to(None, version(99)).is_some());
    assert!(
        packages
            .find_leading_to(Some(version(98)), version(99))
            .is_none()
    );
}
