//! Estimate of an instance's request capacity.
//!
//! The estimate is computed from the resources of the instance, so that entries of different sizes can
//! be compared before any request arrives. An approximate value suffices: it determines which entries
//! serve and how callers are distributed over them.

use pinhaven_settings::ResourceSettings;
use pinhaven_types::RequestRate;

/// Processor time of a request with an answer of 1 to 5 KB, in microseconds. Includes the request's
/// share of the datagrams between entries.
const PROCESSOR_US_PER_REQUEST: f64 = 700.0;
/// Share of the processor that requests may use. The rest is reserved for bursts.
const PROCESSOR_SHARE: f64 = 0.6;
/// Mean number of bytes that a request transfers over the link in each direction. Uploads account for
/// half of them.
const LINK_BYTES_PER_REQUEST: f64 = 8_000.0;
/// Share of the link that requests may use. Uploads arrive in chunks of some hundred kilobytes, which
/// delay the other requests.
const LINK_SHARE: f64 = 0.25;
/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Estimated request rate that an instance with these resources can sustain.
pub(crate) fn capacity_of(resources: &ResourceSettings) -> RequestRate {
    let cores = resources.processor_cores * resources.processor_speed;
    let by_processor = cores * 1_000_000.0 * PROCESSOR_SHARE / PROCESSOR_US_PER_REQUEST;
    let by_link = resources.link_mbps * BYTES_PER_MEGABIT * LINK_SHARE / LINK_BYTES_PER_REQUEST;
    RequestRate::new(by_processor.min(by_link).max(1.0) as u32)
}
