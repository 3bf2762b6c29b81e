//! Answers to requests that the peer doesn't read to their end.
//!
//! A peer may answer, and close the connection, before it has received the whole request. What is still sent then is
//! answered with a reset, and hyper drops the connection on a failed write even if the answer has arrived. So a failed
//! write counts as done here, and its error is reported by the read that finds no more bytes.

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use std::io::Error;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

/// A stream to a peer that is read to its end after a write has failed.
#[derive(Debug)]
pub(crate) struct ReadToEnd<S> {
    stream: S,
    /// Error of the first write that failed.
    write_error: Option<Error>,
}

impl<S> ReadToEnd<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            write_error: None,
        }
    }

    /// Keeps the error of a failed write of `length` bytes, which counts as done.
    fn finish_write(
        &mut self,
        written: std::io::Result<usize>,
        length: usize,
        context: &Context<'_>,
    ) -> usize {
        written.unwrap_or_else(|error| {
            self.write_error = Some(error);
            // Reads may wait for bytes that don't come any more.
            context.waker().wake_by_ref();
            length
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadToEnd<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_last = !buffer.is_empty() && matches!(progress, Poll::Ready(Ok(0) | Err(_)));
        // The end of the stream doesn't show that the answer is whole if the peer has reset the connection.
        match self.write_error.take_if(|_| is_last) {
            Some(error) => Poll::Ready(Err(error)),
            None => progress,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadToEnd<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(Ok(self.finish_write(written, bytes.len(), context)))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(length));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        Poll::Ready(Ok(self.finish_write(written, length, context)))
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
