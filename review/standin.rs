//! Stand-ins of the platform's store, of backends and of clients, and the scripted cases that use them.
//!
//! Only the standard library is used. The entries are the project's own program, started as separate processes with the
//! command and the settings template of the deploy file.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Exit code if the rule held.
const HELD: i32 = 0;
/// Exit code if the rule was broken.
const BROKEN: i32 = 1;
/// Exit code if the case couldn't run.
const NOT_RUN: i32 = 2;

/// Interval at which a backend writes its entry in the store, as `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Maximum time until all entries are ready.
const READY_MAX: Duration = Duration::from_secs(15);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    let outcome = match case.as_str() {
        "crossed" => crossed(&record, has_trouble),
        "stop" => stop(&record, has_trouble),
        "gone" => gone(&record, has_trouble),
        "silent" => silent(&record, has_trouble),
        "turned_away" => turned_away(&record, has_trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let code = match outcome {
        Ok(0) => {
            record.line("RESULT: the rule held".to_owned());
            HELD
        }
        Ok(count) => {
            record.line(format!("RESULT: the rule was broken {count} times"));
            BROKEN
        }
        Err(reason) => {
            record.line(format!("RESULT: the case couldn't run: {reason}"));
            NOT_RUN
        }
    };
    std::process::exit(code);
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn create(path: &std::path::Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(NOT_RUN);
        });
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    fn line(&self, text: String) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        if text.starts_with("RESULT") || text.starts_with("BROKEN") {
            print!("{line}");
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// Head and body of a received message.
#[derive(Debug, Clone, Default)]
struct Message {
    first_line: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    fn query(&self, name: &str) -> String {
        let query = self.word(1).split_once('?').map_or("", |(_, query)| query);
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        percent_decode(pair.unwrap_or_default())
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code.filter(|_| bytes[index] == b'%') {
            Some(code) => {
                decoded.push(code);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that were received and not yet used.
struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut part = [0; 16 * 1024];
        let length = self.stream.read(&mut part)?;
        if length == 0 {
            return Err(std::io::Error::from(ErrorKind::UnexpectedEof));
        }
        self.buffer.extend_from_slice(&part[..length]);
        Ok(())
    }

    /// Receives a message with a declared length, in chunks or without a body.
    fn receive(&mut self) -> std::io::Result<Message> {
        let head_length = loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..head_length).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_owned(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
        if message.field("transfer-encoding").is_some() {
            message.body = self.receive_chunks()?;
            return Ok(message);
        }
        let length = message.field("content-length").unwrap_or("0");
        let length: usize = length.parse().unwrap_or_default();
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    fn receive_chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                let end = self.buffer.windows(2).position(|two| two == b"\r\n");
                if let Some(end) = end {
                    break end;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).into_owned();
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or_default();
            while self.buffer.len() < length + 2 {
                self.fill()?;
            }
            body.extend(self.buffer.drain(..length));
            self.buffer.drain(..2);
            if length == 0 {
                return Ok(body);
            }
        }
    }

    fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed or reset the connection.
    fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn answer(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// One call on a connection of its own.
fn call(address: SocketAddr, request: &str) -> Option<Message> {
    let mut connection = Connection::connect(address).ok()?;
    let timeout = Some(Duration::from_secs(2));
    connection.stream.set_read_timeout(timeout).ok()?;
    connection.send(request.as_bytes()).ok()?;
    connection.receive().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}

// ---------------------------------------------------------------- store

/// What the store does for one machine.
#[derive(Default)]
struct Gate {
    is_closed: AtomicBool,
    calls: AtomicU64,
    waiting_feeds: AtomicUsize,
}

impl Gate {
    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }
}

/// A row: its value in base64, or nothing once it is removed, and the counter of its last change.
#[derive(Clone)]
struct Row {
    value: Option<String>,
    revision: u64,
}

/// The platform's store: rows, transactions on one row and the feed of changes.
#[derive(Clone, Default)]
struct Store {
    rows: Arc<Mutex<(BTreeMap<(String, String), Row>, u64)>>,
    /// Whether the store is down: it is silent, and closes the connections of that time when it returns.
    is_down: Arc<AtomicBool>,
}

impl Store {
    fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.rows.lock().unwrap();
        state.1 += 1;
        let row = Row {
            value,
            revision: state.1,
        };
        state.0.insert((table.to_owned(), key.to_owned()), row);
    }

    fn put_json(&self, table: &str, key: &str, json: &str) {
        self.put(table, key, Some(base64(json.as_bytes())));
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn wait_until_up(&self) {
        while self.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Listens at a new address.
    fn listen(&self) -> SocketAddr {
        self.listen_for_one().0
    }

    /// Listens at a new address for one machine. Returns the gate by which the store turns that machine away.
    fn listen_for_one(&self) -> (SocketAddr, Arc<Gate>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let gate = Arc::new(Gate::default());
        let (store, of_machine) = (self.clone(), Arc::clone(&gate));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), Arc::clone(&of_machine));
                thread::spawn(move || store.serve(Connection::new(stream), &gate));
            }
        });
        (address, gate)
    }

    fn serve(&self, mut connection: Connection, gate: &Gate) {
        while let Ok(request) = connection.receive() {
            if self.is_down() {
                return self.wait_until_up();
            }
            gate.calls.fetch_add(1, Ordering::SeqCst);
            if gate.is_closed() {
                let _ = connection.send(&answer("429 Too Many Requests", "", b""));
                continue;
            }
            let path = request.word(1).split('?').next().unwrap_or_default();
            let body = match path {
                "/-/rows-get" => self.get(&request),
                "/-/rows-feed" => self.feed(&request, &connection, gate),
                "/-/rows-tx" => self.transaction(&request),
                _ => String::new(),
            };
            // Usual time of an answer.
            thread::sleep(Duration::from_millis(4));
            if self.is_down() {
                return self.wait_until_up();
            }
            let status = match body.is_empty() {
                true if gate.is_closed() => "429 Too Many Requests",
                true => "404 Not Found",
                false => "200 OK",
            };
            let answered = answer(
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
            if connection.send(&answered).is_err() {
                return;
            }
        }
    }

    fn get(&self, request: &Message) -> String {
        let (table, from) = (request.query("table"), request.query("from"));
        let until = request.query("target_version");
        let limit: usize = request.query("limit").parse().unwrap_or(500);
        let state = self.rows.lock().unwrap();
        let kept = state.0.iter().filter(|((known, key), row)| {
            let is_before_end = until.is_empty() || *key < until;
            *known == table && *key >= from && is_before_end && row.value.is_some()
        });
        let all: Vec<String> = kept
            .map(|((_, key), row)| row_json(&table, key, row))
            .collect();
        let has_more = all.len() > limit.min(500);
        let page = &all[..all.len().min(limit).min(500)];
        rows_json(page, has_more, state.1)
    }

    fn feed(&self, request: &Message, connection: &Connection, gate: &Gate) -> String {
        gate.waiting_feeds.fetch_add(1, Ordering::SeqCst);
        let body = self.wait_for_changes(request, connection, gate);
        gate.waiting_feeds.fetch_sub(1, Ordering::SeqCst);
        body
    }

    fn wait_for_changes(&self, request: &Message, connection: &Connection, gate: &Gate) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let (changed, revision) = {
                let state = self.rows.lock().unwrap();
                let rows = state.0.iter();
                let mut changed: Vec<(u64, String)> = rows
                    .filter(|((known, _), row)| *known == table && row.revision > after)
                    .map(|((_, key), row)| (row.revision, row_json(&table, key, row)))
                    .collect();
                changed.sort();
                (changed, state.1)
            };
            if gate.is_closed() {
                return String::new();
            }
            let is_over = Instant::now() >= until || connection.is_closed() || self.is_down();
            if !changed.is_empty() || is_over {
                let rows: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                return rows_json(&rows, false, revision);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Writes the one row of an entry's transaction.
    fn transaction(&self, request: &Message) -> String {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let text_field = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
            rest.split('"').next().map(ToOwned::to_owned)
        };
        let (Some(table), Some(key)) = (text_field("table"), text_field("key")) else {
            return String::new();
        };
        self.put(&table, &key, text_field("value"));
        rows_json(&[], false, self.rows.lock().unwrap().1)
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let revision = row.revision;
    let start =
        format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{revision}");
    match &row.value {
        Some(value) => format!("{start},\"value\":\"{value}\"}}"),
        None => format!("{start},\"tombstone\":true}}"),
    }
}

fn rows_json(rows: &[String], has_more: bool, revision: u64) -> String {
    let now_ms = unix_ms();
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{revision},\"now_ms\":{now_ms}}}")
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// The configuration: an idempotent route at `/read/` and a non-idempotent one at `/order/`.
fn configuration(version: u32, timeout_ms: u64, aim_ms: u64) -> String {
    configuration_with_service(version, timeout_ms, aim_ms, "quotes")
}

/// The configuration with the service of all routes.
fn configuration_with_service(version: u32, timeout_ms: u64, aim_ms: u64, service: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\"priority\":1,\
             \"max_attempts\":3,\"service\":\"{service}\"}}"
        )
    };
    format!(
        "{{\"version\":\"{version:08x}\",\
         \"services\":[{{\"name\":\"quotes\",\"health_path\":\"/healthz\",\"max_conns\":260}},\
         {{\"name\":\"portfolio\",\"health_path\":\"/healthz\",\"max_conns\":260}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"hosts\":[{{\"host\":\"shop.example\",\"paths\":[{},{}]}}]}}",
        route("read", "idempotent"),
        route("order", "non_idempotent")
    )
}

// ---------------------------------------------------------------- backends

/// A request that a backend began to work on.
#[derive(Debug, Clone)]
struct Run {
    request: String,
    backend: String,
    at: Instant,
}

/// How the backends of a case behave.
struct Behaviour {
    record: Record,
    runs: Mutex<Vec<Run>>,
    /// Time that a request takes, by the number in its path, or the usual time.
    work: Duration,
    /// Whether answers have no length and end with their connection; such an answer is sent in pieces.
    is_unframed: bool,
    /// When all connections that were open went silent.
    silent_since: Mutex<Option<Instant>>,
    /// Whether the spoiled backends owe an extra answer after some of their answers.
    is_spoiling: AtomicBool,
    extras_sent: AtomicU64,
    answered: AtomicU64,
}

impl Behaviour {
    fn new(record: &Record, work: Duration) -> Arc<Self> {
        Arc::new(Self::with_work(record, work))
    }

    fn with_work(record: &Record, work: Duration) -> Self {
        Self {
            record: record.clone(),
            runs: Mutex::default(),
            work,
            is_unframed: false,
            silent_since: Mutex::default(),
            is_spoiling: AtomicBool::new(false),
            extras_sent: AtomicU64::new(0),
            answered: AtomicU64::new(0),
        }
    }
}

/// Number of answers of a spoiled backend of which one is followed by an extra one: 3 in 100.
const ANSWERS_PER_EXTRA: u64 = 34;

/// A backend with six slots.
struct Backend {
    id: String,
    address: SocketAddr,
    born_ms: u128,
    running: AtomicUsize,
    /// Whether the backend has removed its entry and writes no more.
    has_left: AtomicBool,
    /// Whether the backend has ended.
    has_ended: AtomicBool,
    /// Whether the backend is one of those that hand out wrong bytes.
    is_spoiled: bool,
    behaviour: Arc<Behaviour>,
}

const SLOTS: usize = 6;

impl Backend {
    fn start(id: &str, is_spoiled: bool, behaviour: &Arc<Behaviour>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born_ms: unix_ms() - 60_000,
            running: AtomicUsize::new(0),
            has_left: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            is_spoiled,
            behaviour: Arc::clone(behaviour),
        });
        let serving = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let backend = Arc::clone(&serving);
                thread::spawn(move || backend.serve(Connection::new(stream)));
            }
        });
        backend
    }

    /// Writes the backend's entry in the store about every heartbeat, until the process ends.
    fn write_entries(self: &Arc<Self>, store: &Store, zone: &str) {
        self.write_entries_of("quotes", store, zone);
    }

    fn write_entries_of(self: &Arc<Self>, service: &'static str, store: &Store, zone: &str) {
        let (backend, store, zone) = (Arc::clone(self), store.clone(), zone.to_owned());
        let mut sequence = 0;
        let mut write = move || {
            // A backend that doesn't reach the store leaves its entry as it is.
            if backend.has_left.load(Ordering::SeqCst) || store.is_down() {
                return;
            }
            sequence += 1;
            let (address, born_ms) = (backend.address, backend.born_ms);
            let entry = format!(
                "{{\"address\":\"{address}\",\"born\":{born_ms},\
                 \"info\":{{\"service\":\"{service}\",\"version\":\"1\",\"zone\":\"{zone}\",\"capacity\":{SLOTS}}},\
                 \"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmup_left_ms\":0}}}}"
            );
            store.put_json("servers", &backend.id, &entry);
        };
        write();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                write();
            }
        });
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst).min(SLOTS);
        format!("X-Pinhaven-Backend-Load: {running},0,{SLOTS},100\r\n")
    }

    fn serve(&self, mut connection: Connection) {
        let opened_at = Instant::now();
        // Id of a request that a backend answered on this connection and after which it owes an extra answer.
        let mut owes_extra = None;
        while let Ok(request) = connection.receive() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if request.word(1) == "/healthz" {
                let (id, load, born_ms) = (&self.id, self.load(), self.born_ms);
                let fields = format!("X-Pinhaven-Instance-Id: {id}\r\n{load}");
                let body = format!("{{\"born\":{born_ms}}}");
                if connection
                    .send(&answer("200 OK", &fields, body.as_bytes()))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let Some(id) = request
                .field("x-pinhaven-request-id")
                .map(ToOwned::to_owned)
            else {
                let rejected = answer("400 Bad Request", "X-Pinhaven-Not-Executed: 1\r\n", b"");
                let _ = connection.send(&rejected);
                continue;
            };
            let echo = format!("X-Pinhaven-Request-Id: {id}\r\n{}", self.load());
            let expected = request.field("x-pinhaven-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let fields = format!("{echo}X-Pinhaven-Not-Executed: 1\r\n");
                let _ = connection.send(&answer("421 Misdirected Request", &fields, b""));
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let fields = format!("{echo}X-Pinhaven-Not-Executed: 1\r\n");
                let _ = connection.send(&answer("503 Service Unavailable", &fields, b""));
                continue;
            }
            let record = &self.behaviour.record;
            record.line(format!("backend {} runs {id}", self.id));
            self.behaviour.runs.lock().unwrap().push(Run {
                request: id.clone(),
                backend: self.id.clone(),
                at: Instant::now(),
            });
            if let Some(other) = owes_extra.take() {
                // The second answer to the earlier request arrives where the answer to this one should come. Its id tells.
                let fields = format!(
                    "X-Pinhaven-Request-Id: {other}\r\n{}X-Pinhaven-Not-Executed: 1\r\n",
                    self.load()
                );
                record.line(format!(
                    "backend {} sends an extra answer 421 with the id {other} while it works on {id}",
                    self.id
                ));
                self.behaviour.extras_sent.fetch_add(1, Ordering::SeqCst);
                let _ = connection.send(&answer("421 Misdirected Request", &fields, b""));
            }
            let is_done = self.work(&connection, &request);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_done {
                let reason = match self.has_ended.load(Ordering::SeqCst) {
                    true => "the backend ended",
                    false => "its connection closed",
                };
                record.line(format!("backend {} drops {id}: {reason}", self.id));
                return;
            }
            let fields = format!("{echo}X-Pinhaven-Response-Signature: 1.1.{id}\r\n");
            if self.behaviour.is_unframed {
                return self.send_unframed(connection, opened_at, &id, &fields);
            }
            record.line(format!("backend {} answers {id} with 200", self.id));
            let body = format!("done {id}");
            if connection
                .send(&answer("200 OK", &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
            let is_spoiling = self.is_spoiled && self.behaviour.is_spoiling.load(Ordering::SeqCst);
            if is_spoiling {
                let number = self.behaviour.answered.fetch_add(1, Ordering::SeqCst) + 1;
                if number % ANSWERS_PER_EXTRA == 0 {
                    owes_extra = Some(id);
                }
            }
        }
    }

    /// Sends an answer without a length in pieces and closes the connection. A connection that has gone silent says nothing
    /// more and stays open.
    fn send_unframed(
        &self,
        mut connection: Connection,
        opened_at: Instant,
        id: &str,
        fields: &str,
    ) {
        const PIECES: usize = 10;
        const PIECE_INTERVAL: Duration = Duration::from_millis(30);
        let record = &self.behaviour.record;
        let head = format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n");
        let mut is_sent = connection.send(head.as_bytes()).is_ok();
        for piece in 0..PIECES {
            let silent_since = *self.behaviour.silent_since.lock().unwrap();
            if silent_since.is_some_and(|since| opened_at < since) {
                record.line(format!(
                    "the connection with the answer of {} to {id} is silent",
                    self.id
                ));
                while !connection.is_closed() {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            let bytes = format!("piece {piece} of the answer to {id}\n").repeat(100);
            is_sent &= connection.send(bytes.as_bytes()).is_ok();
            thread::sleep(PIECE_INTERVAL);
        }
        if is_sent {
            record.line(format!("backend {} has answered {id} with 200", self.id));
        }
    }

    /// Works on a request. Returns `false` if the connection closes before the work is done.
    fn work(&self, connection: &Connection, request: &Message) -> bool {
        let long_ms = request
            .word(1)
            .rsplit('/')
            .next()
            .and_then(|ms| ms.parse().ok());
        let work = long_ms.map_or(self.behaviour.work, Duration::from_millis);
        let until = Instant::now() + work;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(20)));
            if connection.is_closed() || self.has_ended.load(Ordering::SeqCst) {
                return false;
            }
        }
        true
    }
}

// ---------------------------------------------------------------- entries

/// A running entry process, which is killed when the value is dropped.
struct EntryProcess {
    name: String,
    frontend: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    child: Child,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryProcess {
    /// Whether the platform's readiness check succeeds.
    fn is_ready(&self) -> bool {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request).is_some_and(|answer| answer.status() == 200)
    }

    /// Asks the directory which entries to use. Returns the answer and for how many milliseconds it may be held.
    fn resolve(&self) -> Option<(String, u64)> {
        let request = "GET /-/resolve?name=shop.example&region=wien&zone=wien-a HTTP/1.1\r\n\
                       Host: directory\r\nConnection: close\r\n\r\n";
        let answer = call(self.directory, request)?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let (_, ttl_s) = text.split_once("\"ttl_s\":")?;
        let ttl_s: f64 = ttl_s.split(['}', ',']).next()?.trim().parse().ok()?;
        Some((text, (ttl_s * 1_000.0) as u64))
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Waits until the process has ended; kills it at the end of the grace period, as the platform does.
    fn wait_for_end(&mut self, until: Instant) -> Option<i32> {
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            if Instant::now() >= until {
                let _ = self.child.kill();
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A loopback address on which nothing listens, for TCP and UDP.
fn free_address(taken: &mut Vec<SocketAddr>) -> SocketAddr {
    loop {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            continue;
        };
        let Ok(address) = listener.local_addr() else {
            continue;
        };
        if !taken.contains(&address) && UdpSocket::bind(address).is_ok() {
            taken.push(address);
            return address;
        }
    }
}

/// Bounds of a deployment that the settings contain.
struct Bounds {
    grace_s: u64,
    budget_slack: u64,
}

/// Starts entries in zones with the command of the deploy file and settings from its template.
fn start_entries(
    zones: &[&str],
    stores: &[SocketAddr],
    bounds: &Bounds,
) -> Result<Vec<EntryProcess>, String> {
    let root = std::env::var("REPOSITORY").map_err(|_| "REPOSITORY is not set".to_owned())?;
    let root = PathBuf::from(root);
    let settings_folder =
        std::env::var("SETTINGS").map_err(|_| "SETTINGS is not set".to_owned())?;
    let read = |path: &str| {
        std::fs::read_to_string(root.join(path)).map_err(|error| format!("{path}: {error}"))
    };
    let deploy = read("deploy/system.toml")?;
    let line_value = |name: &str| {
        let mut lines = deploy.lines();
        let line = lines.find(|line| line.starts_with(&format!("{name} = ")))?;
        line.split('"').nth(1).map(ToOwned::to_owned)
    };
    let run = line_value("run").ok_or("the deploy file has no run")?;
    let template = read(&line_value("template").ok_or("the deploy file has no template")?)?;
    let mut taken = Vec::new();
    let addresses: Vec<[SocketAddr; 4]> = zones
        .iter()
        .map(|_| std::array::from_fn(|_| free_address(&mut taken)))
        .collect();
    let seeds: Vec<String> = addresses
        .iter()
        .take(3)
        .map(|[_, _, control, _]| format!("\"{control}\""))
        .collect();
    let seeds = format!("[{}]", seeds.join(","));
    let mut entries = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let [frontend, ready, control, directory] = addresses[index];
        let name = format!("edge-{zone}-{}", index + 1);
        let gaps = HashMap::from([
            ("node_name", name.clone()),
            ("zone", (*zone).to_owned()),
            ("region|json", "\"wien\"".to_owned()),
            ("limits.cpu_quota", "0.2".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("listen.frontend", frontend.to_string()),
            ("listen.control", control.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("seeds|json", seeds.clone()),
            ("platform.address", stores[index % stores.len()].to_string()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.probes_per_s", "60".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", bounds.budget_slack.to_string()),
            ("bounds.grace_s", bounds.grace_s.to_string()),
        ]);
        let path = PathBuf::from(&settings_folder).join(format!("{name}.toml"));
        std::fs::write(&path, fill(&template, &gaps)?).map_err(|error| error.to_string())?;
        let mut words = run.split(' ');
        let program = root.join(words.next().unwrap_or_default());
        let arguments = words.map(|word| match word {
            "/etc/pinhaven/local.toml" => path.display().to_string(),
            word => word.to_owned(),
        });
        let child = Command::new(program)
            .args(arguments)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        entries.push(EntryProcess {
            name,
            frontend,
            ready,
            directory,
            child,
        });
    }
    let until = Instant::now() + READY_MAX;
    while !entries.iter().all(EntryProcess::is_ready) {
        if Instant::now() >= until {
            return Err("the entries did not become ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(entries)
}

/// Fills the gaps of a settings template. Sections for fields that the settings lack are left out.
fn fill(template: &str, gaps: &HashMap<&str, String>) -> Result<String, String> {
    let mut text = template.to_owned();
    while let Some((before, rest)) = text.clone().split_once("{{#") {
        let (name, rest) = rest.split_once("}}").ok_or("a section has no end")?;
        let end = format!("{{{{/{name}}}}}");
        let (_, after) = rest.split_once(&end).ok_or("a section has no end")?;
        text = format!("{before}{after}");
    }
    for (name, value) in gaps {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    match text.split_once("{{") {
        Some((_, rest)) => Err(format!("no value for the gap {:?}", rest.split('}').next())),
        None => Ok(text),
    }
}

// ---------------------------------------------------------------- clients

/// What a client got for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Got {
    Answer(u16),
    /// The connection closed without a whole answer.
    Closed,
}

fn order(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Pinhaven-Request-Id: {id}\r\n\
         X-Pinhaven-Deadline-Ms: {deadline_ms}\r\nContent-Length: 5\r\n\r\norder"
    )
}

/// Sends a request on a kept connection, or on a new one if there is none, and waits for the answer.
fn exchange(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: &str,
    deadline_ms: u64,
) -> Got {
    if kept.as_ref().is_none_or(Connection::is_closed) {
        *kept = Connection::connect(address).ok();
    }
    let Some(connection) = kept else {
        return Got::Closed;
    };
    let timeout = Some(Duration::from_millis(deadline_ms));
    let _ = connection.stream.set_read_timeout(timeout);
    let answer = connection
        .send(request.as_bytes())
        .and_then(|()| connection.receive());
    match answer {
        Ok(answer) => {
            let closes = answer
                .field("connection")
                .is_some_and(|value| value == "close");
            if closes {
                *kept = None;
            }
            Got::Answer(answer.status())
        }
        Err(_) => {
            *kept = None;
            Got::Closed
        }
    }
}

// ---------------------------------------------------------------- case: crossed

/// Backends that hand out wrong bytes: share and time as in the site file.
const SPOILED_SHARE: f64 = 0.6;
const SPOILED_FOR: Duration = Duration::from_secs(5);

/// Clients send orders, which may run at most once, while some backends send an extra answer late.
fn crossed(record: &Record, has_trouble: bool) -> Result<usize, String> {
    const BACKENDS: usize = 15;
    const CLIENTS: usize = 12;
    const DEADLINE_MS: u64 = 5_000;
    let zones = ["wien-a", "wien-b", "wien-c"];
    let store = Store::default();
    store.put_json("op", "config", &configuration(1, 3_000, 800));
    let behaviour = Behaviour::new(record, Duration::from_millis(30));
    for index in 0..BACKENDS {
        let is_spoiled = (index as f64) < SPOILED_SHARE * BACKENDS as f64;
        let backend = Backend::start(&format!("i-{index:08x}"), is_spoiled, &behaviour);
        backend.write_entries(&store, zones[index % zones.len()]);
    }
    let bounds = Bounds {
        grace_s: 6,
        budget_slack: 64,
    };
    let entries = start_entries(&zones, &[store.listen()], &bounds)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let address = entries[client % entries.len()].frontend;
            thread::spawn(move || {
                let mut kept = None;
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client:02}-{number:06}");
                    let request = order("/order/x", &id, DEADLINE_MS);
                    record.line(format!("client sends {id}"));
                    let got = exchange(&mut kept, address, &request, DEADLINE_MS);
                    record.line(format!("client gets {got:?} for {id}"));
                    thread::sleep(Duration::from_millis(15));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line("DISRUPTION: some backends send extra answers from now on".to_owned());
        behaviour.is_spoiling.store(true, Ordering::SeqCst);
    }
    thread::sleep(SPOILED_FOR);
    behaviour.is_spoiling.store(false, Ordering::SeqCst);
    record.line("the extra answers end".to_owned());
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut by_request: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in behaviour.runs.lock().unwrap().iter() {
        by_request
            .entry(run.request.clone())
            .or_default()
            .push(run.clone());
    }
    let twice: Vec<_> = by_request
        .iter()
        .filter(|(_, runs)| runs.len() > 1)
        .collect();
    for (id, runs) in &twice {
        let backends: Vec<String> = runs
            .iter()
            .map(|run| {
                let at = run
                    .at
                    .saturating_duration_since(record.started)
                    .as_secs_f64();
                format!("{} at {at:.3} s", run.backend)
            })
            .collect();
        record.line(format!(
            "BROKEN: TWICE: {id} ran on {}",
            backends.join(" and on ")
        ));
    }
    let (requests, extras) = (
        by_request.len(),
        behaviour.extras_sent.load(Ordering::SeqCst),
    );
    record.line(format!(
        "{requests} requests ran, {extras} extra answers were sent"
    ));
    Ok(twice.len())
}

// ---------------------------------------------------------------- case: stop

/// An entry gets SIGTERM. Clients with an older answer of the directory send orders to it for a while.
fn stop(record: &Record, has_trouble: bool) -> Result<usize, String> {
    const BACKENDS: usize = 6;
    const GRACE_S: u64 = 10;
    const TIMEOUT_MS: u64 = 8_000;
    const DEADLINE_MS: u64 = 15_000;
    const WORK_MS: u64 = 6_000;
    /// When the orders are sent after the SIGTERM, in milliseconds.
    const SENT_AFTER_MS: [u64; 6] = [3_200, 3_400, 3_600, 3_800, 4_000, 4_200];
    let zones = ["wien-a", "wien-b", "wien-c"];
    let store = Store::default();
    store.put_json("op", "config", &configuration(1, TIMEOUT_MS, 2_500));
    let behaviour = Behaviour::new(record, Duration::from_millis(30));
    for index in 0..BACKENDS {
        let backend = Backend::start(&format!("i-{index:08x}"), false, &behaviour);
        backend.write_entries(&store, zones[index % zones.len()]);
    }
    let bounds = Bounds {
        grace_s: GRACE_S,
        budget_slack: 630,
    };
    let mut entries = start_entries(&zones, &[store.listen()], &bounds)?;
    let address = entries[0].frontend;
    let mut kept: Vec<Option<Connection>> = SENT_AFTER_MS.iter().map(|_| None).collect();
    for (index, connection) in kept.iter_mut().enumerate() {
        let id = format!("before-{index}");
        let got = exchange(
            connection,
            address,
            &order("/order/x", &id, DEADLINE_MS),
            DEADLINE_MS,
        );
        if got != Got::Answer(200) {
            return Err(format!("{id} got {got:?} before the stop"));
        }
    }
    let resolved_at = Instant::now();
    let (named, ttl_ms) = entries[1].resolve().ok_or("the directory gave no answer")?;
    record.line(format!("the directory answers {named}"));
    if !named.contains(&format!("\"{address}\"")) {
        return Err(format!("the directory does not name {address}"));
    }
    let stopped_at = Instant::now();
    if has_trouble {
        let name = entries[0].name.clone();
        record.line(format!("DISRUPTION: SIGTERM to {name}, grace {GRACE_S} s"));
        entries[0].signal("-TERM");
    }
    let clients: Vec<_> = kept
        .into_iter()
        .zip(SENT_AFTER_MS)
        .map(|(mut kept, after_ms)| {
            let record = record.clone();
            thread::spawn(move || {
                let at = stopped_at + Duration::from_millis(after_ms);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("order-{after_ms}");
                let request = order(&format!("/order/{WORK_MS}"), &id, DEADLINE_MS);
                record.line(format!("client sends {id}"));
                let sent_at = Instant::now();
                let got = exchange(&mut kept, address, &request, DEADLINE_MS);
                let took_ms = sent_at.elapsed().as_millis() as u64;
                record.line(format!("client gets {got:?} for {id} after {took_ms} ms"));
                (id, got, took_ms)
            })
        })
        .collect();
    // Some clients hold an answer of the directory for three times its time.
    let last_sent_at = stopped_at + Duration::from_millis(SENT_AFTER_MS[SENT_AFTER_MS.len() - 1]);
    if last_sent_at > resolved_at + Duration::from_millis(3 * ttl_ms) {
        return Err("the answer of the directory may not be held for that long".to_owned());
    }
    let until = stopped_at + Duration::from_secs(GRACE_S);
    if has_trouble {
        let code = entries[0].wait_for_end(until);
        let took = stopped_at.elapsed().as_secs_f64();
        record.line(format!(
            "the entry ended {took:.3} s after the SIGTERM with code {code:?}"
        ));
    }
    let mut broken = 0;
    for client in clients {
        let (id, got, took_ms) = client.join().map_err(|_| "a client failed".to_owned())?;
        let has_run = behaviour
            .runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.request == id);
        // A backend works on the request until the work is done, so that an earlier answer of the entry broke it off.
        let is_broken_off = match got {
            Got::Answer(200) => false,
            _ => has_run && took_ms < TIMEOUT_MS.min(DEADLINE_MS),
        };
        if is_broken_off {
            broken += 1;
            record.line(format!(
                "BROKEN: LOST: {id} was passed on to a backend and broken off with {got:?} after {took_ms} ms"
            ));
        }
    }
    Ok(broken)
}

// ---------------------------------------------------------------- case: gone

/// The store is down for a few seconds. Long after its return, a backend leaves without saying so: its entry goes, the
/// backend serves on for a little longer than `drain_ms` and then ends.
fn gone(record: &Record, has_trouble: bool) -> Result<usize, String> {
    const BACKENDS: usize = 6;
    const CLIENTS: usize = 24;
    const DEADLINE_MS: u64 = 5_000;
    const DOWN: Duration = Duration::from_millis(4_000);
    const STABLE: Duration = Duration::from_secs(8);
    const DRAIN: Duration = Duration::from_millis(2_000);
    const SERVES_ON: Duration = Duration::from_millis(2_500);
    let zones = ["wien-a", "wien-b", "wien-c", "wien-a", "wien-b", "wien-c"];
    let store = Store::default();
    store.put_json("op", "config", &configuration(1, 3_000, 800));
    let behaviour = Behaviour::new(record, Duration::from_millis(220));
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|index| {
            let backend = Backend::start(&format!("i-{index:08x}"), false, &behaviour);
            backend.write_entries(&store, zones[index % zones.len()]);
            backend
        })
        .collect();
    let bounds = Bounds {
        grace_s: 6,
        budget_slack: 64,
    };
    let entries = start_entries(&zones, &[store.listen()], &bounds)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let address = entries[client % entries.len()].frontend;
            thread::spawn(move || {
                let mut kept = None;
                let (mut number, mut failed) = (0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client:02}-{number:06}");
                    let request = order("/order/x", &id, DEADLINE_MS);
                    record.line(format!("client sends {id}"));
                    let got = exchange(&mut kept, address, &request, DEADLINE_MS);
                    record.line(format!("client gets {got:?} for {id}"));
                    failed += usize::from(!matches!(got, Got::Answer(200 | 429 | 503)));
                    let pause_ms = 10 + (client * 7 + number * 13) as u64 % 50;
                    thread::sleep(Duration::from_millis(pause_ms));
                }
                failed
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.line(format!(
            "DISRUPTION: the store is down for {} ms",
            DOWN.as_millis()
        ));
        store.is_down.store(true, Ordering::SeqCst);
    }
    thread::sleep(DOWN);
    store.is_down.store(false, Ordering::SeqCst);
    record.line("the store is not down".to_owned());
    thread::sleep(STABLE);
    let leaving = &backends[0];
    leaving.has_left.store(true, Ordering::SeqCst);
    store.put("servers", &leaving.id, None);
    let left_at = Instant::now();
    record.line(format!(
        "the store acknowledges that the entry of {} is gone",
        leaving.id
    ));
    thread::sleep(SERVES_ON);
    leaving.has_ended.store(true, Ordering::SeqCst);
    record.line(format!("backend {} ends", leaving.id));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let mut failed = 0;
    for client in clients {
        failed += client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let runs = behaviour.runs.lock().unwrap();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.backend == leaving.id && run.at > left_at + DRAIN)
        .collect();
    for run in &late {
        let after_ms = run.at.saturating_duration_since(left_at).as_millis();
        record.line(format!(
            "BROKEN: DRAIN: {} reached {} {after_ms} ms after its entry was gone",
            run.request, run.backend
        ));
    }
    record.line(format!(
        "{failed} orders ended without an answer of a backend or a promise"
    ));
    Ok(late.len())
}

// ---------------------------------------------------------------- case: silent

/// All connections that are open go silent for good, while new ones work.
fn silent(record: &Record, has_trouble: bool) -> Result<usize, String> {
    const BACKENDS: usize = 15;
    const CLIENTS: usize = 30;
    const TIMEOUT_MS: u64 = 8_000;
    const DEADLINE_MS: u64 = 15_000;
    const MORE: Duration = Duration::from_millis(500);
    let zones = ["wien-a", "wien-b", "wien-c"];
    let store = Store::default();
    store.put_json("op", "config", &configuration(1, TIMEOUT_MS, 2_500));
    let behaviour = Arc::new(Behaviour {
        is_unframed: true,
        ..Behaviour::with_work(record, Duration::from_millis(100))
    });
    for index in 0..BACKENDS {
        let backend = Backend::start(&format!("i-{index:08x}"), false, &behaviour);
        backend.write_entries(&store, zones[index % zones.len()]);
    }
    let bounds = Bounds {
        grace_s: 10,
        budget_slack: 630,
    };
    let entries = start_entries(&zones, &[store.listen()], &bounds)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let address = entries[client % entries.len()].frontend;
            thread::spawn(move || {
                let mut times = Vec::new();
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client:02}-{number:06}");
                    let request = order("/order/x", &id, DEADLINE_MS);
                    let sent_at = Instant::now();
                    record.line(format!("client sends {id}"));
                    let got = exchange(&mut None, address, &request, DEADLINE_MS);
                    record.line(format!("client gets {got:?} for {id}"));
                    times.push((id, sent_at.elapsed()));
                    thread::sleep(Duration::from_millis(20));
                }
                times
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line("DISRUPTION: all open connections to backends go silent".to_owned());
        *behaviour.silent_since.lock().unwrap() = Some(Instant::now());
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let mut past = Vec::new();
    for client in clients {
        let times = client.join().map_err(|_| "a client failed".to_owned())?;
        past.extend(times.into_iter().filter(|(_, took)| *took >= timeout));
    }
    let late: Vec<_> = past
        .iter()
        .filter(|(_, took)| *took > timeout + MORE)
        .collect();
    record.line(format!(
        "{} requests ran past their route's timeout, {} of them had no final answer {} ms later",
        past.len(),
        late.len(),
        MORE.as_millis()
    ));
    let is_broken = late.len() >= 8 && late.len() * 4 > past.len();
    for (id, took) in late.iter().filter(|_| is_broken) {
        record.line(format!(
            "BROKEN: CONFIG: {id} had no final answer after {:.3} s",
            took.as_secs_f64()
        ));
    }
    Ok(if is_broken { late.len() } else { 0 })
}

// ---------------------------------------------------------------- case: turned_away

/// The store turns away the machines that call it most, and serves the others. A new version moves a route.
fn turned_away(record: &Record, has_trouble: bool) -> Result<usize, String> {
    const BACKENDS: usize = 12;
    const ENTRIES: usize = 18;
    /// Share of the machines that the store turns away at most: 0.35 of 18.
    const TURNED_AWAY_MAX: usize = 6;
    const FOR: Duration = Duration::from_secs(9);
    const BEFORE_CHANGE: Duration = Duration::from_millis(300);
    /// `config_apply_ms` and `max_skew_ms`.
    const BOUND: Duration = Duration::from_millis(2_000 + 5_000);
    const DEADLINE_MS: u64 = 4_000;
    let zones: Vec<&str> = (0..ENTRIES)
        .map(|index| ["wien-a", "wien-b", "wien-c"][index % 3])
        .collect();
    let store = Store::default();
    store.put_json(
        "op",
        "config",
        &configuration_with_service(1, 3_000, 800, "quotes"),
    );
    let behaviour = Behaviour::new(record, Duration::from_millis(30));
    for index in 0..BACKENDS {
        let service = ["quotes", "portfolio"][index % 2];
        let backend = Backend::start(&format!("{service}-{index:04}"), false, &behaviour);
        backend.write_entries_of(service, &store, zones[index % 3]);
    }
    let bounds = Bounds {
        grace_s: 6,
        budget_slack: 64,
    };
    let (addresses, gates): (Vec<SocketAddr>, Vec<Arc<Gate>>) =
        (0..ENTRIES).map(|_| store.listen_for_one()).unzip();
    let entries = start_entries(&zones, &addresses, &bounds)?;
    thread::sleep(Duration::from_secs(6));
    let before: Vec<u64> = gates
        .iter()
        .map(|gate| gate.calls.load(Ordering::SeqCst))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut callers: Vec<(u64, usize)> = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        let calls = gate.calls.load(Ordering::SeqCst) - before[index];
        let calls = calls + gate.waiting_feeds.load(Ordering::SeqCst) as u64;
        record.line(format!(
            "{} has made {calls} calls to the store in 3 s",
            entries[index].name
        ));
        callers.push((calls, index));
    }
    callers.sort();
    callers.reverse();
    let most: Vec<usize> = callers
        .iter()
        .take(TURNED_AWAY_MAX)
        .map(|(_, index)| *index)
        .collect();
    if has_trouble {
        let names: Vec<&str> = most
            .iter()
            .map(|index| entries[*index].name.as_str())
            .collect();
        record.line(format!(
            "DISRUPTION: the store answers 429 to {}",
            names.join(", ")
        ));
        most.iter()
            .for_each(|index| gates[*index].is_closed.store(true, Ordering::SeqCst));
    }
    let began = Instant::now();
    thread::sleep(BEFORE_CHANGE);
    store.put_json(
        "op",
        "config",
        &configuration_with_service(2, 3_000, 800, "portfolio"),
    );
    let changed_at = Instant::now();
    record.line(
        "the store acknowledges version 2: the routes go to portfolio instead of quotes".to_owned(),
    );
    let mut sent = Vec::new();
    let mut number = 0;
    while began.elapsed() < FOR {
        for (index, entry) in entries.iter().enumerate() {
            if most.contains(&index) {
                continue;
            }
            number += 1;
            let id = format!("order-{number:04}");
            let after = changed_at.elapsed();
            let got = exchange(
                &mut None,
                entry.frontend,
                &order("/order/x", &id, DEADLINE_MS),
                DEADLINE_MS,
            );
            record.line(format!("{} answers {id} with {got:?}", entry.name));
            sent.push((id, entry.name.clone(), after));
        }
        thread::sleep(Duration::from_millis(100));
    }
    gates
        .iter()
        .for_each(|gate| gate.is_closed.store(false, Ordering::SeqCst));
    let runs = behaviour.runs.lock().unwrap();
    let mut broken = 0;
    for (id, name, after) in &sent {
        let is_old = runs
            .iter()
            .any(|run| run.request == *id && run.backend.starts_with("quotes"));
        if *after > BOUND && is_old {
            broken += 1;
            let after_ms = after.as_millis();
            record.line(format!(
                "BROKEN: CONFIG: {id}, sent to {name} {after_ms} ms after the acknowledgement, was run by the old service"
            ));
        }
    }
    Ok(broken)
}
