//! The peers that advertise counts, and which of them are silent.
//!
//! A silent peer may have ended, or may serve callers on the other side of a partition. Its share of each limit is
//! reserved for a time. The majority of the entries takes the share back after 15 s. A minority keeps the reservation
//! longer, because otherwise both halves of a partition would spend the whole limit.

use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

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
    /// Number of other entries that serve callers, as far as known.
    pub(crate) serving: Option<usize>,
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
        true
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
        let silent = self.by_incarnation.values().filter(|peer| peer.is_silent);
        let silent = silent.count();
        let heard = self.by_incarnation.len() - silent + 1;
        let reserved_for = match heard > silent {
            true => RESERVED_FOR,
            false => RESERVED_BY_MINORITY_FOR,
        };
        self.by_incarnation
            .retain(|_, peer| !peer.is_silent || now.saturating_sub(peer.heard_at) < reserved_for);
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
        1 + self.by_incarnation.len() + self.unheard(now)
    }

    /// Number of entries that probably serve callers and whose counts were never heard.
    pub(crate) fn unheard(&self, now: Microseconds) -> usize {
        let heard = self.by_incarnation.len();
        let age = self.age(now);
        if heard > 0 && age >= DISCOVERY_PERIOD {
            return 0;
        }
        let expected = match self.serving {
            Some(serving) => serving,
            None if age < DISCOVERY_PERIOD => ASSUMED_PEERS,
            None => 0,
        };
        expected.saturating_sub(heard)
    }

    /// Share of each entry in the total demand: of this entry, and of an entry with this demand.
    pub(crate) fn demand_share(&self, demand: f64) -> f64 {
        let peers = self.by_incarnation.values();
        let total = self.own_demand + peers.map(|peer| peer.demand).sum::<f64>();
        let count = (1 + self.by_incarnation.len()) as f64;
        // Half of a share is equal, so that an entry whose demand isn't known yet has one.
        let equal = 1.0 / count;
        match total > 0.0 {
            true => 0.5 * demand / total + 0.5 * equal,
            false => equal,
        }
    }
}
