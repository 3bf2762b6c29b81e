//! Counts of calls to a store, by step and table. Every call costs, so the counts show what the calls were made for.

use crate::PlatformStep;
use parking_lot::Mutex;
use std::collections::BTreeMap;

/// Purpose of calls to a store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreCall {
    /// What the calls did.
    pub step: PlatformStep,
    /// Table that the calls read or wrote.
    pub table: String,
}

/// Counts of calls, refused and unanswered ones included.
#[derive(Debug, Default)]
pub struct StoreCalls {
    counts: Mutex<BTreeMap<StoreCall, u64>>,
}

impl StoreCalls {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a call begins.
    pub fn record(&self, step: PlatformStep, table: &str) {
        log::debug!(target: "store", "Calling the store: {step} {table}.");
        let call = StoreCall {
            step,
            table: table.to_owned(),
        };
        *self.counts.lock().entry(call).or_default() += 1;
    }

    /// Number of calls by purpose.
    pub fn counts(&self) -> BTreeMap<StoreCall, u64> {
        self.counts.lock().clone()
    }
}
