//! What operators see of this entry.
//!
//! Counts, times and beliefs come in from everywhere; metrics, status and lines of the record go out.

pub(crate) mod counters;
pub(crate) mod latencies;
pub(crate) mod metrics;
pub(crate) mod metrics_text;
pub(crate) mod state_changes;
pub(crate) mod status;
