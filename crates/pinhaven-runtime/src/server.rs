//! An HTTP/1.1 and HTTP/2 server.

use crate::AnyBody;
use crate::HyperExecutor;
use crate::sleep_ms;
use crate::spawn;
use async_io::Async;
use futures_lite::future::or;
use http::Request;
use http::Response;
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

/// The largest request head, in bytes. Deployments allow heads of 16 KiB; the rest is for what hyper
/// keeps beside them.
const HEAD_BYTES_MAX: usize = 20 * 1024;
/// The most header fields in a request.
const HEADERS_MAX: usize = 100;
/// The most HTTP/2 requests at a time on one connection.
const STREAMS_MAX: u32 = 1_000;
/// How long a new connection may still bring its first request once the server stops, in
/// milliseconds.
const LAST_REQUEST_MS: u64 = 200;
/// Connections that are still taken once the server stops, at the most: what the system keeps for a server that has not
/// come to them.
const LAST_CONNECTIONS_MAX: usize = 4_096;
/// How long the server waits after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 10;

/// How a server treats connections.
#[derive(Debug, Clone, Copy)]
pub struct HttpServerSettings {
    /// How long a connection may be idle or take for a head, in milliseconds.
    pub idle_ms: u64,
    /// The most connections at a time.
    pub connections_max: usize,
    /// Whether connections may speak HTTP/2. Telling it from HTTP/1.1 costs each connection memory.
    pub allows_http2: bool,
}

/// Where a request's connection comes from; a server adds it to the extensions of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// A listening server; it serves while [`HttpServer::serve`] runs.
pub struct HttpServer {
    /// The listening socket; it is closed when the server stops.
    listener: Mutex<Option<Async<TcpListener>>>,
    address: SocketAddr,
    settings: HttpServerSettings,
    idle_ms: Arc<AtomicU64>,
    stop_sender: async_channel::Sender<()>,
    stop_receiver: async_channel::Receiver<()>,
    open: Arc<AtomicUsize>,
    /// Whether it may still take a connection.
    is_accepting: AtomicBool,
}

impl HttpServer {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// The system's error when the address can't be had.
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

    /// The address the server listens at, with the port that the system picked.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// How long new connections may be idle or take for a head, in milliseconds; it may be changed at
    /// any time.
    pub fn idle_ms(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.idle_ms)
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether it may still take a connection: one may wait for it also after the server was told to close, until it
    /// has come to that.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.load(Ordering::Acquire)
    }

    /// Takes no more connections, closes idle ones and takes no further requests on the others.
    pub fn close_gracefully(&self) {
        self.stop_sender.close();
    }

    /// Accepts connections and answers requests with `handler`, until the server is told to close.
    /// Connections that are open then are served on. Only the first call serves.
    pub async fn serve<H, F>(&self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnyBody>> + Send + 'static,
    {
        let listener = self.listener.lock().ok().and_then(|mut held| held.take());
        let Some(listener) = listener else {
            return;
        };
        while let Some(accepted) = self.accept(&listener).await {
            match accepted {
                Ok((stream, peer)) => self.begin(stream, peer, &handler),
                Err(_) => sleep_ms(ACCEPT_RETRY_MS).await,
            }
        }
        self.take_waiting(&listener, &handler);
        self.is_accepting.store(false, Ordering::Release);
    }

    /// Takes the connections that wait. Closing the listener would reset them, with the requests that they have
    /// brought.
    fn take_waiting<H, F>(&self, listener: &Async<TcpListener>, handler: &H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnyBody>> + Send + 'static,
    {
        for _ in 0..LAST_CONNECTIONS_MAX {
            let Ok((stream, peer)) = listener.get_ref().accept() else {
                return;
            };
            if let Ok(stream) = Async::new(stream) {
                self.begin(stream, peer, handler);
            }
        }
    }

    /// Begins to serve a connection, if there is room for one more.
    fn begin<H, F>(&self, stream: Async<TcpStream>, peer: SocketAddr, handler: &H)
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

    /// The next connection; `None` once the server is told to close.
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
    let has_asked = Arc::new(AtomicBool::new(false));
    let asks = Arc::clone(&has_asked);
    let service = service_fn(move |mut request: Request<Incoming>| {
        asks.store(true, Ordering::Relaxed);
        request.extensions_mut().insert(caller);
        // A connection keeps room for an answer that is being made also while it rests; boxed, that is a
        // pointer and not the many kilobytes of a proxied request.
        let answer = Box::pin(handler(request));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // Each kind is boxed, so that a connection takes no more memory than its own kind needs.
    if settings.allows_http2 {
        let builder = any_version(settings);
        let connection = builder.serve_connection(FuturesIo::new(stream), service);
        Box::pin(drive(connection, settings, stop, &has_asked)).await;
    } else {
        let builder = http1_only(settings);
        let connection = builder.serve_connection(FuturesIo::new(stream), service);
        Box::pin(drive(connection, settings, stop, &has_asked)).await;
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

fn any_version(
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

/// A connection of either kind.
trait Connection: Future {
    /// Answers the request that is being read, and no other.
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

type Stream = FuturesIo<Async<TcpStream>>;

async fn drive(
    connection: impl Connection,
    settings: HttpServerSettings,
    stop: async_channel::Receiver<()>,
    has_asked: &AtomicBool,
) {
    let mut connection = std::pin::pin!(connection);
    let served = async {
        // An error here is the caller's connection breaking; there is nobody left to tell.
        let _ = connection.as_mut().await;
        End::Closed
    };
    let stopped = async {
        let _ = stop.recv().await;
        End::Stopped
    };
    // Before the first request hyper still waits to learn the protocol and keeps no time.
    let silent = async {
        sleep_ms(settings.idle_ms).await;
        if has_asked.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        End::Silent
    };
    let ended = or(served, or(stopped, silent)).await;
    if ended != End::Stopped {
        return;
    }
    if !has_asked.load(Ordering::Relaxed) {
        // Its first request may be on its way.
        let served = async {
            let _ = connection.as_mut().await;
        };
        or(served, sleep_ms(LAST_REQUEST_MS)).await;
    }
    if has_asked.load(Ordering::Relaxed) {
        connection.as_mut().shut_down();
        let _ = connection.await;
    }
}

/// Why a connection is no longer served as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It was closed.
    Closed,
    /// The server takes no more requests.
    Stopped,
    /// It brought no request in time.
    Silent,
}
