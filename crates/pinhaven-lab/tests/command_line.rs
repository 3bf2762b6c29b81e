//! The command line: output, error messages and exit codes.

mod common;

use common::run_serially;
use common::start_default_lab;
use pinhaven_lab::Process;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

/// Runs the program `pinhaven` and returns its output.
fn pinhaven(args: &[&str]) -> Output {
    let program = Process::program("pinhaven");
    Command::new(program).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file into the folder of this test process and returns its path.
fn write_file(name: &str, content: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pinhaven-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join(name);
    std::fs::write(&file, content).unwrap();
    file
}

fn check(kind: &str, file: &Path) -> Output {
    pinhaven(&[kind, "check", &file.display().to_string()])
}

#[test]
fn faults_in_a_bundle_are_all_printed_with_their_lines() {
    let content = "{\n  \"version\": 0,\n  \"address_keep_ms\": 1,\n  \"services\": []\n}\n";
    let file = write_file("bad-bundle.json", content);
    let output = check("bundle", &file);
    assert_eq!(output.status.code(), Some(1));
    let errors = text(&output.stderr);
    assert!(errors.contains("bad-bundle.json:2: version: "), "{errors}");
    assert!(
        errors.contains("bad-bundle.json:3: address_keep_ms: "),
        "{errors}"
    );
}

#[test]
fn a_file_that_is_not_there_is_a_clear_error() {
    for kind in ["bundle", "settings"] {
        let output = check(kind, Path::new("/nowhere/file.json"));
        assert_eq!(output.status.code(), Some(1));
        assert!(text(&output.stderr).contains("/nowhere/file.json"));
    }
}

#[test]
fn an_entry_with_bad_settings_does_not_start() {
    let file = write_file("bad-settings.json", "{\"instance_id\": \"x y\"}");
    let output = pinhaven(&["entry", "--settings", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("instance_id"));
}

#[test]
fn invalid_arguments_exit_with_2_and_help_exits_with_0() {
    assert_eq!(pinhaven(&["bundle", "rol"]).status.code(), Some(2));
    assert_eq!(pinhaven(&[]).status.code(), Some(2));
    assert_eq!(pinhaven(&["--help"]).status.code(), Some(0));
}

#[test]
fn completions_name_the_commands() {
    let output = pinhaven(&["completions", "bash"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("instances"));
}

#[test]
fn a_key_file_is_never_written_over() {
    let file = write_file("held.key", "secret");
    let output = pinhaven(&["bundle", "key", "--out", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(std::fs::read_to_string(file).unwrap(), "secret");
}

#[test]
fn a_platform_that_does_not_answer_is_a_clear_error() {
    let output = pinhaven(&["instances", "--table", "127.0.0.1:1", "--timeout-ms", "300"]);
    assert_eq!(output.status.code(), Some(1));
    let errors = text(&output.stderr);
    assert!(
        errors.contains("listing rows pinhaven/entries/ at 127.0.0.1:1"),
        "{errors}"
    );
    assert!(errors.contains("help: "), "{errors}");
}

#[test]
fn instances_and_targets_are_listed_for_people_and_programs() {
    run_serially(async {
        let lab = start_default_lab().await;
        let table = lab.command(&["instances"]).unwrap();
        assert_eq!(table.matches("ready").count(), 3, "{table}");
        let rows = lab.command(&["instances", "--format", "json"]).unwrap();
        let rows: serde_json::Value = serde_json::from_str(&rows).unwrap();
        assert_eq!(rows.as_array().unwrap().len(), 3);
        assert_eq!(rows[0]["promises_broken"], 0);
        let rows = lab.command(&["targets", "--service", "quote", "--format", "json"]);
        let rows: serde_json::Value = serde_json::from_str(&rows.unwrap()).unwrap();
        assert_eq!(rows.as_array().unwrap().len(), 6);
        assert_eq!(rows[0]["entries_live"], 3);
    });
}

/// Records of two entries: both see a target drain, one sends a request to that target, which sheds it, and refuses
/// another request. The last line is no record.
const RECORDS: &str = r#"
{"time_s": 10.0, "part": "target", "event": "draining", "target": "i-1", "instance": "e1"}
{"time_s": 10.5, "part": "target", "event": "draining", "target": "i-1", "instance": "e2"}
{"time_s": 11.0, "part": "request", "event": "sent", "id": "r-1", "instance": "e1", "target": "i-1", "version": "7"}
{"time_s": 11.002, "part": "request", "event": "ended", "id": "r-1", "instance": "e1", "outcome": "shed"}
{"time_s": 11.1, "part": "request", "event": "refused", "id": "r-2", "instance": "e1", "reason": "overloaded"}
this is no record
"#;

#[test]
fn a_request_is_explained_with_what_its_entry_knew() {
    let file = write_file("records.log", RECORDS);
    let output = pinhaven(&["explain", "r-1", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let printed = text(&output.stdout);
    assert!(printed.contains("request r-1 at e1"), "{printed}");
    assert!(
        printed.contains("-1000.0 ms  target draining  target=i-1"),
        "{printed}"
    );
    assert!(
        printed.contains("+2.0 ms  request ended  outcome=shed"),
        "{printed}"
    );
    assert!(
        !printed.contains("-500.0 ms"),
        "another entry's state: {printed}"
    );
    assert!(
        !printed.contains("overloaded"),
        "another request: {printed}"
    );
    assert!(text(&output.stderr).contains("1 lines are no records"));
}

/// Records of a request that was refused because the targets of its service had ordered a rest or were leaving, and of
/// a rest that a target of another service ordered.
const RECORDS_OF_ORDERS: &str = r#"
{"time_s": 9.0, "part": "target", "event": "told_rest", "target": "i-1", "service": "quote", "instance": "e1", "source": "answer", "rest_ms": 3000}
{"time_s": 9.1, "part": "target", "event": "told_leaving", "target": "i-2", "service": "quote", "instance": "e1", "source": "entry"}
{"time_s": 9.2, "part": "target", "event": "told_rest", "target": "i-9", "service": "other", "instance": "e1", "source": "answer", "rest_ms": 3000}
{"time_s": 10.0, "part": "request", "event": "refused", "id": "r-1", "instance": "e1", "service": "quote", "reason": "resting"}
"#;

#[test]
fn a_request_that_no_target_got_is_explained_with_what_targets_of_its_service_asked_for() {
    let file = write_file("records-orders.log", RECORDS_OF_ORDERS);
    let output = pinhaven(&["explain", "r-1", &file.display().to_string()]);
    let printed = text(&output.stdout);
    assert!(
        printed.contains("-1000.0 ms  target told_rest"),
        "{printed}"
    );
    assert!(
        printed.contains("-900.0 ms  target told_leaving"),
        "{printed}"
    );
    assert!(!printed.contains("i-9"), "another service: {printed}");
    let output = pinhaven(&[
        "report",
        &file.display().to_string(),
        "--out",
        &file.with_extension("svg").display().to_string(),
    ]);
    let printed = text(&output.stdout);
    assert!(printed.contains("target told_leaving i-2"), "{printed}");
    assert!(printed.contains("target told_rest i-1 e1"), "{printed}");
}

#[test]
fn a_request_of_which_nothing_is_recorded_is_a_clear_error() {
    let file = write_file("records-none.log", RECORDS);
    let output = pinhaven(&["explain", "r-3", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("no line tells of request \"r-3\""));
}

#[test]
fn a_report_is_drawn_from_records() {
    let file = write_file("records-report.log", RECORDS);
    let out = file.with_extension("svg");
    let args = [file.display().to_string(), out.display().to_string()];
    let output = pinhaven(&["report", &args[0], "--out", &args[1]]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("target draining i-1"));
    assert!(std::fs::read_to_string(&out).unwrap().contains("<svg"));
}

/// Records of two entries, of which `e2` is behind by one version.
const RECORDS_BEHIND: &str = r#"
{"time_s": 10.0, "part": "bundle", "event": "in_force", "version": "6", "instance": "e1"}
{"time_s": 10.1, "part": "bundle", "event": "in_force", "version": "6", "instance": "e2"}
{"time_s": 12.0, "part": "bundle", "event": "in_force", "version": "7", "instance": "e1"}
{"time_s": 13.5, "part": "bundle", "event": "behind", "version": "7", "behind_ms": 1250.0, "tries": 2, "why": "no answer in time", "instance": "e2"}
"#;

#[test]
fn a_report_names_an_entry_that_is_behind() {
    let file = write_file("records-behind.log", RECORDS_BEHIND);
    let out = file.with_extension("svg");
    let args = [file.display().to_string(), out.display().to_string()];
    let output = pinhaven(&["report", &args[0], "--out", &args[1]]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    let expected = "BEHIND: e2 holds version 6, knows of 7, the newest anywhere is 7; since 2.25 s, \
                    last line at 3.50 s; 2 tries failed, the last: no answer in time";
    assert!(printed.contains(expected), "{printed}");
    assert!(!printed.contains("BEHIND: e1"), "{printed}");
}

#[test]
fn the_digest_of_a_key_is_printed_and_a_text_that_is_no_key_is_not_repeated() {
    let digest_of = |input: &str| {
        let mut command = Command::new(Process::program("pinhaven"));
        command.args(["bundle", "key-digest"]);
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(input.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap()
    };
    // SHA-256 of "abc" from FIPS 180-2.
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    for input in ["abc", "abc\n", "abc\r\n"] {
        assert_eq!(text(&digest_of(input).stdout), expected);
    }
    let long = "k".repeat(513);
    for input in ["", "\n", "secret key\n", "secret\n\n", &long] {
        let output = digest_of(input);
        assert_eq!(output.status.code(), Some(1), "{input:?}");
        assert_eq!(text(&output.stdout), "");
        assert!(!text(&output.stderr).contains("secret"), "{input:?}");
    }
}

#[test]
fn a_request_that_was_refused_for_its_key_is_explained() {
    let records = r#"{"time_s": 11.0, "part": "request", "event": "refused", "id": "r-1", "instance": "e1",
        "reason": "unknown_key", "run": "not-run", "status": 401, "version": "7"}"#;
    let file = write_file("refused-key.log", &records.replace('\n', ""));
    let output = pinhaven(&["explain", "r-1", &file.display().to_string()]);
    let printed = text(&output.stdout);
    assert!(
        printed.contains("request r-1 at e1: version 7\n"),
        "{printed}"
    );
    assert!(printed.contains("reason=unknown_key"), "{printed}");
    assert!(printed.contains("pinhaven bundle key-digest"), "{printed}");
}
