//! Rows of other writers: rows that are there and that nobody here could have written.
//!
//! Such a row costs itself and nothing else. It is left out, which is counted at every read, and told
//! in one log line for each key and reason, as a list is read several times a second. Only so many keys
//! are named, so that a writer of many can fill neither the log nor the memory.

use displaydoc::Display as DisplayDoc;
use parking_lot::Mutex;
use std::collections::BTreeMap;

/// Rows that are named one by one; all others are counted together.
const NAMED_ROWS_MAX: usize = 64;
/// Key that stands for those others.
const OTHER_KEYS: &str = "other";
/// The longest that a key or a message is told, in characters. A message may quote the row, which may
/// be large.
const LOGGED_CHARS_MAX: usize = 120;

/// What can't be used about a row.
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

/// Why a row can't be used: {reason}: {message}
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub struct RowFault {
    /// What can't be used about it.
    pub reason: ForeignReason,
    /// What is wrong with it.
    pub message: String,
}

impl std::error::Error for RowFault {}

impl RowFault {
    /// The key is no id, or not the one that the row names.
    pub fn key(message: impl ToString) -> Self {
        Self::new(ForeignReason::Key, message)
    }

    /// The bytes can't be had.
    pub fn encoding(message: impl ToString) -> Self {
        Self::new(ForeignReason::Encoding, message)
    }

    /// Fields are missing or of another type, or hold a name that is not known.
    pub fn form(message: impl ToString) -> Self {
        Self::new(ForeignReason::Form, message)
    }

    /// A number can't be.
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

/// A row of another writer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ForeignRow {
    /// Its table, or the start of its key where there is one table.
    pub table: String,
    /// What can't be used about it.
    pub reason: ForeignReason,
    /// Its key, shortened if it is long; `other` for all that are not named one by one.
    pub key: String,
}

/// All rows of other writers that were met.
#[derive(Debug, Default)]
pub struct ForeignRows {
    /// How often each was left out.
    counts: Mutex<BTreeMap<ForeignRow, u64>>,
}

impl ForeignRows {
    /// None were met.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that a read has left a row out.
    pub fn record_skipped(&self, table: &str, key: &str, fault: &RowFault) {
        let row = ForeignRow {
            table: table.to_owned(),
            reason: fault.reason,
            key: shortened(key),
        };
        let mut counts = self.counts.lock();
        if let Some(count) = counts.get_mut(&row) {
            *count += 1;
        } else if counts.len() < NAMED_ROWS_MAX {
            log_named(&row, fault);
            counts.insert(row, 1);
        } else {
            count_unnamed(&mut counts, row);
        }
    }

    /// How often each row was left out.
    pub fn counts(&self) -> BTreeMap<ForeignRow, u64> {
        self.counts.lock().clone()
    }
}

fn log_named(row: &ForeignRow, fault: &RowFault) {
    let message = shortened(&fault.message);
    log::warn!(
        target: "rows", "Row {:?} of {} is another writer's and left out, {}: {message}.",
        row.key, row.table, row.reason
    );
}

/// Counts a row past those that are named one by one.
fn count_unnamed(counts: &mut BTreeMap<ForeignRow, u64>, row: ForeignRow) {
    let other = ForeignRow {
        key: OTHER_KEYS.to_owned(),
        ..row
    };
    if let Some(count) = counts.get_mut(&other) {
        *count += 1;
        return;
    }
    log::warn!(
        target: "rows", "More rows of {} are left out, by their {}; they are only counted.",
        other.table, other.reason
    );
    counts.insert(other, 1);
}

/// The beginning of a text, with characters that a log line or a label may not hold replaced.
fn shortened(text: &str) -> String {
    let is_plain = |c: &char| c.is_ascii_graphic() || *c == ' ';
    let chars = text.chars().take(LOGGED_CHARS_MAX);
    let mut told: String = chars.map(|c| if is_plain(&c) { c } else { '?' }).collect();
    if text.chars().nth(LOGGED_CHARS_MAX).is_some() {
        told.push_str("...");
    }
    told
}
