//! Crashes of targets, and the requests that were in flight at the crashed targets.
//!
//! `request` reports the outcomes of attempts and checks whether an attempt may be sent. `pinhaven-decide` evaluates
//! the evidence. `peers` carries the evidence to other entries in datagrams and exchanges; new evidence is sent at
//! once.

pub(crate) mod advertise;
pub(crate) mod fingerprints;
pub(crate) mod record;
pub(crate) mod watch;
