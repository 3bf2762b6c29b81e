//! Membership of the entries: which entries exist, which of them are live, and which serve a service.
//!
//! Input are the rows that entries publish about themselves, received directly, through a third entry or
//! from the store. Output are the live members, the rows to pass on and the entries named to callers.
//!
//! Only a member itself increments its heartbeat counter; other entries forward the counter unchanged, with
//! the time since they saw it increase. A message that was forwarded late therefore does not extend the
//! time for which a member counts as live. Each entry measures by its own clock for how long a counter has
//! not increased, so clocks need not agree. The
//! state of a member never moves back within one incarnation, so an announced stop is final.

use crate::member::Heartbeat;
use crate::member::HeartbeatSource;
use crate::member::Member;
use crate::member::MemberRow;
use crate::member::MemberState;
use crate::member::Silence;
use crate::ranking::Ranking;
use crate::ranking::is_ranked_alike;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::InstanceId;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use pinhaven_types::ServiceName;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of mean heartbeat gaps after which a member counts as silent.
const MISSED_GAPS_MAX: u64 = 4;
/// Maximum time for which any member may be silent, as a multiple of the minimum time.
const SILENCE_FACTOR_MAX: u64 = 5;

/// Maximum time for which a member may be silent and still serve callers, as a multiple of the minimum time. Unlike the
/// time for which a member counts as live, it does not grow with the interval at which the member is heard.
const SERVING_SILENCE_FACTOR: u64 = 2;

/// Time without a heartbeat after which a member is removed, as a multiple of the minimum silence.
const REMOVAL_FACTOR: u64 = 10;

/// All entries known to this entry, including itself.
#[derive(Debug)]
pub struct Membership {
    own: MemberRow,
    members: BTreeMap<Incarnation, Member>,
    ranking: Ranking,
    /// Whether answers to callers name the entries of the caller's failure domain first.
    pub(crate) names_near_first: bool,
    /// Members that last published a demand above zero.
    demanding: BTreeSet<Incarnation>,
    /// Number of members examined so far for the selections by rank.
    examined: Cell<u64>,
    silent_after: Microseconds,
    /// Silence after which a member is removed if a later incarnation of its instance is known.
    replaced_after: Microseconds,
    /// Silence after which any member is removed.
    remove_after: Microseconds,
}

impl Membership {
    /// Creates a membership that contains only this entry.
    ///
    /// `silent_after` is the minimum time without an increased heartbeat counter after which a member no
    /// longer counts as live. After ten times `silent_after` the member can be removed; see
    /// [`Self::with_removal_after`].
    pub fn new(own: MemberRow, silent_after: Microseconds) -> Self {
        let mut ranking = Ranking::default();
        ranking.insert(&own, tie_break_rank(&own));
        Self {
            own,
            members: BTreeMap::new(),
            ranking,
            names_near_first: false,
            demanding: BTreeSet::new(),
            examined: Cell::new(0),
            silent_after,
            replaced_after: Microseconds::new(silent_after.count() * REMOVAL_FACTOR),
            remove_after: Microseconds::new(silent_after.count() * REMOVAL_FACTOR),
        }
    }

    /// Sets the silence after which a member is removed, unless a later incarnation of its instance is known.
    ///
    /// Members that are heard seldom must be remembered for longer than the interval at which they are heard.
    pub fn with_removal_after(self, remove_after: Microseconds) -> Self {
        Self {
            remove_after: remove_after.max(self.replaced_after),
            ..self
        }
    }

    /// This entry's own row.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Known members other than this entry, live or not.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Increments the heartbeat counter and sets the version and epoch now in force.
    pub fn advance_heartbeat(&mut self, version: BundleVersion, epoch: u64) {
        self.own.heartbeat += 1;
        self.own.version = version;
        self.own.epoch = epoch;
    }

    /// Sets the rate of requests that this entry sends to targets for callers.
    pub fn set_demand(&mut self, demand: RequestRate) {
        self.own.demand = demand;
    }

    /// Sets whether the store does not answer this entry's calls.
    pub fn set_lacks_store(&mut self, lacks_store: bool) {
        self.own.lacks_store = lacks_store;
    }

    /// Advances this entry's state and increments the heartbeat counter. The state never moves back.
    pub fn advance_state(&mut self, state: MemberState) {
        self.own.state = self.own.state.max(state);
        self.own.heartbeat += 1;
    }

    /// Records a row that a member sent itself, which confirms the member.
    pub fn record_member(&mut self, row: MemberRow, now: Microseconds) {
        let incarnation = row.incarnation;
        self.record_relayed_member(row, Microseconds::ZERO, now);
        if let Some(member) = self.members.get_mut(&incarnation) {
            member.is_confirmed = true;
            member.last_source = HeartbeatSource::Member;
        }
    }

    /// Records a member's row received from the store or a third entry, with the age of its heartbeat. Returns whether
    /// the row is new.
    pub fn record_relayed_member(
        &mut self,
        row: MemberRow,
        age: Microseconds,
        now: Microseconds,
    ) -> bool {
        if row.incarnation == self.own.incarnation {
            return false;
        }
        let Some(member) = self.members.get_mut(&row.incarnation) else {
            self.insert(row, now.saturating_sub(age));
            return true;
        };
        if row.heartbeat <= member.row.heartbeat {
            return false;
        }
        if !is_ranked_alike(&member.row, &row) {
            self.ranking.remove(&member.row, member.rank);
            member.rank = tie_break_rank(&row);
            self.ranking.insert(&row, member.rank);
        }
        let heartbeat = Heartbeat {
            age,
            ..Heartbeat::of(&row)
        };
        let state = member.row.state;
        member.row = MemberRow { state, ..row };
        member.record_heartbeat(&heartbeat, HeartbeatSource::Relay, now);
        record_demand(&mut self.demanding, &heartbeat);
        true
    }

    /// Records a heartbeat of a member received from the member or a third entry. Returns whether the member is known.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Microseconds,
    ) -> bool {
        if heartbeat.incarnation == self.own.incarnation {
            return true;
        }
        let Some(member) = self.members.get_mut(&heartbeat.incarnation) else {
            return false;
        };
        if heartbeat.number > member.row.heartbeat {
            member.record_heartbeat(heartbeat, source, now);
            record_demand(&mut self.demanding, heartbeat);
        }
        true
    }

    fn insert(&mut self, row: MemberRow, heartbeat_at: Microseconds) {
        let rank = tie_break_rank(&row);
        self.ranking.insert(&row, rank);
        record_demand(&mut self.demanding, &Heartbeat::of(&row));
        let member = Member {
            rank,
            row,
            heartbeat_at,
            mean_gap: Microseconds::ZERO,
            is_confirmed: false,
            last_source: HeartbeatSource::Relay,
        };
        self.members.insert(member.row.incarnation, member);
    }

    /// Marks a member as gone after its address stopped answering as this incarnation.
    pub fn mark_gone(&mut self, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(&incarnation) {
            member.row.state = MemberState::Gone;
        }
    }

    /// Removes members that have been silent for too long, and earlier those that a later incarnation replaced.
    pub fn remove_silent(&mut self, now: Microseconds) {
        let mut last_heard: BTreeMap<SocketAddr, Microseconds> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.is_confirmed) {
            let heard_at = last_heard.entry(member.row.peer_address).or_default();
            *heard_at = member.heartbeat_at.max(*heard_at);
        }
        let (replaced_after, remove_after) = (self.replaced_after, self.remove_after);
        let is_removed = |member: &Member| {
            let silence = now.saturating_sub(member.heartbeat_at);
            let is_replaced = last_heard
                .get(&member.row.peer_address)
                .is_some_and(|heard_at| *heard_at > member.heartbeat_at);
            silence >= remove_after || (silence >= replaced_after && is_replaced)
        };
        for (incarnation, member) in self.members.extract_if(.., |_, member| is_removed(member)) {
            self.ranking.remove(&member.row, member.rank);
            self.demanding.remove(&incarnation);
        }
    }

    /// Whether a member is confirmed, not gone, and its heartbeat counter has increased recently.
    pub fn is_live(&self, member: &Member, now: Microseconds) -> bool {
        member.is_confirmed
            && member.row.state != MemberState::Gone
            && now.saturating_sub(member.heartbeat_at) < self.silent_after_of(member)
    }

    /// Time without an increased heartbeat counter after which a member no longer counts as live.
    ///
    /// Rows of a member that sends nothing to this entry arrive through third entries at longer intervals,
    /// so the limit grows with the member's mean gap.
    fn silent_after_of(&self, member: &Member) -> Microseconds {
        let silence_min = self.silent_after.count();
        let tolerated = member.mean_gap.count() * MISSED_GAPS_MAX;
        Microseconds::new(tolerated.clamp(silence_min, silence_min * SILENCE_FACTOR_MAX))
    }

    /// How long a known member has been silent.
    pub fn silence(&self, incarnation: Incarnation, now: Microseconds) -> Option<Silence> {
        let member = self.members.get(&incarnation)?;
        Some(Silence {
            duration: now.saturating_sub(member.heartbeat_at),
            limit: self.silent_after_of(member),
            last_source: member.last_source,
        })
    }

    /// Whether a live member was heard recently enough to be named to callers.
    fn is_nameable(&self, member: &Member, now: Microseconds) -> bool {
        let limit = Microseconds::new(self.silent_after.count() * SERVING_SILENCE_FACTOR);
        now.saturating_sub(member.heartbeat_at) < limit && self.is_live(member, now)
    }

    /// Whether this entry, or a live member that was heard recently enough, may be named to callers.
    pub(crate) fn may_be_named(&self, row: &MemberRow, now: Microseconds) -> bool {
        let Some(member) = self.members.get(&row.incarnation) else {
            return row.incarnation == self.own.incarnation;
        };
        self.is_nameable(member, now)
    }

    /// This entry and all live members, highest capacity first, in the order on which all entries agree.
    pub(crate) fn live_ranked(&self, now: Microseconds) -> impl Iterator<Item = &MemberRow> {
        self.ranking.incarnations().filter_map(move |incarnation| {
            self.examined.set(self.examined.get() + 1);
            self.live_row(incarnation, now)
        })
    }

    /// The row of this entry or of a live member.
    fn live_row(&self, incarnation: Incarnation, now: Microseconds) -> Option<&MemberRow> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        let member = self.members.get(&incarnation)?;
        self.is_live(member, now).then_some(&member.row)
    }

    /// Rows of this entry and of all live members that published a demand.
    pub(crate) fn live_demanding(&self, now: Microseconds) -> impl Iterator<Item = &MemberRow> {
        let demanding = self.demanding.iter();
        let members = demanding.filter_map(move |incarnation| self.live_row(*incarnation, now));
        std::iter::once(&self.own).chain(members)
    }

    /// Order and places of all known entries.
    pub(crate) fn ranking(&self) -> &Ranking {
        &self.ranking
    }

    /// Number of members examined so far for the selections by rank. At a given rate of selections, it shows whether
    /// their cost grows with the number of entries.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Heartbeats to pass on to peers: this entry's own, then those of all members that have not been removed.
    pub fn heartbeats(&self, now: Microseconds) -> Vec<Heartbeat> {
        let peers = self.members.values().map(|member| member.heartbeat(now));
        std::iter::once(Heartbeat::of(&self.own))
            .chain(peers)
            .collect()
    }

    /// Heartbeat to pass on of this entry or of a known member.
    pub fn heartbeat_of(&self, incarnation: Incarnation, now: Microseconds) -> Option<Heartbeat> {
        if incarnation == self.own.incarnation {
            return Some(Heartbeat::of(&self.own));
        }
        let member = self.members.get(&incarnation)?;
        Some(member.heartbeat(now))
    }

    /// Row of this entry or of a known member.
    pub fn row(&self, incarnation: Incarnation) -> Option<&MemberRow> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.members.get(&incarnation).map(|member| &member.row)
    }

    /// The known member with this incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Members that are worth contacting: all known members that are not marked as gone.
    pub fn contactable_peers(&self) -> Vec<&MemberRow> {
        self.members
            .values()
            .map(|member| &member.row)
            .filter(|row| row.state != MemberState::Gone)
            .collect()
    }

    /// Whether this entry is one of the `readers` entries of its failure domain that poll the head of the
    /// bundle history often. The other entries receive new versions from these readers.
    pub fn is_head_reader(&self, readers: usize, now: Microseconds) -> bool {
        let preceding = self
            .live_peers(now)
            .into_iter()
            .filter(|row| row.failure_domain == self.own.failure_domain)
            .filter(|row| row.instance_id < self.own.instance_id)
            .count();
        preceding < readers
    }

    /// Whether any member other than this entry is live.
    pub fn has_live_peer(&self, now: Microseconds) -> bool {
        self.members
            .values()
            .any(|member| self.is_live(member, now))
    }

    /// Whether more than half of the instances that may be running are live, this one included. Instances that said that
    /// they stop don't count, and of several incarnations of an instance one does.
    pub fn sees_majority(&self, now: Microseconds) -> bool {
        let mut instances: BTreeMap<&InstanceId, bool> = BTreeMap::new();
        for member in self.members.values() {
            if !member.is_confirmed || member.row.state >= MemberState::Stopping {
                continue;
            }
            let is_live = instances.entry(&member.row.instance_id).or_default();
            *is_live |= self.is_live(member, now);
        }
        instances.insert(&self.own.instance_id, true);
        let live = instances.values().filter(|is_live| **is_live).count();
        2 * live > instances.len()
    }

    /// Rows of the live members other than this entry.
    pub fn live_peers(&self, now: Microseconds) -> Vec<&MemberRow> {
        self.members
            .values()
            .filter(|member| self.is_live(member, now))
            .map(|member| &member.row)
            .collect()
    }

    /// Entries to name to callers in `domain` for a service: up to `named`, those of `domain` first.
    ///
    /// Each service has its own ranking, and every entry computes the same ranking from the same members.
    /// The callers of a service are therefore concentrated on a few entries, which see most of its load,
    /// while different services spread over all entries.
    pub fn entries_for(
        &self,
        service: &ServiceName,
        domain: Option<&FailureDomain>,
        named: usize,
        now: Microseconds,
    ) -> Vec<&MemberRow> {
        let heard = self.members.values().filter(|m| self.is_nameable(m, now));
        let all = std::iter::once(&self.own).chain(heard.map(|member| &member.row));
        let mut ranked: Vec<(Digest, &MemberRow)> = all
            .filter(|row| row.state == MemberState::Ready)
            .map(|row| (service_rank(service, row), row))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(named);
        ranked.sort_by_key(|(rank, row)| (Some(&row.failure_domain) != domain, *rank));
        ranked.into_iter().map(|(_, row)| row).collect()
    }

    /// Lowest and highest version in force in each failure domain, over this entry and live peers that are ready.
    pub fn versions_by_domain(
        &self,
        now: Microseconds,
    ) -> BTreeMap<FailureDomain, (BundleVersion, BundleVersion)> {
        let mut versions = BTreeMap::new();
        for row in self.live_peers(now).into_iter().chain([&self.own]) {
            if row.state != MemberState::Ready {
                continue;
            }
            versions
                .entry(row.failure_domain.clone())
                .and_modify(|(low, high): &mut (BundleVersion, BundleVersion)| {
                    *low = (*low).min(row.version);
                    *high = (*high).max(row.version);
                })
                .or_insert((row.version, row.version));
        }
        versions
    }
}

fn record_demand(demanding: &mut BTreeSet<Incarnation>, heartbeat: &Heartbeat) {
    match heartbeat.demand > RequestRate::ZERO {
        true => demanding.insert(heartbeat.incarnation),
        false => demanding.remove(&heartbeat.incarnation),
    };
}

/// Rank of an entry among entries of equal capacity; lower ranks serve first.
fn tie_break_rank(row: &MemberRow) -> u64 {
    Digest::of(row.instance_id.as_str().as_bytes()).short()
}

/// Rank of an entry for a service; lower ranks are named first.
fn service_rank(service: &ServiceName, row: &MemberRow) -> Digest {
    Digest::of_parts(&[
        service.as_str().as_bytes(),
        row.instance_id.as_str().as_bytes(),
    ])
}
