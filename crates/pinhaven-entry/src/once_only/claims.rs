//! Claims: homes of once-only requests whose callers name no home.
//!
//! The first entry that inserts the row of a key becomes the key's home, and the row is never changed
//! afterwards. If the response to the write is lost, the entry reads the row to learn which home it names.
//! Each claim costs a write to the table, so the rate of claims is limited, and requests above the limit
//! are refused as "not run".

use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::problem::Problem;
use displaydoc::Display as DisplayDoc;
use http::StatusCode;
use pinhaven_agree::Home;
use pinhaven_platform::CLAIM_PREFIX;
use pinhaven_platform::Condition;
use pinhaven_platform::PlatformError;
use pinhaven_platform::RowFault;
use pinhaven_platform::TableService;
use pinhaven_types::Digest;

/// Retry delay sent to callers whose claim was refused or failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// a claim failed: {0}
#[derive(Debug, DisplayDoc)]
struct ClaimFailed(String);

/// Returns the home of a key; this entry becomes the home if the key has none.
///
/// # Errors
///
/// Returns a "not run" problem if the rate of claims is exceeded or the claim can't be written or read.
pub(crate) async fn home_of(entry: &Entry, key: Digest) -> Result<Home, Problem> {
    if !entry.claim_slots.take(entry.now()) {
        entry.counters.add(Count::ClaimRate);
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_rate",
            "too many once-only requests name no home; ask for entries and name one",
        )
        .with_retry_after_ms(RETRY_AFTER_MS));
    }
    match claim(entry, key).await {
        Ok(home) => Ok(home),
        Err(ClaimFailed(message)) => {
            entry.counters.add(Count::ClaimFailed);
            // This request is never dispatched, whether or not the write took effect.
            Err(
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_failed", message)
                    .with_retry_after_ms(RETRY_AFTER_MS),
            )
        }
    }
}

async fn claim(entry: &Entry, key: Digest) -> Result<Home, ClaimFailed> {
    let row_key = format!("{CLAIM_PREFIX}{key}");
    let own = entry.home();
    let written = entry
        .table
        .write(&row_key, Condition::Absent, own.to_string())
        .await;
    match entry.count_platform(written) {
        Ok(_) => {
            entry.counters.add(Count::ClaimWritten);
            Ok(own)
        }
        Err(PlatformError::NoEffect { message, .. }) => Err(ClaimFailed(message)),
        // The row may hold another entry's claim, or this one if only the response to its write was lost.
        Err(PlatformError::Conflict { .. } | PlatformError::Unknown { .. }) => {
            read_home(entry, &row_key).await
        }
    }
}

async fn read_home(entry: &Entry, row_key: &str) -> Result<Home, ClaimFailed> {
    let read = entry.table.read(row_key).await;
    match entry.count_platform(read) {
        Ok(Some(row)) => row.value.parse().map_err(|error| {
            let fault = RowFault::form(error);
            entry.table.record_skipped(CLAIM_PREFIX, row_key, &fault);
            ClaimFailed(format!("row {row_key} names no home"))
        }),
        Ok(None) => Err(ClaimFailed("the claim could not be settled".to_owned())),
        Err(error) => Err(ClaimFailed(error.to_string())),
    }
}
