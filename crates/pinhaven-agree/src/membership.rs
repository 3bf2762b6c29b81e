//! Who is an entry, and which entries callers are told to use.
//!
//! A member counts its own heartbeats; others only pass the counts on, so a late message never makes a
//! member look more alive than it was. Each entry judges by its own clock how long a count has stood
//! still. A member's word that it stops is final for its incarnation.

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
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weight of the gaps between heartbeats that were heard before, against one of the new.
const GAP_WEIGHT: u64 = 4;
/// Usual gaps after which a member counts as silent.
const MISSED_GAPS_MAX: u64 = 4;
/// The most time for which any member may be silent, in times the least.
const SILENCE_FACTOR_MAX: u64 = 5;

/// Life cycle of an entry, as it tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It does not know the version in force yet.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what it has; callers must not be sent to it.
    Stopping,
    /// It is no more.
    Gone,
}

/// What an entry says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its name in the settings.
    pub instance_id: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The region that its failure domain belongs to, where there are several.
    #[serde(default)]
    pub region: Option<Region>,
    /// Requests that its instance can carry.
    #[serde(default)]
    pub capacity: RequestRate,
    /// Requests that it sends to targets for callers, the most of the last seconds.
    #[serde(default)]
    pub demand: RequestRate,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// How far it is in its life.
    #[serde(deserialize_with = "state_from_name")]
    pub state: MemberState,
    /// Heartbeats so far.
    pub heartbeat: u64,
    /// Bundle version in force there.
    pub version: BundleVersion,
    /// Its current epoch of once-only requests.
    pub epoch: u64,
}

/// A state from its name. By itself a state is also read from an object with the name as its field, which
/// only another writer would send.
fn state_from_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<MemberState, D::Error> {
    let name = String::deserialize(deserializer)?;
    MemberState::deserialize(IntoDeserializer::<D::Error>::into_deserializer(name))
}

/// An entry as this one sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it last said.
    pub row: MemberRow,
    /// When its heartbeat count last grew, by this entry's clock.
    pub heartbeat_at: Microseconds,
    /// Time between two such moments, on average.
    mean_gap: Microseconds,
    /// Whether it was heard itself or its count was seen to grow; a row alone may be long out of date.
    is_confirmed: bool,
    /// Its place in the order that all entries agree on.
    rank: u64,
}

/// All entries that this one knows of.
#[derive(Debug)]
pub struct Membership {
    own: MemberRow,
    own_rank: u64,
    members: BTreeMap<Incarnation, Member>,
    silent_after: Microseconds,
    forget_after: Microseconds,
}

impl Membership {
    /// A membership that knows only this entry. A member whose heartbeats stand still for
    /// `silent_after` is not told to callers; after ten times that it is forgotten.
    pub fn new(own: MemberRow, silent_after: Microseconds) -> Self {
        Self {
            own_rank: rank_of(&own),
            own,
            members: BTreeMap::new(),
            silent_after,
            forget_after: Microseconds::new(silent_after.count() * 10),
        }
    }

    /// What this entry says of itself.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// The other entries.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Beats the heart once, with what is in force now.
    pub fn advance_heartbeat(&mut self, version: BundleVersion, epoch: u64) {
        self.own.heartbeat += 1;
        self.own.version = version;
        self.own.epoch = epoch;
    }

    /// Takes in how many requests this entry carries for callers.
    pub fn set_demand(&mut self, demand: RequestRate) {
        self.own.demand = demand;
    }

    /// Moves this entry on in its life; it never moves back.
    pub fn advance_state(&mut self, state: MemberState) {
        self.own.state = self.own.state.max(state);
        self.own.heartbeat += 1;
    }

    /// Takes in what another entry said of itself.
    pub fn record_member(&mut self, row: MemberRow, now: Microseconds) {
        let incarnation = row.incarnation;
        self.record_relayed_member(row, now);
        if let Some(member) = self.members.get_mut(&incarnation) {
            member.is_confirmed = true;
        }
    }

    /// Takes in what the platform or a third entry said of another one. Returns whether it was news.
    pub fn record_relayed_member(&mut self, row: MemberRow, now: Microseconds) -> bool {
        if row.incarnation == self.own.incarnation {
            return false;
        }
        let Some(member) = self.members.get_mut(&row.incarnation) else {
            let member = Member {
                rank: rank_of(&row),
                row,
                heartbeat_at: now,
                mean_gap: Microseconds::ZERO,
                is_confirmed: false,
            };
            self.members.insert(member.row.incarnation, member);
            return true;
        };
        if row.heartbeat <= member.row.heartbeat {
            return false;
        }
        let state = member.row.state.max(row.state);
        member.row = MemberRow { state, ..row };
        let gap = now.saturating_sub(member.heartbeat_at);
        member.mean_gap = Microseconds::new(
            (member.mean_gap.count() * (GAP_WEIGHT - 1) + gap.count()) / GAP_WEIGHT,
        );
        member.heartbeat_at = now;
        member.is_confirmed = true;
        true
    }

    /// Takes in that an address does not answer as this incarnation any more.
    pub fn mark_gone(&mut self, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(&incarnation) {
            member.row.state = MemberState::Gone;
        }
    }

    /// Forgets members that have been silent for long.
    pub fn remove_silent(&mut self, now: Microseconds) {
        let forget_after = self.forget_after;
        self.members
            .retain(|_, member| now.saturating_sub(member.heartbeat_at) < forget_after);
    }

    /// Whether a member's heart beats, as far as can be told.
    pub fn is_live(&self, member: &Member, now: Microseconds) -> bool {
        member.is_confirmed
            && member.row.state != MemberState::Gone
            && now.saturating_sub(member.heartbeat_at) < self.silent_after_of(member)
    }

    /// How long a member may be silent. One that is heard of through others, now and then, is not gone
    /// because it was not heard of for as long as one that speaks to this entry itself may be silent.
    fn silent_after_of(&self, member: &Member) -> Microseconds {
        let least = self.silent_after.count();
        let usual = member.mean_gap.count() * MISSED_GAPS_MAX;
        Microseconds::new(usual.clamp(least, least * SILENCE_FACTOR_MAX))
    }

    /// This entry and all live members, with the ranks that all entries agree on.
    pub(crate) fn live_ranked(&self, now: Microseconds) -> impl Iterator<Item = (u64, &MemberRow)> {
        let live = self.members.values().filter(move |m| self.is_live(m, now));
        let others = live.map(|member| (member.rank, &member.row));
        std::iter::once((self.own_rank, &self.own)).chain(others)
    }

    /// All rows to pass on: this entry's own and those of members that are not long silent.
    pub fn rows(&self) -> Vec<MemberRow> {
        let others = self.members.values().map(|member| member.row.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// The member with this incarnation, if it is known.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Members to talk to: those not known to be gone, heard of in any way not long ago.
    pub fn contactable_peers(&self) -> Vec<&MemberRow> {
        self.members
            .values()
            .map(|member| &member.row)
            .filter(|row| row.state != MemberState::Gone)
            .collect()
    }

    /// Whether this entry is one of the `readers` of its failure domain who look at the platform's
    /// head of the bundle history often; the others hear of new versions from them.
    pub fn is_head_reader(&self, readers: usize, now: Microseconds) -> bool {
        let before = self
            .live_peers(now)
            .into_iter()
            .filter(|row| row.failure_domain == self.own.failure_domain)
            .filter(|row| row.instance_id < self.own.instance_id)
            .count();
        before < readers
    }

    /// Live members.
    pub fn live_peers(&self, now: Microseconds) -> Vec<&MemberRow> {
        self.members
            .values()
            .filter(|member| self.is_live(member, now))
            .map(|member| &member.row)
            .collect()
    }

    /// The entries that callers in `domain` are told to use for a service, nearest first.
    ///
    /// Every entry ranks the same members the same way, so the callers of a service meet at few
    /// entries and those see most of its load; another service ranks them another way.
    pub fn entries_for(
        &self,
        service: &ServiceName,
        domain: Option<&FailureDomain>,
        named: usize,
        now: Microseconds,
    ) -> Vec<&MemberRow> {
        let live = self.members.values().filter(|m| self.is_live(m, now));
        let all = std::iter::once(&self.own).chain(live.map(|member| &member.row));
        let mut ranked: Vec<(Digest, &MemberRow)> = all
            .filter(|row| row.state == MemberState::Ready)
            .map(|row| (rank(service, row), row))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(named);
        ranked.sort_by_key(|(rank, row)| (Some(&row.failure_domain) != domain, *rank));
        ranked.into_iter().map(|(_, row)| row).collect()
    }

    /// The lowest and highest version in force in each failure domain, over live members.
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

/// Rank of an entry among all, the lower the sooner it serves.
fn rank_of(row: &MemberRow) -> u64 {
    Digest::of(row.instance_id.as_str().as_bytes()).short()
}

/// Rank of an entry for a service, the lower the sooner.
fn rank(service: &ServiceName, row: &MemberRow) -> Digest {
    Digest::of_parts(&[
        service.as_str().as_bytes(),
        row.instance_id.as_str().as_bytes(),
    ])
}
