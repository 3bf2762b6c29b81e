//! Small stand-ins for what pinhaven meets: targets, the platform and callers.
//!
//! They speak the published protocols and can be told to misbehave. None of them is in the shipped
//! binary.

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

/// An answer with a status and a body.
fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnyBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    response
}

/// An answer with a value as JSON.
fn json_answer(value: &impl serde::Serialize) -> Response<AnyBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(StatusCode::OK, bytes),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// The whole body of a request; `None` when the sender broke off.
async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}
