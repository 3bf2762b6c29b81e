//! Requests that a connection is still sending.
//!
//! A peer may answer before it has received the whole request. The rest is sent after the answer, for as long as the
//! peer takes to receive it, and the next request on the connection would wait for that. A request is sent when hyper
//! has dropped its body, of which it may hold a part, and the socket has taken what hyper wrote.

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

/// Parts of a request that aren't sent yet.
#[derive(Debug, Default)]
struct Unsent {
    has_body: AtomicBool,
    is_write_pending: AtomicBool,
}

/// Whether a connection is sending a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sending(Arc<Unsent>);

impl Sending {
    /// Whether a part of a request isn't sent yet.
    pub(crate) fn is_in_progress(&self) -> bool {
        self.0.has_body.load(Ordering::Relaxed) || self.0.is_write_pending.load(Ordering::Relaxed)
    }

    /// Notes the result of a write.
    pub(crate) fn record_write<T>(&self, written: &Poll<T>) {
        let is_pending = written.is_pending();
        self.0.is_write_pending.store(is_pending, Ordering::Relaxed);
    }

    /// Marks the connection as sending until the returned body is dropped.
    pub(crate) fn begin<B>(&self, body: B) -> SendingBody<B> {
        self.0.has_body.store(true, Ordering::Relaxed);
        SendingBody {
            body,
            _guard: SendingGuard(self.clone()),
        }
    }
}

/// Marks a connection as sending until it is dropped.
#[derive(Debug)]
struct SendingGuard(Sending);

impl Drop for SendingGuard {
    fn drop(&mut self) {
        self.0.0.has_body.store(false, Ordering::Relaxed);
    }
}

/// Body of a request that is being sent.
#[derive(Debug)]
pub(crate) struct SendingBody<B> {
    body: B,
    _guard: SendingGuard,
}

impl<B> SendingBody<B> {
    /// Returns the body, which is not sent.
    pub(crate) fn into_inner(self) -> B {
        self.body
    }
}

impl<B: Body + Unpin> Body for SendingBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
