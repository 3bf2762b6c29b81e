//! Detection of a caller that closes its connection after it has sent requests ahead.
//!
//! hyper looks for the end of a connection while it works on a request only if it holds no unread bytes. A caller that
//! sends its next request before it has the answer to the first leaves such bytes, and its close would be noticed only
//! when the first answer is written. So while hyper does not read, the connection is read ahead into a bounded buffer,
//! until the end of the stream or the bound is reached; hyper gets the buffered bytes first.
//!
//! The other way round, hyper reads some parts of a request as long as bytes arrive, so that a caller that sends them
//! without end would hold the thread. After a number of bytes in a row, reads pause, so that other tasks and the reactor run.

use crate::linger::linger;
use async_io::Async;
use async_io::Timer;
use bytes::Buf as _;
use bytes::BytesMut;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use std::future::poll_fn;
use std::io::IoSlice;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

/// Maximum number of bytes read ahead on a connection. Holds the largest request head that deployments allow; the close
/// of a caller that has sent more ahead is not noticed early.
const AHEAD_BYTES_MAX: usize = 16 * 1024;
/// Size of one read, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Number of bytes read in a row after which reads pause. Most requests are smaller.
const BURST_BYTES: usize = 64 * 1024;
/// Duration of the pause. A connection can still receive some 60 MB a second.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// A connection whose reads can be done ahead.
#[derive(Debug)]
struct Shared {
    stream: Async<TcpStream>,
    ahead: Mutex<Ahead>,
}

/// What was read ahead.
#[derive(Debug, Default)]
struct Ahead {
    bytes: BytesMut,
    /// Whether the reader waits for bytes, so that it notices the end of the stream itself.
    is_awaited: bool,
    /// Number of bytes that the reader got since it last waited.
    burst_bytes: usize,
    /// Fires at the end of a pause.
    pause: Option<Timer>,
}

impl Ahead {
    /// Waits for the end of the pause, if there is one, and begins one if too many bytes were read in a row.
    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.burst_bytes >= BURST_BYTES {
            self.burst_bytes = 0;
            self.pause = Some(Timer::after(BURST_PAUSE));
        }
        if let Some(pause) = &mut self.pause {
            ready!(Pin::new(pause).poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }
}

impl Shared {
    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        // No code panics while it holds the lock.
        self.ahead
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Reads ahead unless the reader waits for bytes itself. Completes when the caller has closed the connection.
    fn poll_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut ahead = self.ahead();
        if ahead.is_awaited {
            return Poll::Pending;
        }
        while ahead.bytes.len() < AHEAD_BYTES_MAX {
            let mut chunk = [0; READ_BYTES];
            match Pin::new(&mut &self.stream).poll_read(context, &mut chunk) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(read)) => ahead.bytes.extend_from_slice(&chunk[..read]),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Pending
    }
}

/// Connection of a caller, to be read and written by hyper.
#[derive(Debug)]
pub(crate) struct CallerStream(Arc<Shared>);

impl CallerStream {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        Self(Arc::new(Shared {
            stream,
            ahead: Mutex::default(),
        }))
    }

    /// Returns a future that completes when the caller closes the connection while hyper does not read. It must be polled
    /// by the task that polls hyper's connection, after it.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.0);
        poll_fn(move |context| shared.poll_closed(context))
    }

    /// Returns a future that ends the connection after its last answer, while its caller may still send.
    pub(crate) fn linger(&self) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.0);
        async move { linger(&shared.stream).await }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut ahead = self.0.ahead();
        if !ahead.bytes.is_empty() {
            let read = buffer.len().min(ahead.bytes.len());
            ahead.bytes.copy_to_slice(&mut buffer[..read]);
            if ahead.bytes.is_empty() {
                // Connections stay open for long after an upload that was read ahead.
                ahead.bytes = BytesMut::new();
            }
            ahead.is_awaited = false;
            return Poll::Ready(Ok(read));
        }
        if ahead.poll_pause(context).is_pending() {
            ahead.is_awaited = true;
            return Poll::Pending;
        }
        let progress = Pin::new(&mut &self.0.stream).poll_read(context, buffer);
        ahead.is_awaited = progress.is_pending();
        ahead.burst_bytes = match progress {
            Poll::Ready(Ok(read)) => ahead.burst_bytes + read,
            _ => 0,
        };
        progress
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut &self.0.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut &self.0.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_close(context)
    }
}
