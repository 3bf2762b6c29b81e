//! Header fields in messages between entries.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use pinhaven_peer::Header;

/// Converts header fields for a message to another entry.
pub(crate) fn to_fields(headers: &HeaderMap) -> Vec<Header> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

/// Converts header fields of a message from another entry. Invalid fields are left out.
pub(crate) fn from_fields(fields: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = HeaderName::try_from(field.name);
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
