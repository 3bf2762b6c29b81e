//! The decisions in emulated time, against targets like the users': a round of seconds takes a moment
//! and is the same each time.
//!
//! What is emulated: targets that turn slow and back, slow down when nearly full and fall silent when
//! full; entries that tell each other counts and reports in rounds; callers that come back after a
//! refusal. What is not: processor time, connections, losses, the store. Where that leads to other
//! figures than the users' bench, docs/MEASUREMENTS.md says.

mod entry;
mod orders;
mod outcome;
mod plan;
mod queue;
mod target;
mod world;

pub use orders::OrderTally;
pub use outcome::Tally;
pub use plan::Change;
pub use plan::Day;
pub use plan::Deployment;
pub use plan::EmulationPlan;
pub use plan::RequestKind;
pub use target::TargetPlan;

/// Plays a plan.
pub fn emulate(plan: &EmulationPlan) -> Tally {
    world::World::new(plan).run()
}

/// Heads of a table of emulations.
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

/// A row of that table.
pub fn row(names: [String; 3], tally: &Tally) -> Vec<String> {
    let asked = tally.requests.max(1) as f64;
    let percent = |count: u64| format!("{:.1}", count as f64 * 100.0 / asked);
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
