//! Selection of the recipients of an entry's datagrams, and of the heartbeats that the entry passes on.
//!
//! Entries that serve callers send each other every round. All other entries receive only an occasional heartbeat with
//! the target list and bundle version of the sender, mostly from entries of their own failure domain: traffic between
//! failure domains is expensive, and with many entries it would be the larger part of the traffic between entries.

use crate::member::Heartbeat;
use crate::member::MemberRow;
use crate::member::MemberState;
use crate::membership::Membership;
use fastrand::Rng;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of candidates per failure domain, which send heartbeats to all serving entries. Candidates are the first to
/// serve when serving entries fail; about the rest, only entries of their own failure domain need to know at once.
const CANDIDATES_PER_DOMAIN: usize = 8;
/// Number of standby entries to which a candidate sends heartbeats, in case all serving entries fail at once. A serving
/// entry sends to all standby entries of its own failure domain and to this number of others.
const STANDBY_RECIPIENTS: usize = 3;
/// Number of standby entries to which an entry that is no candidate sends heartbeats.
const STANDBY_RECIPIENTS_MIN: usize = 1;
/// Maximum number of heartbeats of serving entries in a datagram to standby entries, so that the datagram fits into one
/// packet.
const SERVING_HEARTBEATS_MAX: usize = 16;

/// Content of an update, which determines the recipients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateScope {
    /// The heartbeat and the requests in flight of this entry.
    Heartbeat,
    /// State that this entry read from the store itself. Serving entries pass it on to the entries of their failure
    /// domains that stand by.
    Direct,
    /// What each entry must learn at once.
    Everyone,
}

/// What an entry knows of its own traffic and of its peers' traffic.
#[derive(Debug, Clone, Default)]
pub struct TrafficFacts {
    /// Whether this entry has requests of callers in flight.
    pub has_requests: bool,
    /// Whether this entry served recently, so that callers and entries may still use it.
    pub has_served: bool,
    /// Peers that have requests in flight at targets.
    pub active_peers: BTreeSet<Incarnation>,
}

/// Recipients of the datagrams of one round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Whether this entry serves or has requests in flight, so that it sends datagrams every round.
    pub sends_every_round: bool,
    /// Entries of this failure domain that serve, are store delegates or have requests in flight.
    pub serving_near: Vec<SocketAddr>,
    /// Entries of other failure domains that serve, are store delegates or have requests in flight.
    pub serving_far: Vec<SocketAddr>,
    /// Other entries that receive heartbeats.
    pub standby: Vec<SocketAddr>,
}

impl Recipients {
    /// A random recipient to ask for descriptions of members. Serving entries of this failure domain know the most and
    /// are the cheapest to ask.
    pub fn to_ask(&self, random: &mut Rng) -> Option<SocketAddr> {
        let groups = [&self.serving_near, &self.serving_far, &self.standby];
        let group = groups.into_iter().find(|group| !group.is_empty())?;
        random.choice(group).copied()
    }
}

impl Membership {
    /// Whether this entry is one of the serving entries.
    pub fn is_serving(&self, now: Microseconds) -> bool {
        let own = self.own().incarnation;
        let mut serving = self.serving(now).into_iter();
        serving.any(|row| row.incarnation == own)
    }

    /// Selects the recipients of an update of this entry.
    pub fn recipients(
        &self,
        scope: UpdateScope,
        facts: &TrafficFacts,
        random: &mut Rng,
        now: Microseconds,
    ) -> Recipients {
        let own = self.own();
        let serving = incarnations(self.serving(now));
        let sends_every_round = serving.contains(&own.incarnation) || facts.has_requests;
        // Before any entry is ready, entries discover each other through the store delegates.
        let delegates = incarnations(self.delegates(now));
        let receives_rounds = |row: &MemberRow| {
            let peer = &row.incarnation;
            serving.contains(peer) || delegates.contains(peer) || facts.active_peers.contains(peer)
        };
        let (serving_rows, standby_rows): (Vec<&MemberRow>, Vec<&MemberRow>) = self
            .contactable_peers()
            .into_iter()
            .partition(|row| receives_rounds(row));
        let is_candidate = self.is_within_domain_rank(CANDIDATES_PER_DOMAIN, now);
        let is_stopping = own.state >= MemberState::Stopping;
        let domain = &own.failure_domain;
        let serving_near = near(&serving_rows, domain);
        let serving_far = far(&serving_rows, domain);
        let (serving_far, standby) = match scope {
            UpdateScope::Everyone => (serving_far, addresses(&standby_rows)),
            // Everybody may still name it to callers.
            UpdateScope::Heartbeat | UpdateScope::Direct if is_stopping && facts.has_served => {
                (serving_far, addresses(&standby_rows))
            }
            UpdateScope::Heartbeat if sends_every_round => {
                let standby =
                    near_and_sampled_far(&standby_rows, domain, STANDBY_RECIPIENTS, random);
                (serving_far, standby)
            }
            UpdateScope::Direct => {
                let standby = near_and_uncovered(&standby_rows, &serving_rows, domain);
                (serving_far, standby)
            }
            UpdateScope::Heartbeat if is_candidate => {
                let standby = sample(&standby_rows, STANDBY_RECIPIENTS, random);
                (serving_far, standby)
            }
            UpdateScope::Heartbeat => {
                let standby = sample(&standby_rows, STANDBY_RECIPIENTS_MIN, random);
                (Vec::new(), standby)
            }
        };
        Recipients {
            sends_every_round,
            serving_near,
            serving_far,
            standby,
        }
    }

    /// Heartbeats of `count` random live members, to be passed on.
    pub fn heartbeats_to_relay(
        &self,
        count: usize,
        random: &mut Rng,
        now: Microseconds,
    ) -> Vec<Heartbeat> {
        let live = self.live_peers(now);
        self.sample_heartbeats(live, count, random, now)
    }

    /// Heartbeats to be passed on to standby entries: from a serving entry those of the serving entries, and from any
    /// entry `count` random others.
    ///
    /// Standby entries name the serving entries of all failure domains to callers, but receive datagrams only from few of
    /// them.
    pub fn heartbeats_for_standby(
        &self,
        count: usize,
        random: &mut Rng,
        now: Microseconds,
    ) -> Vec<Heartbeat> {
        let serving: BTreeSet<Incarnation> = match self.is_serving(now) {
            true => incarnations(self.serving(now)),
            false => BTreeSet::new(),
        };
        let (serving, others): (Vec<&MemberRow>, Vec<&MemberRow>) = self
            .live_peers(now)
            .into_iter()
            .partition(|row| serving.contains(&row.incarnation));
        let mut heartbeats = self.sample_heartbeats(serving, SERVING_HEARTBEATS_MAX, random, now);
        heartbeats.extend(self.sample_heartbeats(others, count, random, now));
        heartbeats
    }

    fn sample_heartbeats(
        &self,
        mut rows: Vec<&MemberRow>,
        count: usize,
        random: &mut Rng,
        now: Microseconds,
    ) -> Vec<Heartbeat> {
        random.shuffle(&mut rows);
        let sampled = rows.into_iter().take(count);
        sampled
            .filter_map(|row| self.heartbeat_of(row.incarnation, now))
            .collect()
    }
}

fn incarnations(rows: Vec<&MemberRow>) -> BTreeSet<Incarnation> {
    rows.into_iter().map(|row| row.incarnation).collect()
}

fn addresses(rows: &[&MemberRow]) -> Vec<SocketAddr> {
    rows.iter().map(|row| row.peer_address).collect()
}

fn near(rows: &[&MemberRow], domain: &FailureDomain) -> Vec<SocketAddr> {
    rows.iter()
        .filter(|row| row.failure_domain == *domain)
        .map(|row| row.peer_address)
        .collect()
}

fn far(rows: &[&MemberRow], domain: &FailureDomain) -> Vec<SocketAddr> {
    rows.iter()
        .filter(|row| row.failure_domain != *domain)
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of random rows.
fn sample(rows: &[&MemberRow], count: usize, random: &mut Rng) -> Vec<SocketAddr> {
    random
        .choose_multiple(rows.iter(), count)
        .into_iter()
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of the entries that stand by in this failure domain or in one without a serving entry to tell them.
fn near_and_uncovered(
    standby_rows: &[&MemberRow],
    serving_rows: &[&MemberRow],
    domain: &FailureDomain,
) -> Vec<SocketAddr> {
    let covered: BTreeSet<&FailureDomain> = serving_rows
        .iter()
        .map(|row| &row.failure_domain)
        .filter(|covered| *covered != domain)
        .collect();
    standby_rows
        .iter()
        .filter(|row| !covered.contains(&row.failure_domain))
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of all rows of a failure domain and of random other rows.
fn near_and_sampled_far(
    rows: &[&MemberRow],
    domain: &FailureDomain,
    count: usize,
    random: &mut Rng,
) -> Vec<SocketAddr> {
    let far: Vec<&MemberRow> = rows
        .iter()
        .copied()
        .filter(|row| row.failure_domain != *domain)
        .collect();
    let mut selected = near(rows, domain);
    selected.extend(sample(&far, count, random));
    selected
}
