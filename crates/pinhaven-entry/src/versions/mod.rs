//! The version in force, and the ways in which new versions arrive.
//!
//! The input are bundles from the platform, the store or a peer; the output is a [`Snapshot`](snapshot::Snapshot),
//! which each request reads as a whole. `start` spawns the tasks.

pub(crate) mod bundles;
pub(crate) mod discovered;
pub(crate) mod fetch;
pub(crate) mod organisations;
pub(crate) mod reload;
pub(crate) mod serve;
pub(crate) mod service_entry;
pub(crate) mod snapshot;
pub(crate) mod store_pace;
