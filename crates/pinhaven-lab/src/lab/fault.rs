//! Fault injection in a lab.

use super::Lab;
use bytes::Bytes;
use http::Request;
use pinhaven_runtime::HttpClient;
use pinhaven_stand_in::platform::PlatformFaults;
use pinhaven_stand_in::target::TargetFaults;
use std::net::SocketAddr;

/// Timeout of a call to a process, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

impl Lab {
    /// Sets the faults of the platform.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) {
        put(self.platform, "/faults", faults).await;
    }

    /// Sets the faults of one target.
    pub async fn set_target_faults(&self, target: SocketAddr, faults: &TargetFaults) {
        put(target, "/faults", faults).await;
    }
}

async fn put(peer: SocketAddr, path: &str, value: &impl serde::Serialize) {
    let client = HttpClient::new(peer, CALL_TIMEOUT_MS);
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    if let Ok(request) = Request::put(path).body(body) {
        // A lost call is ignored: a test that relies on the fault fails without it.
        let _ = client.call(request).await;
    }
}
