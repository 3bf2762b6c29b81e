//! How many requests an instance can carry.
//!
//! An estimate from what the instance has, so that entries of different sizes can be told apart before
//! any request has come. It need not be exact: it decides which entries serve and how callers spread
//! over them.

use pinhaven_settings::ResourceSettings;
use pinhaven_types::RequestRate;

/// Processor time of a request, in microseconds; from the users' days, answers of 1 to 5 KB and news
/// between entries included.
const PROCESSOR_US_PER_REQUEST: f64 = 700.0;
/// Share of the processor that requests may use. The rest is for bursts.
const PROCESSOR_SHARE: f64 = 0.6;
/// Bytes that a request brings over the link in each direction, on average over the users' kinds of
/// requests; the uploads among them make up half.
const LINK_BYTES_PER_REQUEST: f64 = 8_000.0;
/// Share of the link that requests may use. Uploads come in pieces of some hundred kilobytes, which
/// the others wait behind.
const LINK_SHARE: f64 = 0.25;
/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// What an instance with these resources can carry.
pub(crate) fn capacity_of(resources: &ResourceSettings) -> RequestRate {
    let cores = resources.processor_cores * resources.processor_speed;
    let by_processor = cores * 1_000_000.0 * PROCESSOR_SHARE / PROCESSOR_US_PER_REQUEST;
    let by_link = resources.link_mbps * BYTES_PER_MEGABIT * LINK_SHARE / LINK_BYTES_PER_REQUEST;
    RequestRate::new(by_processor.min(by_link).max(1.0) as u32)
}
