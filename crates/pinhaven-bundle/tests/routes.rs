//! Differences between routes: applying them gives exactly the intended body, and they list only changed routes.

use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PackageContent;
use pinhaven_bundle::PackageError;
use pinhaven_bundle::UnpackedPackage;
use pinhaven_bundle::sort_routes;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::Value;
use serde_json::json;

/// A route whose timeout distinguishes its versions.
fn route(number: usize, timeout_ms: u8) -> Value {
    json!({
        "name": format!("route-{number}"), "path_prefix": format!("/path-{number}/"),
        "kind": "idempotent", "timeout_ms": timeout_ms, "aim_ms": 1, "priority": 1,
        "attempts_most": 2, "split": [{"service": "a", "weight": 1.0}],
    })
}

/// A bundle with one host for each list and one route for each nonzero number in the list; 0 omits the route.
fn bundle(version: u64, hosts: &[Vec<u8>]) -> Bundle {
    let host = |(index, routes): (usize, &Vec<u8>)| {
        let routes = routes.iter().enumerate().filter(|(_, time)| **time > 0);
        let paths: Vec<Value> = routes.map(|(number, time)| route(number, *time)).collect();
        json!({"host": format!("host-{index}"), "paths": paths})
    };
    let hosts: Vec<Value> = hosts.iter().enumerate().map(host).collect();
    let form = json!({"version": version, "services": [], "hosts": hosts});
    let mut bundle: Bundle = serde_json::from_value(form).unwrap();
    sort_routes(&mut bundle.hosts);
    bundle
}

fn head_of(body: &CanonicalBundle) -> BundleHead {
    BundleHead {
        version: body.bundle().version,
        digest: body.digest(),
        signer: "a".parse().unwrap(),
        signature: String::new(),
        operation: "b".parse().unwrap(),
    }
}

/// Sends the difference through a package, as entries do.
fn packed_differences_lead_to_the_body(before: Vec<Vec<u8>>, after: Vec<Vec<u8>>) -> bool {
    let before = CanonicalBundle::new(bundle(1, &before));
    let after = CanonicalBundle::new(bundle(2, &after));
    let delta = BundleDelta::between(before.bundle(), after.bundle());
    let package =
        BundlePackage::with_differences(&head_of(&after), std::slice::from_ref(&delta)).unwrap();
    let UnpackedPackage { head, content } = BundlePackage::unpack(package.bytes()).unwrap();
    let PackageContent::Differences(deltas) = content else {
        return false;
    };
    delta.hosts.is_none()
        && BundleDelta::apply_all(deltas, before.bundle(), head.digest) == Ok(after)
}

#[test]
fn differences_between_routes_lead_to_the_body_that_was_meant() {
    let property: fn(Vec<Vec<u8>>, Vec<Vec<u8>>) -> bool = packed_differences_lead_to_the_body;
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(12, 53))
        .quickcheck(property);
}

fn a_weight_survives_being_written(bits: u64) -> bool {
    let weight = f64::from_bits(bits);
    if !weight.is_finite() {
        return true;
    }
    let mut bundle = bundle(1, &[vec![1]]);
    bundle.hosts[0].paths[0].split[0].weight = weight;
    let body = CanonicalBundle::new(bundle);
    let read = CanonicalBundle::from_bytes(body.bytes()).unwrap();
    read.digest() == body.digest()
}

/// Guards against a weight that loses its last digit when it is parsed. Only entries that read the store then compute
/// the signed digest; every other entry computes another digest and refuses the version.
#[test]
fn any_weight_of_a_route_leads_to_the_same_digest_everywhere() {
    QuickCheck::new()
        .tests(20_000)
        .rng(Gen::from_size_and_seed(64, 59))
        .quickcheck(a_weight_survives_being_written as fn(u64) -> bool);
    assert!(a_weight_survives_being_written(
        0.907_303_832_202_868_9_f64.to_bits()
    ));
}

#[test]
fn a_difference_names_only_the_routes_that_changed() {
    let mut routes = vec![1; 4_000];
    let before = bundle(1, &[routes.clone()]);
    routes[77] = 9;
    routes[78] = 0;
    let delta = BundleDelta::between(&before, &bundle(2, &[routes]));
    assert_eq!(
        delta.size(),
        3,
        "a host with a changed route, and a route that is gone"
    );
}

#[test]
fn routes_whose_order_matters_are_sent_as_a_whole() {
    let mut before = bundle(1, &[vec![1, 1, 1]]);
    let mut after = bundle(2, &[vec![1, 2, 1]]);
    before.hosts[0].paths.reverse();
    // Two routes with the same prefix: the first route applies, so their order matters.
    let twin = after.hosts[0].paths[0].clone();
    after.hosts[0].paths.push(twin);
    let delta = BundleDelta::between(&before, &after);
    assert_eq!(delta.hosts.as_ref(), Some(&after.hosts));
    let after = CanonicalBundle::new(after);
    assert_eq!(delta.apply(&before, after.digest()), Ok(after));
}

#[test]
fn a_package_of_many_routes_is_a_small_part_of_them() {
    let body = CanonicalBundle::new(bundle(1, &[vec![1; 4_000]]));
    let package = BundlePackage::with_whole(&head_of(&body), &body).unwrap();
    let (whole, packed) = (body.bytes().len(), package.bytes().len());
    assert!(packed * 8 < whole, "{packed} of {whole} bytes");
    let unpacked = BundlePackage::unpack(package.bytes()).unwrap();
    assert_eq!(unpacked.content, PackageContent::Whole(body));
}

#[test]
fn what_is_no_package_is_refused() {
    let body = CanonicalBundle::new(bundle(1, &[vec![1; 100]]));
    let package = BundlePackage::with_whole(&head_of(&body), &body).unwrap();
    let cut = &package.bytes()[..package.bytes().len() / 2];
    assert!(matches!(
        BundlePackage::unpack(cut),
        Err(PackageError::Unpack(_))
    ));
    assert!(BundlePackage::unpack(b"").is_err());
    assert!(BundlePackage::unpack(b"no package").is_err());
}
