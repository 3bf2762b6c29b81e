//! Versions on their way to all entries, in emulated time: a run of minutes takes moments and is the same each
//! time.
//!
//! What is real: the bundles, differences and packages with their sizes; which peer is asked for which part, and
//! what is kept of a part that came; how much an entry gives; who counts as live and who speaks with the store.
//! What is emulated: links that carry bytes in order at their rate, shared by all that an instance sends and
//! receives; a share of a core that is charged the measured cost of each step, one after the other; news, as
//! datagrams to the audiences that entries have; the store. The driver that stands between these in an entry is
//! written out again here, step by step. What is left out: requests of callers, lists of targets, the store's
//! list of entries, and the tables that an entry builds from a version for its own use.

mod carrier;
mod costs;
mod fetching;
mod giving;
mod history;
mod instance;
mod message;
mod news;
mod outcome;
mod plan;
mod store;
mod world;

pub use costs::Costs;
pub use outcome::EntryOutcome;
pub use outcome::HEADS;
pub use outcome::VersionsOutcome;
pub use outcome::row;
pub use plan::Transfer;
pub use plan::VersionChange;
pub use plan::VersionFault;
pub use plan::VersionsPlan;

/// Plays a plan.
pub fn emulate(plan: &VersionsPlan) -> VersionsOutcome {
    world::World::new(plan).run()
}
