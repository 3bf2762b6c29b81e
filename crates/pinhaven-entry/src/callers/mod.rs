//! What comes from callers, up to the decision how it is dispatched.
//!
//! Connections, questions which entries to use, and request heads and bodies come in; a [`Job`](job::Job) goes out to
//! `request`, or to `once_only` where it carries a key. Called by `start`.

pub(crate) mod address;
pub(crate) mod body;
pub(crate) mod directory;
pub(crate) mod job;
pub(crate) mod proxy;
pub(crate) mod request_guard;
pub(crate) mod routes;
