//! Gathering what this entry has to say of targets, and taking in what others say.

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

/// An entry that was silent for this long has no requests under way as far as the others count. Three
/// whole datagrams are missing then.
const COUNTS_HOLD_FOR: Microseconds = Microseconds::from_ms(1_600);

/// What there is to tell of targets: what is worth telling now, as [`AdvertisedTargets`] has it.
pub(crate) fn collect_updates(
    told: &mut AdvertisedTargets,
    snapshot: &Snapshot,
    now: Microseconds,
    is_whole: bool,
) -> Vec<TargetNews> {
    let targets = snapshot.keyed_targets();
    let mut news = Vec::new();
    for (key, KeyedTarget { target, .. }) in targets {
        let report = target.directly_reported_speed();
        let facts = AdvertisedState {
            in_flight: target.in_flight(),
            report_at: report.map_or(Microseconds::ZERO, |(_, at)| at),
        };
        let fresh = report.filter(|_| told.is_report_new(*key, &facts));
        if !told.should_advertise(*key, facts, is_whole, now) {
            continue;
        }
        news.push(TargetNews {
            key: *key,
            in_flight: facts.in_flight,
            slowdown_tenths: fresh.map_or(0, |(slowdown, _)| (slowdown * 10.0).round() as u32),
            age_ms: fresh.map_or(0, |(_, at)| now.saturating_sub(at).as_ms() as u32),
        });
    }
    if told.len() > targets.len() {
        told.retain(|key| targets.contains_key(&key));
    }
    news
}

/// The requests that one other entry has at targets.
struct PeerCount {
    heartbeat: u64,
    heard_at: Microseconds,
    counts: HashMap<u32, (Arc<TargetState>, u32)>,
}

impl PeerCount {
    fn set(&mut self, key: u32, target: &Arc<TargetState>, count: u32) {
        let before = match self.counts.insert(key, (Arc::clone(target), count)) {
            Some((held, before)) if Arc::ptr_eq(&held, target) => before,
            Some((held, before)) => {
                held.record_peer_in_flight(before, 0);
                0
            }
            None => 0,
        };
        target.record_peer_in_flight(before, count);
        if count == 0 {
            self.counts.remove(&key);
        }
    }

    fn clear_all_but(&mut self, named: &[TargetNews]) {
        self.counts.retain(|key, (target, count)| {
            let is_named = named.iter().any(|news| news.key == *key);
            if !is_named {
                target.record_peer_in_flight(*count, 0);
            }
            is_named
        });
    }
}

/// The requests that the other entries have at targets.
#[derive(Default)]
pub(crate) struct PeerCounts(HashMap<Incarnation, PeerCount>);

impl PeerCounts {
    /// Takes in what an entry says in its datagram with number `heartbeat`. Returns whether any
    /// target's speed was news.
    pub(crate) fn record_update(
        &mut self,
        peer: Incarnation,
        heartbeat: u64,
        news: &[TargetNews],
        is_whole: bool,
        snapshot: &Snapshot,
        now: Microseconds,
    ) -> bool {
        let count = self.0.entry(peer).or_insert_with(|| PeerCount {
            heartbeat: 0,
            heard_at: now,
            counts: HashMap::new(),
        });
        count.heard_at = now;
        let is_late = heartbeat < count.heartbeat;
        count.heartbeat = count.heartbeat.max(heartbeat);
        if is_whole && !is_late {
            count.clear_all_but(news);
        }
        let mut is_speed_news = false;
        for said in news {
            let Some(KeyedTarget { service, target }) = snapshot.keyed_targets().get(&said.key)
            else {
                continue;
            };
            if !is_late {
                count.set(said.key, target, said.in_flight);
            }
            if said.slowdown_tenths > 0 {
                let at = now.saturating_sub(Microseconds::from_ms(u64::from(said.age_ms)));
                let slowdown = said.slowdown_tenths as f32 / 10.0;
                is_speed_news |= service.state.record_speed(target, at, slowdown);
            }
        }
        is_speed_news
    }

    /// Forgets the counts of entries that have been silent for long.
    pub(crate) fn remove_silent(&mut self, now: Microseconds) {
        self.0.retain(|_, count| {
            let is_heard = now.saturating_sub(count.heard_at) < COUNTS_HOLD_FOR;
            if !is_heard {
                count.clear_all_but(&[]);
            }
            is_heard
        });
    }

    /// Entries that have requests at targets.
    pub(crate) fn active_peers(&self) -> impl Iterator<Item = Incarnation> {
        let is_active = |(_, count): &(&Incarnation, &PeerCount)| !count.counts.is_empty();
        self.0.iter().filter(is_active).map(|(peer, _)| *peer)
    }
}
