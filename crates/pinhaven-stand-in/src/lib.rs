//! Test doubles for the systems around pinhaven: targets, the platform, callers and a fault-injecting proxy.
//!
//! The target, platform and caller stand-ins use the published protocols. Targets and the platform inject faults that
//! `PUT /faults` configures. This crate is not part of the shipped binary.

pub mod caller;
pub mod platform;
pub mod proxy;
pub mod target;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;

/// Builds a response with a status and a whole body.
fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnyBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    response
}

/// Builds a response with `value` as its JSON body.
fn json_answer(value: &impl serde::Serialize) -> Response<AnyBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(StatusCode::OK, bytes),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads the whole body of a request; `None` if the sender aborted it.
async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}
