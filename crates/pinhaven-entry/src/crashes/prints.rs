//! What makes two requests of callers the same.

use crate::callers::job::Job;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use http::header::CONTENT_LENGTH;
use http::header::COOKIE;
use http::header::HOST;
use pinhaven_runtime::CallerAddress;
use pinhaven_types::Digest;
use pinhaven_types::RequestFingerprint;

/// The prints of a request. A path that many callers use may be harmful in the hands of one only, and a caller may
/// come from several addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestPrints {
    /// Of this request of this caller.
    pub(crate) of_caller: RequestFingerprint,
    /// Of this request, whoever sends it.
    pub(crate) of_anyone: RequestFingerprint,
}

impl RequestPrints {
    /// Both.
    pub(crate) fn both(self) -> [RequestFingerprint; 2] {
        [self.of_caller, self.of_anyone]
    }

    /// The prints of a request. A body that is passed on as it comes is known by its length only.
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
            field(&job.headers, AUTHORIZATION.as_str()),
            field(&job.headers, COOKIE.as_str()),
        ];
        Self {
            of_caller: RequestFingerprint::of_parts(&[&request[..], &caller[..]].concat()),
            of_anyone: RequestFingerprint::of_parts(&request),
        }
    }
}

/// The address of a caller without its port, which each connection has another of.
fn address_of(caller: CallerAddress) -> String {
    caller.0.ip().to_string()
}

fn field<'headers>(headers: &'headers HeaderMap, name: &str) -> &'headers [u8] {
    headers.get(name).map_or(&[], |value| value.as_bytes())
}

impl Job {
    /// The prints of this request. They cost a hash of its body, so nobody asks before a target has crashed.
    pub(crate) fn prints(&self) -> RequestPrints {
        *self.fingerprints.get_or_init(|| RequestPrints::of(self))
    }
}
