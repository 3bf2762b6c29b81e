//! The version in force only increases, and only signed bodies are put in force.

use pinhaven_agree::Offer;
use pinhaven_agree::Offered;
use pinhaven_agree::VersionInForce;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PrivateKey;
use pinhaven_bundle::SignedBundle;
use pinhaven_bundle::TrustedSigner;
use pinhaven_types::OperationId;
use pinhaven_types::promise_violations;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;

const SECRET: &str = "4242424242424242424242424242424242424242424242424242424242424242";

fn bundle(version: u64) -> Bundle {
    serde_json::from_value(json!({"version": version, "services": []})).unwrap()
}

fn trusted() -> Vec<TrustedSigner> {
    let key: PrivateKey = SECRET.parse().unwrap();
    vec![TrustedSigner {
        name: "ada".parse().unwrap(),
        public_key: key.public_key(),
    }]
}

fn offer(version: u64) -> Offer<Offered> {
    let key: PrivateKey = SECRET.parse().unwrap();
    let body = CanonicalBundle::new(bundle(version));
    let signed = SignedBundle::new(&body, "ada".parse().unwrap(), &key);
    Offer::new(signed.head(OperationId::random()), body)
}

#[test]
fn a_newer_version_replaces_an_older_one_and_never_the_other_way() {
    let mut in_force = VersionInForce::new();
    let trusted = trusted();
    for (version, is_accepted) in [(2, true), (1, false), (2, false), (5, true), (4, false)] {
        let verified = offer(version).verify(&trusted).unwrap();
        let result = in_force.put_in_force(verified);
        assert_eq!(result.is_ok(), is_accepted, "version {version}");
    }
    assert_eq!(in_force.version().number(), 5);
}

#[test]
fn a_body_that_is_not_the_signed_one_is_refused() {
    let key: PrivateKey = SECRET.parse().unwrap();
    let signed = SignedBundle::new(
        &CanonicalBundle::new(bundle(3)),
        "ada".parse().unwrap(),
        &key,
    );
    let other = CanonicalBundle::new(bundle(4));
    let offer = Offer::new(signed.head(OperationId::random()), other);
    assert!(offer.verify(&trusted()).is_err());
}

/// Offers versions in any order, also repeatedly and late.
fn only_grows(versions: Vec<u8>) -> bool {
    let mut in_force = VersionInForce::new();
    let trusted = trusted();
    let mut highest = 0;
    for version in versions {
        let version = u64::from(version % 12) + 1;
        let verified = offer(version).verify(&trusted).unwrap();
        // Older versions are refused; the version in force is checked below.
        let _ = in_force.put_in_force(verified);
        highest = highest.max(version);
        if in_force.version().number() != highest {
            return false;
        }
    }
    true
}

#[test]
fn whatever_is_offered_the_highest_version_is_in_force() {
    let before = promise_violations();
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(30, 43))
        .quickcheck(only_grows as fn(Vec<u8>) -> bool);
    assert_eq!(promise_violations(), before);
}
