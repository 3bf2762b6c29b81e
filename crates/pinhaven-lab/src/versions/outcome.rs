//! Results of a run, by entry and as a row of a table.

use crate::versions::plan::VersionsPlan;

/// Result of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryOutcome {
    /// Time from the last acknowledgement until the last version came into force; `None` if the version did not.
    pub in_force_ms: Option<f64>,
    /// Whether the entry holds an older version at the end.
    pub is_behind: bool,
    /// Whether the entry is alive at the end.
    pub is_alive: bool,
    /// Bytes received from peers.
    pub peer_bytes: u64,
    /// Bytes received from the store.
    pub store_bytes: u64,
    /// Processor time, on a whole core.
    pub processor_ms: f64,
    /// Estimated peak memory for versions and packages.
    pub memory_peak_bytes: u64,
    /// Polls of the store.
    pub store_calls: u64,
    /// Failed attempts to fetch a version.
    pub failed_tries: u64,
    /// Requests that a peer refused because it was busy.
    pub busy_answers: u64,
    /// Longest time during which the entry knew of a newer version and put none in force.
    pub longest_wait_ms: f64,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionsOutcome {
    /// Results by entry.
    pub entries: Vec<EntryOutcome>,
    /// Time from the last acknowledgement to the end of the run.
    pub ended_ms: f64,
}

impl VersionsOutcome {
    /// Live entries that don't have the last version.
    pub fn behind(&self) -> Vec<usize> {
        let is_behind = |entry: &EntryOutcome| entry.is_alive && entry.is_behind;
        let entries = self.entries.iter().enumerate();
        let behind = entries.filter(|(_, entry)| is_behind(entry));
        behind.map(|(index, _)| index).collect()
    }

    /// Time within which a share of the live entries that had to fetch the last version received it; `None` if fewer
    /// entries received the version.
    pub fn in_force_ms(&self, share: f64) -> Option<f64> {
        let had_to_fetch = |entry: &&EntryOutcome| entry.is_behind || entry.in_force_ms.is_some();
        let live = self.entries.iter().filter(|entry| entry.is_alive);
        let mut times_ms: Vec<f64> = live
            .filter(had_to_fetch)
            .map(|entry| entry.in_force_ms.unwrap_or(f64::INFINITY))
            .collect();
        times_ms.sort_by(f64::total_cmp);
        let index = ((times_ms.len() as f64 * share).ceil() as usize).max(1) - 1;
        times_ms
            .get(index)
            .copied()
            .filter(|time_ms| time_ms.is_finite())
    }

    /// Longest time during which a live entry knew of a newer version and put none in force.
    pub fn longest_wait_ms(&self) -> f64 {
        let live = self.entries.iter().filter(|entry| entry.is_alive);
        live.map(|entry| entry.longest_wait_ms).fold(0.0, f64::max)
    }

    fn mean(&self, of: impl Fn(&EntryOutcome) -> f64) -> f64 {
        self.entries.iter().map(of).sum::<f64>() / self.entries.len().max(1) as f64
    }

    fn max(&self, of: impl Fn(&EntryOutcome) -> f64) -> f64 {
        self.entries.iter().map(of).fold(0.0, f64::max)
    }
}

/// Column heads of a table of runs.
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

/// Row of the table with [`HEADS`]. A time that was not reached by the end of the run is printed as "never".
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
