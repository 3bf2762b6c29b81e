//! Server side of the peer protocol.

use crate::generated::peer_server::Peer;
use crate::generated::peer_server::PeerServer;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use std::sync::Arc;
use tower_service::Service as _;

/// Handles one HTTP/2 request of a peer with `peer`'s implementation of the protocol.
pub async fn answer_peer<P: Peer>(peer: Arc<P>, request: Request<Incoming>) -> Response<AnyBody> {
    let mut server = PeerServer::from_arc(peer);
    let Ok(response) = server.call(request).await;
    response.map(|body| body.map_err(Into::into).boxed_unsync())
}
