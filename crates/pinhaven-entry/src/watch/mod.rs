//! Observability of this entry for operators.
//!
//! Input: counts, durations and state changes from all other modules. Output: metrics, the status and
//! lines of the record.

pub(crate) mod counters;
pub(crate) mod latencies;
pub(crate) mod metrics;
pub(crate) mod metrics_text;
pub(crate) mod organisations;
pub(crate) mod spill_over;
pub(crate) mod state_changes;
pub(crate) mod status;
pub(crate) mod steps;
