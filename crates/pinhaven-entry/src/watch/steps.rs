//! Durations of the steps of work that delay everything else.
//!
//! Deployments run an entry with one thread and a share of a core. While a step runs, no request, new version, leave of a
//! target or heartbeat is handled. The metrics tell which step is long, and the log tells when the entry did not run at all.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_runtime::sleep_ms;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Interval at which an entry checks that it runs, in milliseconds.
const CHECK_MS: u64 = 100;
/// Lateness of a check from which the entry counts as paused.
const PAUSE_MIN: Duration = Duration::from_millis(300);

/// Step of work that runs without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum Step {
    /// Applies a datagram of a peer, without its counts of admitted requests.
    Datagram,
    /// Applies the counts of admitted requests of a peer.
    Counts,
    /// Updates what depends on which peers are live.
    Peers,
    /// Puts a version in force.
    Version,
    /// Applies a changed list of targets.
    Targets,
    /// Builds the package of a version for a peer.
    Package,
}

const STEP_NAMES: [&str; 6] = [
    "datagram", "counts", "peers", "version", "targets", "package",
];

#[derive(Debug, Default)]
struct StepTime {
    count: AtomicU64,
    total_us: AtomicU64,
    longest_us: AtomicU64,
    /// Longest duration since the last check.
    recent_longest_us: AtomicU64,
}

/// Durations of all steps.
#[derive(Debug, Default)]
pub(crate) struct StepTimes([StepTime; STEP_NAMES.len()]);

impl StepTimes {
    /// Runs a step and records its duration.
    pub(crate) fn record<T>(&self, step: Step, work: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let result = work();
        let duration_us = began.elapsed().as_micros() as u64;
        let time = &self.0[step as usize];
        time.count.fetch_add(1, Ordering::Relaxed);
        time.total_us.fetch_add(duration_us, Ordering::Relaxed);
        time.longest_us.fetch_max(duration_us, Ordering::Relaxed);
        time.recent_longest_us
            .fetch_max(duration_us, Ordering::Relaxed);
        result
    }

    /// Returns the name and duration of the longest step since the last call.
    fn take_longest(&self) -> (&'static str, Duration) {
        let recent = STEP_NAMES.iter().zip(&self.0).map(|(name, time)| {
            let longest_us = time.recent_longest_us.swap(0, Ordering::Relaxed);
            (*name, Duration::from_micros(longest_us))
        });
        let longest = recent.max_by_key(|(_, duration)| *duration);
        longest.unwrap_or(("none", Duration::ZERO))
    }

    /// Returns the durations as lines of the Prometheus text format.
    pub(crate) fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (name, time) in STEP_NAMES.iter().zip(&self.0) {
            let count = time.count.load(Ordering::Relaxed);
            let total_ms = time.total_us.load(Ordering::Relaxed) as f64 / 1_000.0;
            let longest_ms = time.longest_us.load(Ordering::Relaxed) as f64 / 1_000.0;
            lines.extend([
                format!("pinhaven_step_ms_count{{step=\"{name}\"}} {count}"),
                format!("pinhaven_step_ms_sum{{step=\"{name}\"}} {total_ms:.1}"),
                format!("pinhaven_step_ms_max{{step=\"{name}\"}} {longest_ms:.1}"),
            ]);
        }
        lines
    }
}

impl Entry {
    /// Logs and counts the pauses in which this entry did not run. Runs until the process exits.
    pub(crate) async fn watch_pauses(self: Arc<Self>) {
        loop {
            let began = Instant::now();
            sleep_ms(CHECK_MS).await;
            let late = began
                .elapsed()
                .saturating_sub(Duration::from_millis(CHECK_MS));
            let (step, duration) = self.steps.take_longest();
            if late < PAUSE_MIN {
                continue;
            }
            self.counters.add(Count::Pauses);
            self.counters
                .add_many(Count::PausedMs, late.as_millis() as u64);
            self.record_event("entry", "paused");
            log::warn!(
                target: "entry",
                "This entry did not run for {} ms; its longest step, {step}, took {} ms.",
                late.as_millis(), duration.as_millis()
            );
        }
    }
}
