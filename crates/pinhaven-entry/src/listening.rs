//! Binding of HTTP servers to their addresses.

use crate::error::EntryError;
use crate::error::EntryStep;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use std::net::SocketAddr;

/// Binds an HTTP server to an address.
///
/// # Errors
///
/// [`EntryError`] with `step` and the address when the address cannot be bound.
pub(crate) fn listen(
    step: EntryStep,
    address: SocketAddr,
    settings: HttpServerSettings,
) -> Result<HttpServer, EntryError> {
    HttpServer::bind(address, settings).map_err(|error| EntryError::System {
        step,
        peer: address.to_string(),
        message: error.to_string(),
    })
}
