//! State of one organisation at one entry, and the decision on its requests.

use crate::Limit;
use crate::OverLimit;
use crate::estimate::Estimate;
use crate::estimate::OwnUse;
use crate::estimate::RecentAdmissions;
use crate::estimate::chance;
use crate::estimate::overdraft;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::places::Places;
use crate::use_meter::EPOCH;
use crate::use_meter::UseMeter;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

/// Weight of the entries' total demand in the shares of an organisation's use, in requests.
const DEMAND_WEIGHT: f64 = 3.0;

/// Part of the bucket that an entry has at its start. Callers may have used the whole burst just before all entries
/// restarted; the slack covers this part once more, also if they restart twice in five seconds.
const LEVEL_AT_START: f64 = 0.3;
/// Time in which a peer may have admitted its first requests before its first count arrives.
const FIRST_COUNT_PERIOD: Microseconds = Microseconds::from_ms(1_000);

/// Time in which an entry leaves as many tokens to its peers as it usually admits itself, where the limit is used in full.
const LEFT_TO_PEERS_S: f64 = 0.9;

/// What is known of an organisation's use at a peer.
#[derive(Debug, Default)]
struct PeerUse {
    /// Last count; `None` if the peer has not advertised one.
    count: Option<u32>,
    meter: UseMeter,
    /// What is reserved for the peer while it is silent.
    reserved: Option<Reserved>,
}

/// What is reserved for a silent peer.
#[derive(Debug, Clone, Copy)]
struct Reserved {
    /// Share of the rate and of the capacity.
    share: f64,
    /// Requests that the peer was estimated to have admitted before it became silent.
    unreported: f64,
    /// Further tokens that the peer may have used, without what came in since.
    tokens: f64,
    /// [`Organisation::filled`] when the reservation began.
    filled_before: f64,
    /// Requests that the peer has admitted since, as far as it has reported.
    used: f64,
}

/// A silent peer for which nothing is reserved yet.
struct Unreserved {
    incarnation: Incarnation,
    /// Its weight among the entries for which nothing is reserved.
    weight: f64,
    /// Requests that it has probably admitted and not reported.
    unreported: f64,
    heard_at: Microseconds,
}

/// State of one organisation.
#[derive(Debug)]
pub(crate) struct Organisation {
    limit: Option<Limit>,
    /// Tokens in the bucket; negative if more was admitted than the limit allows.
    level: f64,
    advanced_at: Microseconds,
    count: u32,
    changed_at: Microseconds,
    admissions: RecentAdmissions,
    own: UseMeter,
    /// Own count one epoch ago, which corresponds to the counts of the peers that have arrived.
    lagged_count: u32,
    epoch_at: Microseconds,
    peers: BTreeMap<Incarnation, PeerUse>,
    /// Sum of the reserved shares.
    reserved_share: f64,
    /// Tokens that have come in at all entries together.
    filled: f64,
    /// [`Peers::changes`] when the reservations were last updated.
    updated_changes: Option<u64>,
    places: Places,
    pub(crate) refused: u64,
    pub(crate) refused_at: Microseconds,
    pub(crate) is_reported_at_limit: bool,
}

impl Organisation {
    /// Creates the state of an organisation, with the bucket of an entry that has just started.
    pub(crate) fn new(limit: Option<Limit>, now: Microseconds) -> Self {
        Self {
            limit,
            level: limit.map_or(0.0, |limit| limit.burst * LEVEL_AT_START),
            advanced_at: now,
            count: 0,
            changed_at: Microseconds::ZERO,
            admissions: RecentAdmissions::new(),
            own: UseMeter::default(),
            lagged_count: 0,
            epoch_at: now,
            peers: BTreeMap::new(),
            reserved_share: 0.0,
            filled: 0.0,
            updated_changes: None,
            places: Places::default(),
            refused: 0,
            refused_at: Microseconds::ZERO,
            is_reported_at_limit: false,
        }
    }

    /// Fills the bucket of an organisation that is new while the entry is serving.
    pub(crate) fn with_full_bucket(mut self) -> Self {
        self.level = self.limit.map_or(0.0, |limit| limit.burst);
        self
    }

    pub(crate) fn limit(&self) -> Option<Limit> {
        self.limit
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn changed_at(&self) -> Microseconds {
        self.changed_at
    }

    /// Sets the limit. Tokens beyond a lowered burst are lost at once.
    pub(crate) fn set_limit(&mut self, limit: Option<Limit>) {
        if self.limit == limit {
            return;
        }
        self.level = match (self.limit, limit) {
            (_, None) => 0.0,
            (None, Some(limit)) => limit.burst,
            (Some(_), Some(limit)) => self.level.clamp(-limit.slack(), limit.burst),
        };
        self.limit = limit;
        self.places.clear();
    }

    /// Decides on a request of a caller.
    pub(crate) fn admit(
        &mut self,
        peers: &Peers,
        is_later_try: bool,
        now: Microseconds,
    ) -> Result<(), OverLimit> {
        self.advance(peers, now);
        let Some(limit) = self.limit else {
            self.take(now);
            return Ok(());
        };
        let estimate = self.estimate(&limit, peers, now);
        let share = self.heard_share(peers, now);
        let available = self.level - estimate.total() + overdraft(&limit, peers.age(now)) * share;
        let own_share = self.own_share(peers).max(1.0 / peers.sharers(now) as f64);
        let promised = match is_later_try {
            true => 0.0,
            // Callers come back at any entry, and the other entries have places that are due too.
            false => self.places.due(now) / own_share,
        };
        if available - promised >= 1.0 {
            if is_later_try {
                self.places.take(now);
            }
            self.take(now);
            return Ok(());
        }
        self.refused += 1;
        self.refused_at = now;
        let rate = limit.requests_per_s * share;
        let first = now.plus(time_for(1.0 - available, rate));
        let spacing = time_for(1.0, rate * own_share);
        let retry_after = self.places.give(first, spacing, now);
        Err(OverLimit { retry_after })
    }

    /// Whether there is a token that nobody else needs.
    pub(crate) fn has_spare_token(&mut self, peers: &Peers, now: Microseconds) -> bool {
        self.advance(peers, now);
        let Some(limit) = self.limit else {
            return true;
        };
        let estimate = self.estimate(&limit, peers, now);
        let promised = self.places.due(now);
        self.level - estimate.total() - promised >= 1.0
    }

    /// Takes a token unconditionally.
    pub(crate) fn charge(&mut self, peers: &Peers, now: Microseconds) {
        self.advance(peers, now);
        self.take(now);
    }

    /// Returns a token of a request that no target received.
    pub(crate) fn refund(&mut self, now: Microseconds) {
        self.level += 1.0;
        self.set_count(self.count.wrapping_sub(1), now);
    }

    fn take(&mut self, now: Microseconds) {
        self.level -= 1.0;
        self.set_count(self.count.wrapping_add(1), now);
    }

    fn set_count(&mut self, count: u32, now: Microseconds) {
        self.count = count;
        self.changed_at = now;
        self.admissions.set(count, now);
    }

    /// Records the count of a peer, which drains the bucket by what the peer has admitted since its last count.
    pub(crate) fn record_peer(
        &mut self,
        incarnation: Incarnation,
        count: u32,
        peers: &Peers,
        now: Microseconds,
    ) {
        self.advance(peers, now);
        let peer = self.peers.entry(incarnation).or_default();
        let Some(before) = peer.count.replace(count) else {
            // How much the peer admitted before it was first heard is not known. Where callers spread, it is about as
            // much as here.
            let drained = self
                .first_drain(incarnation, peers, now)
                .min(f64::from(count));
            let peer = self.peers.entry(incarnation).or_default();
            peer.meter = UseMeter::starting_at(count.wrapping_sub(drained as u32));
            return self.drain(drained);
        };
        let added = f64::from(count.wrapping_sub(before) as i32);
        let Some(reserved) = &mut peer.reserved else {
            return self.drain(added);
        };
        reserved.used += added;
        let reserved = *reserved;
        peer.meter.skip_to(count);
        let is_heard = peers.get(&incarnation);
        if let (Some(limit), true) = (self.limit, is_heard.is_some_and(|peer| !peer.is_silent)) {
            peer.reserved = None;
            self.reserved_share = (self.reserved_share - reserved.share).max(0.0);
            self.release(reserved, &limit);
        }
    }

    /// What a peer has probably admitted before its first count.
    fn first_drain(&self, incarnation: Incarnation, peers: &Peers, now: Microseconds) -> f64 {
        let peer = peers.get(&incarnation);
        let (Some(limit), true) = (self.limit, peer.is_some_and(|peer| peer.serves)) else {
            return 1.0;
        };
        let recent = now.saturating_sub(FIRST_COUNT_PERIOD);
        self.admissions.since(recent) + chance(&limit, peers.sharers(now), peers.age(now))
    }

    fn drain(&mut self, requests: f64) {
        self.level -= requests;
        self.limit_debt();
    }

    /// Limits the debt to the slack: entries together never admit more, so that a larger debt comes from a freeze or
    /// a partition during which this entry's bucket didn't fill.
    fn limit_debt(&mut self) {
        if let Some(limit) = self.limit {
            self.level = self.level.max(-limit.slack());
        }
    }

    /// Share of the limit that the heard entries have, this one included.
    fn heard_share(&self, peers: &Peers, now: Microseconds) -> f64 {
        let unheard = peers.unheard(now) as f64 / peers.sharers(now) as f64;
        (1.0 - self.reserved_share).max(0.0) * (1.0 - unheard)
    }

    /// Share of this entry in the recent use.
    fn own_share(&self, peers: &Peers) -> f64 {
        let own = self.own.recent() + DEMAND_WEIGHT * peers.own_demand_share();
        own / self.total_weight(UseMeter::recent)
    }

    fn total_weight(&self, value: fn(&UseMeter) -> f64) -> f64 {
        let used = self.peers.values().map(|peer| value(&peer.meter));
        value(&self.own) + used.sum::<f64>() + DEMAND_WEIGHT
    }

    fn own_use(&self, limit: &Limit, peers: &Peers, now: Microseconds) -> OwnUse<'_> {
        let sharers = peers.sharers(now);
        OwnUse {
            admissions: &self.admissions,
            rate_per_s: self.own.rate_per_s(),
            share: self.own_share(peers),
            sharers,
            chance: chance(limit, sharers, peers.age(now)),
        }
    }

    /// All peers with what is known of their use.
    fn with_use<'a>(
        &'a self,
        peers: &'a Peers,
    ) -> impl Iterator<Item = (&'a Incarnation, &'a Peer, Option<&'a PeerUse>)> {
        let mut known = self.peers.iter().peekable();
        peers.all().map(move |(incarnation, peer)| {
            while known.next_if(|(other, _)| *other < incarnation).is_some() {}
            let known = known.next_if(|(other, _)| *other == incarnation);
            (incarnation, peer, known.map(|(_, known)| known))
        })
    }

    /// Tokens that this entry leaves to its peers. Peers estimate the part of its use that they have not heard of, so that
    /// the entry which admits most would see the most tokens, and keep them.
    fn left_to_peers(&self, limit: &Limit) -> f64 {
        let used_part = (self.rate_per_s() / limit.requests_per_s).min(1.0);
        LEFT_TO_PEERS_S * self.own.rate_per_s() * used_part
    }

    /// Estimates the use of heard peers that they have not reported yet, and what this entry leaves to them.
    fn estimate(&self, limit: &Limit, peers: &Peers, now: Microseconds) -> Estimate {
        let own = self.own_use(limit, peers, now);
        let total = self.total_weight(UseMeter::recent);
        let mut estimate = Estimate {
            usual: self.left_to_peers(limit),
            jump: 0.0,
        };
        for (_, peer, known) in self.with_use(peers) {
            let is_reserved = known.is_some_and(|known| known.reserved.is_some());
            // A silent peer has a reservation or doesn't serve.
            let is_past = peer.is_silent && !peer.serves;
            if !is_reserved && !is_past {
                let meter = known.map(|known| known.meter).unwrap_or_default();
                let weight = meter.recent() + DEMAND_WEIGHT * peers.demand_share(peer);
                let facts = (meter.rate_per_s(), weight / total);
                estimate.add_peer(&own, facts, peer.heard_at, now);
            }
        }
        estimate
    }

    /// Advances the state to `now`.
    pub(crate) fn advance(&mut self, peers: &Peers, now: Microseconds) {
        let elapsed_s = seconds(now.saturating_sub(self.advanced_at));
        self.advanced_at = self.advanced_at.max(now);
        self.advance_meters(now);
        let Some(limit) = self.limit else {
            return;
        };
        let filled = limit.requests_per_s * elapsed_s;
        self.filled += filled;
        self.level += filled * self.heard_share(peers, now);
        self.update_reservations(&limit, peers, now);
        let capacity = limit.burst * self.heard_share(peers, now);
        if self.level > capacity {
            let estimate = self.estimate(&limit, peers, now);
            self.level = self.level.min(capacity + estimate.usual);
        }
    }

    fn advance_meters(&mut self, now: Microseconds) {
        let elapsed = now.saturating_sub(self.epoch_at);
        if elapsed < EPOCH {
            return;
        }
        self.epoch_at = now;
        let elapsed_s = seconds(elapsed);
        self.own.advance(self.lagged_count, elapsed_s);
        self.lagged_count = self.count;
        for peer in self.peers.values_mut() {
            if let (Some(count), None) = (peer.count, peer.reserved) {
                peer.meter.advance(count, elapsed_s);
            }
        }
    }

    /// Begins the reservations for peers that have become silent, and ends those for peers that have settled or were removed.
    fn update_reservations(&mut self, limit: &Limit, peers: &Peers, now: Microseconds) {
        if self.updated_changes.replace(peers.changes()) == Some(peers.changes()) {
            return;
        }
        self.end_reservations(limit, peers);
        self.reserve_for_silent(limit, peers, now);
    }

    fn end_reservations(&mut self, limit: &Limit, peers: &Peers) {
        let mut ended = Vec::new();
        self.peers.retain(|incarnation, known| {
            let peer = peers.get(incarnation);
            if peer.is_none_or(Peer::is_settled) {
                ended.extend(known.reserved.take());
            }
            peer.is_some()
        });
        for reserved in ended {
            self.release(reserved, limit);
        }
        self.update_reserved_share();
    }

    /// Reserves a share for each peer that has become silent. Many may do so at the same time, so what depends on all
    /// peers is computed once.
    fn reserve_for_silent(&mut self, limit: &Limit, peers: &Peers, now: Microseconds) {
        let (silent, mut total) = self.unreserved(limit, peers, now);
        if silent.is_empty() {
            return;
        }
        let mut heard = 1.0 - self.reserved_share;
        for peer in silent {
            let share = heard * peer.weight / total;
            // The tokens of the bucket belong to the entries for which nothing is reserved.
            let bucket = self.level.min(limit.burst * heard).max(0.0);
            let part = peer.weight / total;
            let reserved = match peers.was_frozen(now) {
                // The others went on while this entry's bucket did not fill beyond its capacity.
                true => Reserved {
                    share,
                    unreported: 0.0,
                    tokens: bucket * part
                        + limit.requests_per_s * share * seconds(now.saturating_sub(peer.heard_at)),
                    filled_before: self.filled,
                    used: 0.0,
                },
                false => Reserved {
                    share,
                    unreported: peer.unreported,
                    tokens: (bucket - peer.unreported).max(0.0) * part,
                    filled_before: self.filled,
                    used: 0.0,
                },
            };
            self.level = match peers.was_frozen(now) {
                true => self.level.min(limit.burst * heard) - bucket * part,
                false => self.level - reserved.unreported - reserved.tokens,
            };
            self.limit_debt();
            self.peers.entry(peer.incarnation).or_default().reserved = Some(reserved);
            heard -= share;
            total -= peer.weight;
        }
        self.update_reserved_share();
    }

    /// Silent peers for which nothing is reserved yet, and the weight of all entries for which nothing is reserved.
    fn unreserved(
        &self,
        limit: &Limit,
        peers: &Peers,
        now: Microseconds,
    ) -> (Vec<Unreserved>, f64) {
        let own = self.own_use(limit, peers, now);
        let total_recent = self.total_weight(UseMeter::recent);
        let mut total = self.own.settled() + DEMAND_WEIGHT * peers.own_demand_share();
        let mut silent = Vec::new();
        for (incarnation, peer, known) in self.with_use(peers) {
            if known.is_some_and(|known| known.reserved.is_some()) {
                continue;
            }
            let meter = known.map(|known| known.meter).unwrap_or_default();
            let demand = DEMAND_WEIGHT * peers.demand_share(peer);
            let weight = meter.settled() + demand;
            total += weight;
            if peer.is_silent && peer.serves {
                let facts = (meter.rate_per_s(), (meter.recent() + demand) / total_recent);
                let mut estimate = Estimate::default();
                estimate.add_peer(&own, facts, peer.heard_at, now);
                silent.push(Unreserved {
                    incarnation: *incarnation,
                    weight,
                    unreported: estimate.total(),
                    heard_at: peer.heard_at,
                });
            }
        }
        (silent, total)
    }

    fn update_reserved_share(&mut self) {
        let reserved = self.peers.values().filter_map(|peer| peer.reserved);
        self.reserved_share = reserved.map(|reserved| reserved.share).sum();
    }

    /// Ends a reservation. What the peer admitted beyond it drains the bucket. The bucket gets back what the peer's
    /// part of the bucket held, less what the peer admitted: when it did so is not known.
    fn release(&mut self, reserved: Reserved, limit: &Limit) {
        let estimated = reserved.unreported.min(reserved.used);
        let used = reserved.used - estimated;
        let unused = (reserved.share * limit.burst - used).max(0.0);
        let tokens = reserved.tokens + reserved.share * (self.filled - reserved.filled_before);
        self.level += reserved.unreported - estimated + (tokens - used).min(unused);
        self.limit_debt();
    }

    /// Recent rate of the admitted requests at all entries, in requests per second.
    pub(crate) fn rate_per_s(&self) -> f64 {
        let peers = self.peers.values().map(|peer| peer.meter.rate_per_s());
        self.own.rate_per_s() + peers.sum::<f64>()
    }
}

/// Time in which a number of tokens comes in.
fn time_for(tokens: f64, rate_per_s: f64) -> Microseconds {
    let seconds = tokens.max(0.0) / rate_per_s.max(0.001);
    Microseconds::new((seconds * 1_000_000.0) as u64)
}

fn seconds(time: Microseconds) -> f64 {
    time.as_ms() / 1_000.0
}
