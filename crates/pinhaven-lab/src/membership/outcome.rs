//! Results of a run.

use crate::membership::plan::MembershipPlan;

/// Column heads of the table of results.
pub const HEADS: [&str; 12] = [
    "entries",
    "lost power",
    "lost datagrams",
    "store",
    "seed",
    "named for ms",
    "lost named, share",
    "running not named, share",
    "serving at once, most",
    "added attempts, share",
    "datagrams/s, median",
    "datagrams/s, busiest",
];

/// What the samples of all running entries show.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipOutcome {
    /// Time from the loss of power to the last sample at which any entry still named a lost one, in milliseconds.
    pub lost_named_for_ms: f64,
    /// Share of the samples after the loss that named a lost entry.
    pub lost_named_share: f64,
    /// Share of the entries that should be named, over all samples, that were not named although they ran. Samples in
    /// the first seconds after a loss don't count.
    pub running_unnamed_share: f64,
    /// Maximum number of entries that consider themselves serving at the same time.
    pub serving_max: usize,
    /// Maximum sum of the shares of the added attempts that the running entries may send; 1 is what all may send.
    pub added_attempts_max: f64,
    /// Datagrams that an entry sends per second, median and maximum over the entries.
    pub datagrams_per_s: (f64, f64),
}

/// Row of the table of results.
pub fn row(plan: &MembershipPlan, outcome: &MembershipOutcome) -> Vec<String> {
    let loss_share = plan.power_loss.map_or(0.0, |loss| loss.share);
    let (median, busiest) = outcome.datagrams_per_s;
    vec![
        plan.entries.to_string(),
        format!("{loss_share:.2}"),
        format!("{:.2}", plan.lost_datagrams),
        if plan.has_store { "there" } else { "away" }.to_owned(),
        plan.seed.to_string(),
        format!("{:.0}", outcome.lost_named_for_ms),
        format!("{:.4}", outcome.lost_named_share),
        format!("{:.4}", outcome.running_unnamed_share),
        outcome.serving_max.to_string(),
        format!("{:.2}", outcome.added_attempts_max),
        format!("{median:.1}"),
        format!("{busiest:.1}"),
    ]
}
