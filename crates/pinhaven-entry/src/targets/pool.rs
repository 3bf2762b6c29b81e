//! Pools of connections to targets.
//!
//! A connection returns to the pool of its target after the answer has been read completely, and is reused until
//! it has been idle for too long. Requests and probes need a [`SendPermit`] to be sent.

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use parking_lot::Mutex;
use pinhaven_decide::SendPermit;
use pinhaven_runtime::AnswerSender;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::IncomingAnswer;
use pinhaven_runtime::http1_sender;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::whole_body;
use pinhaven_runtime::within;
use pinhaven_types::TargetAddress;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// A connection to a target.
pub(crate) type Sender = AnswerSender<AnyBody>;

/// Timeout for a target to accept a connection. The round trip between failure domains is a few milliseconds. A
/// host that is down does not answer, and the operating system would retry for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for a target's host to refuse a connection after the target's process has ended. The refusal takes one
/// round trip, about 2 ms between failure domains. Retries wait for the result.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of connection attempts per check for a refusal.
const REFUSAL_CHECKS: u32 = 2;
/// How long a new connection must stay open to show that the target still runs, in milliseconds.
const STAY_UP_MS: u64 = 2;

/// Timeout for a target's answer to the probe of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of the body of an answer to a probe, in bytes. Reports have a few hundred bytes, and many targets may be
/// probed at a time.
pub(crate) const PROBE_ANSWER_BYTES_MAX: usize = 64 * 1024;
/// How long a new connection must stay open to show that the target is reached, in milliseconds.
const STAY_OPEN_MS: u64 = 30;

/// Maximum idle time of a connection that is reused. Targets close idle connections after a timeout, often 10 s,
/// and a request that is sent while the target closes the connection is lost.
pub(crate) const IDLE_MAX: Duration = Duration::from_secs(8);
/// Maximum idle time of a connection that is reused for a request that may not be repeated. The time is shorter
/// because such a request can't be retried when it is lost.
pub(crate) const IDLE_MAX_ONCE: Duration = Duration::from_secs(2);

/// Idle connections to one target with the time since which each is idle, the most recently used last.
#[derive(Default)]
pub(crate) struct TargetPool {
    idle: Mutex<Vec<(Instant, Sender)>>,
}

/// A connection, and whether it was newly opened.
pub(crate) struct Connected {
    pub(crate) sender: Sender,
    pub(crate) is_new: bool,
}

impl TargetPool {
    /// Returns a connection that is ready for a request: a pooled one that has been idle for less than `idle_max`, or
    /// a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if no new connection can be opened in time.
    pub(crate) async fn connect(
        &self,
        target: TargetAddress,
        idle_max: Duration,
    ) -> Result<Connected, BoxError> {
        while let Some(mut sender) = self.take_idle(idle_max) {
            if sender.ready().await.is_ok() {
                return Ok(Connected {
                    sender,
                    is_new: false,
                });
            }
        }
        let connecting = http1_sender(target.socket_address());
        let Some(connected) = within(CONNECT_TIMEOUT, connecting).await else {
            return Err(format!("{target} did not accept a connection within the timeout").into());
        };
        let mut sender = connected?;
        sender.ready().await?;
        Ok(Connected {
            sender,
            is_new: true,
        })
    }

    /// Whether the target's host refuses connections, so no process listens at the address. A connection that stays
    /// open is put into the pool.
    pub(crate) async fn is_connection_refused(&self, target: TargetAddress) -> bool {
        for _ in 0..REFUSAL_CHECKS {
            let connecting = http1_sender(target.socket_address());
            let sender = match within(REFUSAL_TIMEOUT, connecting).await {
                Some(Ok(sender)) => sender,
                Some(Err(error)) => return is_refusal(&error),
                None => return false,
            };
            // A process that ends may close its connections shortly before or after its listener.
            sleep_ms(STAY_UP_MS).await;
            if !sender.is_closed() {
                self.put(sender);
                return false;
            }
        }
        false
    }

    /// Opens a connection to a target, sends a probe if there is one, and puts the connection into the pool. Returns
    /// whether the target is reached: it answered the probe, or without a probe, the connection stays open.
    pub(crate) async fn check(
        &self,
        target: TargetAddress,
        probe: impl FnOnce() -> Option<Probe>,
    ) -> bool {
        let connecting = http1_sender(target.socket_address());
        let Some(Ok(mut sender)) = within(CONNECT_TIMEOUT, connecting).await else {
            return false;
        };
        if let Some(probe) = probe() {
            // What stands between this entry and an unreachable target may accept connections.
            let answered = within(CHECK_TIMEOUT, probe.send(&mut sender)).await;
            let is_answered = answered.unwrap_or(false);
            if is_answered {
                self.put(sender);
            }
            return is_answered;
        }
        sleep_ms(STAY_OPEN_MS).await;
        let is_open = !sender.is_closed();
        self.put(sender);
        is_open
    }

    /// Whether the target accepts a connection at once. The connection is put into the pool.
    pub(crate) async fn accepts_connection(&self, target: TargetAddress) -> bool {
        let connecting = http1_sender(target.socket_address());
        match within(REFUSAL_TIMEOUT, connecting).await {
            Some(Ok(sender)) => {
                self.put(sender);
                true
            }
            _ => false,
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Puts a connection into the pool after its answer has been read completely. A connection that is still sending the
    /// rest of the request is not used again.
    pub(crate) fn put(&self, sender: Sender) {
        if sender.is_reusable() {
            self.idle.lock().push((Instant::now(), sender));
        }
    }

    /// Takes the most recently used connection. If that connection has been idle for longer than [`IDLE_MAX`], all
    /// connections in the pool are at least as old and are closed.
    fn take_idle(&self, idle_max: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let (idle_since, sender) = idle.pop()?;
        if idle_since.elapsed() < idle_max {
            return Some(sender);
        }
        if idle_since.elapsed() >= IDLE_MAX {
            idle.clear();
        } else {
            idle.push((idle_since, sender));
        }
        None
    }
}

fn is_refusal(error: &BoxError) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Result of sending a request over a connection.
pub(crate) enum SendResult {
    Answer(http::Response<IncomingAnswer>, Sender),
    /// The connection was closed before any part of the request was written; holds the request.
    Unsent(Box<Request<AnyBody>>),
    Broken(hyper::Error),
}

/// Sends a request over a connection. All requests to targets are sent by this function. It consumes a permit that is
/// obtained immediately before sending, because the target may have begun to leave or rest after it was chosen.
pub(crate) async fn send(
    _permit: SendPermit,
    mut sender: Sender,
    request: Request<AnyBody>,
) -> SendResult {
    match sender.try_send_request(request).await {
        Ok(response) => SendResult::Answer(response, sender),
        Err(mut error) => match error.take_message() {
            Some(request) => SendResult::Unsent(Box::new(request)),
            None => SendResult::Broken(error.into_error()),
        },
    }
}

/// A connection that is put back into its pool once the answer has been read completely.
pub(crate) struct PooledSender {
    pool: Arc<TargetPool>,
    sender: Option<Sender>,
}

impl PooledSender {
    pub(crate) fn new(pool: Arc<TargetPool>, sender: Sender) -> Self {
        Self {
            pool,
            sender: Some(sender),
        }
    }

    /// Puts the connection back into its pool. Called once the answer has been read completely.
    pub(crate) fn release(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender);
        }
    }
}

/// A probe that may be sent at this moment.
pub(crate) struct Probe {
    request: Request<AnyBody>,
}

impl Probe {
    /// Creates a probe of a path; consumes the permit to send it. Returns `None` if the path is invalid.
    pub(crate) fn new(permit: SendPermit, target: TargetAddress, path: &str) -> Option<Self> {
        let mut request = probe_request(permit, path)?.map(whole_body);
        let host = HeaderValue::from_str(&target.to_string()).ok()?;
        request.headers_mut().insert(http::header::HOST, host);
        Some(Self { request })
    }

    /// Sends the probe. Returns whether a whole answer came, whatever it says.
    async fn send(self, sender: &mut Sender) -> bool {
        let Ok(answer) = sender.try_send_request(self.request).await else {
            return false;
        };
        let body = Limited::new(answer.into_body(), PROBE_ANSWER_BYTES_MAX);
        body.collect().await.is_ok()
    }
}

/// Builds the request of a probe; consumes the permit to send it. Returns `None` if the path is invalid.
pub(crate) fn probe_request(_permit: SendPermit, path: &str) -> Option<Request<Bytes>> {
    Request::get(path).body(Bytes::new()).ok()
}
