//! Cold targets: what they report about themselves, and whether this entry may send them requests.
//!
//! The owner of a target probes it and tells its peers with its report when the target is cold. Two entries may take
//! themselves for the owner of a target while they don't know each other: after a start, or when one of them is cut off.
//! An entry is therefore certain that it owns its targets only after it has had time to learn of the others, and while
//! it sees more than half of them.

use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::Snapshot;
use http::HeaderMap;
use pinhaven_decide::ColdAccess;
use pinhaven_decide::TargetState;
use pinhaven_types::Microseconds;

/// Age from which an entry knows the others.
const SETTLED_AGE: Microseconds = Microseconds::from_ms(1_500);
/// Interval between two decisions on the access to cold targets.
const ACCESS_INTERVAL: Microseconds = Microseconds::from_ms(200);

impl Entry {
    /// Records for how much longer a target is cold, from its answer to a probe. An answer that does not say is from a
    /// warm target.
    pub(crate) fn record_cold(
        &self,
        service: &ServiceEntry,
        target: &TargetState,
        headers: &HeaderMap,
    ) {
        if !service.state.limits_cold_targets() {
            return;
        }
        let left = self.dialect.read_cold(headers).unwrap_or_default();
        if target.record_cold(self.now(), left) {
            let left_ms = left.as_ms();
            log::debug!(target: "targets", "Target {} is cold for {left_ms:.0} ms.", target.name());
        }
    }

    /// Decides anew who may send requests to cold targets, if the last decision is old.
    pub(crate) fn refresh_cold_access(&self, snapshot: &Snapshot, due_at: &mut Microseconds) {
        let now = self.now();
        if now < *due_at {
            return;
        }
        *due_at = now.plus(ACCESS_INTERVAL);
        let access = match self.is_certain_owner(now) {
            true => ColdAccess::Owner,
            false => ColdAccess::Closed,
        };
        *self.cold_access.lock() = access;
        self.set_cold_access(snapshot);
    }

    /// Sets in all services of a snapshot who may send requests to cold targets. Without a store, targets have no owners.
    pub(crate) fn set_cold_access(&self, snapshot: &Snapshot) {
        let access = match self.discovery {
            Some(_) => *self.cold_access.lock(),
            None => ColdAccess::Shared,
        };
        for service in snapshot.services.values() {
            service.state.set_cold_access(access);
        }
    }

    /// Whether no other entry can take itself for the owner of a target that this entry owns, but for a moment.
    fn is_certain_owner(&self, now: Microseconds) -> bool {
        let members = self.members.lock();
        let own_address = members.own().peer_address;
        let has_other_seed = {
            let seeds = self.peer_seeds.load();
            seeds.iter().any(|seed| *seed != own_address)
        };
        let is_cut_off = has_other_seed && !members.has_live_peer(now);
        self.clock.age() >= SETTLED_AGE && !is_cut_off && members.sees_majority(now)
    }
}
