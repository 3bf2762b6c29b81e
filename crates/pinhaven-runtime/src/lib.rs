//! Executor threads and HTTP plumbing over async-io.
//!
//! One executor serves the whole process on several threads. The servers and clients are hyper's;
//! this crate only joins them to async-io's sockets and timers.

mod client;
mod executor;
mod server;

pub use async_executor::Task;
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
pub use server::CallerAddress;
pub use server::HttpServer;
pub use server::HttpServerSettings;

/// An error of any kind, as bodies carry it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any kind.
pub type AnyBody = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BoxError>;

/// A body that is at hand whole.
pub fn whole_body(bytes: impl Into<bytes::Bytes>) -> AnyBody {
    use http_body_util::BodyExt as _;
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
