//! Connections to targets, kept for reuse.

use bytes::Bytes;
use http::Request;
use hyper::client::conn::http1;
use parking_lot::Mutex;
use pinhaven_decide::SendPermit;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::http1_sender;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::within;
use pinhaven_types::TargetAddress;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// A connection to a target.
pub(crate) type Sender = http1::SendRequest<AnyBody>;

/// How long a target may take to accept a connection. Failure domains are a few milliseconds apart; a
/// target that is gone says nothing, and the system would try for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long it is waited for the word that nobody listens at a target's address any more. The machine of a process
/// that has ended says so within one way there and back, some 2 ms between failure domains; retries wait as long.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(25);

/// Times that it is looked, and how long a connection must stay up to show that the target still runs, in milliseconds.
const REFUSAL_CHECKS: u32 = 2;
const STAY_UP_MS: u64 = 2;

/// How long a connection may have been idle to be used again. Targets close them after some time,
/// often 10 s, and a request that crosses the close is lost.
pub(crate) const IDLE_MAX: Duration = Duration::from_secs(8);
/// The same for a request that may not be repeated, as nothing can mend its loss.
pub(crate) const IDLE_MAX_ONCE: Duration = Duration::from_secs(2);

/// Idle connections to one target, and since when, the last used last.
#[derive(Default)]
pub(crate) struct TargetPool {
    idle: Mutex<Vec<(Instant, Sender)>>,
}

/// A connection and whether it was just made.
pub(crate) struct Connected {
    pub(crate) sender: Sender,
    pub(crate) is_new: bool,
}

impl TargetPool {
    /// A connection that takes a request now, a kept one only if it was used less than `idle_max` ago.
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
            return Err(format!("{target} did not accept a connection in time").into());
        };
        let mut sender = connected?;
        sender.ready().await?;
        Ok(Connected {
            sender,
            is_new: true,
        })
    }

    /// Whether nobody listens at a target's address any more. A connection that stays up is kept.
    pub(crate) async fn is_connection_refused(&self, target: TargetAddress) -> bool {
        for _ in 0..REFUSAL_CHECKS {
            let connecting = http1_sender(target.socket_address());
            let sender = match within(REFUSAL_TIMEOUT, connecting).await {
                Some(Ok(sender)) => sender,
                Some(Err(error)) => return is_refusal(&error),
                None => return false,
            };
            // A process that ends closes its connections a moment before its listener, or after.
            sleep_ms(STAY_UP_MS).await;
            if !sender.is_closed() {
                self.put(sender);
                return false;
            }
        }
        false
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(crate) fn put(&self, sender: Sender) {
        if !sender.is_closed() {
            self.idle.lock().push((Instant::now(), sender));
        }
    }

    /// The connection used last. If that is too long ago, all others are older and are closed.
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

/// What became of a request that was handed to a connection.
pub(crate) enum SendResult {
    Answer(http::Response<hyper::body::Incoming>, Sender),
    /// The connection had closed before anything was written; the request is back.
    Unsent(Box<Request<AnyBody>>),
    Broken(hyper::Error),
}

/// Sends a request over a connection. This is the only way to a target for requests, and takes the leave to send as it is
/// at that moment: one that was chosen earlier may have begun to leave or to rest since.
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

/// Gives a connection back to its pool once the answer has been read to its end.
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

    /// The answer has been read to its end.
    pub(crate) fn release(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender);
        }
    }
}

/// The request of a probe, for one who may send it now; `None` when the path can't be asked for.
pub(crate) fn probe_request(_permit: SendPermit, path: &str) -> Option<Request<Bytes>> {
    Request::get(path).body(Bytes::new()).ok()
}
