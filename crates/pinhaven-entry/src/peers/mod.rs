//! Communication between entries.
//!
//! Datagrams and RPCs carry the live members, their requests in flight, bundle versions and leaving targets. `start`
//! runs the senders and receivers as tasks.

pub(crate) mod datagram_receiver;
pub(crate) mod datagram_sender;
pub(crate) mod gossip;
pub(crate) mod gossip_message;
pub(crate) mod organisation_counts;
pub(crate) mod peer_counts;
pub(crate) mod peer_rows;
pub(crate) mod reach;
pub(crate) mod recipients;
