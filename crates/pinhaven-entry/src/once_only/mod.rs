//! Requests that may run at most once and carry a key.
//!
//! Input is a [`Job`](crate::callers::job::Job). This entry dispatches the job if it is the home of the
//! job's key, and otherwise relays it to the home. Called by `callers` for callers' requests and by `peers`
//! for requests that other entries relay.

pub(crate) mod claim_rate;
pub(crate) mod claims;
pub(crate) mod execute;
pub(crate) mod relay_client;
pub(crate) mod relay_server;
