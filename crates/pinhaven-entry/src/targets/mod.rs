//! State of the targets and connections to them.
//!
//! Input is the list of targets from the store or from peers, answers to probes, directives in targets' answers and
//! peers' updates on leaving targets. Output is the target state on which `request` bases its decisions, and open
//! connections. The periodic tasks are started by `start`.

pub(crate) mod added_attempts;
pub(crate) mod cold_targets;
pub(crate) mod connectivity;
pub(crate) mod drains;
pub(crate) mod leaving;
pub(crate) mod leaving_targets;
pub(crate) mod listed_targets;
pub(crate) mod orders;
pub(crate) mod owned_targets;
pub(crate) mod pool;
pub(crate) mod probes;
pub(crate) mod restarts;
pub(crate) mod seats;
pub(crate) mod speed_probes;
