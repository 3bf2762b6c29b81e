//! What entries tell each other.
//!
//! Datagrams and calls of other entries come in and go out: who lives, what each has under way, versions and leaving
//! targets. Run as tasks by `start`.

pub(crate) mod gossip;
pub(crate) mod gossip_message;
pub(crate) mod news;
pub(crate) mod news_hearing;
pub(crate) mod news_message;
pub(crate) mod peer_rows;
pub(crate) mod recipients;
