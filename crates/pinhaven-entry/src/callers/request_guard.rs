//! What is held while a request is under way.

use crate::entry::BodyMemory;
use crate::entry::InFlight;

/// What is held until the caller has its whole answer.
#[derive(Default)]
pub(crate) struct RequestGuard {
    /// The request's place among those under way.
    pub(crate) _in_flight: Option<InFlight>,
    /// The memory of its body.
    pub(crate) _memory: Option<BodyMemory>,
}
