//! Recent runs of a service's targets.
//!
//! Recent runs distinguish a restarted target from a new one, also when the target was missing from the list in
//! between, as a crashed target is.

use crate::target::TargetState;
use pinhaven_bundle::Target;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::collections::HashMap;
use std::sync::Arc;

/// How long a run is remembered after it was last listed. A target that restarts later counts as new.
const RETENTION: Microseconds = Microseconds::from_ms(60_000);

#[derive(Debug, Clone, Copy)]
struct RecentRun {
    incarnation: TargetIncarnation,
    last_seen_at: Microseconds,
}

/// The last run of each target that has an id and an incarnation.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentRuns(HashMap<TargetId, RecentRun>);

impl RecentRuns {
    /// The recent runs after a version ends at `now`: those still remembered, and those of the version's targets.
    pub(crate) fn at_version_end(&self, targets: &[Arc<TargetState>], now: Microseconds) -> Self {
        let mut runs = self.clone();
        runs.0
            .retain(|_, run| now.saturating_sub(run.last_seen_at) < RETENTION);
        for target in targets {
            let (Some(id), Some(incarnation)) = (target.id(), target.incarnation()) else {
                continue;
            };
            let run = RecentRun {
                incarnation,
                last_seen_at: now,
            };
            runs.0.insert(id.clone(), run);
        }
        runs
    }

    /// Whether an earlier run of the target is remembered.
    pub(crate) fn has_earlier_run(&self, target: &Target) -> bool {
        let recent = target.id.as_ref().and_then(|id| self.0.get(id));
        recent.is_some_and(|run| target.incarnation > Some(run.incarnation))
    }
}
