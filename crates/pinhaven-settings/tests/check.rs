//! Faults in settings: all faults are reported at once, each with its line.

use pinhaven_document::Document;
use pinhaven_settings::read_settings;

const GOOD: &str = r#"{
    "instance_id": "vienna-1-entry-1", // A name of its own.
    "failure_domain": "vienna-1",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "table_address": "127.0.0.1:7000",
    "object_address": "127.0.0.1:7001",
    "trusted_signers": [
        {
            "name": "ada",
            "public_key": "2152f8d19b791d24453242e15f2eab6cb7cffa7b6a5ed30097960e069881db12",
        },
    ],
}"#;

fn faults(text: &str) -> Vec<(usize, String)> {
    let document = Document::new("entry.json", text);
    let faults = read_settings(&document).err().unwrap_or_default();
    let line_and_field = |fault: pinhaven_document::Fault| (fault.line, fault.field);
    faults.into_iter().map(line_and_field).collect()
}

#[test]
fn good_settings_have_no_faults() {
    assert_eq!(faults(GOOD), []);
}

#[test]
fn each_fault_names_its_line_and_field() {
    let more = |fields: &str| GOOD.replacen("\"trusted", &format!("{fields}\n    \"trusted"), 1);
    let table = [
        (more("\"worker_threads\": 0,"), 8, "worker_threads"),
        (more("\"worker_threads\": 65,"), 8, "worker_threads"),
        (more("\"gossip_ms\": 0,"), 8, "gossip_ms"),
        (more("\"crossing_cost\": -1,"), 8, "crossing_cost"),
        (
            more("\"log\": {\"levels\": {\"proxy\": \"loud\"}},"),
            8,
            "log.levels.proxy",
        ),
        (
            more("\"resources\": {\"link_mbps\": 0},"),
            8,
            "resources.link_mbps",
        ),
        (GOOD.replacen("8081", "8080", 1), 5, "peer_address"),
        (
            GOOD.replacen("127.0.0.1:7000", "table", 1),
            6,
            "table_address",
        ),
        (
            GOOD.replacen("2152f8", "xyz", 1),
            11,
            "trusted_signers[0].public_key",
        ),
    ];
    for (text, line, field) in table {
        assert_eq!(faults(&text), [(line, field.to_owned())]);
    }
}

#[test]
fn all_faults_are_named_at_once() {
    let text = GOOD.replacen(
        "\"trusted",
        "\"worker_threads\": 0, \"gossip_ms\": 0, \"stop_most_ms\": 0,\n    \"trusted",
        1,
    );
    assert_eq!(faults(&text).len(), 3);
}

#[test]
fn settings_without_a_trusted_signer_could_accept_no_bundle() {
    let start = GOOD.find('[').unwrap();
    let end = GOOD.rfind(']').unwrap();
    let text = format!("{}{}", &GOOD[..=start], &GOOD[end..]);
    assert_eq!(faults(&text), [(8, "trusted_signers".to_owned())]);
}
