//! Protocol between entries: gRPC calls and datagrams.
//!
//! `proto/peer.proto` defines the calls: exchanging cluster state, fetching a bundle, relaying a
//! once-only request and forwarding a request. They go over HTTP/2, one connection per peer, and each has a timeout. [`News`] is the
//! datagram that entries send each other between exchanges.
//!
//! The generated code is committed. Regenerate it with `cargo run -p pinhaven-peer --example generate` after
//! each change of the protocol.

mod channel;
mod client;
mod forward;
mod news;
mod server;

#[allow(missing_docs, rust_2018_idioms, clippy::all)]
mod generated {
    include!("generated/pinhaven.peer.rs");
}

pub use client::PeerClients;
pub use client::PeerError;
pub use client::PeerStep;
pub use forward::ForwardResponses;
pub use forward::answer_parts;
pub use forward::receive_request;
pub use generated::Beat;
pub use generated::BundlePart;
pub use generated::ExchangeRequest;
pub use generated::ExchangeResponse;
pub use generated::FetchBundleRequest;
pub use generated::FetchBundleResponse;
pub use generated::ForwardAnswer;
pub use generated::ForwardHead;
pub use generated::ForwardRequest;
pub use generated::Header;
pub use generated::Identity;
pub use generated::Leaving;
pub use generated::RelayOnceRequest;
pub use generated::RelayOnceResponse;
pub use generated::Suspect;
pub use generated::fetch_bundle_response::Body as FetchedBody;
pub use generated::peer_server::Peer;
pub use news::DrainNews;
pub use news::ListNews;
pub use news::News;
pub use news::OrganisationColumns;
pub use news::ServiceReach;
pub use news::TargetColumns;
pub use news::TargetNews;
pub use server::answer_peer;
pub use tonic::Request;
pub use tonic::Response;
pub use tonic::Status;
pub use tonic::Streaming;
pub use tonic::async_trait;
