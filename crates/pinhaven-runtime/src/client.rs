//! HTTP/1.1 clients.
//!
//! [`HttpClient`] is for control traffic to one peer: it buffers whole bodies, pools idle connections and limits
//! the time of each call. Callers' requests, whose bodies are streamed, use [`http1_sender`] and a connection
//! pool outside this crate.

use crate::AnyBody;
use crate::early_answer::ReadToEnd;
use crate::framing::AnswerSender;
use crate::framing::FramingLimited;
use crate::framing::IncomingAnswer;
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

/// Default maximum size of the answer to a control call, in bytes.
const CONTROL_ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Idle time of a connection with TCP keep-alive before the operating system sends a probe, and the interval
/// between probes. Each probe costs a packet in each direction.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection counts as broken.
const KEEP_ALIVE_PROBES_MAX: u32 = 2;
/// Default maximum number of idle connections of a client.
const IDLE_CONNECTIONS_DEFAULT: usize = 4;

/// The step at which a call failed.
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
    /// Step that failed.
    pub step: CallStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause, as reported by the operating system or the HTTP library.
    pub message: String,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the request was certainly not sent to the peer.
    pub fn is_not_sent(&self) -> bool {
        self.step == CallStep::Connect
    }
}

/// Opens a TCP connection with `TCP_NODELAY`.
///
/// # Errors
///
/// The operating system's error when the peer can't be reached.
pub async fn connect_stream(peer: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(peer).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Opens a TCP connection with `TCP_NODELAY` and keep-alive, which fails within 3 s after its peer became
/// unreachable, even if nothing is sent.
///
/// # Errors
///
/// The operating system's error when the peer can't be reached.
pub async fn connect_with_keep_alive(peer: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = connect_stream(peer).await?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES_MAX);
    SockRef::from(stream.get_ref()).set_tcp_keepalive(&keep_alive)?;
    Ok(stream)
}

/// Opens an HTTP/1.1 connection to a peer.
///
/// # Errors
///
/// The operating system's or hyper's error when the peer can't be reached.
pub async fn http1_sender<B>(peer: SocketAddr) -> Result<AnswerSender<B>, crate::BoxError>
where
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<crate::BoxError>,
{
    http1_handshake(connect_stream(peer).await?).await
}

async fn http1_handshake<B>(stream: Async<TcpStream>) -> Result<AnswerSender<B>, crate::BoxError>
where
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<crate::BoxError>,
{
    let stream = FramingLimited::new(ReadToEnd::new(stream));
    let with_limit = stream.wrapper();
    let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    spawn(async move {
        // Errors of the connection also reach the requests on it through the sender.
        let _ = connection.await;
    })
    .detach();
    Ok(with_limit(sender))
}

/// Time that the parts of a call took. [`HttpClient`] adds it to the extensions of each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// From the start of the call, connecting included, until the head of the answer arrived.
    pub wait: Duration,
    /// From the arrival of the head until the end of the body.
    pub transfer: Duration,
}

/// Client for control calls to one peer.
pub struct HttpClient {
    peer: SocketAddr,
    /// Maximum time until the head of an answer, connecting included.
    timeout: Duration,
    /// Maximum time between two chunks of a body.
    chunk_timeout: Duration,
    /// Maximum time of a whole call.
    total_timeout: Duration,
    /// Maximum size of a body.
    answer_bytes_max: usize,
    idle_max: usize,
    is_kept_alive: bool,
    idle: Mutex<Vec<AnswerSender<AnyBody>>>,
    /// Number of answers whose bodies are being received.
    receiving: AtomicUsize,
}

/// Counts an answer as being received until the guard is dropped.
struct ReceivingGuard<'client>(&'client AtomicUsize);

impl<'client> ReceivingGuard<'client> {
    fn new(count: &'client AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpClient {
    /// Creates a client of `peer` whose calls take at most `timeout_ms`.
    pub fn new(peer: SocketAddr, timeout_ms: u64) -> Self {
        let timeout = Duration::from_millis(timeout_ms);
        Self {
            peer,
            timeout,
            chunk_timeout: timeout,
            total_timeout: timeout,
            answer_bytes_max: CONTROL_ANSWER_BYTES_MAX,
            idle_max: IDLE_CONNECTIONS_DEFAULT,
            is_kept_alive: false,
            idle: Mutex::new(Vec::new()),
            receiving: AtomicUsize::new(0),
        }
    }

    /// Limits the time between two chunks of a body to `chunk_ms` and the time of a whole call to `total_ms`. The
    /// timeout of [`HttpClient::new`] then applies only until the head of the answer.
    ///
    /// A large answer takes long on a slow link, and a client that gives up a transfer in progress only requests
    /// the same bytes again: with 1.5 s for the whole call, a configuration of 4,200 routes never arrived over a
    /// link of 300 kB/s.
    pub fn with_large_answers(mut self, chunk_ms: u64, total_ms: u64) -> Self {
        self.chunk_timeout = Duration::from_millis(chunk_ms);
        self.total_timeout = Duration::from_millis(total_ms);
        self
    }

    /// Sets the maximum size of the body of an answer, in bytes. A call whose answer is larger fails.
    pub fn with_answer_bytes_max(mut self, answer_bytes_max: usize) -> Self {
        self.answer_bytes_max = answer_bytes_max;
        self
    }

    /// Sets the maximum number of idle connections.
    pub fn with_idle_connections(mut self, idle_max: usize) -> Self {
        self.idle_max = idle_max;
        self
    }

    /// Enables TCP keep-alive, which detects a dead connection within 3 s. For calls whose answers may take long.
    pub fn with_keep_alive(mut self) -> Self {
        self.is_kept_alive = true;
        self
    }

    /// Address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the body of an answer is being received.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Relaxed) > 0
    }

    /// Sends a request and receives its whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no complete answer was received. Unless [`CallError::is_not_sent`], the peer may have
    /// handled the request.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Response<Bytes>, CallError> {
        within(self.total_timeout, self.call_without_total_timeout(request))
            .await
            .unwrap_or_else(|| Err(self.deadline_error("the answer is too slow")))
    }

    /// Makes a call with the timeouts until the head and between chunks, but without the total timeout.
    async fn call_without_total_timeout(
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
        let called_at = Instant::now();
        let answered = within(self.timeout, self.send(request)).await;
        let (sender, response) =
            answered.unwrap_or_else(|| Err(self.deadline_error("no answer in time")))?;
        let wait = called_at.elapsed();
        let (mut head, body) = response.into_parts();
        let body = self.receive(body).await?;
        let transfer = called_at.elapsed() - wait;
        head.extensions.insert(AnswerTimes { wait, transfer });
        self.return_idle(sender);
        Ok(Response::from_parts(head, body))
    }

    /// Receives a whole body, with a timeout for each chunk.
    async fn receive(&self, body: IncomingAnswer) -> Result<Bytes, CallError> {
        let _receiving = ReceivingGuard::new(&self.receiving);
        let mut body = Limited::new(body, self.answer_bytes_max);
        let mut whole = BytesMut::new();
        loop {
            let frame = within(self.chunk_timeout, body.frame()).await;
            let Some(frame) = frame.ok_or_else(|| self.deadline_error("the answer stopped"))?
            else {
                return Ok(whole.freeze());
            };
            let frame = frame.map_err(|error| self.error(CallStep::Receive, error))?;
            if let Ok(chunk) = frame.into_data() {
                whole.extend_from_slice(&chunk);
            }
        }
    }

    fn deadline_error(&self, message: &str) -> CallError {
        self.error(CallStep::Deadline, message)
    }

    /// Sends a request over an idle or a new connection. A connection that closed before anything was written
    /// returns the request unsent, which is then sent over another connection.
    async fn send(
        &self,
        mut request: Request<AnyBody>,
    ) -> Result<(AnswerSender<AnyBody>, Response<IncomingAnswer>), CallError> {
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

    async fn sender(&self) -> Result<AnswerSender<AnyBody>, CallError> {
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
        let sender = http1_handshake(stream).await;
        sender.map_err(|error| self.error(CallStep::Connect, error))
    }

    fn take_idle(&self) -> Option<AnswerSender<AnyBody>> {
        self.idle.lock().ok()?.pop()
    }

    fn return_idle(&self, sender: AnswerSender<AnyBody>) {
        if sender.is_reusable()
            && let Ok(mut idle) = self.idle.lock()
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
