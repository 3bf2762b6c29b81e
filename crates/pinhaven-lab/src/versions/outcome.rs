//! What came of a run.

use crate::versions::plan::VersionsPlan;

/// What an entry met.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryOutcome {
    /// Time from the last acknowledgement until the last version came into force; `None` if it did not.
    pub in_force_ms: Option<f64>,
    /// Whether it holds an older version at the end.
    pub is_behind: bool,
    /// Whether it lived to the end.
    pub is_alive: bool,
    /// Bytes that it received from peers.
    pub peer_bytes: u64,
    /// Bytes that it received from the store.
    pub store_bytes: u64,
    /// Processor time, on a whole core.
    pub processor_ms: f64,
    /// Memory for versions at its peak, computed.
    pub memory_peak_bytes: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Tries to get a version that failed.
    pub failed_tries: u64,
    /// Times that a peer had no room for it.
    pub busy_answers: u64,
    /// Longest time for which it knew of a newer version and none came into force.
    pub longest_wait_ms: f64,
}

/// What came of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionsOutcome {
    /// By entry.
    pub entries: Vec<EntryOutcome>,
    /// When the run ended, after the last acknowledgement.
    pub ended_ms: f64,
}

impl VersionsOutcome {
    /// Living entries that have not got the last version.
    pub fn behind(&self) -> Vec<usize> {
        let is_behind = |entry: &EntryOutcome| entry.is_alive && entry.is_behind;
        let entries = self.entries.iter().enumerate();
        let behind = entries.filter(|(_, entry)| is_behind(entry));
        behind.map(|(index, _)| index).collect()
    }

    /// Time within which a share of the living entries that lacked the last version had it; `None` if fewer
    /// ever had.
    pub fn in_force_ms(&self, share: f64) -> Option<f64> {
        let lacked = |entry: &&EntryOutcome| entry.is_behind || entry.in_force_ms.is_some();
        let living = self.entries.iter().filter(|entry| entry.is_alive);
        let mut times_ms: Vec<f64> = living
            .filter(lacked)
            .map(|entry| entry.in_force_ms.unwrap_or(f64::INFINITY))
            .collect();
        times_ms.sort_by(f64::total_cmp);
        let index = ((times_ms.len() as f64 * share).ceil() as usize).max(1) - 1;
        times_ms
            .get(index)
            .copied()
            .filter(|time_ms| time_ms.is_finite())
    }

    /// Longest time for which a living entry knew of a newer version and none came into force.
    pub fn longest_wait_ms(&self) -> f64 {
        let living = self.entries.iter().filter(|entry| entry.is_alive);
        living
            .map(|entry| entry.longest_wait_ms)
            .fold(0.0, f64::max)
    }

    fn mean(&self, of: impl Fn(&EntryOutcome) -> f64) -> f64 {
        self.entries.iter().map(of).sum::<f64>() / self.entries.len().max(1) as f64
    }

    fn max(&self, of: impl Fn(&EntryOutcome) -> f64) -> f64 {
        self.entries.iter().map(of).fold(0.0, f64::max)
    }
}

/// Heads of a table of runs.
pub const HEADS: [&str; 16] = [
    "change",
    "transfer",
    "routes",
    "entries",
    "Mbit/s",
    "p50 s",
    "p99 s",
    "last s",
    "behind",
    "sent away, mean",
    "peer KB, mean",
    "store KB, mean",
    "CPU ms, mean",
    "CPU ms, most",
    "MB, most",
    "store calls",
];

/// A row of that table. A time that was not reached by the end stands as "never".
pub fn row(names: [String; 2], plan: &VersionsPlan, outcome: &VersionsOutcome) -> Vec<String> {
    let seconds = |share: f64| match outcome.in_force_ms(share) {
        Some(time_ms) => format!("{:.2}", time_ms / 1_000.0),
        None => "never".to_owned(),
    };
    let kilobytes = |bytes: f64| format!("{:.1}", bytes / 1_000.0);
    let figures = [
        plan.routes.to_string(),
        plan.entries.to_string(),
        format!("{}", plan.link_mbps),
        seconds(0.5),
        seconds(0.99),
        seconds(1.0),
        outcome.behind().len().to_string(),
        format!("{:.0}", outcome.mean(|entry| entry.busy_answers as f64)),
        kilobytes(outcome.mean(|entry| entry.peer_bytes as f64)),
        kilobytes(outcome.mean(|entry| entry.store_bytes as f64)),
        format!("{:.1}", outcome.mean(|entry| entry.processor_ms)),
        format!("{:.1}", outcome.max(|entry| entry.processor_ms)),
        format!(
            "{:.1}",
            outcome.max(|entry| entry.memory_peak_bytes as f64) / 1e6
        ),
        format!(
            "{:.0}",
            outcome
                .entries
                .iter()
                .map(|entry| entry.store_calls)
                .sum::<u64>()
        ),
    ];
    names.into_iter().chain(figures).collect()
}
