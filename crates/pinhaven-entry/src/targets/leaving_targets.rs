//! Targets that are leaving in the version in force, to be sent to peers.

use crate::versions::snapshot::Snapshot;
use pinhaven_peer::Leaving;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use std::collections::BTreeMap;

/// How long a leaving run is sent to peers.
const ADVERTISE_FOR: Microseconds = Microseconds::from_ms(10_000);

/// A run of a target that is leaving.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LeavingRun {
    service: ServiceName,
    address: TargetAddress,
    /// Distinguishes the run from another target or a later run at the same address.
    key: Option<u32>,
}

/// Leaving runs of targets in one version, with the time since which each is known to be leaving.
///
/// The runs belong to one version: the next version may reinstate a target, and the reinstated target must not be
/// marked as leaving again because of the previous version.
#[derive(Default)]
pub(crate) struct LeavingTargets {
    version: BundleVersion,
    since: BTreeMap<LeavingRun, Microseconds>,
}

impl LeavingTargets {
    /// Records all targets of `snapshot` that are marked as leaving. Returns whether any of them is new.
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

    /// The leaving runs that are still to be sent to peers.
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
