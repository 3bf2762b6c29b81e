//! Which entries hear the targets of a service, and the choice of an entry to forward requests to.
//!
//! Each entry tells others when it last heard any target of a service itself. An entry that has lost its own links to
//! the targets forwards requests to one that heard them later, in its own failure domain if possible: a route through
//! another failure domain costs bytes between the two.

use crate::member::MemberState;
use crate::membership::Membership;
use fastrand::Rng;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time since an entry heard targets from which it no longer counts as reaching them. Entries tell each other every
/// 500 ms, and a few datagrams may be lost.
const REACH_AGE_MAX: Microseconds = Microseconds::from_ms(2_500);

/// Short hash of a service's name, by which entries identify the service among themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// The key of a service.
    pub fn new(service: &ServiceName) -> Self {
        Self(Digest::of(service.as_str().as_bytes()).short() as u32)
    }
}

/// An entry to which requests can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarder {
    /// Run of the entry.
    pub incarnation: Incarnation,
    /// Address at which the entry accepts calls of other entries.
    pub peer_address: SocketAddr,
}

/// When other entries last heard targets of each service, and which entries have lost their links to them.
#[derive(Debug, Default)]
pub struct TargetReach {
    heard_at: HashMap<ServiceKey, HashMap<Incarnation, Microseconds>>,
    /// When each entry last stated that it reaches no target of a service.
    lost_at: HashMap<Incarnation, HashMap<ServiceKey, Microseconds>>,
}

impl TargetReach {
    /// Records that an entry heard a target of a service at `heard_at`. An earlier time than the known one is ignored.
    pub fn record(&mut self, service: ServiceKey, entry: Incarnation, heard_at: Microseconds) {
        if let Some(lost) = self.lost_at.get_mut(&entry) {
            lost.remove(&service);
        }
        let known = self.heard_at.entry(service).or_default();
        let known = known.entry(entry).or_insert(heard_at);
        *known = heard_at.max(*known);
    }

    /// Records that an entry stated at `now` that it reaches no target of a service.
    pub fn record_lost(&mut self, service: ServiceKey, entry: Incarnation, now: Microseconds) {
        if let Some(known) = self.heard_at.get_mut(&service) {
            known.remove(&entry);
        }
        self.lost_at.entry(entry).or_default().insert(service, now);
    }

    /// Services whose targets an entry does not reach, as it stated recently.
    pub fn lost_services(&self, entry: Incarnation, now: Microseconds) -> Vec<ServiceKey> {
        let lost = self.lost_at.get(&entry).into_iter().flatten();
        let recent = lost.filter(|(_, at)| is_recent(**at, now));
        recent.map(|(service, _)| *service).collect()
    }

    /// Whether any other entry heard a target of a service after `since`.
    pub fn is_heard_since(&self, service: ServiceKey, since: Microseconds) -> bool {
        let entries = self.heard_at.get(&service);
        entries.is_some_and(|entries| entries.values().any(|heard_at| *heard_at > since))
    }

    /// Removes what is too old to be of use.
    pub fn remove_old(&mut self, now: Microseconds) {
        self.heard_at.retain(|_, entries| {
            entries.retain(|_, heard_at| is_recent(*heard_at, now));
            !entries.is_empty()
        });
        self.lost_at.retain(|_, services| {
            services.retain(|_, at| is_recent(*at, now));
            !services.is_empty()
        });
    }

    /// Up to `count` entries that heard the targets of a service last, with the time since.
    pub fn latest(
        &self,
        service: ServiceKey,
        count: usize,
        now: Microseconds,
    ) -> Vec<(Incarnation, Microseconds)> {
        let mut latest: Vec<(Incarnation, Microseconds)> = self
            .recent(service, now)
            .map(|(entry, heard_at)| (entry, now.saturating_sub(heard_at)))
            .collect();
        latest.sort_by_key(|(entry, age)| (*age, *entry));
        latest.truncate(count);
        latest
    }

    /// Services of which any other entry heard targets recently.
    pub fn services(&self) -> impl Iterator<Item = ServiceKey> {
        self.heard_at.keys().copied()
    }

    /// Chooses an entry that reaches the targets of a service and was not asked before, at random in proportion to its
    /// capacity. Entries that heard targets after `lost_at`, when this entry lost its own links, are preferred, then
    /// those of the own failure domain.
    pub fn choose(
        &self,
        service: ServiceKey,
        members: &Membership,
        lost_at: Microseconds,
        asked: &[Incarnation],
        random: &mut Rng,
        now: Microseconds,
    ) -> Option<Forwarder> {
        let domain = &members.own().failure_domain;
        let mut best_rank = (false, false);
        let mut candidates = Vec::new();
        for (entry, heard_at) in self.recent(service, now) {
            let Some(member) = members.member(entry) else {
                continue;
            };
            let is_usable = member.row.state == MemberState::Ready && members.is_live(member, now);
            if !is_usable || asked.contains(&entry) {
                continue;
            }
            let rank = (heard_at > lost_at, member.row.failure_domain == *domain);
            if rank > best_rank {
                candidates.clear();
                best_rank = rank;
            }
            if rank == best_rank {
                candidates.push(&member.row);
            }
        }
        // The order of a hash map differs between runs.
        candidates.sort_by_key(|row| row.incarnation);
        let weight = |capacity: u32| u64::from(capacity.max(1));
        let total = candidates
            .iter()
            .map(|row| weight(row.capacity.per_second()))
            .sum();
        let mut position = random.u64(..u64::max(total, 1));
        let chosen = candidates.into_iter().find(|row| {
            let weight = weight(row.capacity.per_second());
            let is_chosen = position < weight;
            position = position.saturating_sub(weight);
            is_chosen
        })?;
        Some(Forwarder {
            incarnation: chosen.incarnation,
            peer_address: chosen.peer_address,
        })
    }

    fn recent(
        &self,
        service: ServiceKey,
        now: Microseconds,
    ) -> impl Iterator<Item = (Incarnation, Microseconds)> {
        let entries = self.heard_at.get(&service).into_iter().flatten();
        entries
            .map(|(entry, heard_at)| (*entry, *heard_at))
            .filter(move |(_, heard_at)| is_recent(*heard_at, now))
    }
}

fn is_recent(heard_at: Microseconds, now: Microseconds) -> bool {
    now.saturating_sub(heard_at) <= REACH_AGE_MAX
}
