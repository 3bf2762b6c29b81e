//! A request on its way to targets and back.
//!
//! A [`Job`](crate::callers::job::Job) comes in; what `pinhaven-decide` says is carried out, and the caller's answer goes
//! out. Called by `callers` and `once_only`.

pub(crate) mod answer_body;
pub(crate) mod attempt;
pub(crate) mod capacity_waiters;
pub(crate) mod dispatch;
pub(crate) mod record_context;
