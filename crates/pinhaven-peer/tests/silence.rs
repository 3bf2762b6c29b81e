//! Connections to peers that fall silent while they are open.

use pinhaven_peer::ExchangeRequest;
use pinhaven_peer::ExchangeResponse;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::Peer;
use pinhaven_peer::PeerClients;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_peer::Request;
use pinhaven_peer::Response;
use pinhaven_peer::Status;
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

/// Longer than a call ever takes here; one on a dead connection uses all of it.
const TIMEOUT: Duration = Duration::from_secs(10);
/// A pause between two calls, as between two changes of a configuration, in milliseconds.
const PAUSE_MS: u64 = 2_100;
const HEAD: &[u8] = b"a head";

/// A peer that has one bundle.
struct Holder;

#[async_trait]
impl Peer for Holder {
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

fn serve_holder() -> std::net::SocketAddr {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: 10,
        allows_http2: true,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    let holder = Arc::new(Holder);
    spawn(async move {
        server
            .serve(move |request| answer_peer(Arc::clone(&holder), request))
            .await;
    })
    .detach();
    address
}

#[test]
fn a_rare_call_does_not_wait_on_a_connection_that_fell_silent_since_the_last_one() {
    block_on(async {
        let proxy = FaultProxy::start(serve_holder()).unwrap();
        let peers = PeerClients::new();
        let fetch = || peers.fetch_bundle(proxy.address, TIMEOUT, FetchBundleRequest::default());
        assert_eq!(fetch().await.unwrap().head, HEAD);
        proxy.silence_open();
        sleep_ms(PAUSE_MS).await;
        assert_eq!(fetch().await.unwrap().head, HEAD);
    });
}
