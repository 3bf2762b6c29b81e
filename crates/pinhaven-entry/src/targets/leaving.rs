//! Applies peers' updates on leaving targets.
//!
//! An entry that learns from an answer or a probe that a target drains sends this to every peer in its next
//! exchanges. An update can only mark a target as leaving, so a delayed update never reinstates a target. An
//! update applies to one run of a target and not to a later run at the same address.

use crate::entry::Entry;
use pinhaven_decide::TargetState;
use pinhaven_peer::Leaving;
use pinhaven_types::ServiceName;

impl Entry {
    /// Marks the targets in `updates` as leaving. Updates of another version are ignored, because the target
    /// may have been reinstated since.
    pub(crate) fn apply_leaving(&self, updates: &[Leaving]) {
        let snapshot = self.snapshot.load();
        let mut has_changed = false;
        for leaving in updates {
            if leaving.version != snapshot.version.number() {
                continue;
            }
            let (Ok(service), Ok(target)) = (leaving.service.parse(), leaving.target.parse())
            else {
                continue;
            };
            let service: ServiceName = service;
            let state = snapshot.services.get(&service);
            if let Some(target) = state.and_then(|entry| entry.state.target(target))
                && is_same_run(leaving, target)
                && !target.is_leaving()
            {
                log::info!(target: "leaving", "Target {} of {service} is leaving.", target.address());
                target.mark_leaving();
                has_changed = true;
            }
        }
        if has_changed {
            self.urgent_update.notify(usize::MAX);
        }
    }
}

/// Whether an update is about the current run of `target`. Entries of older releases send updates without a key;
/// such an update may be about an earlier run, so it is only applied to a target without an incarnation.
fn is_same_run(leaving: &Leaving, target: &TargetState) -> bool {
    match leaving.key {
        Some(_) => leaving.key == target.key(),
        None => target.incarnation().is_none(),
    }
}
