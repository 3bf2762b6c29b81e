//! A stand-in of the platform's table service and object store, in memory.
//!
//! `PUT /faults` sets what goes wrong: outages of either service, slowness, and answers that are lost
//! after a write took effect.

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

/// How long a lost answer holds its caller, in milliseconds.
const LOST_ANSWER_MS: u64 = 60_000;

/// What goes wrong at the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// The table service answers 503.
    pub table_down: bool,
    /// The object store answers 503.
    pub object_down: bool,
    /// Each answer takes this much longer, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and whose answer is lost, in percent.
    pub lost_answer_percent: u8,
    /// Share of calls that hang without effect, in percent.
    pub hang_percent: u8,
}

/// What has been asked of the platform.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Rows and objects read, and listings.
    pub reads: u64,
    /// Rows and objects written, or tried to.
    pub writes: u64,
}

#[derive(Default)]
struct Stored {
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
    /// The system's error when the address can't be had.
    pub fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let settings = HttpServerSettings {
            idle_ms: 300_000,
            connections_max: 10_000,
            allows_http2: true,
        };
        let server = HttpServer::bind(address, settings)?;
        let address = server.local_address();
        let stored = Arc::new(Mutex::new(Stored {
            random: fastrand::Rng::with_seed(seed),
            ..Stored::default()
        }));
        spawn(async move {
            let handler = move |request| handle(Arc::clone(&stored), request);
            server.serve(handler).await;
        })
        .detach();
        Ok(Self { address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// How a call goes wrong.
#[derive(PartialEq, Eq)]
enum Fate {
    Served,
    Refused,
    Hangs,
    AnswerLost,
}

async fn handle(stored: Arc<Mutex<Stored>>, request: Request<Incoming>) -> Response<AnyBody> {
    let (head, body) = request.into_parts();
    let Some(body) = read_body(body).await else {
        return answer(StatusCode::BAD_REQUEST, "the body was cut");
    };
    let path = head.uri.path().to_owned();
    let Some((root, key)) = path[1..].split_once('/').or(Some((&path[1..], ""))) else {
        return answer(StatusCode::NOT_FOUND, "");
    };
    if let Some(response) = control(&stored, root, &head.method, &body) {
        return response;
    }
    let is_write = head.method == Method::PUT;
    let (fate, delay_ms) = draw_fate(&mut stored.lock(), root, is_write);
    if delay_ms > 0 {
        sleep_ms(delay_ms).await;
    }
    match fate {
        Fate::Refused => return answer(StatusCode::SERVICE_UNAVAILABLE, "outage"),
        Fate::Hangs => {
            sleep_ms(LOST_ANSWER_MS).await;
            return answer(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        Fate::Served | Fate::AnswerLost => {}
    }
    let response = match (root, is_write) {
        ("table", false) => read_row(&stored.lock(), key),
        ("table", true) => write_row(&mut stored.lock(), key, &head.headers, body),
        ("list", false) => list_rows(&stored.lock(), key),
        ("objects", false) => read_object(&stored.lock(), key),
        ("objects", true) => write_object(&mut stored.lock(), key, body),
        _ => answer(StatusCode::NOT_FOUND, ""),
    };
    if fate == Fate::AnswerLost {
        sleep_ms(LOST_ANSWER_MS).await;
    }
    response
}

fn control(
    stored: &Mutex<Stored>,
    root: &str,
    method: &Method,
    body: &[u8],
) -> Option<Response<AnyBody>> {
    match (root, method) {
        ("faults", &Method::PUT) => match serde_json::from_slice(body) {
            Ok(faults) => {
                stored.lock().faults = faults;
                Some(answer(StatusCode::OK, ""))
            }
            Err(error) => Some(answer(StatusCode::BAD_REQUEST, error.to_string())),
        },
        ("counts", &Method::GET) => Some(json_answer(&stored.lock().counts)),
        _ => None,
    }
}

fn draw_fate(stored: &mut Stored, root: &str, is_write: bool) -> (Fate, u64) {
    if is_write {
        stored.counts.writes += 1;
    } else {
        stored.counts.reads += 1;
    }
    let faults = stored.faults.clone();
    let is_down = if root == "objects" {
        faults.object_down
    } else {
        faults.table_down
    };
    let fate = if is_down {
        Fate::Refused
    } else if stored.random.u8(0..100) < faults.hang_percent {
        Fate::Hangs
    } else if is_write && stored.random.u8(0..100) < faults.lost_answer_percent {
        Fate::AnswerLost
    } else {
        Fate::Served
    };
    (fate, faults.delay_ms)
}

fn read_row(stored: &Stored, key: &str) -> Response<AnyBody> {
    match stored.rows.get(key) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some((version, value)) => tagged(*version, value.clone()),
    }
}

fn tagged(version: u64, value: Bytes) -> Response<AnyBody> {
    let mut response = answer(StatusCode::OK, value);
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn write_row(
    stored: &mut Stored,
    key: &str,
    headers: &http::HeaderMap,
    value: Bytes,
) -> Response<AnyBody> {
    let held = stored
        .rows
        .get(key)
        .map(|(version, _)| format!("\"{version}\""));
    let wanted = headers.get(IF_MATCH).and_then(|tag| tag.to_str().ok());
    let must_be_absent = headers.contains_key(IF_NONE_MATCH);
    let holds = match (wanted, held) {
        (Some(wanted), Some(held)) => wanted == held,
        (Some(_), None) => false,
        (None, Some(_)) => !must_be_absent,
        (None, None) => true,
    };
    if !holds {
        return answer(StatusCode::PRECONDITION_FAILED, "");
    }
    stored.next_version += 1;
    let version = stored.next_version;
    stored.rows.insert(key.to_owned(), (version, value));
    tagged(version, Bytes::new())
}

fn list_rows(stored: &Stored, prefix: &str) -> Response<AnyBody> {
    let rows: Vec<ListedRow<'_>> = stored
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

fn read_object(stored: &Stored, key: &str) -> Response<AnyBody> {
    match stored.objects.get(key) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some(bytes) => answer(StatusCode::OK, bytes.clone()),
    }
}

fn write_object(stored: &mut Stored, key: &str, bytes: Bytes) -> Response<AnyBody> {
    if stored.objects.contains_key(key) {
        return answer(StatusCode::PRECONDITION_FAILED, "");
    }
    stored.objects.insert(key.to_owned(), bytes);
    answer(StatusCode::CREATED, "")
}
