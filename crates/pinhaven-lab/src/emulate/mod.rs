//! Runs the decision code of entries in emulated time, against emulated targets like the users'. A run of
//! several seconds completes in a moment, and the same plan and seed give the same result.
//!
//! Emulated are targets whose speed changes, which slow down when nearly full and reject or ignore requests
//! when full; entries that exchange in-flight counts and load reports at a fixed interval; and callers that
//! retry after a refusal. Not emulated are processor time, connections, packet loss and the store.
//! docs/MEASUREMENTS.md says where the results therefore differ from the users' own measurements.

mod domains;
mod entry;
mod locality;
mod orders;
mod outcome;
mod overload;
mod plan;
mod queue;
mod shared;
mod slot_use;
mod target;
mod world;

pub use domains::BodySizes;
pub use domains::CrossingTally;
pub use domains::DomainChange;
pub use domains::DomainPlan;
pub use domains::TargetsState;
pub use locality::LOCALITY_HEADS;
pub use locality::LocalityDay;
pub use locality::locality_row;
pub use orders::OrderTally;
pub use outcome::Tally;
pub use overload::OVERLOAD_HEADS;
pub use overload::overload_row;
pub use plan::Change;
pub use plan::Day;
pub use plan::Deployment;
pub use plan::EmulationPlan;
pub use plan::RequestKind;
pub use shared::ColdPlan;
pub use shared::OrganisationPlan;
pub use slot_use::SlotTime;
pub use slot_use::SlotUse;
pub use target::TargetPlan;

/// Runs a plan and returns its statistics.
pub fn emulate(plan: &EmulationPlan) -> Tally {
    world::World::new(plan).run()
}

/// Column heads of the table of results.
pub const HEADS: [&str; 12] = [
    "deployment",
    "day",
    "policy",
    "credit",
    "worst 2 s",
    "in time %",
    "refused %",
    "p50 ms",
    "p99 ms",
    "added %",
    "rests",
    "broken",
];

/// Formats the statistics of a run as a row of the table of results.
pub fn row(names: [String; 3], tally: &Tally) -> Vec<String> {
    let requests = tally.requests.max(1) as f64;
    let percent = |count: u64| format!("{:.1}", count as f64 * 100.0 / requests);
    let figures = [
        format!("{:.3}", tally.credit()),
        format!("{:.3}", tally.worst_credit()),
        percent(tally.in_time),
        percent(tally.refused),
        format!("{:.1}", tally.latency_ms(0.5)),
        format!("{:.1}", tally.latency_ms(0.99)),
        percent(tally.added),
        tally.orders.rests.to_string(),
        (tally.orders.rests_broken + tally.orders.arrivals_after_leave).to_string(),
    ];
    names.into_iter().chain(figures).collect()
}
