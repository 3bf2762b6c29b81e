//! Days of a deployment over several failure domains, and the table of what crosses on each of them.

use super::domains::BodySizes;
use super::domains::DomainChange;
use super::domains::DomainPlan;
use super::domains::TargetsState;
use super::outcome::Tally;
use super::plan::EmulationPlan;
use super::plan::RequestKind;
use super::target::TargetPlan;
use pinhaven_bundle::Policy;
use pinhaven_types::CrossingCost;

/// Number of failure domains.
const DOMAINS: usize = 4;
/// Number of targets in each domain.
const TARGETS_PER_DOMAIN: usize = 24;
/// Number of serving entries in each domain.
const ENTRIES_PER_DOMAIN: usize = 2;
/// Swing of a domain's demand; as the users specify.
const SWING: f64 = 0.55;
/// Time between two peaks of a domain, in milliseconds.
const PERIOD_MS: f64 = 12_000.0;
/// Start and end of a change, in milliseconds.
const CHANGE_BETWEEN_MS: (f64, f64) = (4_000.0, 9_000.0);

/// What happens to the failure domains during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum LocalityDay {
    /// Callers use all entries, and the load is even.
    Even,
    /// Callers use the entries of their own domain, and each domain has its peak at another time.
    Peaks,
    /// Of one domain's callers 0.8 move, while 0.4 of a domain's targets leave and another's are six times slower.
    CallersMove,
    /// The targets of a domain are drained.
    Drained,
    /// The targets of a domain are cold.
    Cold,
}

/// Column heads of the table of crossings.
pub const LOCALITY_HEADS: [&str; 8] = [
    "day",
    "far attempts %",
    "far bytes %",
    "in time %",
    "worst 2 s",
    "refused %",
    "p99 ms",
    "added %",
];

/// Formats a run as a row of the table of crossings.
pub fn locality_row(name: String, tally: &Tally) -> Vec<String> {
    let requests = tally.requests.max(1) as f64;
    let percent = |share: f64| format!("{:.2}", share * 100.0);
    vec![
        name,
        percent(tally.crossings.far_share()),
        percent(tally.crossings.far_bytes_share()),
        percent(tally.in_time as f64 / requests),
        format!("{:.3}", tally.worst_credit()),
        percent(tally.refused as f64 / requests),
        format!("{:.1}", tally.latency_ms(0.99)),
        percent(tally.added as f64 / requests),
    ]
}

impl EmulationPlan {
    /// Plan for a day of a deployment over several failure domains. Targets are like those of the users that are five
    /// times slower for 150 ms.
    pub fn for_locality(
        day: LocalityDay,
        crossing_cost: Option<CrossingCost>,
        load: f64,
        seed: u64,
    ) -> Self {
        let kind = |share, work_ms, aim_ms, is_repeatable| RequestKind {
            share,
            work_ms,
            aim_ms,
            deadline_ms: aim_ms * 6,
            is_repeatable,
            priority: 1,
            worth: 1.0,
        };
        let body = |request_bytes, answer_bytes| BodySizes {
            request_bytes,
            answer_bytes,
        };
        Self {
            target: TargetPlan {
                slots: 2,
                queue_max: 4,
                slow_share: 0.3,
                slow_factor: 5.0,
                speed_change_ms: 150.0,
                knee: (0.8, 1.7),
                has_fixed_speed: true,
                is_silent_when_full: false,
            },
            targets: DOMAINS * TARGETS_PER_DOMAIN,
            kinds: vec![
                // Searches, small calls and uploads.
                kind(0.6, 88.0, 250, true),
                kind(0.3, 220.0, 600, true),
                kind(0.1, 300.0, 3_000, false),
            ],
            load,
            entries: DOMAINS * ENTRIES_PER_DOMAIN,
            domains: Some(DomainPlan {
                domains: DOMAINS,
                crossing_cost,
                has_near_entries: day != LocalityDay::Even,
                swing: if day == LocalityDay::Even { 0.0 } else { SWING },
                period_ms: PERIOD_MS,
                bodies: vec![body(300, 5_000), body(500, 500), body(60_000, 200)],
                changes: changes_of(day),
            }),
            length_ms: PERIOD_MS,
            ..Self::new(
                super::plan::Deployment::Kept,
                super::plan::Day::Quiet,
                Policy::Forecast,
                seed,
            )
        }
    }
}

fn changes_of(day: LocalityDay) -> Vec<DomainChange> {
    let targets = |domain, share, state| DomainChange::Targets {
        domain,
        share,
        state,
        between_ms: CHANGE_BETWEEN_MS,
    };
    match day {
        LocalityDay::Even | LocalityDay::Peaks => Vec::new(),
        LocalityDay::CallersMove => vec![
            DomainChange::CallersMove {
                from: 0,
                to: 1,
                share: 0.8,
                between_ms: CHANGE_BETWEEN_MS,
            },
            targets(1, 0.4, TargetsState::Gone),
            targets(2, 1.0, TargetsState::Slow(6.0)),
        ],
        LocalityDay::Drained => vec![targets(1, 1.0, TargetsState::Drained)],
        LocalityDay::Cold => vec![targets(1, 1.0, TargetsState::Cold)],
    }
}
