//! Membership of many entries in emulated time: who is named to callers while entries are lost.
//!
//! The entries run the membership, the selection of recipients and the selection of passed-on heartbeats of real
//! entries. Datagrams arrive after a fixed latency or are lost. The store holds the rows of the delegates.
//!
//! Each entry is sampled at fixed intervals, as if a caller asked it for addresses. The outcome shows for how long
//! after their loss entries were still named, and how often running entries that serve were not.

mod outcome;
mod plan;
mod world;

pub use outcome::HEADS;
pub use outcome::MembershipOutcome;
pub use outcome::row;
pub use plan::MembershipPlan;
pub use plan::PowerLoss;

/// Runs a plan. The same plan gives the same outcome each time.
pub fn emulate(plan: &MembershipPlan) -> MembershipOutcome {
    world::World::new(plan).run()
}
