//! What this entry knows and keeps of targets.
//!
//! Lists from the store or peers, answers to probes and news of leaving targets come in; the state that `request` decides
//! by, and open connections, go out. Run as tasks by `start`.

pub(crate) mod added_attempts;
pub(crate) mod leaving;
pub(crate) mod leaving_targets;
pub(crate) mod listed_targets;
pub(crate) mod orders;
pub(crate) mod owned_targets;
pub(crate) mod pool;
pub(crate) mod probes;
pub(crate) mod reported_leaves;
pub(crate) mod restarts;
pub(crate) mod seats;
pub(crate) mod speed_probes;
