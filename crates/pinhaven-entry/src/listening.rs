//! Listening at an address.

use crate::error::EntryError;
use crate::error::EntryStep;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use std::net::SocketAddr;

/// Listens at an address.
///
/// # Errors
///
/// [`EntryError`] when the address can't be had.
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
