//! News that entries send each other as datagrams.
//!
//! A datagram may be lost or come late, so each says what holds now and never what has changed: the
//! next one makes good for it. A sender's heartbeat count orders its datagrams.

use crate::Beat;
use crate::Identity;
use crate::Suspect;

/// What an entry says of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetNews {
    /// Short hash of the target's id.
    pub key: u32,
    /// Requests of the sender that the target holds.
    pub in_flight: u32,
    /// The target's last word on how long work takes there, 10 as usual; 0 if there is none.
    pub slowdown_tenths: u32,
    /// Age of that word, in milliseconds.
    pub age_ms: u32,
}

/// What an entry says of several targets, a column for each figure: seven bytes a target, half of what
/// a message for each would take, and hundreds are told many times a second.
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
}

impl TargetColumns {
    /// These targets in columns.
    pub fn new(targets: &[TargetNews]) -> Self {
        let column = |figure: fn(&TargetNews) -> u32| targets.iter().map(figure).collect();
        Self {
            keys: column(|target| target.key),
            in_flight: column(|target| target.in_flight),
            slowdown_tenths: column(|target| target.slowdown_tenths),
            age_ms: column(|target| target.age_ms),
        }
    }

    /// The targets. Figures that a bad sender left out are missing with their targets.
    pub fn rows(&self) -> Vec<TargetNews> {
        let load = self.keys.iter().zip(&self.in_flight);
        let speed = self.slowdown_tenths.iter().zip(&self.age_ms);
        let rows = load
            .zip(speed)
            .map(|((key, in_flight), (slowdown, age_ms))| TargetNews {
                key: *key,
                in_flight: *in_flight,
                slowdown_tenths: *slowdown,
                age_ms: *age_ms,
            });
        rows.collect()
    }
}

/// Which list of targets an entry has.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ListNews {
    /// The store's revision at which it was read.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of what matters of it.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Time since the store said to the sender itself that it is right, in milliseconds; missing if
    /// it never did.
    #[prost(uint32, optional, tag = "3")]
    pub age_ms: Option<u32>,
    /// How long the store has answered all of the sender's reads, in milliseconds; missing if it did
    /// not answer the last, or the sender does not read.
    #[prost(uint32, optional, tag = "4")]
    pub steady_ms: Option<u32>,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct News {
    /// Who sends, at times in full; its beat alone names it else.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Identity>,
    /// Heartbeats, the sender's first.
    #[prost(message, repeated, tag = "2")]
    pub beats: Vec<Beat>,
    /// Entries that the receiver asked about.
    #[prost(message, repeated, tag = "3")]
    pub identities: Vec<Identity>,
    /// Entries of which the sender knows only the beat.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub wanted: Vec<Vec<u8>>,
    /// The sender's list of targets.
    #[prost(message, optional, tag = "5")]
    pub list: Option<ListNews>,
    /// Targets of which there is something to say.
    #[prost(message, optional, tag = "6")]
    pub targets: Option<TargetColumns>,
    /// Whether the sender has no requests at any target that is not named.
    #[prost(bool, tag = "7")]
    pub is_whole: bool,
    /// Requests that were under way when targets crashed, of which there is something to say.
    #[prost(message, repeated, tag = "8")]
    pub suspects: Vec<Suspect>,
    /// Short hashes of runs of targets that told the sender themselves that they leave.
    #[prost(fixed32, repeated, tag = "9")]
    pub leaving: Vec<u32>,
}
