//! Streams of a forwarded request and of its answer.
//!
//! A message is sent in parts: its head first, then its body. The last part is marked, so that a receiver detects a
//! body that was truncated.

use crate::generated::ForwardAnswer;
use crate::generated::ForwardHead;
use crate::generated::ForwardRequest;
use crate::generated::ForwardResponse;
use bytes::Bytes;
use futures_lite::Stream;
use futures_lite::StreamExt as _;
use futures_lite::stream;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::whole_body;
use std::pin::Pin;
use tonic::Status;
use tonic::Streaming;

/// Maximum size of a part of a body, in bytes.
const PART_BYTES_MAX: usize = 64 * 1024;

/// Parts of the answer to a forwarded request.
pub type ForwardResponses = Pin<Box<dyn Stream<Item = Result<ForwardResponse, Status>> + Send>>;

/// A part of a message that is sent in several.
trait MessagePart: Send + 'static {
    type Head;

    /// Splits the part into the head, in the first part only, and a part of the body.
    fn split(self) -> (Option<Self::Head>, BodyPart);
}

impl MessagePart for ForwardRequest {
    type Head = ForwardHead;

    fn split(self) -> (Option<ForwardHead>, BodyPart) {
        let bytes = self.body.into();
        let is_last = self.is_last;
        (self.head, BodyPart { bytes, is_last })
    }
}

impl MessagePart for ForwardResponse {
    type Head = ForwardAnswer;

    fn split(self) -> (Option<ForwardAnswer>, BodyPart) {
        let bytes = self.body.into();
        let is_last = self.is_last;
        (self.head, BodyPart { bytes, is_last })
    }
}

/// A part of a body.
struct BodyPart {
    bytes: Bytes,
    is_last: bool,
}

/// A body that is divided into parts.
struct BodyParts {
    body: AnyBody,
    /// Bytes received from the body and not yet returned in a part.
    pending: Bytes,
    is_over: bool,
}

impl BodyParts {
    fn new(body: AnyBody) -> Self {
        Self {
            is_over: body.is_end_stream(),
            body,
            pending: Bytes::new(),
        }
    }

    /// Returns the next part; `None` after the last part.
    async fn next(&mut self) -> Option<Result<BodyPart, BoxError>> {
        while self.pending.is_empty() {
            if self.is_over {
                return None;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.pending = frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    self.is_over = true;
                    return Some(Err(error));
                }
                None => {
                    self.is_over = true;
                    let (bytes, is_last) = (Bytes::new(), true);
                    return Some(Ok(BodyPart { bytes, is_last }));
                }
            }
        }
        let length = self.pending.len().min(PART_BYTES_MAX);
        let bytes = self.pending.split_to(length);
        let is_last = false;
        Some(Ok(BodyPart { bytes, is_last }))
    }
}

/// Divides a forwarded request into parts. If its body breaks off, the stream ends without a last part.
pub(crate) fn request_parts(
    head: ForwardHead,
    body: AnyBody,
) -> impl Stream<Item = ForwardRequest> + Send + 'static {
    let parts = BodyParts::new(body);
    let first = ForwardRequest {
        head: Some(head),
        body: Vec::new(),
        is_last: parts.is_over,
    };
    let rest = stream::unfold(parts, async |mut parts: BodyParts| {
        let part = parts.next().await?.ok()?;
        let request = ForwardRequest {
            head: None,
            body: part.bytes.to_vec(),
            is_last: part.is_last,
        };
        Some((request, parts))
    });
    stream::once(first).chain(rest)
}

/// Divides the answer to a forwarded request into parts. If its body breaks off, the stream fails.
pub fn answer_parts(head: ForwardAnswer, body: AnyBody) -> ForwardResponses {
    let parts = BodyParts::new(body);
    let first = ForwardResponse {
        head: Some(head),
        body: Vec::new(),
        is_last: parts.is_over,
    };
    let rest = stream::unfold(parts, async |mut parts: BodyParts| {
        let response = match parts.next().await? {
            Ok(part) => Ok(ForwardResponse {
                head: None,
                body: part.bytes.to_vec(),
                is_last: part.is_last,
            }),
            Err(error) => Err(Status::aborted(error.to_string())),
        };
        Some((response, parts))
    });
    Box::pin(stream::once(Ok(first)).chain(rest))
}

/// Receives the head of a forwarded request, and its body as a stream.
///
/// # Errors
///
/// [`Status`] if the stream fails or does not begin with a head.
pub async fn receive_request(
    parts: Streaming<ForwardRequest>,
) -> Result<(ForwardHead, AnyBody), Status> {
    receive(parts).await
}

/// Receives the head of the answer to a forwarded request, and its body as a stream.
///
/// # Errors
///
/// [`Status`] if the stream fails or does not begin with a head.
pub(crate) async fn receive_answer(
    parts: Streaming<ForwardResponse>,
) -> Result<(ForwardAnswer, AnyBody), Status> {
    receive(parts).await
}

async fn receive<P: MessagePart>(mut parts: Streaming<P>) -> Result<(P::Head, AnyBody), Status> {
    let first = parts.message().await?.map(MessagePart::split);
    let Some((Some(head), body)) = first else {
        return Err(Status::invalid_argument("the first part has no head"));
    };
    let body = match body.is_last {
        true => whole_body(Bytes::new()),
        false => join_parts(parts),
    };
    Ok((head, body))
}

/// Joins the parts of a body. The body fails if the stream ends without a last part.
fn join_parts<P: MessagePart>(parts: Streaming<P>) -> AnyBody {
    let frames = stream::unfold(Some(parts), move |parts: Option<Streaming<P>>| async move {
        let mut parts = parts?;
        match parts.message().await {
            Ok(Some(part)) => {
                let (_, part) = part.split();
                let frame = Ok(Frame::data(part.bytes));
                (!part.is_last).then_some((frame, Some(parts)))
            }
            Ok(None) => Some((Err("the stream ended before its last part".into()), None)),
            Err(status) => Some((Err(status.into()), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
