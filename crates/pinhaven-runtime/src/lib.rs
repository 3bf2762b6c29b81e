//! Task executor, HTTP server and HTTP clients over async-io.
//!
//! The process has one executor, which runs on several threads. HTTP/1.1 and HTTP/2 are hyper's; this crate
//! connects hyper to async-io's sockets and timers, limits what a connection may use, and stops a server
//! without resetting connections that wait to be accepted.

mod busy_time;
mod client;
mod early_answer;
mod executor;
mod framing;
mod linger;
mod priority_event;
mod read_ahead;
mod sending;
mod server;
mod silence;
mod time_slice;

pub use async_executor::Task;
pub use busy_time::busy_time;
pub use client::AnswerTimes;
pub use client::CallError;
pub use client::CallStep;
pub use client::HttpClient;
pub use client::connect_stream;
pub use client::connect_with_keep_alive;
pub use client::http1_sender;
pub use executor::HyperExecutor;
pub use executor::block_on;
pub use executor::run_with_threads;
pub use executor::sleep_ms;
pub use executor::spawn;
pub use executor::within;
pub use framing::AnswerSender;
pub use framing::EndlessBytes;
pub use framing::IncomingAnswer;
pub use framing::SendError;
pub use priority_event::PriorityEvent;
pub use server::CallerAddress;
pub use server::HttpServer;
pub use server::HttpServerSettings;
pub use silence::BodyOverdue;
pub use silence::BodySilent;
pub use silence::SilenceLimited;
pub use time_slice::TimeSlice;

/// Boxed error of any type.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Boxed HTTP body of any type.
pub type AnyBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BoxError>;

/// Creates a body from bytes that are complete in memory.
pub fn whole_body(bytes: impl Into<bytes::Bytes>) -> AnyBody {
    use http_body_util::BodyExt as _;
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
