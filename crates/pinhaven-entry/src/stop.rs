//! The planned stop.
//!
//! In this order: the entry tells everyone that it stops, so that no new address answer names it; it
//! serves on for as long as callers keep older answers; it takes no more connections and lets each
//! open one finish; and it exits once nothing is in flight. What is still in flight when it may wait no
//! longer gets its final answer, so that no caller is left with a closed connection.

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

/// Exchanges that the word may take to all entries.
const EXCHANGES_TO_SPREAD: u64 = 4;
/// How long peers may take to close their connections.
const PEER_WAIT_MAX: Duration = Duration::from_millis(500);
/// Share of the grace for which requests are still taken. Callers learn of the stop within the time
/// that they keep an answer; the rest is for the longest requests.
const DRAIN_SHARE: f64 = 0.45;
/// Time kept between the end of a stop and the end of the grace, in milliseconds.
const KILL_MARGIN_MS: u64 = 300;
/// Time for the final answers of requests that can't be waited for, in milliseconds. They have to reach
/// callers some 10 ms away.
const FINAL_ANSWERS_MS: u64 = 150;
/// How often the requests in flight are counted, in milliseconds.
const IDLE_POLL_MS: u64 = 10;

/// The servers of an entry.
pub(crate) struct Servers {
    /// For callers.
    pub(crate) callers: Arc<HttpServer>,
    /// For other entries and operators.
    pub(crate) peers: Arc<HttpServer>,
}

/// How long each part of a stop may take.
struct StopPlan {
    /// How long requests are still taken, as callers keep older answers, in milliseconds.
    drain_ms: u64,
    /// How long those in flight may then take, in milliseconds.
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
        // The process is killed when its grace is over, so both parts have to fit into it.
        let grace_ms = discovery.stop_grace_ms;
        let drain_ms = (grace_ms as f64 * DRAIN_SHARE) as u64;
        Self {
            drain_ms,
            finish_ms: grace_ms.saturating_sub(drain_ms + KILL_MARGIN_MS),
        }
    }
}

/// Stops an entry without cutting a request. Returns whether everything was finished in time.
pub(crate) async fn stop(entry: &Arc<Entry>, servers: &Servers) -> bool {
    entry.record_event("entry", "stopping");
    log::info!(target: "stop", "Stopping; callers are told to use other entries.");
    entry.members.lock().advance(MemberState::Stopping);
    entry.urgent_update.notify(usize::MAX);
    let plan = StopPlan::new(entry);
    let writer = Arc::clone(entry);
    let row_written = entry
        .discovery
        .is_none()
        .then(|| spawn(async move { writer.write_own_row().await }));
    sleep_ms(plan.drain_ms).await;
    log::info!(target: "stop", "Finishing {} requests in flight.", entry.in_flight());
    servers.callers.close_gracefully();
    let wait_ms = plan.finish_ms.saturating_sub(FINAL_ANSWERS_MS);
    let is_finished = wait_until_idle(entry, &servers.callers, wait_ms).await;
    if !is_finished {
        log::warn!(target: "stop", "Giving up {} requests in flight.", entry.in_flight());
        entry.stop_signal.trigger();
        wait_until_idle(entry, &servers.callers, FINAL_ANSWERS_MS).await;
    }
    // Answers to relayed requests may still be on their way to other entries.
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

async fn wait_until_idle(entry: &Entry, server: &HttpServer, most_ms: u64) -> bool {
    let most = Duration::from_millis(most_ms);
    let began = Instant::now();
    while began.elapsed() < most {
        // A connection may have come before the server has noticed that it is to close.
        let may_get_more = server.is_accepting() || server.open_connections() > 0;
        if entry.in_flight() == 0 && !may_get_more {
            return true;
        }
        sleep_ms(IDLE_POLL_MS).await;
    }
    entry.in_flight() == 0
}
