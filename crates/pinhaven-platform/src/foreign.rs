//! Rows of other writers: rows whose key or content pinhaven and its targets never write.
//!
//! Such a row is skipped and doesn't affect the other rows. It is counted at each read, but logged only once per key
//! and reason, because lists are read several times a second. The number of keys that are logged and counted one by one
//! is limited, so that a writer of many rows can't fill the log or the memory.

use displaydoc::Display as DisplayDoc;
use parking_lot::Mutex;
use std::collections::BTreeMap;

/// Maximum number of rows that are logged and counted one by one. Further rows are counted together.
const NAMED_ROWS_MAX: usize = 64;
/// Key of the rows that are counted together.
const OTHER_KEYS: &str = "other";
/// Maximum length of a key or a message in the log and in metrics, in characters. A message may quote the row, which
/// may be large.
const LOGGED_CHARS_MAX: usize = 120;

/// Part of a row that is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, DisplayDoc)]
pub enum ForeignReason {
    /// key
    Key,
    /// encoding
    Encoding,
    /// form
    Form,
    /// number
    Number,
}

/// invalid row, {reason}: {message}
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct RowFault {
    /// Part of the row that is invalid.
    pub reason: ForeignReason,
    /// Description of the fault.
    pub message: String,
}

impl std::error::Error for RowFault {}

impl RowFault {
    /// The key is not a valid id, or differs from the id in the row.
    pub fn key(message: impl ToString) -> Self {
        Self::new(ForeignReason::Key, message)
    }

    /// The bytes of the value can't be decoded.
    pub fn encoding(message: impl ToString) -> Self {
        Self::new(ForeignReason::Encoding, message)
    }

    /// Fields are missing, have the wrong type or contain an unknown name.
    pub fn form(message: impl ToString) -> Self {
        Self::new(ForeignReason::Form, message)
    }

    /// A number is out of its valid range.
    pub fn number(message: impl ToString) -> Self {
        Self::new(ForeignReason::Number, message)
    }

    fn new(reason: ForeignReason, message: impl ToString) -> Self {
        Self {
            reason,
            message: message.to_string(),
        }
    }
}

/// A row of another writer, by table, reason and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ForeignRow {
    /// Table of the row, or the key prefix of its kind if the store has a single table.
    pub table: String,
    /// Part of the row that is invalid.
    pub reason: ForeignReason,
    /// Key of the row, truncated if it is long; `other` for the rows that are counted together.
    pub key: String,
}

/// Counts of the rows of other writers that were skipped.
#[derive(Debug, Default)]
pub struct ForeignRows {
    /// Number of times each row was skipped.
    counts: Mutex<BTreeMap<ForeignRow, u64>>,
}

impl ForeignRows {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a read skipped a row.
    pub fn record_skipped(&self, table: &str, key: &str, fault: &RowFault) {
        let row = ForeignRow {
            table: table.to_owned(),
            reason: fault.reason,
            key: truncated(key),
        };
        let mut counts = self.counts.lock();
        if let Some(count) = counts.get_mut(&row) {
            *count += 1;
        } else if counts.len() < NAMED_ROWS_MAX {
            log_row(&row, fault);
            counts.insert(row, 1);
        } else {
            count_other(&mut counts, row);
        }
    }

    /// Number of times each row was skipped.
    pub fn counts(&self) -> BTreeMap<ForeignRow, u64> {
        self.counts.lock().clone()
    }
}

fn log_row(row: &ForeignRow, fault: &RowFault) {
    let message = truncated(&fault.message);
    log::warn!(
        target: "rows", "Row {:?} of {} is skipped as another writer's, invalid {}: {message}.",
        row.key, row.table, row.reason
    );
}

/// Counts a row beyond [`NAMED_ROWS_MAX`] under [`OTHER_KEYS`].
fn count_other(counts: &mut BTreeMap<ForeignRow, u64>, row: ForeignRow) {
    let other = ForeignRow {
        key: OTHER_KEYS.to_owned(),
        ..row
    };
    if let Some(count) = counts.get_mut(&other) {
        *count += 1;
        return;
    }
    log::warn!(
        target: "rows", "Further rows of {} with an invalid {} are skipped and counted, but not logged.",
        other.table, other.reason
    );
    counts.insert(other, 1);
}

/// Truncates a text and replaces characters that are not allowed in a log line or a label.
fn truncated(text: &str) -> String {
    let is_plain = |c: &char| c.is_ascii_graphic() || *c == ' ';
    let chars = text.chars().take(LOGGED_CHARS_MAX);
    let mut plain: String = chars.map(|c| if is_plain(&c) { c } else { '?' }).collect();
    if text.chars().nth(LOGGED_CHARS_MAX).is_some() {
        plain.push_str("...");
    }
    plain
}
