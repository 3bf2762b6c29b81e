//! A request that is ready to be dispatched.

use crate::callers::body::RequestBody;
use crate::callers::routes::Routed;
use crate::crashes::fingerprints::RequestFingerprints;
use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use http::HeaderMap;
use http::Method;
use http::Uri;
use pinhaven_runtime::CallerAddress;
use pinhaven_types::Microseconds;
use std::sync::Arc;
use std::sync::OnceLock;

/// A request whose service and deadline are known.
pub(crate) struct Job {
    pub(crate) entry: Arc<Entry>,
    pub(crate) service: Arc<ServiceEntry>,
    /// Route of the request; empty for a request that a peer relayed.
    pub(crate) routed: Routed,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) deadline: Microseconds,
    /// Time that the caller already waited during earlier, failed tries of the request.
    pub(crate) prior_wait: Microseconds,
    pub(crate) is_repeatable: bool,
    /// Whether another entry forwarded the request to this one.
    pub(crate) is_forwarded: bool,
    pub(crate) attempts_max: Option<u32>,
    pub(crate) body: RequestBody,
    /// Address that the caller connects from; `None` for a request that a peer relayed.
    pub(crate) caller: Option<CallerAddress>,
    /// Fingerprints of the request, computed at first use.
    pub(crate) fingerprints: OnceLock<RequestFingerprints>,
}
