//! Handles what callers send, up to the decision how a request is dispatched.
//!
//! Input: connections, requests for entry addresses, request heads and request bodies. Output: a
//! [`Job`](job::Job), passed to `request`, or to `once_only` if the request carries a key. Called by `start`.

pub(crate) mod address;
pub(crate) mod admission;
pub(crate) mod authentication;
pub(crate) mod body;
pub(crate) mod directory;
pub(crate) mod job;
pub(crate) mod proxy;
pub(crate) mod request_guard;
pub(crate) mod routes;
