//! Limit on what a peer may send without a part of an answer.
//!
//! Interim answers, the size of a chunk and the like have no limit in HTTP, and hyper reads them as long as bytes arrive,
//! without a pause for other tasks. A peer that sends them without end would hold the thread that reads them. So the
//! bytes of a connection are counted from the last part of an answer, its head or a part of its body, and the connection
//! fails when they are too many.

use crate::BodyOverdue;
use crate::sending::Sending;
use crate::sending::SendingBody;
use bytes::Bytes;
use displaydoc::Display as DisplayDoc;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use std::error::Error;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

/// Maximum number of bytes between two parts of an answer. hyper reads up to 400 kB of a body ahead.
const UNFRAMED_BYTES_MAX: usize = 1024 * 1024;

/// the peer sends bytes without end that are no part of an answer
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub struct EndlessBytes;

impl Error for EndlessBytes {}

impl EndlessBytes {
    /// Whether an exchange failed with `error` because the peer sent bytes without end: in a head that is too large, in a
    /// body that is overdue, or anywhere between the parts of an answer.
    pub fn caused(error: &(dyn Error + 'static)) -> bool {
        let mut next = Some(error);
        while let Some(error) = next {
            let hyper = error.downcast_ref::<hyper::Error>();
            let io = error.downcast_ref::<std::io::Error>();
            let inner = io.and_then(|error| error.get_ref());
            if error.is::<Self>()
                || error.is::<BodyOverdue>()
                || inner.is_some_and(|inner| inner.is::<Self>())
                || hyper.is_some_and(hyper::Error::is_parse_too_large)
            {
                return true;
            }
            next = error.source();
        }
        false
    }
}

/// Number of bytes received since the last part of an answer.
#[derive(Debug, Clone, Default)]
struct Unframed(Arc<AtomicUsize>);

impl Unframed {
    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    fn restart(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A stream to a peer whose reads fail once the peer has sent too many bytes without a part of an answer. Also notes
/// whether a write is pending.
#[derive(Debug)]
pub(crate) struct FramingLimited<S> {
    stream: S,
    unframed: Unframed,
    sending: Sending,
}

impl<S> FramingLimited<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            unframed: Unframed::default(),
            sending: Sending::default(),
        }
    }

    /// Returns the sender of requests on this stream, which knows of the parts of answers.
    pub(crate) fn wrapper<B>(
        &self,
    ) -> impl FnOnce(http1::SendRequest<SendingBody<B>>) -> AnswerSender<B> + use<S, B> {
        let unframed = self.unframed.clone();
        let sending = self.sending.clone();
        |sender| AnswerSender {
            sender,
            unframed,
            sending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FramingLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(read)) = progress
            && self.unframed.add(read) > UNFRAMED_BYTES_MAX
        {
            return Poll::Ready(Err(std::io::Error::other(EndlessBytes)));
        }
        progress
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramingLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.sending.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.sending.record_write(&written);
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Error of a request that got no answer.
#[derive(Debug)]
pub struct SendError<B> {
    error: hyper::Error,
    unsent: Option<Request<B>>,
}

impl<B> SendError<B> {
    /// Takes the request if nothing of it was written.
    pub fn take_message(&mut self) -> Option<Request<B>> {
        self.unsent.take()
    }

    /// Returns hyper's error.
    pub fn into_error(self) -> hyper::Error {
        self.error
    }

    fn new(mut error: TrySendError<Request<SendingBody<B>>>) -> Self {
        let unsent = error.take_message();
        Self {
            unsent: unsent.map(|request| request.map(SendingBody::into_inner)),
            error: error.into_error(),
        }
    }
}

/// Sender of requests on an HTTP/1.1 connection.
#[derive(Debug)]
pub struct AnswerSender<B> {
    sender: http1::SendRequest<SendingBody<B>>,
    unframed: Unframed,
    sending: Sending,
}

impl<B> AnswerSender<B>
where
    B: Body + Send + Unpin + 'static,
{
    /// Waits until the connection takes a request.
    ///
    /// # Errors
    ///
    /// hyper's error when the connection was closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection was closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection can be used for another request once the answer has been read completely: it is open, and
    /// the whole request was sent.
    pub fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && !self.sending.is_in_progress()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the connection failed, with the request if nothing of it was written.
    pub async fn try_send_request(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<IncomingAnswer>, SendError<B>> {
        self.unframed.restart();
        let request = request.map(|body| self.sending.begin(body));
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(SendError::new)?;
        self.unframed.restart();
        let unframed = self.unframed.clone();
        Ok(response.map(|body| IncomingAnswer { body, unframed }))
    }
}

/// Body of an answer, as it arrives.
#[derive(Debug)]
pub struct IncomingAnswer {
    body: Incoming,
    unframed: Unframed,
}

impl Body for IncomingAnswer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = frame {
            self.unframed.restart();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
