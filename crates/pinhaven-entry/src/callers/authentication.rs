//! Authentication of requests by the keys of organisations.
//!
//! Applies only where the version in force lists organisations. The credentials are removed from the request before
//! anything else reads its header fields, so that no attempt, relay, record or fingerprint contains them. Attempts
//! carry the name of the organisation instead, and whatever the caller sent in that field is removed too.

use crate::entry::Entry;
use crate::versions::organisations::OrganisationIndex;
use crate::watch::counters::Count;
use crate::wire::dialect::BadField;
use crate::wire::problem::Problem;
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;
use pinhaven_bundle::Organisation;
use pinhaven_types::ApiKey;
use std::sync::Arc;

/// Key of a request: none, one, or malformed credentials.
pub(crate) type Credentials = Result<Option<ApiKey>, BadField>;

/// Removes the credentials from a request's header and returns them.
pub(crate) fn take_credentials(entry: &Entry, headers: &mut HeaderMap) -> Credentials {
    let key = entry.dialect.read_key(headers);
    remove_credentials(entry, headers);
    key
}

/// Returns the organisation that holds the key; `None` if the request belongs to no organisation, which only requests of
/// public routes may do.
///
/// # Errors
///
/// A refusal with status 401 if the route is not public and the key is missing, malformed or unknown.
pub(crate) fn authenticate(
    entry: &Entry,
    organisations: &OrganisationIndex,
    key: Credentials,
    is_public: impl FnOnce() -> bool,
) -> Result<Option<Arc<Organisation>>, Problem> {
    let holder = match &key {
        Ok(Some(key)) => organisations.holder(key),
        Ok(None) | Err(_) => None,
    };
    if let Some(holder) = holder {
        return Ok(Some(Arc::clone(holder)));
    }
    if is_public() {
        return Ok(None);
    }
    let (count, reason, detail) = match key {
        Ok(Some(_)) => (
            Count::KeyUnknown,
            "unknown_key",
            "no organisation holds this key",
        ),
        Ok(None) => (
            Count::KeyRequired,
            "key_required",
            "this route requires a key in the Authorization field",
        ),
        Err(field) => (Count::KeyBad, field.reason, field.expected),
    };
    entry.counters.add(count);
    Err(Problem::not_run(StatusCode::UNAUTHORIZED, reason, detail))
}

/// Removes the fields that belong to the entry where the version in force lists organisations: the key, and the name
/// of the organisation. Messages of entries that don't know of organisations yet still contain what the caller sent.
pub(crate) fn remove_credentials(entry: &Entry, headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    headers.remove(entry.dialect.organisation_field());
}
