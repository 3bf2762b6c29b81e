//! Targets that crash while they work, and which requests were under way there.
//!
//! `request` tells what became of attempts and asks whether one may be sent; `pinhaven-decide` judges. What is known goes
//! to other entries with the news of `peers`, at once where it is news.

pub(crate) mod advertise;
pub(crate) mod fingerprints;
pub(crate) mod record;
pub(crate) mod watch;
