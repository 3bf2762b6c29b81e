//! Parsing and formatting of names, quantities and ids, and counting of promise checks.

use pinhaven_types::ApiKey;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::KeyDigest;
use pinhaven_types::Percent;
use pinhaven_types::Promise;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use pinhaven_types::TargetIncarnation;
use pinhaven_types::promise_check_count;
use pinhaven_types::promise_violation_count;
use pinhaven_types::require_promise;

#[test]
fn a_name_has_plain_characters_only() {
    for good in ["quote", "quote-2", "a.b_c", "X"] {
        let name: ServiceName = good.parse().unwrap();
        assert_eq!(name.to_string(), good);
    }
    let long = "a".repeat(129);
    for bad in ["", "a b", "a/b", "caf\u{e9}", "a\n", &long] {
        assert!(bad.parse::<ServiceName>().is_err(), "{bad:?}");
    }
}

#[test]
fn a_percentage_is_from_0_to_100() {
    let half: Percent = "0.5%".parse().unwrap();
    assert_eq!(half.fraction(), 0.005);
    assert_eq!(half.to_string(), "0.5%");
    for bad in ["", "-1%", "101", "NaN", "x"] {
        assert!(bad.parse::<Percent>().is_err(), "{bad:?}");
    }
}

#[test]
fn an_address_is_an_ip_number_with_a_port() {
    let address: TargetAddress = "127.0.0.1:80".parse().unwrap();
    assert_eq!(address.to_string(), "127.0.0.1:80");
    for bad in ["127.0.0.1", "localhost:80", "127.0.0.1:99999"] {
        assert!(bad.parse::<TargetAddress>().is_err(), "{bad:?}");
    }
}

#[test]
fn ids_are_read_back_as_they_were_written() {
    let incarnation = Incarnation::random();
    assert_eq!(incarnation.to_string().parse(), Ok(incarnation));
    assert_eq!(Incarnation::from_bytes(incarnation.to_bytes()), incarnation);
    let digest = Digest::of(b"x");
    assert_eq!(digest.to_string().parse(), Ok(digest));
}

#[test]
fn parts_of_a_digest_do_not_run_together() {
    assert_ne!(
        Digest::of_parts(&[b"ab", b"c"]),
        Digest::of_parts(&[b"a", b"bc"])
    );
}

#[test]
fn a_broken_promise_is_counted_and_a_kept_one_too() {
    let promise = Promise::PlannedStop;
    assert!(require_promise(promise, true, String::new));
    assert!(!require_promise(promise, false, || "a test".to_owned()));
    assert_eq!(promise_check_count(promise), 2);
    assert_eq!(promise_violation_count(promise), 1);
}

#[test]
fn a_run_of_a_target_is_a_unix_time_and_a_later_one_is_greater() {
    let earlier: TargetIncarnation = "1764720000000".parse().unwrap();
    assert_eq!(earlier.to_string(), "1764720000000");
    assert!(TargetIncarnation::new(1_764_720_000_001) > earlier);
    for bad in ["", "-1", "1.5", "x", "99999999999999999999"] {
        assert!(bad.parse::<TargetIncarnation>().is_err(), "{bad:?}");
    }
}

#[test]
fn a_key_is_visible_ascii_and_shows_nowhere() {
    let longest = "k".repeat(512);
    for good in ["k", "a.b_c-~!\"", &longest] {
        let key: ApiKey = good.parse().unwrap();
        assert_eq!(
            key.digest().to_string(),
            Digest::of(good.as_bytes()).to_string()
        );
        assert_eq!(format!("{key:?}"), "ApiKey(..)");
    }
    let long = "k".repeat(513);
    for bad in ["", " ", "a b", "a\t", "caf\u{e9}", "\u{7f}", &long] {
        assert!(bad.parse::<ApiKey>().is_err(), "{bad:?}");
    }
    let error = "a-key-in-place-of-a-digest"
        .parse::<KeyDigest>()
        .unwrap_err();
    assert!(
        !format!("{error} {error:?}").contains("in-place"),
        "{error}"
    );
}
