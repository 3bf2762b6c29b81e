//! Start of an entry: listens at its addresses, spawns the background tasks and runs until a signal
//! requests the stop.

use crate::callers::directory::serve_directory;
use crate::callers::proxy::answer_caller;
use crate::entry::Entry;
use crate::entry::EntryEnvironment;
use crate::error::EntryError;
use crate::error::EntryStep;
use crate::listening::listen;
use crate::peers::datagram_sender;
use crate::peers::gossip::PeerAnswers;
use crate::stop::Servers;
use crate::stop::stop;
use crate::targets::listed_targets;
use crate::watch::metrics;
use crate::watch::metrics_text;
use crate::watch::organisations;
use crate::watch::status;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt as _;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use pinhaven_agree::MemberState;
use pinhaven_peer::answer_peer;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::run_with_threads;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of concurrent connections from peers and operators.
const PEER_CONNECTIONS_MAX: usize = 1_000;
/// Idle timeout of connections from peers and operators, in milliseconds.
const PEER_IDLE_MS: u64 = 60_000;
/// Interval of the checks whether this entry has become ready, in milliseconds.
const READY_POLL_MS: u64 = 20;

/// Runs an entry until SIGTERM or SIGINT, then performs the planned stop. Returns whether all requests
/// in flight finished before the end of the stop.
///
/// # Errors
///
/// [`EntryError`] when the entry cannot listen at an address or for signals, or cannot prepare the
/// metrics.
pub fn run_entry(settings: Settings, environment: EntryEnvironment) -> Result<bool, EntryError> {
    let threads = settings.worker_threads;
    run_with_threads(threads, run(settings, environment))
}

async fn run(settings: Settings, environment: EntryEnvironment) -> Result<bool, EntryError> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.map_err(|error| EntryError::System {
        step: EntryStep::ListenForSignals,
        peer: "SIGTERM and SIGINT".to_owned(),
        message: error.to_string(),
    })?;
    let callers = listen(
        EntryStep::ListenForCallers,
        settings.caller_address,
        HttpServerSettings {
            idle_ms: settings.caller_idle_ms,
            connections_max: settings.requests_most as usize,
            allows_http2: settings.caller_http2,
        },
    )?;
    let peers = listen(
        EntryStep::ListenForPeers,
        settings.peer_address,
        HttpServerSettings {
            idle_ms: PEER_IDLE_MS,
            connections_max: PEER_CONNECTIONS_MAX,
            allows_http2: true,
        },
    )?;
    let metrics_client = match settings.metrics_address {
        Some(address) => Some(metrics::connect(address)?),
        None => None,
    };
    let peer_address = settings.advertised_peer_address;
    let entry = Entry::new(
        settings,
        environment,
        callers.local_address(),
        callers.idle_ms(),
        peer_address.unwrap_or_else(|| peers.local_address()),
    );
    log::info!(
        target: "entry",
        "Instance {} listens at {} for callers and at {} for peers.",
        entry.settings.instance_id, callers.local_address(), peers.local_address()
    );
    let servers = Servers {
        callers: Arc::new(callers),
        peers: Arc::new(peers),
    };
    entry.record_event("entry", "started");
    serve(&entry, &servers);
    spawn(Arc::clone(&entry).watch_pauses()).detach();
    spawn(Arc::clone(&entry).watch_connectivity()).detach();
    spawn(Arc::clone(&entry).watch_spill_over()).detach();
    spawn(Arc::clone(&entry).follow_limits()).detach();
    if entry.discovery.is_some() {
        serve_directory(&entry)?;
        spawn_discovery_tasks(&entry, servers.peers.local_address())?;
    } else {
        spawn_bundle_tasks(&entry);
    }
    if let Some(client) = metrics_client {
        spawn(Arc::clone(&entry).report_metrics(client)).detach();
    }
    // A failed read of the signals also leads to the planned stop.
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        entry.reload();
    }
    Ok(stop(&entry, &servers).await)
}

fn serve(entry: &Arc<Entry>, servers: &Servers) {
    let callers = Arc::clone(&servers.callers);
    let peers = Arc::clone(&servers.peers);
    let for_callers = Arc::clone(entry);
    spawn(async move {
        let handler = move |request| answer_caller(Arc::clone(&for_callers), request);
        callers.serve(handler).await;
    })
    .detach();
    let for_peers = Arc::clone(entry);
    spawn(async move {
        let answers = Arc::new(PeerAnswers(Arc::clone(&for_peers)));
        let handler = move |request| {
            let entry = Arc::clone(&for_peers);
            let answers = Arc::clone(&answers);
            async move { answer_peer_or_operator(&entry, answers, request).await }
        };
        peers.serve(handler).await;
    })
    .detach();
}

async fn answer_peer_or_operator(
    entry: &Entry,
    answers: Arc<PeerAnswers>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    match request.uri().path() {
        status::PATH => return status::answer(entry),
        organisations::PATH => return organisations::answer(entry),
        metrics_text::PATH => return Response::new(whole_body(metrics_text::text(entry))),
        listed_targets::TARGETS_PATH => return listed_targets::answer_targets(entry),
        listed_targets::TARGET_STEPS_PATH => {
            return listed_targets::answer_steps(entry, request.uri().query());
        }
        _ => {}
    }
    answer_peer(answers, request).await
}

/// Spawns the background tasks of an entry that uses the table service and signed bundles.
fn spawn_bundle_tasks(entry: &Arc<Entry>) {
    spawn(Arc::clone(entry).follow_bundles()).detach();
    spawn(Arc::clone(entry).gossip()).detach();
    spawn(Arc::clone(entry).maintain_seat()).detach();
    spawn(Arc::clone(entry).probe()).detach();
    spawn(Arc::clone(entry).advance_epochs()).detach();
    spawn(Arc::clone(entry).write_start_rows()).detach();
    spawn(Arc::clone(entry).wake_for_crashes()).detach();
}

/// Spawns the background tasks of an entry that reads its configuration, targets and peers from one
/// store.
///
/// # Errors
///
/// [`EntryError`] when the address for datagrams of peers cannot be bound.
fn spawn_discovery_tasks(
    entry: &Arc<Entry>,
    datagram_address: SocketAddr,
) -> Result<(), EntryError> {
    let socket = datagram_sender::listen(datagram_address)?;
    spawn(Arc::clone(entry).follow_configuration()).detach();
    spawn(Arc::clone(entry).maintain_target_list()).detach();
    spawn(Arc::clone(entry).maintain_membership()).detach();
    spawn(Arc::clone(entry).receive_datagrams(Arc::clone(&socket))).detach();
    spawn(Arc::clone(entry).send_datagrams(Arc::clone(&socket))).detach();
    spawn(Arc::clone(entry).advertise_crashes(socket)).detach();
    spawn(Arc::clone(entry).probe_speeds()).detach();
    Ok(())
}

impl Entry {
    /// Begins a new epoch of once-only requests at each interval.
    async fn advance_epochs(self: Arc<Self>) {
        loop {
            sleep_ms(self.settings.ledger_epoch_ms).await;
            self.ledger.lock().advance_epoch();
        }
    }

    /// Writes this entry's member row at the start, and again when the entry becomes ready.
    async fn write_start_rows(self: Arc<Self>) {
        self.write_own_row().await;
        while self.state() == MemberState::Starting {
            sleep_ms(READY_POLL_MS).await;
        }
        if self.state() == MemberState::Ready {
            log::info!(target: "entry", "Ready.");
            self.write_own_row().await;
        }
    }
}
