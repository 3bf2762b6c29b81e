//! Starting an entry and running it until it is told to stop.

use crate::callers::directory::serve_directory;
use crate::callers::proxy::answer_caller;
use crate::entry::Entry;
use crate::entry::EntryEnvironment;
use crate::error::EntryError;
use crate::error::EntryStep;
use crate::listening::listen;
use crate::peers::gossip::PeerAnswers;
use crate::peers::news;
use crate::stop::Servers;
use crate::stop::stop;
use crate::targets::listed_targets;
use crate::watch::metrics;
use crate::watch::metrics_text;
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

/// Connections from peers and operators at a time.
const PEER_CONNECTIONS_MAX: usize = 1_000;
/// How long a peer's connection may be idle, in milliseconds.
const PEER_IDLE_MS: u64 = 60_000;
/// How often the start looks whether a version is in force, in milliseconds.
const READY_LOOK_MS: u64 = 20;

/// Runs an entry until it gets SIGTERM or SIGINT, then stops it as planned. Returns whether the stop
/// finished everything in flight.
///
/// # Errors
///
/// [`EntryError`] when it can't listen.
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
            connections_most: settings.requests_most as usize,
            allows_http2: settings.caller_http2,
        },
    )?;
    let peers = listen(
        EntryStep::ListenForPeers,
        settings.peer_address,
        HttpServerSettings {
            idle_ms: PEER_IDLE_MS,
            connections_most: PEER_CONNECTIONS_MAX,
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
    if entry.discovery.is_some() {
        serve_directory(&entry)?;
        run_beside_discovered(&entry, servers.peers.local_address())?;
    } else {
        run_beside(&entry);
    }
    if let Some(client) = metrics_client {
        spawn(Arc::clone(&entry).report_metrics(client)).detach();
    }
    // An error among the signals would be the system's; the entry stops as planned then, too.
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
        metrics_text::PATH => return Response::new(whole_body(metrics_text::text(entry))),
        listed_targets::TARGETS_PATH => return listed_targets::answer_targets(entry),
        listed_targets::TARGET_STEPS_PATH => {
            return listed_targets::answer_steps(entry, request.uri().query());
        }
        _ => {}
    }
    answer_peer(answers, request).await
}

/// Starts what runs beside the requests.
fn run_beside(entry: &Arc<Entry>) {
    spawn(Arc::clone(entry).follow_bundles()).detach();
    spawn(Arc::clone(entry).gossip()).detach();
    spawn(Arc::clone(entry).maintain_seat()).detach();
    spawn(Arc::clone(entry).probe()).detach();
    spawn(Arc::clone(entry).count_epochs()).detach();
    spawn(Arc::clone(entry).announce_start()).detach();
    spawn(Arc::clone(entry).wake_for_crashes()).detach();
}

/// Starts what runs beside the requests where a store holds everything.
fn run_beside_discovered(entry: &Arc<Entry>, news_address: SocketAddr) -> Result<(), EntryError> {
    let socket = news::listen(news_address)?;
    spawn(Arc::clone(entry).follow_configuration()).detach();
    spawn(Arc::clone(entry).maintain_target_list()).detach();
    spawn(Arc::clone(entry).keep_membership()).detach();
    spawn(Arc::clone(entry).hear_news(Arc::clone(&socket))).detach();
    spawn(Arc::clone(entry).tell_news(Arc::clone(&socket))).detach();
    spawn(Arc::clone(entry).tell_crashes(socket)).detach();
    spawn(Arc::clone(entry).probe_speeds()).detach();
    Ok(())
}

impl Entry {
    /// Begins epochs of once-only requests for ever.
    async fn count_epochs(self: Arc<Self>) {
        loop {
            sleep_ms(self.settings.ledger_epoch_ms).await;
            self.ledger.lock().advance_epoch();
        }
    }

    /// Writes the own row, and again once this entry is ready.
    async fn announce_start(self: Arc<Self>) {
        self.write_own_row().await;
        while self.state() == MemberState::Starting {
            sleep_ms(READY_LOOK_MS).await;
        }
        if self.state() == MemberState::Ready {
            log::info!(target: "entry", "Ready.");
            self.write_own_row().await;
        }
    }
}
