//! Time limits for the other side of a transfer that stops moving.
//!
//! A connection can fall silent without a reset, and only a time limit of one's own ends what waits for it. Limits are
//! on each wait, not on the whole transfer, so that a slow transfer that moves is never cut. A body without a declared
//! length may also move without end; for such a body a last time can be set.

use crate::BoxError;
use async_io::Timer;
use displaydoc::Display as DisplayDoc;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use std::future::Future as _;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

/// the sender of the body fell silent
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub struct BodySilent;

impl std::error::Error for BodySilent {}

/// the body goes on past the last time for it
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub struct BodyOverdue;

impl std::error::Error for BodyOverdue {}

/// A body that fails when its sender falls silent. A wait for a part of the body lasts at most `silence_max`, and longer
/// only until `not_before`.
#[derive(Debug)]
pub struct SilenceLimited<B> {
    body: B,
    not_before: Instant,
    silence_max: Duration,
    /// Time after which no further part is accepted.
    ends_at: Option<Instant>,
    /// Fires when the current wait has lasted too long; `None` while no part is awaited.
    timer: Option<Timer>,
}

impl<B> SilenceLimited<B> {
    /// Limits the waits for parts of `body`.
    pub fn new(body: B, not_before: Instant, silence_max: Duration) -> Self {
        Self {
            body,
            not_before,
            silence_max,
            ends_at: None,
            timer: None,
        }
    }

    /// Accepts no further part after `ends_at`.
    pub fn with_end(mut self, ends_at: Option<Instant>) -> Self {
        self.ends_at = ends_at;
        self
    }
}

impl<B: Body + Unpin> Body for SilenceLimited<B>
where
    B::Error: Into<BoxError>,
{
    type Data = B::Data;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, BoxError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.timer = None;
            let is_overdue = self
                .ends_at
                .is_some_and(|ends_at| Instant::now() >= ends_at);
            return Poll::Ready(match frame {
                Some(Ok(_)) if is_overdue => Some(Err(BodyOverdue.into())),
                frame => frame.map(|frame| frame.map_err(Into::into)),
            });
        }
        let (not_before, silence_max) = (self.not_before, self.silence_max);
        let timer = self
            .timer
            .get_or_insert_with(|| Timer::at((Instant::now() + silence_max).max(not_before)));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Some(Err(BodySilent.into()))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream whose writes fail when its peer accepts nothing for a time.
#[derive(Debug)]
pub(crate) struct WriteLimited<S> {
    stream: S,
    stall_max: Duration,
    /// Fires when the current write has lasted too long; `None` while nothing is to be written.
    timer: Option<Timer>,
}

impl<S> WriteLimited<S> {
    /// Limits the time for which a write to `stream` may make no progress.
    pub(crate) fn new(stream: S, stall_max: Duration) -> Self {
        Self {
            stream,
            stall_max,
            timer: None,
        }
    }

    /// Passes on the progress of a write, or fails if it has made none for too long.
    fn limit<T>(
        &mut self,
        progress: Poll<std::io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let stall_max = self.stall_max;
        let timer = self.timer.get_or_insert_with(|| Timer::after(stall_max));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit(progress, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit(progress, context)
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
