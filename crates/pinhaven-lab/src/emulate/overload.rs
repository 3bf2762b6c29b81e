//! Table of overloads: what is answered within the aim, and what the slots of targets were used for.

use super::outcome::Tally;
use super::slot_use::SlotUse;

/// Column heads of the table of overloads.
pub const OVERLOAD_HEADS: [&str; 13] = [
    "day",
    "requests",
    "in aim",
    "in aim %",
    "late %",
    "refused %",
    "worst tenth %",
    "refused tries %",
    "slots in aim %",
    "late %",
    "added %",
    "cancelled %",
    "cold %",
];

/// Formats the mean of several runs as a row of the table of overloads.
pub fn overload_row(name: String, tallies: &[Tally]) -> Vec<String> {
    let runs = tallies.len().max(1) as f64;
    let mean = |count: fn(&Tally) -> u64| {
        let total: u64 = tallies.iter().map(count).sum();
        total as f64 / runs
    };
    let requests = mean(|tally| tally.requests).max(1.0);
    let tries = requests + mean(|tally| tally.caller_retries);
    let percent = |part: f64, whole: f64| format!("{:.1}", part * 100.0 / whole.max(1.0));
    let in_time = mean(|tally| tally.in_time);
    let worst: f64 = tallies.iter().map(Tally::worst_organisations).sum();
    let uses = [
        SlotUse::InTime,
        SlotUse::Late,
        SlotUse::Added,
        SlotUse::Cancelled,
        SlotUse::Cold,
    ];
    let use_ms = uses.map(|slot_use| -> f64 {
        let times = tallies.iter().map(|tally| tally.slot_time.of_ms(slot_use));
        times.sum()
    });
    let total_ms: f64 = use_ms.iter().sum();
    let mut row = vec![
        name,
        format!("{requests:.0}"),
        format!("{in_time:.0}"),
        percent(in_time, requests),
        percent(mean(|tally| tally.late), requests),
        percent(mean(|tally| tally.refused), requests),
        percent(worst, runs),
        percent(mean(|tally| tally.refusals), tries),
    ];
    row.extend(use_ms.map(|of_use_ms| percent(of_use_ms, total_ms)));
    row
}
