//! News of leaving targets, passed on to the other entries.
//!
//! An entry that learns from a reply or a probe that a target drains tells every peer in its next
//! exchanges. News only ever says "leaving"; nothing that comes late can bring a target back. It is of
//! one run of a target, and says nothing of a later run at the same address.

use crate::entry::Entry;
use pinhaven_decide::TargetState;
use pinhaven_peer::Leaving;
use pinhaven_types::ServiceName;

impl Entry {
    /// Takes news of leaving targets in. News from another version is left out: the target may have
    /// been put back since.
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
            self.news.notify(usize::MAX);
        }
    }
}

/// Whether news is of this run of a target. News without a key, as entries of older versions send it, may
/// be of an earlier run.
fn is_same_run(leaving: &Leaving, target: &TargetState) -> bool {
    match leaving.key {
        Some(_) => leaving.key == target.key(),
        None => target.incarnation().is_none(),
    }
}
