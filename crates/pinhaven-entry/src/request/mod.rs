//! Execution of a request: attempts at targets, and the answer to the caller.
//!
//! Input is a [`Job`](crate::callers::job::Job) from `callers` or `once_only`, output the final answer. This module
//! carries out the actions that `pinhaven-decide` chooses; it decides nothing itself.

pub(crate) mod answer_body;
pub(crate) mod attempt;
pub(crate) mod attribution;
pub(crate) mod dispatch;
pub(crate) mod forward;
pub(crate) mod forwarded;
pub(crate) mod record_context;
