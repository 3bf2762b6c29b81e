//! Targets known to be leaving.

use crate::versions::snapshot::Snapshot;
use pinhaven_peer::Leaving;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use std::collections::BTreeMap;

/// How long news is passed on.
const ADVERTISE_FOR: Microseconds = Microseconds::from_ms(10_000);

/// A run of a target that is leaving.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LeavingRun {
    service: ServiceName,
    address: TargetAddress,
    /// Tells it from another target or a later run at the address.
    key: Option<u32>,
}

/// Targets known to be leaving in one version, and since when.
///
/// News belongs to a version: a target that left in one may be put back by the next, and must not be
/// taken out again by what was still gathered from the one before.
#[derive(Default)]
pub(crate) struct LeavingTargets {
    version: BundleVersion,
    since: BTreeMap<LeavingRun, Microseconds>,
}

impl LeavingTargets {
    /// Takes in all targets that are marked as leaving. Returns whether any was new.
    pub(crate) fn collect(&mut self, snapshot: &Snapshot, now: Microseconds) -> bool {
        if snapshot.version < self.version {
            return false;
        }
        if snapshot.version > self.version {
            self.version = snapshot.version;
            self.since.clear();
        }
        let known = self.since.len();
        for (name, service) in &snapshot.services {
            for target in service.state.targets() {
                if target.is_leaving() {
                    let leaving = LeavingRun {
                        service: name.clone(),
                        address: target.address(),
                        key: target.key(),
                    };
                    self.since.entry(leaving).or_insert(now);
                }
            }
        }
        self.since.len() > known
    }

    /// News that is still worth passing on.
    pub(crate) fn recent(&self, now: Microseconds) -> Vec<Leaving> {
        self.since
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) < ADVERTISE_FOR)
            .map(|(leaving, _)| Leaving {
                service: leaving.service.to_string(),
                target: leaving.address.to_string(),
                version: self.version.number(),
                key: leaving.key,
            })
            .collect()
    }
}
