//! The peers that advertise counts, and which of them are silent.
//!
//! A silent peer may have ended, or may serve callers on the other side of a partition. Its share of each limit is
//! reserved for a time. The majority of the entries takes the share back after 15 s. A minority keeps the reservation
//! longer, because otherwise both halves of a partition would spend the whole limit.
//!
//! The sums over all peers are kept: each decision of each organisation needs them for each peer.
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
/// Time after a peer is heard again in which it sends a full datagram.
const SETTLED_AFTER: Microseconds = Microseconds::from_ms(700);
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
    /// When the peer was heard again after a silence, until it has probably repeated its counts.
    returned_at: Option<Microseconds>,
}

impl Peer {
    /// Whether the peer is heard and has probably advertised its counts since it was silent.
    pub(crate) fn is_settled(&self) -> bool {
        !self.is_silent && self.returned_at.is_none()
    }
}

/// Sums over the peers that serve, which decisions on each organisation and each peer need.
#[derive(Debug, Clone, Copy)]
struct Totals {
    /// Number of peers that serve.
    serving: usize,
    /// Least demand that counts for an entry that serves. The demand of an entry that has just begun to serve isn't known yet.
    least_demand: f64,
    /// Demand of all entries that serve, this one included.
    demand: f64,
}

impl Totals {
    fn new(peers: &BTreeMap<Incarnation, Peer>, own_demand: f64) -> Self {
        let demands = || {
            let serving = peers.values().filter(|peer| peer.serves);
            serving.map(|peer| peer.demand)
        };
        let serving = demands().count();
        let mean = (own_demand + demands().sum::<f64>()) / (1 + serving) as f64;
        let least_demand = match mean > 0.0 {
            true => LEAST_DEMAND_PART * mean,
            false => 1.0,
        };
        let of_peers = demands().map(|demand| demand.max(least_demand));
        Self {
            serving,
            least_demand,
            demand: own_demand.max(least_demand) + of_peers.sum::<f64>(),
        }
    }
}

/// All peers that advertise counts.
#[derive(Debug)]
pub(crate) struct Peers {
    by_incarnation: BTreeMap<Incarnation, Peer>,
    /// Rate of the requests that this entry sends to targets.
    own_demand: f64,
    totals: Totals,
    /// Number of changes that reservations depend on.
    changes: u64,
    /// Other entries that serve callers, as far as known.
    serving: Option<BTreeSet<Incarnation>>,
    started_at: Option<Microseconds>,
    updated_at: Option<Microseconds>,
    distrusted_until: Microseconds,
}

impl Default for Peers {
    fn default() -> Self {
        let by_incarnation = BTreeMap::new();
        Self {
            totals: Totals::new(&by_incarnation, 0.0),
            by_incarnation,
            own_demand: 0.0,
            changes: 0,
            serving: None,
            started_at: None,
            updated_at: None,
            distrusted_until: Microseconds::ZERO,
        }
    }
}

impl Peers {
    /// All peers, in the order of their incarnations.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&Incarnation, &Peer)> {
        self.by_incarnation.iter()
    }

    pub(crate) fn get(&self, incarnation: &Incarnation) -> Option<&Peer> {
        self.by_incarnation.get(incarnation)
    }

    /// Number of changes so far that reservations depend on: of which peers are silent, have settled after a silence or
    /// were removed. Each organisation looks through all peers after a change, so changes at the same time count once.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

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
            returned_at: None,
        });
        if sequence < peer.sequence {
            return false;
        }
        peer.sequence = sequence;
        peer.demand = demand;
        if is_trusted {
            peer.heard_at = now;
            if std::mem::take(&mut peer.is_silent) {
                peer.returned_at = Some(now);
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
        if let Some(serving) = &self.serving {
            let demands = self.by_incarnation.values().map(|peer| peer.demand);
            let largest = demands.fold(self.own_demand, f64::max);
            for (incarnation, peer) in &mut self.by_incarnation {
                if !peer.is_silent {
                    let is_used = peer.demand > 0.0 && peer.demand >= SERVING_DEMAND_PART * largest;
                    peer.serves = serving.contains(incarnation) || is_used;
                }
            }
        }
        self.update_totals();
    }

    fn update_totals(&mut self) {
        self.totals = Totals::new(&self.by_incarnation, self.own_demand);
    }

    fn serving_peers(&self) -> impl Iterator<Item = &Peer> {
        self.by_incarnation.values().filter(|peer| peer.serves)
    }

    /// Whether [`Self::update`] must be called before a decision.
    pub(crate) fn needs_update(&self, now: Microseconds) -> bool {
        let updated_at = self.updated_at.unwrap_or_default();
        self.updated_at.is_none() || now.saturating_sub(updated_at) >= Microseconds::from_ms(20)
    }

    /// Detects silent and settled peers and a freeze of this entry, and removes peers whose reservation has ended.
    pub(crate) fn update(&mut self, now: Microseconds) {
        let started_at = *self.started_at.get_or_insert(now);
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let is_frozen = now.saturating_sub(updated_at) >= FROZEN_AFTER;
        if is_frozen && updated_at > started_at {
            self.distrusted_until = now.plus(DISTRUST_FOR);
        }
        let mut is_changed = false;
        for peer in self.by_incarnation.values_mut() {
            let is_silent = is_frozen || now.saturating_sub(peer.heard_at) >= SILENT_AFTER;
            if is_silent && !std::mem::replace(&mut peer.is_silent, true) {
                is_changed = true;
            }
            let is_settled = |returned_at| now.saturating_sub(returned_at) >= SETTLED_AFTER;
            if !peer.is_silent && peer.returned_at.take_if(|at| is_settled(*at)).is_some() {
                is_changed = true;
            }
        }
        self.changes += u64::from(is_changed);
        let silent = self.serving_peers().filter(|peer| peer.is_silent).count();
        let heard = self.serving_peers().count() - silent + 1;
        let reserved_for = match heard > silent {
            true => RESERVED_FOR,
            false => RESERVED_BY_MINORITY_FOR,
        };
        self.retain(|_, peer| {
            let kept_for = match peer.serves {
                true => reserved_for,
                false => RESERVED_FOR,
            };
            !peer.is_silent || now.saturating_sub(peer.heard_at) < kept_for
        });
    }

    /// Removes the silent peers that have ended.
    pub(crate) fn remove_ended(&mut self, has_ended: impl Fn(Incarnation) -> bool) {
        self.retain(|incarnation, peer| !peer.is_silent || !has_ended(*incarnation));
    }

    fn retain(&mut self, is_kept: impl Fn(&Incarnation, &Peer) -> bool) {
        let before = self.by_incarnation.len();
        self.by_incarnation
            .retain(|incarnation, peer| is_kept(incarnation, peer));
        if self.by_incarnation.len() < before {
            self.changes += 1;
            self.update_totals();
        }
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
        1 + self.totals.serving + self.unheard(now)
    }

    /// Number of entries that probably serve callers and whose counts were never heard.
    pub(crate) fn unheard(&self, now: Microseconds) -> usize {
        let heard = self.totals.serving;
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
        self.own_demand.max(self.totals.least_demand) / self.totals.demand
    }

    /// Share of a peer in the total demand.
    pub(crate) fn demand_share(&self, peer: &Peer) -> f64 {
        match peer.serves {
            true => peer.demand.max(self.totals.least_demand) / self.totals.demand,
            false => 0.0,
        }
    }
}
