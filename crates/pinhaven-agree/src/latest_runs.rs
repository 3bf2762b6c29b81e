//! The latest known run of each target. A run is one process lifetime of a target.
//!
//! The store may receive a write of an earlier run after a write of a later run, and lists may arrive
//! out of order. The latest run of an id is therefore remembered, also while the id is missing from the
//! list.
//!
//! A run that is alive writes its row every second or two. If the store lists an earlier run for longer than that, the
//! later one was never there: another writer wrote its row.

use crate::listed_target::ListedTarget;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::collections::BTreeMap;

/// How long a run is remembered after it was last listed. Late writes and lists arrive within seconds,
/// or within the duration of a store outage.
const RETENTION: Microseconds = Microseconds::from_ms(600_000);

/// Time for which the store must list an earlier run, without a sign of the latest one, until the earlier run takes its
/// place. Targets are removed from the store after 4.5 s without a write.
const UNSEEN_MAX: Microseconds = Microseconds::from_ms(5_000);

/// The latest run of one target.
#[derive(Debug, Clone, Copy)]
struct LatestRun {
    incarnation: TargetIncarnation,
    /// Whether the run was listed as leaving.
    has_left: bool,
    /// Time at which the id was last listed, with any run.
    listed_at: Microseconds,
    /// Time since which lists have named an earlier run, without a sign of this one.
    contradicted_since: Option<Microseconds>,
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
            contradicted_since: None,
        };
        let Some(known) = self.0.get_mut(&target.id) else {
            self.0.insert(target.id.clone(), listed);
            return;
        };
        known.listed_at = now;
        if incarnation > known.incarnation {
            *known = listed;
        } else if incarnation < known.incarnation {
            known.contradicted_since = known.contradicted_since.or(Some(now));
        } else {
            known.contradicted_since = None;
            known.has_left |= target.is_leaving;
        }
    }

    /// Whether the store has listed this run for [`UNSEEN_MAX`] without a sign of the later run that is known, as of
    /// `confirmed_at`, the time at which the store confirmed the list.
    pub(crate) fn is_contradicted_by(
        &self,
        listed: &ListedTarget,
        confirmed_at: Microseconds,
    ) -> bool {
        self.0.get(&listed.id).is_some_and(|known| {
            let since = known.contradicted_since;
            listed.incarnation.is_some()
                && since.is_some_and(|since| confirmed_at >= since.plus(UNSEEN_MAX))
        })
    }

    /// Takes a listed run for the latest one of its target, whichever is known.
    pub(crate) fn replace(&mut self, listed: &ListedTarget, now: Microseconds) {
        self.0.remove(&listed.id);
        self.record_target(listed, now);
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
