//! Requests that may run at most once and carry a key.
//!
//! A [`Job`](crate::callers::job::Job) comes in; it is dispatched here if this entry is its home, and else handed to the
//! entry that is. Called by `callers`, and by `peers` for what other entries relay.

pub(crate) mod claim_rate;
pub(crate) mod claims;
pub(crate) mod execute;
pub(crate) mod relay_client;
pub(crate) mod relay_server;
