//! Client side of the peer protocol.
//!
//! Each call goes over a pooled HTTP/2 connection to the peer and has a timeout that includes connecting.
//! A connection that may be dead is replaced before a call: networks drop connections without notice, and
//! a call on a dead connection uses up its whole timeout.

use crate::channel::Channel;
use crate::forward::receive_answer;
use crate::forward::request_parts;
use crate::generated::ExchangeRequest;
use crate::generated::ExchangeResponse;
use crate::generated::FetchBundleRequest;
use crate::generated::FetchBundleResponse;
use crate::generated::ForwardAnswer;
use crate::generated::ForwardHead;
use crate::generated::RelayOnceRequest;
use crate::generated::RelayOnceResponse;
use crate::generated::peer_client::PeerClient;
use displaydoc::Display as DisplayDoc;
use parking_lot::Mutex;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::within;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a message from a peer, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// How long a connection is reused after its last answer. A new connection costs a round trip, a call on
/// a dead connection its whole timeout. Exchanges are made several times a second, so the limit affects
/// rare calls only.
const CHANNEL_TRUST: Duration = Duration::from_secs(2);

/// The step of a peer call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum PeerStep {
    /// connecting
    Connect,
    /// exchanging state
    Exchange,
    /// fetching a bundle
    FetchBundle,
    /// relaying a once-only request
    RelayOnce,
    /// forwarding a request
    Forward,
}

/// {step} with the entry at {peer}: {message}
#[derive(Debug, Clone, DisplayDoc)]
pub struct PeerError {
    /// Step that failed.
    pub step: PeerStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause, as reported by the transport or the peer.
    pub message: String,
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Whether the peer certainly did not receive the message.
    pub fn is_not_sent(&self) -> bool {
        self.step == PeerStep::Connect
    }
}

/// Pooled connections to peers, opened on first use.
#[derive(Default)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, PooledChannel>>,
}

/// An open connection and the time of its last answer, or of connecting if there was no answer yet.
struct PooledChannel {
    channel: Channel,
    answered_at: Instant,
}

impl PooledChannel {
    fn is_reusable(&self) -> bool {
        !self.channel.is_closed() && self.answered_at.elapsed() < CHANNEL_TRUST
    }
}

impl PeerClients {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Exchanges cluster state with a peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached, refuses the call or does not answer in time.
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

    /// Fetches a newer bundle, or a part of one, from a peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached, refuses the call or does not answer in time.
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

    /// Relays a once-only request to its home.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the home can't be reached, refuses the call or does not answer in time. The home
    /// may have dispatched the request all the same.
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

    /// Forwards a request to a peer. Returns the head of the answer, and its body as a stream. Dropping the future or the
    /// body cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached within `connect_timeout`, or when the stream fails before the head
    /// of the answer. Unless [`PeerError::is_not_sent`], the peer may have run the request.
    pub async fn forward(
        &self,
        peer: SocketAddr,
        connect_timeout: Duration,
        head: ForwardHead,
        body: AnyBody,
    ) -> Result<(ForwardAnswer, AnyBody), PeerError> {
        let error = |step, message: String| PeerError {
            step,
            peer,
            message,
        };
        let connected = within(connect_timeout, self.channel(peer)).await;
        let channel = connected
            .unwrap_or_else(|| Err("no connection within the timeout".to_owned()))
            .map_err(|message| error(PeerStep::Connect, message))?;
        let mut client = client_with_channel(channel, peer);
        let forwarded = async {
            let answered = client.forward(request_parts(head, body)).await?;
            receive_answer(answered.into_inner()).await
        };
        let answer = forwarded
            .await
            .map_err(|status| error(PeerStep::Forward, status.message().to_owned()))?;
        if let Some(pooled) = self.channels.lock().get_mut(&peer) {
            pooled.answered_at = Instant::now();
        }
        Ok(answer)
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
        let connect_and_call = async {
            let channel = self
                .channel(peer)
                .await
                .map_err(|message| error(PeerStep::Connect, message))?;
            call(client_with_channel(channel, peer))
                .await
                .map_err(|status| error(step, status.message().to_owned()))
        };
        match within(timeout, connect_and_call).await {
            Some(Ok(response)) => {
                if let Some(pooled) = self.channels.lock().get_mut(&peer) {
                    pooled.answered_at = Instant::now();
                }
                Ok(response.into_inner())
            }
            Some(Err(error)) => Err(error),
            None => {
                // The connection may be dead without an error, so the next call opens a new one.
                self.channels.lock().remove(&peer);
                Err(error(step, "no answer in time".to_owned()))
            }
        }
    }

    async fn channel(&self, peer: SocketAddr) -> Result<Channel, String> {
        if let Some(pooled) = self.channels.lock().get(&peer)
            && pooled.is_reusable()
        {
            return Ok(pooled.channel.clone());
        }
        let channel = Channel::connect(peer)
            .await
            .map_err(|error| error.to_string())?;
        let pooled = PooledChannel {
            channel: channel.clone(),
            answered_at: Instant::now(),
        };
        self.channels.lock().insert(peer, pooled);
        Ok(channel)
    }

    /// Removes the connections to all peers that are not in `peers` from the pool.
    pub fn retain_only(&self, peers: &[SocketAddr]) {
        self.channels.lock().retain(|peer, _| peers.contains(peer));
    }
}

fn client_with_channel(channel: Channel, peer: SocketAddr) -> PeerClient<Channel> {
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    PeerClient::with_origin(channel, origin).max_decoding_message_size(MESSAGE_BYTES_MAX)
}
