//! Resources that a request holds while it is in flight.

use crate::entry::BodyMemory;
use crate::entry::InFlight;

/// Resources held until the caller has received its complete answer.
#[derive(Default)]
pub(crate) struct RequestGuard {
    /// Counts the request as in flight.
    pub(crate) _in_flight: Option<InFlight>,
    /// Memory reserved for the request's body.
    pub(crate) _memory: Option<BodyMemory>,
}
