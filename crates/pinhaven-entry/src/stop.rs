//! The planned stop of an entry.
//!
//! The stop has four steps:
//!
//! 1. The entry advertises to its peers that it is stopping, so that new address answers do not name it.
//! 2. It continues to accept requests for as long as callers cache older address answers.
//! 3. It closes its listener and lets each open connection finish its request.
//! 4. It exits when no request is in flight.
//!
//! Requests still in flight at the deadline get a final answer, so that no caller sees a closed
//! connection instead of an answer.

use crate::entry::Entry;
use pinhaven_agree::MemberState;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Number of gossip intervals within which the stopping state reaches all entries.
const EXCHANGES_TO_SPREAD: u64 = 4;
/// Maximum wait for peers to close their connections.
const PEER_WAIT_MAX: Duration = Duration::from_millis(500);
/// Share of the grace period in which the entry still accepts requests. Callers learn of the stop when
/// their cached address answer expires; the remaining time is for the longest requests.
const DRAIN_SHARE: f64 = 0.45;
/// Margin between the end of the stop and the end of the grace period, in milliseconds.
const KILL_MARGIN_MS: u64 = 300;
/// Time for sending the final answers to requests that exceed the deadline, in milliseconds. Callers may
/// be some 10 ms away.
const FINAL_ANSWERS_MS: u64 = 150;
/// Interval of the checks for requests in flight and open connections, in milliseconds.
const IDLE_POLL_MS: u64 = 10;

/// The servers of an entry.
pub(crate) struct Servers {
    /// Serves callers.
    pub(crate) callers: Arc<HttpServer>,
    /// Serves other entries and operators.
    pub(crate) peers: Arc<HttpServer>,
}

/// Maximum durations of the steps of a stop.
struct StopPlan {
    /// How long the entry still accepts requests while callers cache older address answers, in
    /// milliseconds.
    drain_ms: u64,
    /// Maximum wait for the requests in flight after that, in milliseconds.
    finish_ms: u64,
}

impl StopPlan {
    fn new(entry: &Entry) -> Self {
        let Some(discovery) = &entry.settings.discovery else {
            let keep_ms = entry.snapshot.load().bundle().address_keep_ms;
            return Self {
                drain_ms: keep_ms + entry.settings.gossip_ms * EXCHANGES_TO_SPREAD,
                finish_ms: entry.settings.stop_most_ms,
            };
        };
        // The process is killed at the end of the grace period, so both steps must fit into it.
        let grace_ms = discovery.stop_grace_ms;
        let drain_ms = (grace_ms as f64 * DRAIN_SHARE) as u64;
        Self {
            drain_ms,
            finish_ms: grace_ms.saturating_sub(drain_ms + KILL_MARGIN_MS),
        }
    }
}

/// Stops an entry without aborting a request. Returns whether all requests finished before the deadline.
pub(crate) async fn stop(entry: &Arc<Entry>, servers: &Servers) -> bool {
    entry.record_event("entry", "stopping");
    log::info!(target: "stop", "Stopping; address answers now name other entries.");
    entry.members.lock().advance_state(MemberState::Stopping);
    entry.urgent_update.notify(usize::MAX);
    let plan = StopPlan::new(entry);
    let writer = Arc::clone(entry);
    let row_written = entry
        .discovery
        .is_none()
        .then(|| spawn(async move { writer.write_own_row().await }));
    sleep_ms(plan.drain_ms).await;
    log::info!(target: "stop", "Closing the listener; waiting for {} requests in flight.", entry.in_flight());
    servers.callers.close_gracefully();
    let wait_ms = plan.finish_ms.saturating_sub(FINAL_ANSWERS_MS);
    let is_finished = wait_until_idle(entry, &servers.callers, wait_ms).await;
    if !is_finished {
        log::warn!(target: "stop", "Deadline reached; ending {} requests in flight.", entry.in_flight());
        entry.stop_signal.trigger();
        wait_until_idle(entry, &servers.callers, FINAL_ANSWERS_MS).await;
    }
    // Answers to requests relayed by other entries may still be in transfer.
    servers.peers.close_gracefully();
    wait_until_closed(&servers.peers).await;
    if let Some(row_written) = row_written {
        row_written.cancel().await;
    }
    let holds = require_promise(Promise::PlannedStop, is_finished, || {
        format!("{} requests were still in flight", entry.in_flight())
    });
    entry.record_event("entry", "stopped");
    log::info!(target: "stop", "Stopped.");
    holds
}

async fn wait_until_closed(server: &HttpServer) {
    let began = Instant::now();
    while began.elapsed() < PEER_WAIT_MAX && server.open_connections() > 0 {
        sleep_ms(IDLE_POLL_MS).await;
    }
}

async fn wait_until_idle(entry: &Entry, server: &HttpServer, wait_max_ms: u64) -> bool {
    let wait_max = Duration::from_millis(wait_max_ms);
    let began = Instant::now();
    while began.elapsed() < wait_max {
        // The server may have accepted a connection before it noticed the request to close.
        let may_receive_more = server.is_accepting() || server.open_connections() > 0;
        if entry.in_flight() == 0 && !may_receive_more {
            return true;
        }
        sleep_ms(IDLE_POLL_MS).await;
    }
    entry.in_flight() == 0
}
