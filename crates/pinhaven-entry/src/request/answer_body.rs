//! Bodies of answers.
//!
//! Small ones are taken in whole before their head is passed on, so that a request whose answer is cut
//! can still be tried elsewhere. Larger ones are passed on as they come; a cut of those is a cut for the
//! caller.

use crate::callers::hold::CallerHold;
use crate::entry::Entry;
use crate::request::places::Places;
use crate::request::subject::Subject;
use crate::targets::pool::PooledSender;
use crate::watch::counters::Count;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pinhaven_decide::Attempt;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

/// The largest answer that is taken in whole, in bytes. Those of the users' services have up to 30 KB; a
/// thousand at a time fit into the memory of a small instance.
const HELD_BYTES_MOST: u64 = 64 * 1024;

/// Collects an answer's body; `None` when it is cut or larger than `most` bytes.
pub(crate) async fn collect_answer(mut body: AnyBody, most: usize) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        if let Some(data) = frame.data_ref() {
            if collected.len() + data.len() > most {
                return None;
            }
            collected.extend_from_slice(data);
        }
    }
    Some(collected.freeze())
}

/// An answer's body as a target sends it.
pub(crate) enum ReceivedBody {
    /// All of it is here; `None` once it has been passed on.
    Whole(Option<Bytes>),
    /// It is passed on as it comes.
    Coming(Incoming),
}

impl ReceivedBody {
    /// Takes a body in, whole if it says that it is small enough. `None` when it was cut; then nothing of
    /// it has gone to the caller, and the request may be tried elsewhere.
    pub(crate) async fn receive(body: Incoming) -> Option<Self> {
        let declared = body.size_hint().exact();
        let is_small = declared.is_some_and(|bytes| bytes <= HELD_BYTES_MOST);
        if body.is_end_stream() || !is_small {
            return Some(Self::Coming(body));
        }
        let body = body.map_err(Into::into).boxed_unsync();
        let whole = collect_answer(body, HELD_BYTES_MOST as usize).await?;
        let is_whole = declared == Some(whole.len() as u64);
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
            Self::Coming(body) => Pin::new(body).poll_frame(context).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Coming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Coming(body) => body.size_hint(),
        }
    }
}

/// Whether the end of an answer's body can be told from a cut.
pub(crate) fn is_bounded(headers: &HeaderMap, body: &Incoming) -> bool {
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// What is held while an answer's body is passed on.
pub(crate) struct Held {
    pub(crate) entry: Arc<Entry>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) place_freed: Arc<Places>,
    pub(crate) sender: PooledSender,
    /// What the record says of the request, if there is one.
    pub(crate) subject: Option<Subject>,
    /// Kept only to be dropped with the rest.
    pub(crate) _hold: CallerHold,
}

impl Held {
    /// Comes when the target has started again, if that can be told.
    fn restart(&self) -> Option<Pin<Box<dyn Future<Output = ()> + Send>>> {
        let target = Arc::clone(&self.attempt.as_ref()?.target);
        target.incarnation()?;
        let entry = Arc::clone(&self.entry);
        Some(Box::pin(async move {
            entry.wait_for_restart(&target).await;
        }))
    }

    /// The target broke off after `passed_bytes` of its answer had been passed on.
    fn record_cut(&self, passed_bytes: u64) {
        self.entry.counters.add(Count::AnswerCut);
        let attempt = self.attempt.as_ref().map_or(0, |attempt| attempt.id.0);
        if let Some(subject) = &self.subject {
            let event = TraceEvent::AnswerCut {
                attempt,
                passed_bytes,
            };
            subject.record(&self.entry, event);
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // The place is given back before the next request is told of it.
        self.attempt = None;
        self.place_freed.notify(1);
    }
}

/// An answer's body, passed on as it comes. It ends well only if the target's did.
pub(crate) struct AnswerBody {
    body: ReceivedBody,
    declared: Option<u64>,
    passed: u64,
    held: Option<Held>,
    /// Comes when the target has started again and will send no more of it.
    restart: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl AnswerBody {
    pub(crate) fn new(body: ReceivedBody, held: Held) -> Self {
        let declared = body.size_hint().exact();
        let restart = match &body {
            ReceivedBody::Whole(_) => None,
            ReceivedBody::Coming(_) => held.restart(),
        };
        let mut answer = Self {
            body,
            declared,
            passed: 0,
            held: Some(held),
            restart,
        };
        if answer.body.is_end_stream() {
            answer.finish();
        }
        answer
    }

    /// Whether the target has started again while more of its answer was awaited.
    fn poll_restart(&mut self, context: &mut Context<'_>) -> bool {
        let restart = self.restart.as_mut();
        restart.is_some_and(|restart| restart.as_mut().poll(context).is_ready())
    }

    /// The answer broke off. The error makes the server break the caller's connection, so that the caller
    /// can't take what it has for the whole.
    fn cut(&mut self, error: BoxError) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let passed = self.passed;
        if let Some(held) = self.held.take() {
            held.record_cut(passed);
        }
        self.restart = None;
        Poll::Ready(Some(Err(error)))
    }

    /// The target's answer has ended. Returns whether it was whole.
    fn finish(&mut self) -> bool {
        let passed = self.passed;
        let is_whole = self.declared.is_none_or(|declared| declared == passed);
        let holds = require_promise(Promise::WholeOwnAnswer, is_whole, || {
            format!("an answer ended after {passed} bytes")
        });
        if let Some(mut held) = self.held.take()
            && holds
        {
            held.sender.release();
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
                true => self.cut("the target started again".into()),
                false => Poll::Pending,
            };
        };
        match frame {
            Some(Ok(frame)) => {
                self.passed += frame.data_ref().map_or(0, |data| data.len() as u64);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => self.cut(error),
            None => {
                if self.held.is_none() || self.finish() {
                    Poll::Ready(None)
                } else {
                    Poll::Ready(Some(Err("the answer was cut".into())))
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
