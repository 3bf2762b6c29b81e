//! Bodies of requests.

use crate::entry::BodyMemory;
use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::problem::Problem;
use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::whole_body;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

/// A request's body.
pub(crate) enum RequestBody {
    /// Held whole; it can be sent any number of times.
    Whole(Bytes),
    /// The first part is held, the rest still comes; it can be sent once.
    Stream(Mutex<Option<StreamedBody>>),
}

impl RequestBody {
    /// Whether it can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The body, if it is held whole.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Stream(_) => None,
        }
    }

    /// The body to send; `None` when it has been sent and can't be again.
    pub(crate) fn to_send(&self) -> Option<AnyBody> {
        match self {
            Self::Whole(bytes) => Some(whole_body(bytes.clone())),
            Self::Stream(body) => body.lock().take().map(BodyExt::boxed_unsync),
        }
    }
}

/// A body being passed on while it comes.
pub(crate) struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    left: u64,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else {
            return Poll::Pending;
        };
        let Some(frame) = frame.transpose()? else {
            return Poll::Ready(None);
        };
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        if bytes > self.left {
            return Poll::Ready(Some(
                Err("the body is larger than the service takes".into()),
            ));
        }
        self.left -= bytes;
        Poll::Ready(Some(Ok(frame)))
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// How much of a body is held and taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// The largest body held whole, in bytes.
    pub(crate) buffered_bytes: u64,
    /// The largest body taken at all, in bytes.
    pub(crate) accepted_bytes: u64,
}

/// Takes a request's body in: whole if it is small enough, else its beginning.
pub(crate) async fn receive_body(
    entry: &Arc<Entry>,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<(RequestBody, Option<BodyMemory>), Problem> {
    if body.is_end_stream() {
        return Ok((RequestBody::Whole(Bytes::new()), None));
    }
    let declared = body.size_hint().exact();
    if declared.is_some_and(|bytes| bytes > limits.accepted_bytes) {
        return Err(too_large(entry, limits.accepted_bytes));
    }
    let reserved = declared
        .unwrap_or(limits.buffered_bytes)
        .min(limits.buffered_bytes);
    let Some(memory) = entry.reserve_body(reserved) else {
        entry.counters.add(Count::BodyMemory);
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "body_memory",
            "bodies fill the memory that they may",
        ));
    };
    let streams = declared.is_some_and(|bytes| bytes > limits.buffered_bytes);
    let mut held = BytesMut::new();
    while !streams && held.len() as u64 <= limits.buffered_bytes {
        let Some(frame) = body.frame().await else {
            return Ok((RequestBody::Whole(held.freeze()), Some(memory)));
        };
        let Ok(frame) = frame else {
            return Err(body_cut(entry));
        };
        if let Some(data) = frame.data_ref() {
            held.extend_from_slice(data);
        }
    }
    let left = limits.accepted_bytes.saturating_sub(held.len() as u64);
    let streamed = StreamedBody {
        first: Some(held.freeze()).filter(|first| !first.is_empty()),
        rest: body,
        left,
    };
    let body = RequestBody::Stream(Mutex::new(Some(streamed)));
    Ok((body, Some(memory)))
}

pub(crate) fn too_large(entry: &Entry, limit_bytes: u64) -> Problem {
    entry.counters.add(Count::BodyTooLarge);
    Problem::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body may have {limit_bytes} bytes"),
    )
}

pub(crate) fn body_cut(entry: &Entry) -> Problem {
    entry.counters.add(Count::BodyCut);
    Problem::not_run(
        StatusCode::BAD_REQUEST,
        "body_cut",
        "the body ended before its declared end",
    )
}
