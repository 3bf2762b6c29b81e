//! Counts of rows of other writers, which stay bounded whatever the number and content of the rows.
//!
//! Rows in a shared store may come from any writer. Without bounds, many or large rows would fill the memory, the log
//! and the metrics, and control characters in keys would break their lines.

use pinhaven_platform::ForeignReason;
use pinhaven_platform::ForeignRows;
use pinhaven_platform::RowFault;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::collections::BTreeSet;

#[test]
fn a_row_is_counted_by_key_and_reason_at_every_read() {
    let rows = ForeignRows::new();
    for _ in 0..3 {
        rows.record_skipped("servers", "i-1", &RowFault::form("missing field"));
    }
    rows.record_skipped("servers", "i-1", &RowFault::encoding("no base64"));
    let counts: Vec<(ForeignReason, u64)> = rows
        .counts()
        .into_iter()
        .map(|(row, count)| (row.reason, count))
        .collect();
    assert_eq!(
        counts,
        [(ForeignReason::Encoding, 1), (ForeignReason::Form, 3)]
    );
}

#[test]
fn rows_beyond_the_limit_are_counted_together_and_none_is_lost() {
    let rows = ForeignRows::new();
    for number in 0..10_000 {
        let key = format!("i-{number}");
        rows.record_skipped("servers", &key, &RowFault::form("missing field"));
    }
    let counts = rows.counts();
    assert!(counts.len() <= 70, "{}", counts.len());
    assert_eq!(counts.values().sum::<u64>(), 10_000);
    let other = counts.iter().find(|(row, _)| row.key == "other");
    assert_eq!(other.map(|(_, count)| *count), Some(10_000 - 64));
}

#[test]
fn keys_are_truncated_and_printable() {
    fn is_printable(keys: Vec<String>) -> bool {
        let rows = ForeignRows::new();
        for key in keys.iter().chain([&"k".repeat(60_000)]) {
            rows.record_skipped("servers", key, &RowFault::key("no id"));
        }
        let truncated: BTreeSet<String> = rows.counts().into_keys().map(|row| row.key).collect();
        let is_printable = |key: &String| key.chars().all(|c| c.is_ascii_graphic() || c == ' ');
        truncated
            .iter()
            .all(|key| key.len() <= 130 && is_printable(key))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 75))
        .quickcheck(is_printable as fn(Vec<String>) -> bool);
}
