//! An HTTP/2 connection to a peer, as a service of the generated client.
//!
//! The generated client is built without tonic's transport. The connection here is hyper's HTTP/2 client on this
//! process's executor.

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::HyperExecutor;
use pinhaven_runtime::connect_stream;
use pinhaven_runtime::spawn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use tonic::body::Body;

/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// A connection to a peer. Clones share the connection.
#[derive(Clone)]
pub(crate) struct Channel {
    sender: http2::SendRequest<Body>,
}

impl Channel {
    pub(crate) async fn connect(peer: SocketAddr) -> Result<Self, BoxError> {
        let stream = connect_stream(peer).await?;
        let (sender, connection) = http2::Builder::new(HyperExecutor)
            .timer(SmolTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .handshake(FuturesIo::new(stream))
            .await?;
        spawn(async move {
            // Errors of the connection also reach the requests on it through the sender.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl tower_service::Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}
