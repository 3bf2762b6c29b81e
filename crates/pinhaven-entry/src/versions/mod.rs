//! The version in force, and how a new one comes in.
//!
//! Bundles come in from the platform or a peer; a [`Snapshot`](snapshot::Snapshot) goes out, which a request reads as a
//! whole. Run as tasks by `start`.

pub(crate) mod bundles;
pub(crate) mod discovered;
pub(crate) mod fetch;
pub(crate) mod reload;
pub(crate) mod serve;
pub(crate) mod service_entry;
pub(crate) mod snapshot;
pub(crate) mod store_pace;
