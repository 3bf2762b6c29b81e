//! Reports metrics as StatsD datagrams.
//!
//! Request handling only increments atomic counters. A task sends the increments and the gauges once a second.

use crate::entry::Entry;
use crate::error::EntryError;
use crate::error::EntryStep;
use cadence::BufferedUdpMetricSink;
use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Promise;
use pinhaven_types::promise_check_count;
use pinhaven_types::promise_violation_count;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

/// Prefix of metric names.
const PREFIX: &str = "pinhaven.entry";
/// Interval between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Creates a client that sends to `peer`.
pub(crate) fn connect(peer: SocketAddr) -> Result<StatsdClient, EntryError> {
    let error = |message: String| EntryError::System {
        step: EntryStep::PrepareMetrics,
        peer: peer.to_string(),
        message,
    };
    let any: SocketAddr = match peer {
        SocketAddr::V4(_) => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any).map_err(|e| error(e.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|e| error(e.to_string()))?;
    let sink = BufferedUdpMetricSink::from(peer, socket).map_err(|e| error(e.to_string()))?;
    Ok(StatsdClient::from_sink(
        PREFIX,
        QueuingMetricSink::from(sink),
    ))
}

impl Entry {
    /// Sends metrics periodically. Runs until the process exits.
    pub(crate) async fn report_metrics(self: Arc<Self>, client: StatsdClient) {
        let mut sent = BTreeMap::new();
        loop {
            sleep_ms(REPORT_INTERVAL_MS).await;
            self.send_counters(&client, &mut sent);
            self.send_gauges(&client);
        }
    }

    fn send_counters(&self, client: &StatsdClient, sent: &mut BTreeMap<String, u64>) {
        let mut counters = self.counters.all();
        for promise in Promise::ALL {
            let name = promise.name();
            counters.insert(
                format!("promise.{name}.checks"),
                promise_check_count(promise),
            );
            counters.insert(
                format!("promise.{name}.broken"),
                promise_violation_count(promise),
            );
        }
        for (name, count) in counters {
            let before = sent.insert(name.clone(), count).unwrap_or_default();
            if count > before {
                // An error is ignored: nothing waits for a metric, and later reports send later values.
                let _ = client.count(&name, count - before);
            }
        }
    }

    fn send_gauges(&self, client: &StatsdClient) {
        let snapshot = self.snapshot.load();
        let ledger_records = self.ledger.lock().record_count() as u64;
        let mut gauges = vec![
            ("in_flight".to_owned(), u64::from(self.in_flight())),
            ("version".to_owned(), snapshot.version.number()),
            ("ledger.records".to_owned(), ledger_records),
        ];
        for (name, service) in &snapshot.services {
            let state = &service.state;
            let counts = state.counts();
            let limit = state.in_flight_limit() as u64;
            gauges.extend([
                (
                    format!("service.{name}.in_flight"),
                    u64::from(state.in_flight()),
                ),
                (
                    format!("service.{name}.waiting"),
                    u64::from(state.waiting()),
                ),
                (format!("service.{name}.limit"), limit),
                (format!("service.{name}.hedges"), counts.hedges),
                (format!("service.{name}.retries"), counts.retries),
                (format!("service.{name}.ejections"), counts.ejections),
            ]);
        }
        for (name, value) in gauges {
            let _ = client.gauge(&name, value);
        }
    }
}
