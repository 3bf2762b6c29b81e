//! Calls to a peer after its connection went dead without being closed.
//!
//! A network that drops a connection sends no reset, so the next call on it waited for its whole timeout. The
//! proxy stops forwarding on open connections, and the next call must go over a new one.

use pinhaven_peer::ExchangeRequest;
use pinhaven_peer::ExchangeResponse;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::ForwardRequest;
use pinhaven_peer::ForwardResponses;
use pinhaven_peer::Peer;
use pinhaven_peer::PeerClients;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_peer::Request;
use pinhaven_peer::Response;
use pinhaven_peer::Status;
use pinhaven_peer::Streaming;
use pinhaven_peer::answer_peer;
use pinhaven_peer::async_trait;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::block_on;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::proxy::FaultProxy;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call. A call on a dead connection uses all of it, any other call a small part.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two calls, in milliseconds; longer than a connection is reused without an answer.
const PAUSE_MS: u64 = 2_100;
const HEAD: &[u8] = b"a head";

/// A peer that serves the head of one bundle.
struct BundlePeer;

#[async_trait]
impl Peer for BundlePeer {
    type ForwardStream = ForwardResponses;

    async fn forward(
        &self,
        _: Request<Streaming<ForwardRequest>>,
    ) -> Result<Response<ForwardResponses>, Status> {
        Err(Status::unimplemented("not part of this test"))
    }

    async fn exchange(
        &self,
        _request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeResponse>, Status> {
        Err(Status::unimplemented("exchange"))
    }

    async fn fetch_bundle(
        &self,
        _request: Request<FetchBundleRequest>,
    ) -> Result<Response<FetchBundleResponse>, Status> {
        Ok(Response::new(FetchBundleResponse {
            head: HEAD.to_vec(),
            body: None,
            ..FetchBundleResponse::default()
        }))
    }

    async fn relay_once(
        &self,
        _request: Request<RelayOnceRequest>,
    ) -> Result<Response<RelayOnceResponse>, Status> {
        Err(Status::unimplemented("relay"))
    }
}

fn serve_bundle_peer() -> std::net::SocketAddr {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: 10,
        allows_http2: true,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    let bundle_peer = Arc::new(BundlePeer);
    spawn(async move {
        server
            .serve(move |request| answer_peer(Arc::clone(&bundle_peer), request))
            .await;
    })
    .detach();
    address
}

#[test]
fn a_rare_call_does_not_wait_on_a_connection_that_fell_silent_since_the_last_call() {
    block_on(async {
        let proxy = FaultProxy::start(serve_bundle_peer()).unwrap();
        let peers = PeerClients::new();
        let fetch = || peers.fetch_bundle(proxy.address, TIMEOUT, FetchBundleRequest::default());
        assert_eq!(fetch().await.unwrap().head, HEAD);
        proxy.silence_open();
        sleep_ms(PAUSE_MS).await;
        assert_eq!(fetch().await.unwrap().head, HEAD);
    });
}
