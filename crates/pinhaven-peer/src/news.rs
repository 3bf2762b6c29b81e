//! News that entries send each other as datagrams.
//!
//! A datagram may be lost or come late, so each says what holds now and never what has changed: the
//! next one makes good for it. A sender's heartbeat count orders its datagrams.

use crate::Beat;
use crate::Identity;

/// What an entry says of a target.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TargetNews {
    /// Short hash of the target's id.
    #[prost(fixed32, tag = "1")]
    pub key: u32,
    /// Requests of the sender that the target holds.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// The target's last word on how long work takes there, 100 as usual; 0 if there is none.
    #[prost(uint32, tag = "3")]
    pub slowdown_percent: u32,
    /// Age of that word, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
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
    #[prost(message, repeated, tag = "6")]
    pub targets: Vec<TargetNews>,
    /// Whether the sender has no requests at any target that is not named.
    #[prost(bool, tag = "7")]
    pub is_whole: bool,
}
