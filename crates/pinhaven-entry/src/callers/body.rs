//! Request bodies: buffered up to a limit, and streamed to a target beyond that limit.

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
    /// Buffered completely; can be sent any number of times.
    Whole(Bytes),
    /// Only the beginning is buffered and the rest is still arriving; can be sent once.
    Stream(Mutex<Option<StreamedBody>>),
}

impl RequestBody {
    /// Whether the body can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the body if it is buffered completely.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Stream(_) => None,
        }
    }

    /// Size of the body as far as it is known, in bytes: the declared size, or at least what is
    /// buffered.
    pub(crate) fn size_bytes(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::Stream(body) => {
                let body = body.lock();
                body.as_ref().map_or(0, StreamedBody::known_bytes)
            }
        }
    }

    /// Returns the body to send; `None` if a streamed body has already been sent.
    pub(crate) fn to_send(&self) -> Option<AnyBody> {
        match self {
            Self::Whole(bytes) => Some(whole_body(bytes.clone())),
            Self::Stream(body) => body.lock().take().map(BodyExt::boxed_unsync),
        }
    }
}

/// A body that is forwarded while it arrives.
pub(crate) struct StreamedBody {
    first: Option<Bytes>,
    rest: AnyBody,
    /// Number of bytes that the rest may still have.
    remaining_bytes: u64,
}

impl StreamedBody {
    fn known_bytes(&self) -> u64 {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        first + self.rest.size_hint().lower()
    }
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
        // Trailers are dropped: a target could take them for fields that only the entry may set.
        let Some(data) = frame.data_ref() else {
            return Poll::Ready(None);
        };
        let bytes = data.len() as u64;
        if bytes > self.remaining_bytes {
            return Poll::Ready(Some(Err(
                "the body exceeds the size limit of the service".into()
            )));
        }
        self.remaining_bytes -= bytes;
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

/// Size limits of request bodies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Maximum size of a body that is buffered completely, in bytes.
    pub(crate) buffered_bytes: u64,
    /// Maximum size of an accepted body, in bytes.
    pub(crate) accepted_bytes: u64,
}

/// Receives a request's body of `declared` bytes, if the length is declared: completely if it fits the buffer limit,
/// otherwise only its beginning.
pub(crate) async fn receive_body(
    entry: &Arc<Entry>,
    mut body: AnyBody,
    declared: Option<u64>,
    limits: BodyLimits,
) -> Result<(RequestBody, Option<BodyMemory>), Problem> {
    if body.is_end_stream() {
        return Ok((RequestBody::Whole(Bytes::new()), None));
    }
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
    let is_streamed = declared.is_some_and(|bytes| bytes > limits.buffered_bytes);
    let mut buffered = BytesMut::new();
    while !is_streamed && buffered.len() as u64 <= limits.buffered_bytes {
        let Some(frame) = body.frame().await else {
            return Ok((RequestBody::Whole(buffered.freeze()), Some(memory)));
        };
        let Ok(frame) = frame else {
            return Err(body_cut(entry));
        };
        if let Some(data) = frame.data_ref() {
            buffered.extend_from_slice(data);
        }
    }
    let remaining_bytes = limits.accepted_bytes.saturating_sub(buffered.len() as u64);
    let streamed = StreamedBody {
        first: Some(buffered.freeze()).filter(|first| !first.is_empty()),
        rest: body,
        remaining_bytes,
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
