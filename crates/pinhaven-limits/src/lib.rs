//! Rate limits of organisations over all entries.
//!
//! A limit holds for the requests of an organisation at all entries together, while its callers spread over the entries
//! at random, concentrate on one, or send several times the limit from one instant to the next. Each entry decides alone,
//! by a token bucket that its own admissions drain at once and the admissions of its peers when their counts arrive.
//! Between two counts of a peer, an entry estimates what the peer admits; a peer that is not heard keeps its share of the
//! limit, because it may be serving callers on the other side of a partition.
//!
//! The code does no I/O and has no clock: times and counts of peers are passed in. [`OrganisationLimits`] can be used from
//! several threads.

mod advertised;
mod estimate;
mod limits;
mod organisation;
mod peers;
mod places;
mod use_meter;

pub use advertised::AdvertisedCounts;
pub use limits::OrganisationLimits;
pub use limits::OrganisationUse;

use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use pinhaven_types::OrganisationName;

/// Short hash of an organisation's name, by which entries identify it in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

impl OrganisationKey {
    /// The key of an organisation.
    pub fn new(organisation: &OrganisationName) -> Self {
        Self(Digest::of(organisation.as_str().as_bytes()).short() as u32)
    }
}

/// Part of the slack that doesn't depend on the limit, in requests.
pub(crate) const FIXED_SLACK: f64 = 20.0;

/// Limit of the requests of an organisation at all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Sustained rate, in requests per second.
    pub requests_per_s: f64,
    /// Number of requests beyond the rate that may come at once after a pause.
    pub burst: f64,
}

impl Limit {
    /// Requests by which the sum over all entries may exceed the limit in any 5 s.
    pub(crate) fn slack(&self) -> f64 {
        0.1 * (5.0 * self.requests_per_s + self.burst) + FIXED_SLACK
    }
}

/// Number of requests of an organisation that an entry has admitted since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationCount {
    /// The organisation.
    pub key: OrganisationKey,
    /// Number of requests, less those that never reached a target, modulo 2^32.
    pub count: u32,
}

/// Refusal of a request because its organisation is at its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// Time after which there will be capacity for the request.
    pub retry_after: Microseconds,
}
