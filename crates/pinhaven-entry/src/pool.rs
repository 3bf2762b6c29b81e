//! Connections to targets, kept for reuse.

use bytes::Bytes;
use http::Request;
use hyper::client::conn::http1;
use parking_lot::Mutex;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::http1_sender;
use pinhaven_types::TargetAddress;
use std::sync::Arc;

/// A connection to a target.
pub(crate) type Sender = http1::SendRequest<AnyBody>;

/// Idle connections to one target.
#[derive(Default)]
pub(crate) struct TargetPool {
    idle: Mutex<Vec<Sender>>,
}

/// A connection and whether it was just made.
pub(crate) struct Connected {
    pub(crate) sender: Sender,
    pub(crate) is_new: bool,
}

impl TargetPool {
    /// A connection that takes a request now.
    pub(crate) async fn connect(&self, target: TargetAddress) -> Result<Connected, BoxError> {
        while let Some(mut sender) = self.take() {
            if sender.ready().await.is_ok() {
                return Ok(Connected {
                    sender,
                    is_new: false,
                });
            }
        }
        let mut sender = http1_sender(target.socket_address()).await?;
        sender.ready().await?;
        Ok(Connected {
            sender,
            is_new: true,
        })
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(crate) fn keep(&self, sender: Sender) {
        if !sender.is_closed() {
            self.idle.lock().push(sender);
        }
    }

    fn take(&self) -> Option<Sender> {
        self.idle.lock().pop()
    }
}

/// What became of a request that was handed to a connection.
pub(crate) enum Sent {
    Answer(http::Response<hyper::body::Incoming>, Sender),
    /// The connection had closed before anything was written; the request is back.
    Unsent(Box<Request<AnyBody>>),
    Broken(hyper::Error),
}

/// Sends a request over a connection.
pub(crate) async fn send(mut sender: Sender, request: Request<AnyBody>) -> Sent {
    match sender.try_send_request(request).await {
        Ok(response) => Sent::Answer(response, sender),
        Err(mut error) => match error.take_message() {
            Some(request) => Sent::Unsent(Box::new(request)),
            None => Sent::Broken(error.into_error()),
        },
    }
}

/// Gives a connection back to its pool once the answer has been read to its end.
pub(crate) struct ReturnSender {
    pool: Arc<TargetPool>,
    sender: Option<Sender>,
}

impl ReturnSender {
    pub(crate) fn new(pool: Arc<TargetPool>, sender: Sender) -> Self {
        Self {
            pool,
            sender: Some(sender),
        }
    }

    /// The answer has been read to its end.
    pub(crate) fn finished(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.keep(sender);
        }
    }
}

/// An empty body's bytes.
pub(crate) fn no_bytes() -> Bytes {
    Bytes::new()
}
