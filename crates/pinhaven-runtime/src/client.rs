//! HTTP clients.
//!
//! [`HttpClient`] is for control traffic: small bodies, held whole, each call with a deadline. The
//! path of a caller's request uses [`http1_sender`] and keeps its own connections.

use crate::AnyBody;
use crate::spawn;
use crate::whole_body;
use crate::within;
use async_io::Async;
use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display as DisplayDoc;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The largest answer to a control call, in bytes.
const CONTROL_ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// How long nothing may come on a connection of a client with keep-alive before the system asks its peer
/// whether it is there, and the time between two such questions. Each costs a packet either way.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Such questions without an answer after which a connection counts as broken.
const KEEP_ALIVE_PROBES_MAX: u32 = 2;
/// Idle connections that a client keeps unless told otherwise.
const IDLE_CONNECTIONS_DEFAULT: usize = 4;

/// The step of a call at which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum CallStep {
    /// connecting
    Connect,
    /// sending the request
    Send,
    /// waiting for the answer
    Receive,
    /// waiting for the answer until the deadline
    Deadline,
}

/// A control call that got no answer: {step} at {peer}: {message}
#[derive(Debug, DisplayDoc)]
pub struct CallError {
    /// Where it failed.
    pub step: CallStep,
    /// Who was called.
    pub peer: SocketAddr,
    /// What the system or the library said.
    pub message: String,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the peer can't have seen the request.
    pub fn is_not_sent(&self) -> bool {
        self.step == CallStep::Connect
    }
}

/// Connects a stream with `TCP_NODELAY`.
///
/// # Errors
///
/// The system's error when the peer can't be reached.
pub async fn connect_stream(peer: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(peer).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Connects a stream that breaks within 3 s when its peer is no longer there, also while nothing is sent.
///
/// # Errors
///
/// The system's error when the peer can't be reached.
pub async fn connect_with_keep_alive(peer: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = connect_stream(peer).await?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE)
        .with_retries(KEEP_ALIVE_PROBES_MAX);
    SockRef::from(stream.get_ref()).set_tcp_keepalive(&keep_alive)?;
    Ok(stream)
}

/// Connects to a peer that speaks HTTP/1.1.
///
/// # Errors
///
/// The system's or hyper's error when the peer can't be reached.
pub async fn http1_sender<B>(peer: SocketAddr) -> Result<http1::SendRequest<B>, crate::BoxError>
where
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<crate::BoxError>,
{
    http1_over(connect_stream(peer).await?).await
}

async fn http1_over<B>(stream: Async<TcpStream>) -> Result<http1::SendRequest<B>, crate::BoxError>
where
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<crate::BoxError>,
{
    let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    spawn(async move {
        // The sender's side reports what goes wrong here.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// How long an answer took to come, from its first byte to its last; a client adds it to the extensions of each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Until its first byte came.
    pub wait: Duration,
    /// From then until its last.
    pub transfer: Duration,
}

/// A client for small control calls to one peer.
pub struct HttpClient {
    peer: SocketAddr,
    /// How long an answer may take to begin.
    timeout: Duration,
    /// How long each further piece of it may take.
    piece_timeout: Duration,
    whole_timeout: Duration,
    idle_max: usize,
    is_kept_alive: bool,
    idle: Mutex<Vec<http1::SendRequest<AnyBody>>>,
    /// Answers that have begun and go on.
    receiving: AtomicUsize,
}

/// An answer that has begun, until it is dropped.
struct Receiving<'client>(&'client AtomicUsize);

impl<'client> Receiving<'client> {
    fn new(count: &'client AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpClient {
    /// A client of `peer` whose calls take at most `timeout_ms`.
    pub fn new(peer: SocketAddr, timeout_ms: u64) -> Self {
        let timeout = Duration::from_millis(timeout_ms);
        Self {
            peer,
            timeout,
            piece_timeout: timeout,
            whole_timeout: timeout,
            idle_max: IDLE_CONNECTIONS_DEFAULT,
            is_kept_alive: false,
            idle: Mutex::new(Vec::new()),
            receiving: AtomicUsize::new(0),
        }
    }

    /// Lets an answer that has begun go on while its pieces come at most `piece_ms` apart, for at most `whole_ms` in all.
    ///
    /// A large answer on a small link takes long as a whole, and giving it up while it still comes only asks for
    /// the same bytes again: with 1.5 s for all of it, a configuration of 4,200 routes never came over a
    /// link of 300 kB a second; now it comes in under 4 s (stand-in store behind a throttled link).
    pub fn with_large_answers(mut self, piece_ms: u64, whole_ms: u64) -> Self {
        self.piece_timeout = Duration::from_millis(piece_ms);
        self.whole_timeout = Duration::from_millis(whole_ms);
        self
    }

    /// Keeps up to `idle_max` idle connections.
    pub fn with_idle_connections(mut self, idle_max: usize) -> Self {
        self.idle_max = idle_max;
        self
    }

    /// Notices within 3 s that a connection is dead, for calls whose answers may take long.
    pub fn with_keep_alive(mut self) -> Self {
        self.is_kept_alive = true;
        self
    }

    /// The peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether an answer has begun and goes on.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Relaxed) > 0
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no whole answer came; [`CallError::is_not_sent`] tells whether the peer can
    /// have seen the request.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Response<Bytes>, CallError> {
        within(self.whole_timeout, self.call_while_answered(request))
            .await
            .unwrap_or_else(|| Err(self.late("the answer is too slow")))
    }

    /// Makes a call that may take as long as its answer goes on.
    async fn call_while_answered(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, CallError> {
        let mut request = request.map(whole_body);
        let host = http::HeaderValue::from_str(&self.peer.to_string());
        if let Ok(host) = host {
            request
                .headers_mut()
                .entry(http::header::HOST)
                .or_insert(host);
        }
        let asked_at = Instant::now();
        let answered = within(self.timeout, self.send(request)).await;
        let (sender, response) = answered.unwrap_or_else(|| Err(self.late("no answer in time")))?;
        let wait = asked_at.elapsed();
        let (mut head, body) = response.into_parts();
        let body = self.receive(body).await?;
        let transfer = asked_at.elapsed() - wait;
        head.extensions.insert(AnswerTimes { wait, transfer });
        self.keep(sender);
        Ok(Response::from_parts(head, body))
    }

    /// Takes a body in while its pieces keep coming.
    async fn receive(&self, body: Incoming) -> Result<Bytes, CallError> {
        let _receiving = Receiving::new(&self.receiving);
        let mut body = Limited::new(body, CONTROL_ANSWER_BYTES_MAX);
        let mut whole = BytesMut::new();
        loop {
            let frame = within(self.piece_timeout, body.frame()).await;
            let Some(frame) = frame.ok_or_else(|| self.late("the answer stopped"))? else {
                return Ok(whole.freeze());
            };
            let frame = frame.map_err(|error| self.error(CallStep::Receive, error))?;
            if let Ok(piece) = frame.into_data() {
                whole.extend_from_slice(&piece);
            }
        }
    }

    fn late(&self, message: &str) -> CallError {
        self.error(CallStep::Deadline, message)
    }

    /// Sends over a connection that is open. One that closed before anything was written to it gives
    /// the request back, and another is taken.
    async fn send(
        &self,
        mut request: Request<AnyBody>,
    ) -> Result<(http1::SendRequest<AnyBody>, Response<Incoming>), CallError> {
        loop {
            let mut sender = self.sender().await?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(self.error(CallStep::Send, error.into_error())),
                },
            }
        }
    }

    async fn sender(&self) -> Result<http1::SendRequest<AnyBody>, CallError> {
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let connected = if self.is_kept_alive {
            connect_with_keep_alive(self.peer).await
        } else {
            connect_stream(self.peer).await
        };
        let stream = connected.map_err(|error| self.error(CallStep::Connect, error))?;
        let sender = http1_over(stream).await;
        sender.map_err(|error| self.error(CallStep::Connect, error))
    }

    fn take_idle(&self) -> Option<http1::SendRequest<AnyBody>> {
        self.idle.lock().ok()?.pop()
    }

    fn keep(&self, sender: http1::SendRequest<AnyBody>) {
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < self.idle_max
        {
            idle.push(sender);
        }
    }

    fn error(&self, step: CallStep, message: impl ToString) -> CallError {
        CallError {
            step,
            peer: self.peer,
            message: message.to_string(),
        }
    }
}
