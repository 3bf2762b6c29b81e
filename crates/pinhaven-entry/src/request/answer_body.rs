//! Bodies of answers on their way from a target to a caller.
//!
//! A small body is buffered in full before the head of its answer is forwarded, so that a request whose answer is
//! truncated can still be retried at another target. A larger body is streamed; if the target truncates it, or falls
//! silent past the deadline of the request, the caller's connection is aborted, so that the caller sees the truncation
//! too.

use crate::callers::request_guard::RequestGuard;
use crate::entry::Entry;
use crate::request::record_context::RecordContext;
use crate::targets::pool::PooledSender;
use crate::versions::service_entry::CapacityFreed;
use crate::watch::counters::Count;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use pinhaven_decide::Attempt;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::IncomingAnswer;
use pinhaven_runtime::SilenceLimited;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

/// Largest answer body that is buffered in full, in bytes. Typical answers have up to 30 KB, and the memory of a small
/// instance holds a thousand buffers of this size at a time.
pub(crate) const BUFFERED_BYTES_MAX: u64 = 64 * 1024;

/// Maximum time past the deadline of a request for which the sender of an answer's body may be silent. Covers several
/// retransmissions on a link that loses packets.
pub(crate) const BODY_SILENCE_MAX: Duration = Duration::from_secs(2);

/// Collects an answer's body; `None` if the body is truncated or larger than `bytes_max`.
pub(crate) async fn collect_answer(mut body: AnyBody, bytes_max: usize) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        if let Some(data) = frame.data_ref() {
            if collected.len() + data.len() > bytes_max {
                return None;
            }
            collected.extend_from_slice(data);
        }
    }
    Some(collected.freeze())
}

/// Body of an answer, as received from a target.
pub(crate) enum ReceivedBody {
    /// A body received in full; `None` once forwarded.
    Whole(Option<Bytes>),
    /// A body that is forwarded frame by frame as it arrives.
    Streaming(SilenceLimited<IncomingAnswer>),
}

impl ReceivedBody {
    /// Receives a body, in full if its declared length is at most [`BUFFERED_BYTES_MAX`]. Returns `None` if such a body
    /// is truncated: nothing of the body has reached the caller then, and the request may be retried at another target.
    /// A larger body fails if the target falls silent past `deadline`, and one without a declared length after `ends_at`.
    pub(crate) async fn receive(
        body: IncomingAnswer,
        deadline: Instant,
        ends_at: Option<Instant>,
    ) -> Option<Self> {
        let declared_bytes = body.size_hint().exact();
        let is_small = declared_bytes.is_some_and(|bytes| bytes <= BUFFERED_BYTES_MAX);
        if body.is_end_stream() || !is_small {
            let ends_at = ends_at.filter(|_| declared_bytes.is_none());
            let body = SilenceLimited::new(body, deadline, BODY_SILENCE_MAX).with_end(ends_at);
            return Some(Self::Streaming(body));
        }
        let body = body.map_err(Into::into).boxed_unsync();
        let whole = collect_answer(body, BUFFERED_BYTES_MAX as usize).await?;
        let is_whole = declared_bytes == Some(whole.len() as u64);
        is_whole.then_some(Self::Whole(Some(whole)))
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streaming(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Streaming(body) => body.size_hint(),
        }
    }
}

/// Body of an answer from another entry, with the resources of the request.
pub(crate) struct GuardedBody {
    body: AnyBody,
    /// Held only for its `Drop`.
    _request_guard: RequestGuard,
}

impl GuardedBody {
    pub(crate) fn new(body: AnyBody, request_guard: RequestGuard) -> Self {
        Self {
            body,
            _request_guard: request_guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether a truncation of the body can be detected: the body has ended, declares its length, or has a
/// transfer encoding.
pub(crate) fn is_bounded(headers: &HeaderMap, body: &IncomingAnswer) -> bool {
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// Resources held until an answer's body has been forwarded: the attempt's capacity at its target, the connection to
/// the target, and the request's resources at the entry.
pub(crate) struct AnswerGuard {
    pub(crate) entry: Arc<Entry>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) capacity_freed: Arc<CapacityFreed>,
    pub(crate) sender: PooledSender,
    /// Facts for record lines on the request; `None` if the entry has no recorder.
    pub(crate) record_context: Option<RecordContext>,
    /// Held only for its `Drop`.
    pub(crate) _request_guard: RequestGuard,
}

impl AnswerGuard {
    /// Returns a future that completes once the target has restarted; `None` if the target's incarnation is unknown, as
    /// a restart can't be detected then.
    fn restart(&self) -> Option<Pin<Box<dyn Future<Output = ()> + Send>>> {
        let target = Arc::clone(&self.attempt.as_ref()?.target);
        target.incarnation()?;
        let entry = Arc::clone(&self.entry);
        Some(Box::pin(async move {
            entry.wait_for_restart(&target).await;
        }))
    }

    /// Counts and records that the target's answer broke off after `passed_bytes` had been forwarded.
    fn record_cut(&self, passed_bytes: u64) {
        self.entry.counters.add(Count::AnswerCut);
        let attempt = self.attempt.as_ref().map_or(0, |attempt| attempt.id.0);
        if let Some(record_context) = &self.record_context {
            let event = TraceEvent::AnswerCut {
                attempt,
                passed_bytes,
            };
            record_context.record(&self.entry, event);
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        // Releases the attempt's capacity before a waiting request is notified of it.
        self.attempt = None;
        self.capacity_freed.notify(1);
    }
}

/// Body of an answer to a caller, forwarded from a target. The body ends without an error only if the target sent all
/// of it.
pub(crate) struct AnswerBody {
    body: ReceivedBody,
    declared_bytes: Option<u64>,
    passed_bytes: u64,
    guard: Option<AnswerGuard>,
    /// Completes when the target has restarted and will send no more of this body.
    restart: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl AnswerBody {
    pub(crate) fn new(body: ReceivedBody, guard: AnswerGuard) -> Self {
        let declared_bytes = body.size_hint().exact();
        let restart = match &body {
            ReceivedBody::Whole(_) => None,
            ReceivedBody::Streaming(_) => guard.restart(),
        };
        let mut answer = Self {
            body,
            declared_bytes,
            passed_bytes: 0,
            guard: Some(guard),
            restart,
        };
        if answer.body.is_end_stream() {
            answer.finish();
        }
        answer
    }

    /// Whether the target has restarted before it sent the whole answer.
    fn poll_restart(&mut self, context: &mut Context<'_>) -> bool {
        let restart = self.restart.as_mut();
        restart.is_some_and(|restart| restart.as_mut().poll(context).is_ready())
    }

    /// Ends a truncated answer with an error. The error makes the server abort the caller's connection, so that the
    /// caller can't mistake the part received for the whole answer.
    fn abort(&mut self, error: BoxError) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let passed_bytes = self.passed_bytes;
        if let Some(guard) = self.guard.take() {
            guard.record_cut(passed_bytes);
            if let Some(attempt) = &guard.attempt {
                guard.entry.count_endless(attempt.target.address(), &*error);
            }
        }
        self.restart = None;
        Poll::Ready(Some(Err(error)))
    }

    /// Handles the end of the target's answer and returns whether the answer was complete. The connection to the target
    /// is reused only then.
    fn finish(&mut self) -> bool {
        let passed_bytes = self.passed_bytes;
        let is_whole = self
            .declared_bytes
            .is_none_or(|declared| declared == passed_bytes);
        let holds = require_promise(Promise::WholeOwnAnswer, is_whole, || {
            format!("an answer ended after {passed_bytes} bytes")
        });
        if let Some(mut guard) = self.guard.take()
            && holds
        {
            guard.sender.release();
        }
        holds
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            return match self.poll_restart(context) {
                true => self.abort("the target restarted".into()),
                false => Poll::Pending,
            };
        };
        match frame {
            Some(Ok(frame)) => {
                self.passed_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => self.abort(error),
            None => {
                if self.guard.is_none() || self.finish() {
                    Poll::Ready(None)
                } else {
                    Poll::Ready(Some(Err("the answer was truncated".into())))
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
