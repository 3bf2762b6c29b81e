//! Requests in flight at targets, as entries advertise them to each other.
//!
//! Collects the updates on targets that this entry advertises, and records the updates of its peers.

use crate::versions::snapshot::KeyedTarget;
use crate::versions::snapshot::Snapshot;
use pinhaven_decide::AdvertisedState;
use pinhaven_decide::AdvertisedTargets;
use pinhaven_decide::TargetState;
use pinhaven_peer::TargetNews;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::HashMap;
use std::sync::Arc;

/// Silence of a peer after which its requests in flight are no longer counted. Three full datagrams are missing by
/// then.
const COUNTS_EXPIRE_AFTER: Microseconds = Microseconds::from_ms(1_600);

/// Milliseconds in a tenth of a second.
const TENTH_MS: u64 = 100;

/// Updates on all targets whose state should be advertised now according to [`AdvertisedTargets`].
pub(crate) fn collect_updates(
    advertised: &mut AdvertisedTargets,
    snapshot: &Snapshot,
    now: Microseconds,
    is_full: bool,
) -> Vec<TargetNews> {
    let targets = snapshot.keyed_targets();
    let mut updates = Vec::new();
    for (key, KeyedTarget { target, .. }) in targets {
        let report = target.directly_reported_speed();
        let state = AdvertisedState {
            in_flight: target.in_flight(),
            report_at: report.map_or(Microseconds::ZERO, |(_, at)| at),
        };
        let new_report = report.filter(|_| advertised.is_report_new(*key, &state));
        if !advertised.should_advertise(*key, state, is_full, now) {
            continue;
        }
        updates.push(TargetNews {
            key: *key,
            in_flight: state.in_flight,
            slowdown_tenths: new_report.map_or(0, |(slowdown, _)| (slowdown * 10.0).round() as u32),
            age_ms: new_report.map_or(0, |(_, at)| now.saturating_sub(at).as_ms() as u32),
            cold_left_tenths: new_report.map_or(0, |_| cold_left_tenths(target, now)),
        });
    }
    if advertised.len() > targets.len() {
        advertised.retain(|key| targets.contains_key(&key));
    }
    updates
}

/// Time for which a target stays cold, in tenths of a second, rounded up.
fn cold_left_tenths(target: &TargetState, now: Microseconds) -> u32 {
    let left = target.cold_left(now).count();
    left.div_ceil(Microseconds::from_ms(TENTH_MS).count()) as u32
}

/// Requests of one peer in flight at targets.
struct PeerCount {
    heartbeat: u64,
    received_at: Microseconds,
    counts: HashMap<u32, (Arc<TargetState>, u32)>,
}

impl PeerCount {
    fn set(&mut self, key: u32, target: &Arc<TargetState>, count: u32) {
        let before = match self.counts.insert(key, (Arc::clone(target), count)) {
            Some((known, before)) if Arc::ptr_eq(&known, target) => before,
            Some((known, before)) => {
                known.record_peer_in_flight(before, 0);
                0
            }
            None => 0,
        };
        target.record_peer_in_flight(before, count);
        if count == 0 {
            self.counts.remove(&key);
        }
    }

    fn clear_except(&mut self, named: &[TargetNews]) {
        self.counts.retain(|key, (target, count)| {
            let is_named = named.iter().any(|update| update.key == *key);
            if !is_named {
                target.record_peer_in_flight(*count, 0);
            }
            is_named
        });
    }
}

/// Requests of all peers in flight at targets.
#[derive(Default)]
pub(crate) struct PeerCounts(HashMap<Incarnation, PeerCount>);

impl PeerCounts {
    /// Records the updates of a peer from its datagram with number `heartbeat`. Returns whether the speed of any target
    /// is new.
    pub(crate) fn record_update(
        &mut self,
        peer: Incarnation,
        heartbeat: u64,
        updates: &[TargetNews],
        is_full: bool,
        snapshot: &Snapshot,
        now: Microseconds,
    ) -> bool {
        let count = self.0.entry(peer).or_insert_with(|| PeerCount {
            heartbeat: 0,
            received_at: now,
            counts: HashMap::new(),
        });
        count.received_at = now;
        let is_late = heartbeat < count.heartbeat;
        count.heartbeat = count.heartbeat.max(heartbeat);
        if is_full && !is_late {
            count.clear_except(updates);
        }
        let mut has_new_speed = false;
        for update in updates {
            let Some(KeyedTarget { service, target }) = snapshot.keyed_targets().get(&update.key)
            else {
                continue;
            };
            if !is_late {
                count.set(update.key, target, update.in_flight);
            }
            if update.cold_left_tenths > 0 {
                let left = Microseconds::from_ms(u64::from(update.cold_left_tenths) * TENTH_MS);
                target.extend_cold(now.plus(left));
            }
            if update.slowdown_tenths > 0 {
                let at = now.saturating_sub(Microseconds::from_ms(u64::from(update.age_ms)));
                let slowdown = update.slowdown_tenths as f32 / 10.0;
                has_new_speed |= service.state.record_speed(target, at, slowdown);
            }
        }
        has_new_speed
    }

    /// Removes the counts of peers that have been silent for [`COUNTS_EXPIRE_AFTER`].
    pub(crate) fn remove_silent(&mut self, now: Microseconds) {
        self.0.retain(|_, count| {
            let is_recent = now.saturating_sub(count.received_at) < COUNTS_EXPIRE_AFTER;
            if !is_recent {
                count.clear_except(&[]);
            }
            is_recent
        });
    }

    /// Peers that have requests in flight at targets.
    pub(crate) fn active_peers(&self) -> impl Iterator<Item = Incarnation> {
        let is_active = |(_, count): &(&Incarnation, &PeerCount)| !count.counts.is_empty();
        self.0.iter().filter(is_active).map(|(peer, _)| *peer)
    }
}
