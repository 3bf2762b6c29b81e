//! What goes wrong in a lab.

use super::Lab;
use bytes::Bytes;
use http::Request;
use pinhaven_runtime::HttpClient;
use pinhaven_stand_in::platform::PlatformFaults;
use pinhaven_stand_in::target::TargetFaults;
use std::net::SocketAddr;

/// How long a call to a process may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

impl Lab {
    /// Sets what goes wrong at the platform.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) {
        put(self.platform, "/faults", faults).await;
    }

    /// Sets what goes wrong at one target.
    pub async fn set_target_faults(&self, target: SocketAddr, faults: &TargetFaults) {
        put(target, "/faults", faults).await;
    }
}

async fn put(peer: SocketAddr, path: &str, value: &impl serde::Serialize) {
    let client = HttpClient::new(peer, CALL_TIMEOUT_MS);
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    if let Ok(request) = Request::put(path).body(body) {
        // A test that relies on the fault sees that it is not there.
        let _ = client.call(request).await;
    }
}
