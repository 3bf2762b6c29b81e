//! Failure domains that operators drain and restore with the command line.

mod common;

use common::assert_no_faults;
use common::run_serially;
use common::start_caller;
use common::start_default_lab;
use pinhaven_lab::Lab;
use pinhaven_runtime::sleep_ms;

/// Time after which requests and probes that were under way at the order have ended, in milliseconds.
const SETTLE_MS: u64 = 500;

/// Gives an order about failure domain `domain-a`.
fn order(lab: &Lab, order: &str) -> Result<String, String> {
    let key = lab.folder().join("operator.key").display().to_string();
    let words = [
        "domains", order, "domain-a", "--signer", "operator", "--key", &key,
    ];
    lab.command(&words).map_err(|error| error.to_string())
}

/// Number of requests and probes that the targets of failure domain `domain-a` have received.
async fn received(lab: &Lab) -> u64 {
    let mut received = 0;
    for target in lab.targets(0).iter().step_by(3) {
        let counts = lab.target_counts(*target).await;
        received += counts.started + counts.refused + counts.probes;
    }
    received
}

async fn wait_until_in_force(lab: &Lab, version: u64) {
    lab.wait_until_all_have(version).await.unwrap();
    sleep_ms(SETTLE_MS).await;
}

#[test]
fn a_drained_domain_gets_nothing_until_it_is_restored() {
    run_serially(async {
        let lab = start_default_lab().await;
        let calls = start_caller(&lab, 6_000, |settings| settings.rate_per_s = 100.0).await;
        order(&lab, "drain").unwrap();
        wait_until_in_force(&lab, 2).await;
        let before = received(&lab).await;
        sleep_ms(1_000).await;
        assert_eq!(received(&lab).await, before, "requests to a drained domain");
        let listed = lab.command(&["domains", "list"]).unwrap();
        assert!(listed.contains("drained"), "{listed}");
        assert_eq!(listed.matches("3 of 3 entries").count(), 3, "{listed}");
        order(&lab, "restore").unwrap();
        wait_until_in_force(&lab, 3).await;
        let before = received(&lab).await;
        sleep_ms(1_000).await;
        assert!(received(&lab).await > before, "no request after the return");
        let report = calls.await;
        assert_eq!(report.repeatable.answered, report.repeatable.sent);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn an_order_that_is_repeated_rolls_no_version() {
    run_serially(async {
        let lab = start_default_lab().await;
        assert!(
            order(&lab, "restore")
                .unwrap()
                .contains("in use in version 1")
        );
        assert!(
            order(&lab, "drain")
                .unwrap()
                .contains("drained from version 2 on")
        );
        assert!(
            order(&lab, "drain")
                .unwrap()
                .contains("drained in version 2")
        );
        wait_until_in_force(&lab, 2).await;
    });
}

#[test]
fn a_domain_without_targets_can_not_be_drained() {
    run_serially(async {
        let lab = start_default_lab().await;
        let key = lab.folder().join("operator.key").display().to_string();
        let words = [
            "domains", "drain", "nowhere", "--signer", "operator", "--key", &key,
        ];
        let error = lab.command(&words).unwrap_err().to_string();
        assert!(
            error.contains("no target of the newest version is in failure domain nowhere"),
            "{error}"
        );
        assert!(
            lab.command(&["domains", "list"])
                .unwrap()
                .contains("in use")
        );
    });
}
