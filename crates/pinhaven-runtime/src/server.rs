//! HTTP/1.1 and HTTP/2 server.
//!
//! A server accepts up to a maximum number of connections and closes those that are idle, slow to send a request head, or
//! accept nothing of an answer for the time that they may be idle. When it stops, it still accepts the connections in
//! the listener's backlog, because closing the listener would reset them, and answers the requests that have begun.

use crate::AnyBody;
use crate::HyperExecutor;
use crate::read_ahead::CallerStream;
use crate::silence::WriteLimited;
use crate::sleep_ms;
use crate::spawn;
use async_io::Async;
use futures_lite::future::or;
use http::Request;
use http::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum size of hyper's read buffer and of an HTTP/2 header list, in bytes. Deployments allow request heads of
/// 16 KiB; the rest is for data that hyper buffers in addition.
const HEAD_BYTES_MAX: usize = 20 * 1024;
/// Maximum number of header fields in an HTTP/1.1 request.
const HEADERS_MAX: usize = 100;
/// Maximum number of concurrent HTTP/2 requests on one connection.
const STREAMS_MAX: u32 = 1_000;
/// How long a connection without a request may still send its first one after the server stops, in milliseconds.
const FIRST_REQUEST_GRACE_MS: u64 = 200;
/// Maximum number of connections accepted from the listener's backlog after the server stops. The operating system
/// queues no more than that.
const LAST_CONNECTIONS_MAX: usize = 4_096;
/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 10;

/// Limits and protocols of a server's connections.
#[derive(Debug, Clone, Copy)]
pub struct HttpServerSettings {
    /// Maximum time that a connection may be idle, take to send a request head, or accept nothing of an answer, in
    /// milliseconds.
    pub idle_ms: u64,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections_max: usize,
    /// Whether HTTP/2 is served beside HTTP/1.1. Detecting the protocol costs memory on each connection.
    pub allows_http2: bool,
}

/// Remote address of a request's connection. [`HttpServer`] adds it to the extensions of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// HTTP server with a listening socket. Requests are answered while [`HttpServer::serve`] runs.
pub struct HttpServer {
    /// Listening socket, until [`HttpServer::serve`] takes it.
    listener: Mutex<Option<Async<TcpListener>>>,
    address: SocketAddr,
    settings: HttpServerSettings,
    idle_ms: Arc<AtomicU64>,
    stop_sender: async_channel::Sender<()>,
    stop_receiver: async_channel::Receiver<()>,
    open: Arc<AtomicUsize>,
    is_accepting: AtomicBool,
}

impl HttpServer {
    /// Creates a server that listens at `address`.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn bind(address: SocketAddr, settings: HttpServerSettings) -> std::io::Result<Self> {
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let listener = Async::<TcpListener>::bind(address)?;
        Ok(Self {
            address: listener.get_ref().local_addr()?,
            listener: Mutex::new(Some(listener)),
            settings,
            idle_ms: Arc::new(AtomicU64::new(settings.idle_ms)),
            stop_sender,
            stop_receiver,
            open: Arc::new(AtomicUsize::new(0)),
            is_accepting: AtomicBool::new(true),
        })
    }

    /// Address of the listening socket, with the port chosen by the operating system if port 0 was requested.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Shared value of [`HttpServerSettings::idle_ms`], which may be changed at any time and applies to new
    /// connections.
    pub fn idle_ms(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.idle_ms)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether the server may still accept a connection. After [`HttpServer::close_gracefully`] this stays true until
    /// [`HttpServer::serve`] has accepted the connections in the backlog.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.load(Ordering::Acquire)
    }

    /// Stops accepting connections, closes idle connections and accepts no further requests on the others.
    pub fn close_gracefully(&self) {
        self.stop_sender.close();
    }

    /// Accepts connections and answers requests with `handler` until [`HttpServer::close_gracefully`]. Requests in
    /// progress are then completed in the background. Returns at once if the server has been served before.
    pub async fn serve<H, F>(&self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnyBody>> + Send + 'static,
    {
        let listener = self.listener.lock().ok().and_then(|mut slot| slot.take());
        let Some(listener) = listener else {
            return;
        };
        while let Some(accepted) = self.accept(&listener).await {
            match accepted {
                Ok((stream, peer)) => self.start_connection(stream, peer, &handler),
                Err(_) => sleep_ms(ACCEPT_RETRY_MS).await,
            }
        }
        self.accept_backlog(&listener, &handler);
        self.is_accepting.store(false, Ordering::Release);
    }

    /// Accepts the connections in the listener's backlog. Closing the listener would reset them, and with them the
    /// requests that their callers have sent already.
    fn accept_backlog<H, F>(&self, listener: &Async<TcpListener>, handler: &H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnyBody>> + Send + 'static,
    {
        for _ in 0..LAST_CONNECTIONS_MAX {
            let Ok((stream, peer)) = listener.get_ref().accept() else {
                return;
            };
            if let Ok(stream) = Async::new(stream) {
                self.start_connection(stream, peer, handler);
            }
        }
    }

    /// Starts to serve a connection, or closes it if the maximum number of connections is open.
    fn start_connection<H, F>(&self, stream: Async<TcpStream>, peer: SocketAddr, handler: &H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnyBody>> + Send + 'static,
    {
        if self.open.load(Ordering::Relaxed) >= self.settings.connections_max {
            return;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let open = Arc::clone(&self.open);
        let stop = self.stop_receiver.clone();
        let settings = HttpServerSettings {
            idle_ms: self.idle_ms.load(Ordering::Relaxed),
            ..self.settings
        };
        let handler = handler.clone();
        spawn(async move {
            serve_connection(stream, CallerAddress(peer), settings, stop, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }

    /// Waits for the next connection. Returns `None` after [`HttpServer::close_gracefully`].
    async fn accept(
        &self,
        listener: &Async<TcpListener>,
    ) -> Option<std::io::Result<(Async<TcpStream>, SocketAddr)>> {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _ = self.stop_receiver.recv().await;
            None
        };
        or(stopped, accepted).await
    }
}

async fn serve_connection<H, F>(
    stream: Async<TcpStream>,
    caller: CallerAddress,
    settings: HttpServerSettings,
    stop: async_channel::Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnyBody>> + Send + 'static,
{
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let stream = CallerStream::new(stream);
    let (closed, linger) = (stream.closed(), stream.linger());
    let stream = WriteLimited::new(stream, Duration::from_millis(settings.idle_ms));
    let has_request = Arc::new(AtomicBool::new(false));
    let received = Arc::clone(&has_request);
    let has_body = Arc::new(AtomicBool::new(false));
    let last_has_body = Arc::clone(&has_body);
    let service = service_fn(move |mut request: Request<Incoming>| {
        received.store(true, Ordering::Relaxed);
        last_has_body.store(!request.body().is_end_stream(), Ordering::Relaxed);
        request.extensions_mut().insert(caller);
        // hyper reserves the size of this future in each connection, also while the connection is idle. The boxed
        // future takes a pointer instead of the many kilobytes of a proxied request.
        let answer = Box::pin(handler(request));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // Each future is boxed, so that a connection takes only the memory that its own protocol needs.
    if settings.allows_http2 {
        let builder = http1_or_http2(settings);
        let connection = builder.serve_connection(FuturesIo::new(stream), service);
        Box::pin(drive(connection, closed, settings, stop, &has_request)).await;
    } else {
        let builder = http1_only(settings);
        let connection = builder.serve_connection(FuturesIo::new(stream), service);
        Box::pin(drive(connection, closed, settings, stop, &has_request)).await;
    }
    if has_body.load(Ordering::Relaxed) {
        linger.await;
    }
}

fn http1_only(settings: HttpServerSettings) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(settings.idle_ms))
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX);
    builder
}

fn http1_or_http2(
    settings: HttpServerSettings,
) -> hyper_util::server::conn::auto::Builder<HyperExecutor> {
    let idle = Duration::from_millis(settings.idle_ms);
    let mut builder = hyper_util::server::conn::auto::Builder::new(HyperExecutor);
    builder
        .http1()
        .timer(SmolTimer::new())
        .header_read_timeout(idle)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX);
    builder
        .http2()
        .timer(SmolTimer::new())
        .keep_alive_interval(idle)
        .max_header_list_size(HEAD_BYTES_MAX as u32)
        .max_concurrent_streams(STREAMS_MAX);
    builder
}

/// A connection that can be shut down gracefully, HTTP/1.1 only or of either protocol.
trait Connection: Future {
    /// Completes the requests in progress and accepts no others.
    fn shut_down(self: std::pin::Pin<&mut Self>);
}

impl<S> Connection for hyper::server::conn::http1::Connection<Stream, S>
where
    S: hyper::service::HttpService<Incoming, ResBody = AnyBody>,
    S::Error: Into<crate::BoxError>,
{
    fn shut_down(self: std::pin::Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

impl<S> Connection for hyper_util::server::conn::auto::Connection<'_, Stream, S, HyperExecutor>
where
    S: hyper::service::Service<Request<Incoming>, Response = Response<AnyBody>>,
    S::Future: Send + 'static,
    S::Error: Into<crate::BoxError>,
{
    fn shut_down(self: std::pin::Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

type Stream = FuturesIo<WriteLimited<CallerStream>>;

/// Serves a connection until it ends. `closed` completes when the caller has closed it and hyper has not noticed; requests
/// in progress are then dropped with the connection.
async fn drive(
    connection: impl Connection,
    closed: impl Future<Output = ()>,
    settings: HttpServerSettings,
    stop: async_channel::Receiver<()>,
    has_request: &AtomicBool,
) {
    let mut connection = std::pin::pin!(connection);
    let mut closed = std::pin::pin!(closed);
    let served = async {
        // An error means that the caller's connection broke, so it can't be reported to the caller.
        let _ = connection.as_mut().await;
        EndReason::Closed
    };
    let left = async {
        closed.as_mut().await;
        EndReason::Closed
    };
    let stopped = async {
        let _ = stop.recv().await;
        EndReason::Stopped
    };
    // hyper has no timeout while it waits for the first bytes of a connection to detect the protocol.
    let no_request = async {
        sleep_ms(settings.idle_ms).await;
        if has_request.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        EndReason::NoRequest
    };
    let reason = or(or(served, left), or(stopped, no_request)).await;
    if reason != EndReason::Stopped {
        return;
    }
    if !has_request.load(Ordering::Relaxed) {
        // The first request may be in transit.
        let served = async {
            let _ = connection.as_mut().await;
        };
        or(served, sleep_ms(FIRST_REQUEST_GRACE_MS)).await;
    }
    if has_request.load(Ordering::Relaxed) {
        connection.as_mut().shut_down();
        let served = async {
            let _ = connection.await;
        };
        or(served, closed).await;
    }
}

/// Why a connection is no longer served normally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The connection was closed.
    Closed,
    /// The server is stopping.
    Stopped,
    /// The connection sent no request in time.
    NoRequest,
}
