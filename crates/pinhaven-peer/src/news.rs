//! State updates that entries send each other as datagrams.
//!
//! A datagram may be lost, late or out of order, so each carries current state and never a change: the next
//! datagram compensates for a lost one. The sender's heartbeat counter orders its datagrams.

use crate::Beat;
use crate::Identity;
use crate::Suspect;

/// Load and speed of one target, as one entry sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetNews {
    /// Short hash of the target's id.
    pub key: u32,
    /// Number of the sender's requests in flight at the target.
    pub in_flight: u32,
    /// Slowdown that the target last reported, in tenths: 10 is normal speed, 0 means no report.
    pub slowdown_tenths: u32,
    /// Age of the reported slowdown, in milliseconds.
    pub age_ms: u32,
    /// Time for which the target stays cold, in tenths of a second, rounded up; 0 if it is warm or the sender does not
    /// know.
    pub cold_left_tenths: u32,
}

/// Load and speed of several targets, one column per field. Columns take seven bytes per target, half of
/// what one message per target takes, and entries send hundreds of targets many times a second. The column of cold
/// targets takes one byte more and is left out while all are warm.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TargetColumns {
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    in_flight: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    slowdown_tenths: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    age_ms: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    cold_left_tenths: Vec<u32>,
}

impl TargetColumns {
    /// Encodes `targets` as columns.
    pub fn new(targets: &[TargetNews]) -> Self {
        let column = |field: fn(&TargetNews) -> u32| targets.iter().map(field).collect();
        let is_any_cold = targets.iter().any(|target| target.cold_left_tenths > 0);
        Self {
            keys: column(|target| target.key),
            in_flight: column(|target| target.in_flight),
            slowdown_tenths: column(|target| target.slowdown_tenths),
            age_ms: column(|target| target.age_ms),
            cold_left_tenths: match is_any_cold {
                true => column(|target| target.cold_left_tenths),
                false => Vec::new(),
            },
        }
    }

    /// Decodes the targets. Columns of different lengths, which only a faulty sender produces, are cut to the shortest.
    pub fn rows(&self) -> Vec<TargetNews> {
        let load = self.keys.iter().zip(&self.in_flight);
        let speed = self.slowdown_tenths.iter().zip(&self.age_ms);
        let cold = self.cold_left_tenths.iter().chain(std::iter::repeat(&0));
        let rows = load.zip(speed).zip(cold).map(
            |(((key, in_flight), (slowdown, age_ms)), cold_left_tenths)| TargetNews {
                key: *key,
                in_flight: *in_flight,
                slowdown_tenths: *slowdown,
                age_ms: *age_ms,
                cold_left_tenths: *cold_left_tenths,
            },
        );
        rows.collect()
    }
}

/// Revision, digest and freshness of an entry's list of targets.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ListNews {
    /// Revision of the store at which the list was read.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the fields of the list that matter to routing.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Time since the store itself last confirmed the list to the sender, in milliseconds; absent if the
    /// store never did.
    #[prost(uint32, optional, tag = "3")]
    pub age_ms: Option<u32>,
    /// How long the store has answered every read of the sender, in milliseconds; absent if the last read
    /// failed or the sender does not read the store.
    #[prost(uint32, optional, tag = "4")]
    pub steady_ms: Option<u32>,
    /// Time since the store last confirmed the list to any entry, as far as a serving sender knows, in milliseconds;
    /// absent from other senders. Not to be passed on.
    #[prost(uint32, optional, tag = "5")]
    pub heard_age_ms: Option<u32>,
}

/// The failure domains that operators have drained, as of one revision of the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainNews {
    /// Revision of the store.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The drained failure domains.
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
}

/// Whether an entry reaches the targets of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceReach {
    /// Short hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Time since the entry heard any target of the service itself, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub heard_age_ms: u32,
    /// Incarnation of the entry; empty for the sender.
    #[prost(bytes = "vec", tag = "3")]
    pub incarnation: Vec<u8>,
    /// Whether the entry reaches no target of the service, while others do.
    #[prost(bool, tag = "4")]
    pub is_lost: bool,
}

/// Numbers of requests that the sender has admitted since its start, by organisation, one column per field. A row takes
/// about seven bytes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrganisationColumns {
    /// Short hashes of the organisations' names.
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    counts: Vec<u32>,
}

impl OrganisationColumns {
    /// Encodes pairs of a key and a count as columns.
    pub fn new(rows: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let (keys, counts) = rows.into_iter().unzip();
        Self { keys, counts }
    }

    /// Decodes the rows. Columns of different lengths are cut to the shorter one.
    pub fn rows(&self) -> impl Iterator<Item = (u32, u32)> {
        self.keys.iter().copied().zip(self.counts.iter().copied())
    }
}

/// A datagram of state updates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct News {
    /// Identity of the sender, in some datagrams only. In the others, only the first heartbeat identifies the
    /// sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Identity>,
    /// Heartbeats of known entries, the sender's first.
    #[prost(message, repeated, tag = "2")]
    pub beats: Vec<Beat>,
    /// Identities of entries that the receiver requested in `wanted`.
    #[prost(message, repeated, tag = "3")]
    pub identities: Vec<Identity>,
    /// Incarnations of which the sender has only the heartbeat and requests the identity.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub wanted: Vec<Vec<u8>>,
    /// State of the sender's list of targets.
    #[prost(message, optional, tag = "5")]
    pub list: Option<ListNews>,
    /// Targets with load or speed to advertise.
    #[prost(message, optional, tag = "6")]
    pub targets: Option<TargetColumns>,
    /// Whether the sender has no requests in flight at targets that are missing from `targets`.
    #[prost(bool, tag = "7")]
    pub is_whole: bool,
    /// Requests that were in flight when targets crashed and whose state is to be advertised.
    #[prost(message, repeated, tag = "8")]
    pub suspects: Vec<Suspect>,
    /// Short hashes of target runs that announced directly to the sender that they are leaving.
    #[prost(fixed32, repeated, tag = "9")]
    pub leaving: Vec<u32>,
    /// Entries that hear targets of services: the sender, and for entries that stand by also others.
    #[prost(message, repeated, tag = "10")]
    pub reaches: Vec<ServiceReach>,
    /// Drained failure domains, if the sender knows which they are.
    #[prost(message, optional, tag = "11")]
    pub drains: Option<DrainNews>,
    /// Requests admitted by organisation: those whose number changed. Present and empty if none changed and the sender
    /// serves; absent if the sender has nothing to say about organisations.
    #[prost(message, optional, tag = "12")]
    pub organisations: Option<OrganisationColumns>,
}
