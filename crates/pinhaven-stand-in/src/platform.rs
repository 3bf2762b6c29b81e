//! An in-memory stand-in of the platform's table service and object store.
//!
//! `PUT /faults` configures the injected faults: outages of either service, delays, calls that hang, and writes that
//! take effect but whose answer is lost. `GET /counts` returns the number of reads and writes.

use crate::answer;
use crate::json_answer;
use crate::read_body;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ETAG;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use hyper::body::Incoming;
use parking_lot::Mutex;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time for which a hanging call or a call with a lost answer stays open, in milliseconds.
const HANG_MS: u64 = 60_000;

/// Faults injected by the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether the table service answers 503.
    pub table_down: bool,
    /// Whether the object store answers 503.
    pub object_down: bool,
    /// Delay added to each call, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect but whose answer is lost, in percent.
    pub lost_answer_percent: u8,
    /// Share of calls that hang without taking effect, in percent.
    pub hang_percent: u8,
}

/// Number of calls that the platform received.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of rows and objects, and listings.
    pub reads: u64,
    /// Writes of rows and objects, including failed writes.
    pub writes: u64,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, (u64, Bytes)>,
    objects: BTreeMap<String, Bytes>,
    next_version: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
    random: fastrand::Rng,
}

#[derive(Serialize)]
struct ListedRow<'row> {
    key: &'row str,
    version: String,
    value: String,
}

/// A running stand-in platform.
pub struct Platform {
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform in this process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if binding to the address fails.
    pub fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let settings = HttpServerSettings {
            idle_ms: 300_000,
            connections_max: 10_000,
            allows_http2: true,
        };
        let server = HttpServer::bind(address, settings)?;
        let address = server.local_address();
        let state = Arc::new(Mutex::new(PlatformState {
            random: fastrand::Rng::with_seed(seed),
            ..PlatformState::default()
        }));
        spawn(async move {
            let handler = move |request| handle(Arc::clone(&state), request);
            server.serve(handler).await;
        })
        .detach();
        Ok(Self { address })
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Fault injected into one call.
#[derive(PartialEq, Eq)]
enum CallFault {
    NoFault,
    Unavailable,
    Hang,
    LostAnswer,
}

async fn handle(state: Arc<Mutex<PlatformState>>, request: Request<Incoming>) -> Response<AnyBody> {
    let (head, body) = request.into_parts();
    let Some(body) = read_body(body).await else {
        return answer(StatusCode::BAD_REQUEST, "the body was cut");
    };
    let path = head.uri.path().to_owned();
    let Some((root, key)) = path[1..].split_once('/').or(Some((&path[1..], ""))) else {
        return answer(StatusCode::NOT_FOUND, "");
    };
    if let Some(response) = handle_control(&state, root, &head.method, &body) {
        return response;
    }
    let is_write = head.method == Method::PUT;
    let (fault, delay_ms) = draw_fault(&mut state.lock(), root, is_write);
    if delay_ms > 0 {
        sleep_ms(delay_ms).await;
    }
    match fault {
        CallFault::Unavailable => return answer(StatusCode::SERVICE_UNAVAILABLE, "outage"),
        CallFault::Hang => {
            sleep_ms(HANG_MS).await;
            return answer(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        CallFault::NoFault | CallFault::LostAnswer => {}
    }
    let response = match (root, is_write) {
        ("table", false) => read_row(&state.lock(), key),
        ("table", true) => write_row(&mut state.lock(), key, &head.headers, body),
        ("list", false) => list_rows(&state.lock(), key),
        ("objects", false) => read_object(&state.lock(), key),
        ("objects", true) => write_object(&mut state.lock(), key, body),
        _ => answer(StatusCode::NOT_FOUND, ""),
    };
    if fault == CallFault::LostAnswer {
        sleep_ms(HANG_MS).await;
    }
    response
}

fn handle_control(
    state: &Mutex<PlatformState>,
    root: &str,
    method: &Method,
    body: &[u8],
) -> Option<Response<AnyBody>> {
    match (root, method) {
        ("faults", &Method::PUT) => match serde_json::from_slice(body) {
            Ok(faults) => {
                state.lock().faults = faults;
                Some(answer(StatusCode::OK, ""))
            }
            Err(error) => Some(answer(StatusCode::BAD_REQUEST, error.to_string())),
        },
        ("counts", &Method::GET) => Some(json_answer(&state.lock().counts)),
        _ => None,
    }
}

fn draw_fault(state: &mut PlatformState, root: &str, is_write: bool) -> (CallFault, u64) {
    if is_write {
        state.counts.writes += 1;
    } else {
        state.counts.reads += 1;
    }
    let faults = state.faults.clone();
    let is_down = if root == "objects" {
        faults.object_down
    } else {
        faults.table_down
    };
    let fault = if is_down {
        CallFault::Unavailable
    } else if state.random.u8(0..100) < faults.hang_percent {
        CallFault::Hang
    } else if is_write && state.random.u8(0..100) < faults.lost_answer_percent {
        CallFault::LostAnswer
    } else {
        CallFault::NoFault
    };
    (fault, faults.delay_ms)
}

fn read_row(state: &PlatformState, key: &str) -> Response<AnyBody> {
    match state.rows.get(key) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some((version, value)) => row_response(*version, value.clone()),
    }
}

fn row_response(version: u64, value: Bytes) -> Response<AnyBody> {
    let mut response = answer(StatusCode::OK, value);
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn write_row(
    state: &mut PlatformState,
    key: &str,
    headers: &http::HeaderMap,
    value: Bytes,
) -> Response<AnyBody> {
    let current_tag = state
        .rows
        .get(key)
        .map(|(version, _)| format!("\"{version}\""));
    let expected_tag = headers.get(IF_MATCH).and_then(|tag| tag.to_str().ok());
    let must_be_absent = headers.contains_key(IF_NONE_MATCH);
    let is_condition_met = match (expected_tag, current_tag) {
        (Some(expected_tag), Some(current_tag)) => expected_tag == current_tag,
        (Some(_), None) => false,
        (None, Some(_)) => !must_be_absent,
        (None, None) => true,
    };
    if !is_condition_met {
        return answer(StatusCode::PRECONDITION_FAILED, "");
    }
    state.next_version += 1;
    let version = state.next_version;
    state.rows.insert(key.to_owned(), (version, value));
    row_response(version, Bytes::new())
}

fn list_rows(state: &PlatformState, prefix: &str) -> Response<AnyBody> {
    let rows: Vec<ListedRow<'_>> = state
        .rows
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(key, (version, value))| ListedRow {
            key,
            version: format!("\"{version}\""),
            value: String::from_utf8_lossy(value).into_owned(),
        })
        .collect();
    json_answer(&rows)
}

fn read_object(state: &PlatformState, key: &str) -> Response<AnyBody> {
    match state.objects.get(key) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some(bytes) => answer(StatusCode::OK, bytes.clone()),
    }
}

fn write_object(state: &mut PlatformState, key: &str, bytes: Bytes) -> Response<AnyBody> {
    if state.objects.contains_key(key) {
        return answer(StatusCode::PRECONDITION_FAILED, "");
    }
    state.objects.insert(key.to_owned(), bytes);
    answer(StatusCode::CREATED, "")
}
