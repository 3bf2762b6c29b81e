//! Organisations in bundles: checks, canonical form, differences, and that no key or digest shows in descriptions.

use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::Organisation;
use pinhaven_bundle::RateLimit;
use pinhaven_bundle::describe_changes;
use pinhaven_bundle::read_bundle;
use pinhaven_document::Document;
use pinhaven_types::ApiKey;
use pinhaven_types::KeyDigest;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const EMPTY: &str = r#"{"version": 1, "services": []}"#;

fn digest(key: &str) -> KeyDigest {
    key.parse::<ApiKey>().unwrap().digest()
}

fn bundle(version: u64, organisations: Option<Vec<Organisation>>) -> Bundle {
    let empty: Bundle = serde_json::from_str(EMPTY).unwrap();
    Bundle {
        version: pinhaven_types::BundleVersion::new(version),
        organisations,
        ..empty
    }
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        key_digests: keys.iter().map(|key| digest(key)).collect(),
        ..Organisation::new(name.parse().unwrap())
    }
}

/// Organisations from arbitrary numbers: each number gives an organisation its name, keys, priority and limit. Rates
/// like 233.1 / 7 have no short decimal form, so that a number changed by reading or writing shows.
fn organisations(numbers: &[u16]) -> Option<Vec<Organisation>> {
    let (first, rest) = numbers.split_first()?;
    let made = rest.iter().rev().map(|number| {
        let keys: Vec<String> = (0..number % 4)
            .map(|key| format!("k{number}-{key}"))
            .collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        Organisation {
            priority: (number % 5 < 4).then_some((number % 5) as u8),
            limit: (number % 3 > 0).then_some(RateLimit {
                requests_per_s: f64::from(*number) * 233.1 / 7.0,
                burst: f64::from(*first) / 3.0,
            }),
            ..organisation(&format!("o{}", number / 8), &keys)
        }
    });
    let mut made: Vec<Organisation> = made.collect();
    made.sort_by(|a, b| a.name.cmp(&b.name));
    made.dedup_by(|a, b| a.name == b.name);
    made.reverse();
    Some(made)
}

fn versions_lead_to_the_signed_body(versions: Vec<Vec<u16>>) -> bool {
    let numbered = (1..).zip(&versions);
    let bodies =
        numbered.map(|(number, list)| CanonicalBundle::new(bundle(number, organisations(list))));
    let bodies: Vec<CanonicalBundle> = bodies.collect();
    let (Some(first), Some(last)) = (bodies.first(), bodies.last()) else {
        return true;
    };
    let deltas = bodies.windows(2).map(|pair| {
        let delta = BundleDelta::between(pair[0].bundle(), pair[1].bundle());
        serde_json::from_slice(&serde_json::to_vec(&delta).unwrap()).unwrap()
    });
    let reread = CanonicalBundle::from_bytes(last.bytes()).unwrap();
    BundleDelta::apply_all(deltas.collect(), first.bundle(), last.digest()).as_ref() == Ok(last)
        && reread.digest() == last.digest()
}

#[test]
fn differences_in_series_lead_to_the_signed_body() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(12, 91))
        .quickcheck(versions_lead_to_the_signed_body as fn(Vec<Vec<u16>>) -> bool);
}

#[test]
fn the_order_of_organisations_and_keys_does_not_change_the_canonical_form() {
    let (a, b) = (organisation("a", &["1", "2"]), organisation("b", &["3"]));
    let a_reversed = organisation("a", &["2", "1"]);
    let one = CanonicalBundle::new(bundle(1, Some(vec![a, b.clone()])));
    let other = CanonicalBundle::new(bundle(1, Some(vec![b, a_reversed])));
    assert_eq!(one.bytes(), other.bytes());
}

#[test]
fn no_list_and_an_empty_list_are_different_versions() {
    // Without a list nobody needs a key; with an empty one nobody has one.
    let (open, closed) = (bundle(1, None), bundle(2, Some(Vec::new())));
    let delta = BundleDelta::between(&open, &closed);
    let signed = CanonicalBundle::new(closed.clone());
    assert_eq!(delta.apply(&open, signed.digest()), Ok(signed));
    assert_eq!(describe_changes(&open, &closed), ["~ requests need a key"]);
    let reopened = bundle(3, None);
    assert_eq!(
        describe_changes(&closed, &reopened),
        ["~ requests need no key"]
    );
}

#[test]
fn a_version_that_adds_a_key_among_1000_organisations_names_one() {
    let all = |added: &[&str]| {
        let named =
            (0..1_000).map(|number| organisation(&format!("o{number}"), &[&format!("k{number}")]));
        let mut all: Vec<Organisation> = named.collect();
        all[500]
            .key_digests
            .extend(added.iter().map(|key| digest(key)));
        Some(all)
    };
    let (before, after) = (bundle(1, all(&[])), bundle(2, all(&["added"])));
    let delta = BundleDelta::between(&before, &after);
    assert_eq!(delta.size(), 1);
    // An entry sends the whole version instead of differences that name more than the version has.
    assert_eq!(after.size(), 1_000);
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    assert!(bytes < 500, "{bytes} bytes");
}

#[test]
fn changes_are_described_without_keys_and_digests() {
    let limited = Organisation {
        priority: Some(3),
        limit: Some(RateLimit {
            requests_per_s: 233.0,
            burst: 10.0,
        }),
        ..organisation("b", &["new", "kept"])
    };
    let before = vec![organisation("a", &[]), organisation("b", &["old", "kept"])];
    let before = bundle(1, Some(before));
    let after = bundle(2, Some(vec![limited, organisation("c", &["k"])]));
    assert_eq!(
        describe_changes(&before, &after),
        [
            "- organisation a",
            "~ organisation b +1 -1 keys, priority 3, limit 233/s, burst 10",
            "+ organisation c 1 keys, priority of the route, no limit",
        ]
    );
}

/// Message and help of each fault of a bundle with these organisations, one organisation a line.
fn faults(organisations: &[&str]) -> Vec<String> {
    let list = organisations.join(",\n");
    let text = format!("{{\"version\": 1, \"services\": [],\n\"organisations\": [\n{list}\n]}}");
    let document = Document::new("b.json", text);
    let faults = read_bundle(&document).err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn each_fault_has_its_line_and_a_help_text() {
    let held = format!(r#"{{"name": "a", "key_digests": ["{}"]}}"#, digest("k"));
    let held_by_b = held.replace("\"a\"", "\"b\"");
    let (first, second) = ("b.json:3: organisations[0]", "b.json:4: organisations[1]");
    let limit = |limit: &str| format!(r#"{{"name": "a", "limit": {limit}}}"#);
    let cases: [(&[&str], String, &str); 8] = [
        (
            &[r#"{"name": "a"}"#, r#"{"name": "a"}"#],
            format!("{second}.name"),
            "a name of its own",
        ),
        (
            &[&held, &held_by_b],
            format!("{second}.key_digests[0]"),
            "list each key once",
        ),
        (
            &[r#"{"name": "a", "priority": 4}"#],
            format!("{first}.priority"),
            "0 (refused first)",
        ),
        (
            &[&limit(r#"{"requests_per_s": -1.0, "burst": 1.0}"#)],
            format!("{first}.limit"),
            "from zero up",
        ),
        (
            &[&limit(r#"{"requests_per_s": 1.0, "burst": -0.5}"#)],
            format!("{first}.limit"),
            "from zero up",
        ),
        (
            &[&limit(r#"{"requests_per_s": 1e999, "burst": 1.0}"#)],
            "b.json:3: document".to_owned(),
            "out of range",
        ),
        (
            &[&limit(r#"{"requests_per_s": 1.0, "burst": 1.0, "per": 2}"#)],
            format!("{first}.limit"),
            "per",
        ),
        (
            &[r#"{"name": "a", "key_digests": ["my secret"]}"#],
            format!("{first}.key_digests[0]"),
            "key-digest",
        ),
    ];
    for (organisations, place, help) in cases {
        let found = faults(organisations);
        assert_eq!(found.len(), 1, "{organisations:?}: {found:?}");
        assert!(found[0].starts_with(&place), "{found:?} is not at {place}");
        assert!(found[0].contains(help), "{found:?}");
        assert!(!found[0].contains("my secret"), "the fault quotes a key");
    }
    assert_eq!(faults(&[&held, r#"{"name": "b", "priority": 0}"#]), [""; 0]);
}
