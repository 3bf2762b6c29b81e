//! Versions of the bundle: concurrent rolls, signatures, spreading among entries, and that no entry returns to an older
//! version.

mod common;

use common::run_serially;
use common::start_default_lab;
use pinhaven_lab::Lab;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::Condition;
use pinhaven_platform::HttpObjectStore;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::TableService;
use pinhaven_platform::bundle_object;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::platform::PlatformFaults;
use serde_json::json;

/// Timeout of a call to the platform, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// Faults with which neither the table nor the object store answers.
const PLATFORM_DOWN: PlatformFaults = PlatformFaults {
    table_down: true,
    object_down: true,
    delay_ms: 0,
    lost_answer_percent: 0,
    hang_percent: 0,
};

/// Versions that the entries have in force.
async fn versions_in_force(lab: &Lab) -> Vec<u64> {
    let statuses = lab.statuses().await;
    statuses.iter().map(|s| s.own.version.number()).collect()
}

#[test]
fn a_version_is_in_force_everywhere_and_status_says_so() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        for _ in 0..3 {
            let bundle = lab.bundle();
            lab.roll(&bundle).unwrap();
        }
        lab.wait_until_in_force().await.unwrap();
        assert_eq!(versions_in_force(&lab).await, [4, 4, 4]);
        let status = lab
            .command(&["bundle", "status", "--format", "json"])
            .unwrap();
        let rows: serde_json::Value = serde_json::from_str(&status).unwrap();
        for domain in rows.as_array().unwrap() {
            assert_eq!(
                (&domain["newest"], &domain["in_force"]),
                (&json!(4), &json!(4))
            );
            assert_eq!(domain["lagging"], json!([]));
        }
        let history = lab.command(&["bundle", "history"]).unwrap();
        assert_eq!(history.matches("operator").count(), 4);
    });
}

#[test]
fn of_two_concurrent_rolls_one_wins_and_the_other_error_names_the_winner() {
    run_serially(async {
        let lab = start_default_lab().await;
        let mut other_bundle = lab.bundle();
        other_bundle["address_keep_ms"] = json!(700);
        let first = lab.sign(&lab.bundle(), "operator").unwrap();
        let second = lab.sign(&other_bundle, "operator").unwrap();
        lab.roll_signed(&first).unwrap();
        let error = lab.roll_signed(&second).unwrap_err().to_string();
        assert!(
            error.contains("version 2 is the newest, signed off by operator"),
            "{error}"
        );
        let repeated = lab.roll_signed(&first);
        assert!(repeated.is_err(), "the same version was rolled twice");
    });
}

#[test]
fn a_version_that_does_not_follow_is_refused() {
    run_serially(async {
        let lab = start_default_lab().await;
        let mut bundle = lab.bundle();
        bundle["version"] = json!(9);
        let signed = lab.sign(&bundle, "operator").unwrap();
        let error = lab.roll_signed(&signed).unwrap_err().to_string();
        assert!(error.contains("the next one is 2, not 9"), "{error}");
    });
}

#[test]
fn a_roll_whose_answer_is_lost_is_settled_by_reading_back() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let lossy = PlatformFaults {
            lost_answer_percent: 100,
            ..PlatformFaults::default()
        };
        lab.set_platform_faults(&lossy).await;
        let bundle = lab.bundle();
        // The answers to the writes of the object and of the history are lost too; the row of the head decides whether
        // the version was rolled.
        let outcome = lab.roll(&bundle);
        lab.set_platform_faults(&PlatformFaults::default()).await;
        if outcome.is_err() {
            lab.roll(&bundle).unwrap();
        }
        lab.wait_until_in_force().await.unwrap();
        assert_eq!(versions_in_force(&lab).await, [2, 2, 2]);
    });
}

#[test]
fn every_entry_refuses_a_head_that_no_trusted_person_signed() {
    run_serially(async {
        let lab = start_default_lab().await;
        let platform = lab.platform();
        let table = HttpTableService::new(platform, TIMEOUT_MS);
        let objects = HttpObjectStore::new(platform, TIMEOUT_MS);
        let signed = lab.sign(&lab.bundle(), "operator").unwrap();
        let signed: serde_json::Value =
            serde_json::from_str(&std::fs::read_to_string(signed).unwrap()).unwrap();
        let body: pinhaven_bundle::Bundle = serde_json::from_value(signed["body"].clone()).unwrap();
        let body = pinhaven_bundle::CanonicalBundle::new(body);
        let key = bundle_object(body.digest());
        let written = objects.write(&key, body.bytes().to_vec());
        written.await.unwrap();
        let valid_head = json!({
            "version": 2,
            "digest": body.digest(),
            "signer": "operator",
            "signature": signed["signature"],
            "operation": "test",
        });
        let mut by_unknown_signer = valid_head.clone();
        by_unknown_signer["signer"] = json!("stranger");
        let mut unsigned = valid_head.clone();
        unsigned["signature"] = json!("");
        let mut altered_version = valid_head.clone();
        altered_version["version"] = json!(3);
        for head in [by_unknown_signer, unsigned, altered_version] {
            let row = table.read(BUNDLE_HEAD).await.unwrap().unwrap();
            let condition = Condition::Version(row.version);
            let written = table.write(BUNDLE_HEAD, condition, head.to_string());
            written.await.unwrap();
            let have_refused = async || {
                let statuses = lab.statuses().await;
                statuses.iter().all(|s| s.counters["bundle.refused"] > 0)
            };
            lab.wait_for("every entry to refuse", have_refused)
                .await
                .unwrap();
            assert_eq!(versions_in_force(&lab).await, [1, 1, 1], "{head}");
        }
    });
}

#[test]
fn a_head_that_goes_back_changes_nothing() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let table = HttpTableService::new(lab.platform(), TIMEOUT_MS);
        let first = table.read(BUNDLE_HEAD).await.unwrap().unwrap();
        let bundle = lab.bundle();
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        let current = table.read(BUNDLE_HEAD).await.unwrap().unwrap();
        let condition = Condition::Version(current.version);
        table
            .write(BUNDLE_HEAD, condition, first.value)
            .await
            .unwrap();
        sleep_ms(1_000).await;
        assert_eq!(versions_in_force(&lab).await, [2, 2, 2]);
    });
}

#[test]
fn a_version_spreads_while_the_object_store_is_down_once_one_entry_has_it() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let bundle = lab.bundle();
        // Entries 1 and 2 are suspended while entry 0 fetches the version; then the platform goes down.
        lab.entry(1).pause();
        lab.entry(2).pause();
        lab.roll(&bundle).unwrap();
        let has_version = async || {
            lab.status(0)
                .await
                .is_some_and(|s| s.own.version.number() == 2)
        };
        lab.wait_for("entry 0 to have version 2", has_version)
            .await
            .unwrap();
        lab.set_platform_faults(&PLATFORM_DOWN).await;
        lab.entry(1).resume();
        lab.entry(2).resume();
        let all_have_version = async || {
            let mut versions = Vec::new();
            for index in 0..3 {
                let address = lab.peer_address(index);
                versions.extend(lab.version_at(address).await);
            }
            versions == [2, 2, 2]
        };
        lab.wait_for("all entries to have version 2", all_have_version)
            .await
            .unwrap();
    });
}

#[test]
fn an_entry_that_starts_while_the_platform_is_down_fetches_the_version_from_its_peers() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let bundle = lab.bundle();
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        lab.set_platform_faults(&PLATFORM_DOWN).await;
        lab.kill_entry(2);
        let seeds = [lab.peer_address(0), lab.peer_address(1)];
        let address = lab
            .start_entry_with(2, json!({"peer_seeds": seeds}))
            .unwrap();
        let has_version = async || lab.version_at(address).await == Some(2);
        lab.wait_for("the new entry to have version 2", has_version)
            .await
            .unwrap();
    });
}

#[test]
fn an_entry_that_knows_no_version_serves_nothing_and_is_not_named() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        lab.set_platform_faults(&PLATFORM_DOWN).await;
        lab.kill_entry(2);
        let address = lab.start_entry_with(2, json!({})).unwrap();
        sleep_ms(1_000).await;
        assert_eq!(lab.version_at(address).await, Some(0));
        let state = lab.state_at(address).await;
        assert_eq!(state, Some(pinhaven_agree::MemberState::Starting));
    });
}
