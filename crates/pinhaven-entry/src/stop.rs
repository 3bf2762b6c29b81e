//! The planned stop of an entry.
//!
//! The stop has four steps:
//!
//! 1. The entry advertises to its peers that it is stopping, so that new address answers do not name it.
//! 2. It continues to accept connections for as long as callers cache older address answers. Requests that might
//!    outlast the stop are refused as not run.
//! 3. It closes its listener and lets each open connection finish its request.
//! 4. It exits when no request is in flight.
//!
//! Requests still in flight at the deadline get a final answer, so that no caller sees a closed
//! connection instead of an answer.

use crate::callers::address;
use crate::entry::Entry;
use pinhaven_agree::MemberState;
use pinhaven_decide::StopPlan;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Number of gossip intervals within which the stopping state reaches all entries.
const EXCHANGES_TO_SPREAD: u64 = 4;
/// Maximum wait for peers to close their connections.
const PEER_WAIT_MAX: Duration = Duration::from_millis(500);
/// Interval of the checks for requests in flight and open connections, in milliseconds.
const IDLE_POLL_MS: u64 = 10;

/// The servers of an entry.
pub(crate) struct Servers {
    /// Serves callers.
    pub(crate) callers: Arc<HttpServer>,
    /// Serves other entries and operators.
    pub(crate) peers: Arc<HttpServer>,
}

/// Plans the stop of an entry that begins now.
fn plan_stop(entry: &Entry) -> StopPlan {
    let began = entry.now();
    let bundle = entry.snapshot.load();
    let bundle = bundle.bundle();
    let spread_ms = entry.settings.gossip_ms * EXCHANGES_TO_SPREAD;
    match &entry.settings.discovery {
        Some(discovery) => {
            let grace = Microseconds::from_ms(discovery.stop_grace_ms);
            let notice_ms = address::answer_lifetime_ms(bundle) + spread_ms;
            StopPlan::within_grace(began, grace, Microseconds::from_ms(notice_ms))
        }
        None => {
            let notice_ms = bundle.address_keep_ms + spread_ms;
            let wait_max = Microseconds::from_ms(entry.settings.stop_most_ms);
            StopPlan::without_kill(began, Microseconds::from_ms(notice_ms), wait_max)
        }
    }
}

/// Stops an entry without aborting a request. Returns whether all requests finished before the deadline.
pub(crate) async fn stop(entry: &Arc<Entry>, servers: &Servers) -> bool {
    let plan = *entry.stop_plan.get_or_init(|| plan_stop(entry));
    entry.record_event("entry", "stopping");
    log::info!(target: "stop", "Stopping; address answers now name other entries.");
    entry.members.lock().advance_state(MemberState::Stopping);
    entry.urgent_update.notify(usize::MAX);
    let writer = Arc::clone(entry);
    let row_written = entry
        .discovery
        .is_none()
        .then(|| spawn(async move { writer.write_own_row().await }));
    sleep_until(entry, plan.closes_at()).await;
    log::info!(target: "stop", "Closing the listener; waiting for {} requests in flight.", entry.in_flight());
    servers.callers.close_gracefully();
    let is_finished = wait_until_idle(entry, &servers.callers, plan.ends_requests_at()).await;
    if !is_finished {
        log::warn!(target: "stop", "Deadline reached; ending {} requests in flight.", entry.in_flight());
        entry.stop_signal.trigger();
        wait_until_idle(entry, &servers.callers, plan.ends_at()).await;
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

async fn sleep_until(entry: &Entry, at: Microseconds) {
    async_io::Timer::at(entry.clock.instant_of(at)).await;
}

async fn wait_until_idle(entry: &Entry, server: &HttpServer, until: Microseconds) -> bool {
    while entry.now() < until {
        // The server may have accepted a connection before it noticed the request to close.
        let may_receive_more = server.is_accepting() || server.open_connections() > 0;
        if entry.in_flight() == 0 && !may_receive_more {
            return true;
        }
        sleep_ms(IDLE_POLL_MS).await;
    }
    entry.in_flight() == 0
}
