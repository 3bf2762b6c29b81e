//! Entries that serve by an older version are found from records.
//!
//! Guards against a report that omits an entry which never learned of a newer version: such an entry records nothing
//! about it, and only the records of the other entries show the difference.

use pinhaven_record::EntryBehind;
use pinhaven_record::entries_behind;
use pinhaven_record::read_lines;

fn behind(text: &str) -> Vec<EntryBehind> {
    let (lines, invalid) = read_lines(text);
    assert_eq!(invalid, 0);
    entries_behind(&lines)
}

#[test]
fn an_entry_that_can_not_get_a_version_is_named_with_what_it_told() {
    let found = behind(
        r#"
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e1"}
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e2"}
        {"time_s": 166.0, "part": "bundle", "event": "in_force", "version": "19", "instance": "e2"}
        {"time_s": 167.0, "part": "bundle", "event": "behind", "version": "19", "behind_ms": 1000.0, "tries": 1, "why": "timeout", "instance": "e1"}
        {"time_s": 169.0, "part": "bundle", "event": "behind", "version": "19", "behind_ms": 3000.0, "tries": 4, "why": "busy", "instance": "e1"}
    "#,
    );
    assert_eq!(
        found,
        [EntryBehind {
            instance: "e1".to_owned(),
            held: Some(15),
            known: Some(19),
            newest: Some(19),
            since_s: 166.0,
            last_line_s: 169.0,
            failed_tries: 4,
            why: "busy".to_owned(),
        }]
    );
}

#[test]
fn an_entry_that_never_heard_of_a_version_is_behind_since_another_had_it() {
    let found = behind(
        r#"
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e1"}
        {"time_s": 166.0, "part": "bundle", "event": "in_force", "version": "18", "instance": "e2"}
        {"time_s": 168.0, "part": "bundle", "event": "in_force", "version": "19", "instance": "e2"}
        {"time_s": 170.0, "part": "target", "event": "gone", "target": "i-1", "instance": "e1"}
    "#,
    );
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].instance, "e1");
    assert_eq!(found[0].known, None);
    assert_eq!(found[0].newest, Some(19));
    assert!((found[0].since_s - 166.0).abs() < 1e-6);
    assert!((found[0].last_line_s - 170.0).abs() < 1e-6);
}

#[test]
fn an_entry_that_got_its_version_or_has_stopped_is_not_behind() {
    let found = behind(
        r#"
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e1"}
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e3"}
        {"time_s": 101.0, "part": "bundle", "event": "behind", "version": "16", "behind_ms": 5.0, "tries": 1, "why": "busy", "instance": "e1"}
        {"time_s": 101.2, "part": "entry", "event": "stopped", "instance": "e3"}
        {"time_s": 102.0, "part": "bundle", "event": "in_force", "version": "16", "instance": "e1"}
        {"time_s": 102.0, "part": "bundle", "event": "behind", "version": "16", "behind_ms": 0.0, "tries": 1, "why": "late", "instance": "e1"}
    "#,
    );
    assert_eq!(found, []);
}

#[test]
fn an_entry_that_started_anew_holds_nothing_of_before() {
    let found = behind(
        r#"
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e1"}
        {"time_s": 101.0, "part": "entry", "event": "stopped", "instance": "e1"}
        {"time_s": 102.0, "part": "entry", "event": "started", "instance": "e1"}
    "#,
    );
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].held, None);
}

#[test]
fn tries_for_an_earlier_version_do_not_count_for_a_later_one() {
    let found = behind(
        r#"
        {"time_s": 100.0, "part": "bundle", "event": "in_force", "version": "15", "instance": "e1"}
        {"time_s": 103.0, "part": "bundle", "event": "behind", "version": "17", "behind_ms": 900.0, "tries": 8, "why": "busy", "instance": "e1"}
        {"time_s": 104.0, "part": "bundle", "event": "in_force", "version": "16", "instance": "e1"}
    "#,
    );
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].held, found[0].known), (Some(16), Some(17)));
    assert_eq!((found[0].failed_tries, found[0].why.as_str()), (0, ""));
    assert!((found[0].since_s - 104.0).abs() < 1e-6);
}
