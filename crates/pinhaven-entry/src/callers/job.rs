//! A request that is ready to be dispatched.

use crate::callers::admission::Admission;
use crate::callers::body::RequestBody;
use crate::callers::routes::Routed;
use crate::crashes::fingerprints::RequestFingerprints;
use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use pinhaven_bundle::Organisation;
use pinhaven_runtime::CallerAddress;
use pinhaven_types::Microseconds;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

/// A request whose service and deadline are known.
pub(crate) struct Job {
    pub(crate) entry: Arc<Entry>,
    pub(crate) service: Arc<ServiceEntry>,
    /// Route of the request; empty for a request that a peer relayed.
    pub(crate) routed: Routed,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// Organisation of the caller; `None` on public routes and where the version lists no organisations.
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// What the request has taken of the organisation's limit.
    pub(crate) admission: Option<Admission>,
    pub(crate) deadline: Microseconds,
    /// Whether the caller or the route sets the deadline. If it is only the default of the service, an answer may go on
    /// after it.
    pub(crate) is_deadline_firm: bool,
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

/// Maximum time past a firm deadline for which an answer without a declared length may go on. Targets are told the
/// deadline and stop working at it; what comes later has waited for the caller or on the link.
const ANSWER_OVERRUN_MAX: Microseconds = Microseconds::from_ms(5_000);

impl Job {
    /// Time after which no further part of an answer without a declared length is passed on; `None` if there is no limit.
    pub(crate) fn answer_ends_at(&self) -> Option<Instant> {
        let ends_at = self.deadline.plus(ANSWER_OVERRUN_MAX);
        self.is_deadline_firm
            .then(|| self.entry.clock.instant_of(ends_at))
    }

    /// Host that the caller sent, with the port if it sent one.
    pub(crate) fn host(&self) -> Option<&str> {
        let authority = self.uri.authority().map(|authority| authority.as_str());
        authority.or_else(|| self.headers.get(http::header::HOST)?.to_str().ok())
    }

    /// Name of the caller's organisation for a message to another entry; empty without an organisation.
    pub(crate) fn organisation_name(&self) -> String {
        let name = self
            .organisation
            .as_ref()
            .map(|organisation| &organisation.name);
        name.map(ToString::to_string).unwrap_or_default()
    }

    /// What tells callers with different rights apart: the organisation, or the credentials that are passed to targets.
    pub(crate) fn credentials(&self) -> &[u8] {
        match &self.organisation {
            Some(organisation) => organisation.name.as_str().as_bytes(),
            None => self
                .headers
                .get(http::header::AUTHORIZATION)
                .map_or(&[][..], HeaderValue::as_bytes),
        }
    }
}
