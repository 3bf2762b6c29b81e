//! Calls to peers.

use crate::channel::Channel;
use crate::generated::ExchangeRequest;
use crate::generated::ExchangeResponse;
use crate::generated::FetchBundleRequest;
use crate::generated::FetchBundleResponse;
use crate::generated::RelayOnceRequest;
use crate::generated::RelayOnceResponse;
use crate::generated::peer_client::PeerClient;
use displaydoc::Display as DisplayDoc;
use parking_lot::Mutex;
use pinhaven_runtime::within;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The largest message from a peer, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// How long a connection is used again after it last brought an answer. Networks drop connections
/// without a word; a new one costs a round trip, a call on a dead one its whole timeout. Exchanges come
/// several times a second, so this concerns the calls that are rare.
const CHANNEL_TRUST: Duration = Duration::from_secs(2);

/// The call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum PeerStep {
    /// connecting
    Connect,
    /// exchanging what was heard
    Exchange,
    /// fetching a bundle
    FetchBundle,
    /// relaying a once-only request
    RelayOnce,
}

/// {step} with the entry at {peer}: {message}
#[derive(Debug, Clone, DisplayDoc)]
pub struct PeerError {
    /// The call.
    pub step: PeerStep,
    /// The peer.
    pub peer: SocketAddr,
    /// What went wrong.
    pub message: String,
}

impl std::error::Error for PeerError {}

/// Connections to peers, made when they are first needed.
#[derive(Default)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, Held>>,
}

/// A connection and when it last showed that it works.
struct Held {
    channel: Channel,
    answered_at: Instant,
}

impl Held {
    fn is_trusted(&self) -> bool {
        !self.channel.is_closed() && self.answered_at.elapsed() < CHANNEL_TRUST
    }
}

impl PeerClients {
    /// No connections yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells a peer what was heard, and learns what it heard.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when it can't be reached or does not answer in time.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        request: ExchangeRequest,
    ) -> Result<ExchangeResponse, PeerError> {
        self.call(peer, timeout, PeerStep::Exchange, |mut client| async move {
            client.exchange(request).await
        })
        .await
    }

    /// Asks a peer for a newer bundle.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when it can't be reached or does not answer in time.
    pub async fn fetch_bundle(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        request: FetchBundleRequest,
    ) -> Result<FetchBundleResponse, PeerError> {
        let step = PeerStep::FetchBundle;
        self.call(peer, timeout, step, |mut client| async move {
            client.fetch_bundle(request).await
        })
        .await
    }

    /// Hands a once-only request to its home.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when it can't be reached or does not answer in time. The home may still have
    /// dispatched the request.
    pub async fn relay_once(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        request: RelayOnceRequest,
    ) -> Result<RelayOnceResponse, PeerError> {
        self.call(
            peer,
            timeout,
            PeerStep::RelayOnce,
            |mut client| async move { client.relay_once(request).await },
        )
        .await
    }

    async fn call<T, F>(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        step: PeerStep,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let error = |step, message: String| PeerError {
            step,
            peer,
            message,
        };
        let whole_call = async {
            let channel = self
                .channel(peer)
                .await
                .map_err(|message| error(PeerStep::Connect, message))?;
            call(client_over(channel, peer))
                .await
                .map_err(|status| error(step, status.message().to_owned()))
        };
        match within(timeout, whole_call).await {
            Some(Ok(response)) => {
                if let Some(held) = self.channels.lock().get_mut(&peer) {
                    held.answered_at = Instant::now();
                }
                Ok(response.into_inner())
            }
            Some(Err(error)) => Err(error),
            None => {
                // The connection may be dead without a sign of it; the next call makes a new one.
                self.channels.lock().remove(&peer);
                Err(error(step, "no answer in time".to_owned()))
            }
        }
    }

    async fn channel(&self, peer: SocketAddr) -> Result<Channel, String> {
        if let Some(held) = self.channels.lock().get(&peer)
            && held.is_trusted()
        {
            return Ok(held.channel.clone());
        }
        let channel = Channel::connect(peer)
            .await
            .map_err(|error| error.to_string())?;
        let held = Held {
            channel: channel.clone(),
            answered_at: Instant::now(),
        };
        self.channels.lock().insert(peer, held);
        Ok(channel)
    }

    /// Closes the connections to all peers but these.
    pub fn retain_only(&self, peers: &[SocketAddr]) {
        self.channels.lock().retain(|peer, _| peers.contains(peer));
    }
}

fn client_over(channel: Channel, peer: SocketAddr) -> PeerClient<Channel> {
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    PeerClient::with_origin(channel, origin).max_decoding_message_size(MESSAGE_BYTES_MAX)
}
