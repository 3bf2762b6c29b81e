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

use crate::ranking::Ranking;
use crate::ranking::is_ranked_alike;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::InstanceId;
use pinhaven_types::Microseconds;
use pinhaven_types::Region;
use pinhaven_types::RequestRate;
use pinhaven_types::ServiceName;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::IntoDeserializer;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Divisor of the moving average of heartbeat gaps: a new gap counts 1 in `GAP_WEIGHT`.
const GAP_WEIGHT: u64 = 4;
/// Number of mean heartbeat gaps after which a member counts as silent.
const MISSED_GAPS_MAX: u64 = 4;
/// Maximum time for which any member may be silent, as a multiple of the minimum time.
const SILENCE_FACTOR_MAX: u64 = 5;

/// Maximum time for which a member may be silent and still serve callers, as a multiple of the minimum time. Unlike the
/// time for which a member counts as live, it does not grow with the interval at which the member is heard.
const SERVING_SILENCE_FACTOR: u64 = 2;

/// Time without a heartbeat after which a member is removed, as a multiple of the minimum silence.
const REMOVAL_FACTOR: u64 = 10;

/// Life cycle of an entry, as published to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The entry does not know the version in force yet.
    Starting,
    /// The entry serves callers.
    Ready,
    /// The entry finishes its requests in flight; callers must not be sent to it.
    Stopping,
    /// The process has ended.
    Gone,
}

/// Description that an entry publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Incarnation of the entry, one process lifetime.
    pub incarnation: Incarnation,
    /// Instance id from the entry's settings.
    pub instance_id: InstanceId,
    /// Failure domain in which the entry runs.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain, in deployments with several regions.
    #[serde(default)]
    pub region: Option<Region>,
    /// Request rate that the entry's instance can carry.
    #[serde(default)]
    pub capacity: RequestRate,
    /// Recent peak rate of requests sent to targets for callers.
    #[serde(default)]
    pub demand: RequestRate,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which other entries connect.
    pub peer_address: SocketAddr,
    /// Current state in the life cycle.
    #[serde(deserialize_with = "state_from_name")]
    pub state: MemberState,
    /// Heartbeat counter, incremented by the entry alone.
    pub heartbeat: u64,
    /// Bundle version in force at the entry.
    pub version: BundleVersion,
    /// Current epoch of once-only requests.
    pub epoch: u64,
}

/// Deserializes a state from its name only.
///
/// The derived implementation also accepts an object with the name as its only key. No entry writes that
/// form, so a row that contains one comes from another writer and is rejected.
fn state_from_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<MemberState, D::Error> {
    let name = String::deserialize(deserializer)?;
    MemberState::deserialize(IntoDeserializer::<D::Error>::into_deserializer(name))
}

/// How the last heartbeat of a member was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// From the member itself.
    Member,
    /// From a third entry or the store.
    Relay,
}

impl HeartbeatSource {
    /// Name in records and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Relay => "relay",
        }
    }
}

/// How long a member has been silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time without an increased heartbeat counter.
    pub duration: Microseconds,
    /// Silence after which the member no longer counts as live.
    pub limit: Microseconds,
    /// How the last heartbeat was received.
    pub last_source: HeartbeatSource,
}

/// A peer's last row and when the peer was last known to be live.
#[derive(Debug, Clone)]
pub struct Member {
    /// Latest row of the member.
    pub row: MemberRow,
    /// Time at which the member last incremented its counter, as far as known, by this entry's clock.
    pub heartbeat_at: Microseconds,
    /// Moving average of the time between two increases of the heartbeat counter.
    mean_gap: Microseconds,
    /// Whether the member sent a row itself or its heartbeat counter was seen to increase. A relayed row
    /// alone may be long out of date.
    is_confirmed: bool,
    /// How the last heartbeat was received.
    last_source: HeartbeatSource,
    /// Rank in the order on which all entries agree, lowest first.
    rank: u64,
}

impl Member {
    /// Records a heartbeat that is newer than the last one.
    fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Microseconds,
    ) {
        self.row.state = self.row.state.max(heartbeat.state);
        self.row.heartbeat = heartbeat.number;
        self.row.version = heartbeat.version;
        self.row.epoch = heartbeat.epoch;
        self.row.demand = heartbeat.demand;
        let incremented_at = now.saturating_sub(heartbeat.age).max(self.heartbeat_at);
        let gap = incremented_at.saturating_sub(self.heartbeat_at);
        self.mean_gap = Microseconds::new(
            (self.mean_gap.count() * (GAP_WEIGHT - 1) + gap.count()) / GAP_WEIGHT,
        );
        self.heartbeat_at = incremented_at;
        self.last_source = source;
        self.is_confirmed = true;
    }

    /// The last heartbeat, to be passed on.
    fn heartbeat(&self, now: Microseconds) -> Heartbeat {
        Heartbeat {
            age: now.saturating_sub(self.heartbeat_at),
            ..Heartbeat::of(&self.row)
        }
    }
}

/// The part of a member's row that changes while the member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Heartbeat counter.
    pub number: u64,
    /// State in the life cycle.
    pub state: MemberState,
    /// Bundle version in force at the member.
    pub version: BundleVersion,
    /// Current epoch of once-only requests.
    pub epoch: u64,
    /// Recent peak rate of requests sent to targets for callers.
    pub demand: RequestRate,
    /// Time since the member incremented the counter, as far as the sender of the heartbeat knows.
    pub age: Microseconds,
}

impl Heartbeat {
    /// The heartbeat of a row that its member has just written.
    pub fn of(row: &MemberRow) -> Self {
        Self {
            age: Microseconds::ZERO,
            incarnation: row.incarnation,
            number: row.heartbeat,
            state: row.state,
            version: row.version,
            epoch: row.epoch,
            demand: row.demand,
        }
    }
}

/// All entries known to this entry, including itself.
#[derive(Debug)]
pub struct Membership {
    own: MemberRow,
    members: BTreeMap<Incarnation, Member>,
    ranking: Ranking,
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
