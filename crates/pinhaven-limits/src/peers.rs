//! The peers that advertise counts, and which of them are silent.
//!
//! A silent peer may have ended, or may serve callers on the other side of a partition. Its share of each limit is
//! reserved for a time. The majority of the entries takes the share back after 15 s. A minority keeps the reservation
//! longer, because otherwise both halves of a partition would spend the whole limit.
//!
//! Of some hundred entries, about ten serve callers, and the others get a request now and then. Such an entry is heard only
//! around its requests. Nothing is reserved for it: with a share for each of them, little would be left of the limits.

use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Silence after which a peer's share is reserved. Peers send full datagrams every 500 ms.
pub(crate) const SILENT_AFTER: Microseconds = Microseconds::from_ms(600);
/// Silence after which the share of a peer is no longer reserved.
const RESERVED_FOR: Microseconds = Microseconds::from_ms(15_000);
/// Silence after which the share of a peer is no longer reserved where most peers are silent.
const RESERVED_BY_MINORITY_FOR: Microseconds = Microseconds::from_ms(120_000);
/// Time without a call after which this entry was frozen.
const FROZEN_AFTER: Microseconds = Microseconds::from_ms(600);
/// Time after a freeze during which datagrams may have been sent before it: they don't show that a peer is heard.
const DISTRUST_FOR: Microseconds = Microseconds::from_ms(300);
/// Age up to which an entry may not know its peers.
const DISCOVERY_PERIOD: Microseconds = Microseconds::from_ms(3_000);
/// Demand from which an entry that the members don't name as serving counts as such, as a part of the largest one.
const SERVING_DEMAND_PART: f64 = 0.2;
/// Least demand of an entry that serves, as a part of the mean.
const LEAST_DEMAND_PART: f64 = 0.3;
/// Number of peers assumed by an entry that knows of none.
const ASSUMED_PEERS: usize = 8;

/// A peer that advertises counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    /// When the peer's last counts arrived.
    pub(crate) heard_at: Microseconds,
    /// Number of the last datagram.
    pub(crate) sequence: u64,
    /// Rate of the requests that the peer sends to targets.
    pub(crate) demand: f64,
    /// Whether the peer was silent when its state was last updated.
    pub(crate) is_silent: bool,
    /// Whether the peer served callers when it was last heard.
    pub(crate) serves: bool,
    /// When the peer was first heard, or heard again after a silence.
    heard_since: Microseconds,
}

impl Peer {
    /// Whether the peer has been heard for this time.
    pub(crate) fn is_heard_for(&self, duration: Microseconds, now: Microseconds) -> bool {
        !self.is_silent && now.saturating_sub(self.heard_since) >= duration
    }
}

/// All peers that advertise counts.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(crate) by_incarnation: BTreeMap<Incarnation, Peer>,
    /// Rate of the requests that this entry sends to targets.
    pub(crate) own_demand: f64,
    /// Other entries that serve callers, as far as known.
    serving: Option<BTreeSet<Incarnation>>,
    started_at: Option<Microseconds>,
    updated_at: Option<Microseconds>,
    distrusted_until: Microseconds,
}

impl Peers {
    /// Records a datagram with counts. Returns whether it is newer than the last one of the peer.
    pub(crate) fn record(
        &mut self,
        incarnation: Incarnation,
        sequence: u64,
        demand: f64,
        now: Microseconds,
    ) -> bool {
        let is_trusted = !self.was_frozen(now);
        let peer = self.by_incarnation.entry(incarnation).or_insert(Peer {
            heard_at: now,
            sequence,
            demand,
            is_silent: false,
            serves: true,
            heard_since: now,
        });
        if sequence < peer.sequence {
            return false;
        }
        peer.sequence = sequence;
        peer.demand = demand;
        if is_trusted {
            peer.heard_at = now;
            if std::mem::take(&mut peer.is_silent) {
                peer.heard_since = now;
            }
        }
        self.update_serving();
        true
    }

    /// Records which other entries serve callers, and the demand on this entry.
    pub(crate) fn record_members(&mut self, serving: BTreeSet<Incarnation>, own_demand: f64) {
        self.serving = Some(serving);
        self.own_demand = own_demand;
        self.update_serving();
    }

    /// Updates which of the heard peers serve callers. A silent peer may have been removed from the members, so it keeps
    /// its state.
    fn update_serving(&mut self) {
        let Some(serving) = &self.serving else {
            return;
        };
        let demands = self.by_incarnation.values().map(|peer| peer.demand);
        let largest = demands.fold(self.own_demand, f64::max);
        for (incarnation, peer) in &mut self.by_incarnation {
            if !peer.is_silent {
                let is_used = peer.demand > 0.0 && peer.demand >= SERVING_DEMAND_PART * largest;
                peer.serves = serving.contains(incarnation) || is_used;
            }
        }
    }

    fn serving_peers(&self) -> impl Iterator<Item = &Peer> {
        self.by_incarnation.values().filter(|peer| peer.serves)
    }

    /// Whether [`Self::update`] must be called before a decision.
    pub(crate) fn needs_update(&self, now: Microseconds) -> bool {
        let updated_at = self.updated_at.unwrap_or_default();
        self.updated_at.is_none() || now.saturating_sub(updated_at) >= Microseconds::from_ms(20)
    }

    /// Detects silent peers and a freeze of this entry, and removes peers whose reservation has ended.
    pub(crate) fn update(&mut self, now: Microseconds) {
        let started_at = *self.started_at.get_or_insert(now);
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let is_frozen = now.saturating_sub(updated_at) >= FROZEN_AFTER;
        if is_frozen && updated_at > started_at {
            self.distrusted_until = now.plus(DISTRUST_FOR);
        }
        for peer in self.by_incarnation.values_mut() {
            peer.is_silent |= is_frozen || now.saturating_sub(peer.heard_at) >= SILENT_AFTER;
        }
        let silent = self.serving_peers().filter(|peer| peer.is_silent).count();
        let heard = self.serving_peers().count() - silent + 1;
        let reserved_for = match heard > silent {
            true => RESERVED_FOR,
            false => RESERVED_BY_MINORITY_FOR,
        };
        self.by_incarnation.retain(|_, peer| {
            let kept_for = match peer.serves {
                true => reserved_for,
                false => RESERVED_FOR,
            };
            !peer.is_silent || now.saturating_sub(peer.heard_at) < kept_for
        });
    }

    /// Whether this entry was frozen until just now.
    pub(crate) fn was_frozen(&self, now: Microseconds) -> bool {
        now < self.distrusted_until
    }

    /// Time since this entry's start.
    pub(crate) fn age(&self, now: Microseconds) -> Microseconds {
        now.saturating_sub(self.started_at.unwrap_or(now))
    }

    /// Number of entries that share the limits, this one included.
    pub(crate) fn sharers(&self, now: Microseconds) -> usize {
        1 + self.serving_peers().count() + self.unheard(now)
    }

    /// Number of entries that probably serve callers and whose counts were never heard.
    pub(crate) fn unheard(&self, now: Microseconds) -> usize {
        let heard = self.serving_peers().count();
        let age = self.age(now);
        if heard > 0 && age >= DISCOVERY_PERIOD {
            return 0;
        }
        let expected = match &self.serving {
            Some(serving) => serving.len(),
            None if age < DISCOVERY_PERIOD => ASSUMED_PEERS,
            None => 0,
        };
        expected.saturating_sub(heard)
    }

    /// Share of this entry in the total demand.
    pub(crate) fn own_demand_share(&self) -> f64 {
        let (total, least) = self.total_demand();
        self.own_demand.max(least) / total
    }

    /// Share of a peer in the total demand.
    pub(crate) fn demand_share(&self, peer: &Peer) -> f64 {
        let (total, least) = self.total_demand();
        match peer.serves {
            true => peer.demand.max(least) / total,
            false => 0.0,
        }
    }

    /// Total demand of the entries that serve, and the least that counts for each of them: the demand of an entry that
    /// has just begun to serve isn't known yet.
    fn total_demand(&self) -> (f64, f64) {
        let demands = || self.serving_peers().map(|peer| peer.demand);
        let count = (1 + demands().count()) as f64;
        let mean = (self.own_demand + demands().sum::<f64>()) / count;
        let least = match mean > 0.0 {
            true => LEAST_DEMAND_PART * mean,
            false => 1.0,
        };
        let peers = demands().map(|demand| demand.max(least));
        (self.own_demand.max(least) + peers.sum::<f64>(), least)
    }
}
