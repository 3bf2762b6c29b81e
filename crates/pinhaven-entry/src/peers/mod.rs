//! What entries tell each other.
//!
//! Datagrams and calls of other entries come in and go out: who lives, what each has under way, versions and leaving
//! targets. Run as tasks by `start`.

pub(crate) mod datagram_receiver;
pub(crate) mod datagram_sender;
pub(crate) mod gossip;
pub(crate) mod gossip_message;
pub(crate) mod peer_counts;
pub(crate) mod peer_rows;
pub(crate) mod recipients;
