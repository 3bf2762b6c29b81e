//! Time slices of tasks whose input may never run dry.
//!
//! A receive from a socket that has data completes without a wait, so a loop of such receives holds its thread as long as
//! data arrives faster than it is processed. No other task runs then, and timers and other sockets are not looked at.

use async_io::Timer;
use futures_lite::future::poll_once;
use futures_lite::future::yield_now;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

/// Time for which a task processes input without a pause.
const SLICE: Duration = Duration::from_millis(5);
/// Pause in which timers and sockets are looked at. The executor runs many tasks between two such looks.
const PAUSE: Duration = Duration::from_millis(1);

/// Time slice of a task that processes one input after the other.
#[derive(Debug)]
pub struct TimeSlice {
    began: Instant,
}

impl TimeSlice {
    /// Begins a slice.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
        }
    }

    /// Waits for the next input. Other tasks run first, and everything else after a slice without a wait for input.
    pub async fn next<T>(&mut self, input: impl Future<Output = T>) -> T {
        if self.began.elapsed() < SLICE {
            yield_now().await;
        } else {
            Timer::after(PAUSE).await;
            self.began = Instant::now();
        }
        let mut input = pin!(input);
        if let Some(received) = poll_once(input.as_mut()).await {
            return received;
        }
        let received = input.await;
        self.began = Instant::now();
        received
    }
}

impl Default for TimeSlice {
    fn default() -> Self {
        Self::new()
    }
}
