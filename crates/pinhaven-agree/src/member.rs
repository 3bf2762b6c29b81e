//! One member of the entries: its row, its heartbeats and its silence.
//!
//! Only a member itself increments its heartbeat counter; other entries pass the counter on unchanged, with the time since
//! they saw it increase. Each entry measures by its own clock for how long a counter has not increased.

use pinhaven_types::BundleVersion;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::InstanceId;
use pinhaven_types::Microseconds;
use pinhaven_types::Region;
use pinhaven_types::RequestRate;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error as _;
use serde::de::IntoDeserializer;
use std::net::SocketAddr;

/// Divisor of the moving average of heartbeat gaps: a new gap counts 1 in `GAP_WEIGHT`.
const GAP_WEIGHT: u64 = 4;

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
    #[serde(deserialize_with = "address_with_port")]
    pub caller_address: SocketAddr,
    /// Address at which other entries connect.
    #[serde(deserialize_with = "address_with_port")]
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
    /// Whether the store does not answer the entry's calls, so that others should make them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_store: bool,
}

/// Deserializes an address to which something can be sent.
fn address_with_port<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    let address = SocketAddr::deserialize(deserializer)?;
    match address.port() {
        0 => Err(D::Error::custom(format!("{address} has port 0"))),
        _ => Ok(address),
    }
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
    pub(crate) mean_gap: Microseconds,
    /// Whether the member sent a row itself or its heartbeat counter was seen to increase. A relayed row
    /// alone may be long out of date.
    pub(crate) is_confirmed: bool,
    /// How the last heartbeat was received.
    pub(crate) last_source: HeartbeatSource,
    /// Rank in the order on which all entries agree, lowest first.
    pub(crate) rank: u64,
}

impl Member {
    /// Records a heartbeat that is newer than the last one.
    pub(crate) fn record_heartbeat(
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
        self.row.lacks_store = heartbeat.lacks_store;
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
    pub(crate) fn heartbeat(&self, now: Microseconds) -> Heartbeat {
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
    /// Whether the store does not answer the member's calls.
    pub lacks_store: bool,
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
            lacks_store: row.lacks_store,
        }
    }
}
