//! The latest known run of each target. A run is one process lifetime of a target.
//!
//! The store may receive a write of an earlier run after a write of a later run, and lists may arrive
//! out of order. The latest run of an id is therefore remembered, also while the id is missing from the
//! list.

use crate::listed_target::ListedTarget;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::collections::BTreeMap;

/// How long a run is remembered after it was last listed. Late writes and lists arrive within seconds,
/// or within the duration of a store outage.
const RETENTION: Microseconds = Microseconds::from_ms(600_000);

/// The latest run of one target.
#[derive(Debug, Clone, Copy)]
struct LatestRun {
    incarnation: TargetIncarnation,
    /// Whether the run was listed as leaving.
    has_left: bool,
    listed_at: Microseconds,
}

/// The latest run of each target that reports its start time.
#[derive(Debug, Default)]
pub(crate) struct LatestRuns(BTreeMap<TargetId, LatestRun>);

impl LatestRuns {
    /// Records the targets of a list received at `now`, and removes runs that were not listed for
    /// [`RETENTION`].
    pub(crate) fn record<'list>(
        &mut self,
        listed: impl Iterator<Item = &'list ListedTarget>,
        now: Microseconds,
    ) {
        for target in listed {
            self.record_target(target, now);
        }
        self.0
            .retain(|_, run| now.saturating_sub(run.listed_at) < RETENTION);
    }

    /// Records a target that is known to run at `now`.
    pub(crate) fn record_target(&mut self, target: &ListedTarget, now: Microseconds) {
        let Some(incarnation) = target.incarnation else {
            return;
        };
        let listed = LatestRun {
            incarnation,
            has_left: target.is_leaving,
            listed_at: now,
        };
        let Some(known) = self.0.get_mut(&target.id) else {
            self.0.insert(target.id.clone(), listed);
            return;
        };
        known.listed_at = now;
        if incarnation > known.incarnation {
            *known = listed;
        } else if incarnation == known.incarnation {
            known.has_left |= target.is_leaving;
        }
    }

    /// Whether a later run of the target is known.
    pub(crate) fn is_superseded(
        &self,
        id: &TargetId,
        incarnation: Option<TargetIncarnation>,
    ) -> bool {
        let latest = self.0.get(id).map(|run| run.incarnation);
        incarnation.is_some() && latest > incarnation
    }

    /// Whether this run of the target was listed as leaving. Leaving is final for a run: a store row of the same run
    /// that arrives afterwards and lists the target as ready was written before.
    pub(crate) fn has_left(&self, target: &ListedTarget) -> bool {
        let latest = self.0.get(&target.id);
        latest.is_some_and(|run| run.has_left && Some(run.incarnation) == target.incarnation)
    }
}
