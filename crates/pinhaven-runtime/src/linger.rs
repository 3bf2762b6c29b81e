//! End of a connection whose caller still sends.
//!
//! A connection that is closed with unread bytes is reset, and a caller that sends its whole request before it looks for
//! an answer then gets the reset in place of an answer that it was sent. So what such a caller still sends is received
//! and dropped, until it closes the connection, falls silent, or a time limit is reached.

use crate::TimeSlice;
use crate::within;
use async_io::Async;
use futures_lite::AsyncReadExt as _;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum time for which a caller may still send.
const LINGER_MAX: Duration = Duration::from_secs(5);
/// Maximum time between two parts of what it sends.
const SILENCE_MAX: Duration = Duration::from_millis(500);
/// Size of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Tells the caller that no further answer follows, and drops what it still sends.
pub(crate) async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        within(LINGER_MAX, drop_input(stream)).await;
    }
}

async fn drop_input(mut stream: &Async<TcpStream>) {
    let mut slice = TimeSlice::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let received = within(SILENCE_MAX, stream.read(&mut buffer));
        let Some(Ok(1..)) = slice.next(received).await else {
            return;
        };
    }
}
