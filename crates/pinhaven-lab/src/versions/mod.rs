//! Emulates how versions reach all entries. Time is emulated, so that a run of minutes takes moments and is
//! deterministic.
//!
//! A run takes a [`VersionsPlan`] and returns a [`VersionsOutcome`].
//!
//! The run uses the code of a real entry for the bundles, differences and packages with their sizes, the choice of the
//! peer and part to request, the reuse of received parts, the transfer budget, membership and the choice of store
//! delegates.
//!
//! The run emulates links that carry bytes in order at their rate and are shared by everything that an entry sends and
//! receives; a share of a core that is charged the cost of each step, one step at a time; the datagrams between
//! entries, to the recipients that an entry chooses; and the store. The driver that connects these parts in an entry
//! is reimplemented here, step by step.
//!
//! The run leaves out the requests of callers, lists of targets, the store's list of entries, and the tables that an
//! entry builds from a version for its own use.

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

/// Runs a plan in emulated time.
pub fn emulate(plan: &VersionsPlan) -> VersionsOutcome {
    world::World::new(plan).run()
}
