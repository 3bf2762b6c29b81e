//! Faults in bundles: each fault is reported with its line, field and correction.

use pinhaven_bundle::read_bundle;
use pinhaven_document::Document;

const GOOD: &str = r#"{
    // The first version.
    "version": 1,
    "services": [
        {
            "name": "quote",
            "hosts": ["quote.example"],
            "slots": 6,
            "targets": [
                {"address": "127.0.0.1:9001", "failure_domain": "vienna-1"},
                {"address": "127.0.0.1:9002", "failure_domain": "vienna-2"},
            ],
        },
    ],
}"#;

fn faults(text: &str) -> Vec<(usize, String)> {
    let document = Document::new("bundle.json", text);
    let faults = read_bundle(&document).err().unwrap_or_default();
    for fault in &faults {
        assert!(!fault.help.is_empty(), "{fault}");
        assert!(fault.to_string().starts_with("bundle.json:"), "{fault}");
    }
    let line_and_field = |fault: pinhaven_document::Fault| (fault.line, fault.field);
    faults.into_iter().map(line_and_field).collect()
}

#[test]
fn a_good_bundle_with_comments_has_no_faults() {
    assert_eq!(faults(GOOD), []);
}

#[test]
fn each_fault_names_its_line_and_field() {
    // (text in the good bundle, replacement, line of the fault, field of the fault)
    let table = [
        ("\"version\": 1", "\"version\": 0", 3, "version"),
        ("\"slots\": 6", "\"slots\": 0", 8, "services[0].slots"),
        ("\"slots\": 6", "\"slots\": \"six\"", 8, "services[0].slots"),
        (
            "127.0.0.1:9002",
            "127.0.0.1:9001",
            11,
            "services[0].targets[1].address",
        ),
        (
            "127.0.0.1:9002",
            "localhost:9001",
            11,
            "services[0].targets[1].address",
        ),
        ("[\"quote.example\"]", "[]", 7, "services[0].hosts"),
        (
            "\"slots\": 6",
            "\"slots\": 6, \"priority\": 9",
            8,
            "services[0].priority",
        ),
        (
            "\"slots\": 6",
            "\"slots\": 6, \"measuring_budget_percent\": 101",
            8,
            "services[0].measuring_budget_percent",
        ),
        (
            "\"slots\": 6",
            "\"slots\": 6, \"not_run_statuses\": [503, 200]",
            8,
            "services[0].not_run_statuses[1]",
        ),
        (
            "\"name\": \"quote\"",
            "\"name\": \"quote service\"",
            6,
            "services[0].name",
        ),
    ];
    for (good, bad, line, field) in table {
        let text = GOOD.replacen(good, bad, 1);
        assert_eq!(faults(&text), [(line, field.to_owned())], "{bad}");
    }
}

#[test]
fn a_field_that_does_not_exist_is_a_fault() {
    let text = GOOD.replacen("\"slots\"", "\"slotz\": 1, \"slots\"", 1);
    let faults = faults(&text);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].0, 8);
}

#[test]
fn all_faults_are_named_at_once() {
    let text = GOOD
        .replacen("\"version\": 1", "\"version\": 0", 1)
        .replacen("\"slots\": 6", "\"slots\": 0", 1)
        .replacen("127.0.0.1:9002", "127.0.0.1:9001", 1);
    assert_eq!(faults(&text).len(), 3);
}

#[test]
fn text_that_is_no_json_names_its_line() {
    let faults = faults("{\n  \"version\": 1,\n  \"services\": [}\n");
    assert_eq!(faults[0].0, 3);
}

#[test]
fn an_empty_text_is_a_fault() {
    assert_eq!(faults("").len(), 1);
}
