//! Fingerprints of callers' requests. Crash evidence treats requests with equal fingerprints as one request.

use crate::callers::job::Job;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::COOKIE;
use http::header::HOST;
use pinhaven_runtime::CallerAddress;
use pinhaven_types::Digest;
use pinhaven_types::RequestFingerprint;

/// The fingerprints of a request. Evidence is recorded with and without the caller: a path that many callers use may be
/// harmful only in the requests of one caller, and one caller may use several addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestFingerprints {
    /// Covers the request and its caller.
    pub(crate) of_caller: RequestFingerprint,
    /// Covers the request alone.
    pub(crate) of_anyone: RequestFingerprint,
}

impl RequestFingerprints {
    /// Both fingerprints.
    pub(crate) fn both(self) -> [RequestFingerprint; 2] {
        [self.of_caller, self.of_anyone]
    }

    /// Computes the fingerprints of a request. A streamed body contributes its declared length only.
    fn of(job: &Job) -> Self {
        let host = job.uri.authority().map(|host| host.as_str().as_bytes());
        let host = host.unwrap_or_else(|| field(&job.headers, HOST.as_str()));
        let path = job.uri.path_and_query().map_or("", |path| path.as_str());
        let body = match job.body.whole() {
            Some(bytes) => Digest::of(bytes),
            None => Digest::of(field(&job.headers, CONTENT_LENGTH.as_str())),
        };
        let method = job.method.as_str();
        let request = [method.as_bytes(), host, path.as_bytes(), body.as_bytes()];
        let address = job.caller.map_or(String::new(), address_of);
        let caller = [
            address.as_bytes(),
            job.credentials(),
            field(&job.headers, COOKIE.as_str()),
        ];
        Self {
            of_caller: RequestFingerprint::of_parts(&[&request[..], &caller[..]].concat()),
            of_anyone: RequestFingerprint::of_parts(&request),
        }
    }
}

/// The IP address of a caller, without the port, which differs between connections.
fn address_of(caller: CallerAddress) -> String {
    caller.0.ip().to_string()
}

fn field<'headers>(headers: &'headers HeaderMap, name: &str) -> &'headers [u8] {
    headers.get(name).map_or(&[], |value| value.as_bytes())
}

impl Job {
    /// Fingerprints of this request, computed on first use because they require a hash of the body. They are not needed
    /// until a target has crashed.
    pub(crate) fn fingerprints(&self) -> RequestFingerprints {
        *self
            .fingerprints
            .get_or_init(|| RequestFingerprints::of(self))
    }
}
