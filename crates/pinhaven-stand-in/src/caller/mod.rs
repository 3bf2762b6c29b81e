//! A stand-in caller: asks which entries to use, keeps the answer, connects and sends requests.
//!
//! Requests leave at the times of a Poisson process whether or not earlier ones were answered, and
//! each is timed from the moment it was due. Every answer is checked to be whole and the caller's own.

mod report;
mod settings;

pub use report::CallerReport;
pub use report::ClassReport;
pub use report::Outcome;
pub use settings::CallerSettings;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use parking_lot::Mutex;
use pinhaven_runtime::CallError;
use pinhaven_runtime::CallStep;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use report::Class;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Idle connections kept to each entry.
const IDLE_CONNECTIONS: usize = 512;
/// Time past the deadline that a caller waits before it gives up, in milliseconds.
const PATIENCE_MS: u64 = 2_000;
/// Entries that a request is tried at while it is proved not to have been sent.
const ENTRIES_TRIED: usize = 6;
/// Pause before a once-only request is asked about again, in milliseconds.
const ASK_AGAIN_MS: u64 = 100;
/// Times that a once-only request is asked about.
const ASK_AGAIN_TIMES: usize = 20;
/// Entries that a caller remembers.
const KNOWN_MAX: usize = 32;

/// An entry as an address answer names it.
#[derive(Debug, Clone, Deserialize)]
pub struct NamedEntry {
    /// Where to connect.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: String,
    /// What once-only requests sent to it name as their home.
    pub home: String,
}

/// An address answer.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressAnswer {
    /// How long it may be kept, in milliseconds.
    pub keep_ms: u64,
    /// The entries, nearest first.
    pub entries: Vec<NamedEntry>,
}

struct Kept {
    entries: Vec<NamedEntry>,
    until: Instant,
}

/// Number of the next caller of this process, so that no two use the same keys.
static NEXT_CALLER: AtomicU64 = AtomicU64::new(0);

/// A caller.
pub struct Caller {
    settings: CallerSettings,
    name: String,
    kept: Mutex<Kept>,
    /// Entries to ask: the first ones and those that answers have named.
    known: Mutex<Vec<SocketAddr>>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    repeatable: Mutex<Class>,
    once: Mutex<Class>,
    once_said: Mutex<BTreeMap<String, String>>,
}

impl Caller {
    /// A caller that has asked nothing yet.
    pub fn new(settings: CallerSettings) -> Arc<Self> {
        let number = NEXT_CALLER.fetch_add(1, Ordering::Relaxed);
        Arc::new(Self {
            known: Mutex::new(settings.seeds.clone()),
            settings,
            name: format!("{}-{number}", std::process::id()),
            kept: Mutex::new(Kept {
                entries: Vec::new(),
                until: Instant::now(),
            }),
            clients: Mutex::new(HashMap::new()),
            repeatable: Mutex::new(Class::new()),
            once: Mutex::new(Class::new()),
            once_said: Mutex::new(BTreeMap::new()),
        })
    }

    /// Sends all requests, waits for their ends and reports.
    pub async fn run(self: Arc<Self>) -> CallerReport {
        let mut random = fastrand::Rng::with_seed(self.settings.seed);
        let began = Instant::now();
        let duration = Duration::from_millis(self.settings.duration_ms);
        let warm_up = Duration::from_millis(self.settings.warm_up_ms);
        let mut due = Duration::ZERO;
        let mut number: u64 = 0;
        let mut under_way = Vec::new();
        while due < duration {
            let gap_s = -(1.0 - random.f64()).ln() / self.settings.rate_per_s;
            due += Duration::from_secs_f64(gap_s);
            let due_at = began + due;
            if due_at > Instant::now() {
                async_io::Timer::at(due_at).await;
            }
            number += 1;
            let is_once = random.u8(0..100) < self.settings.once_percent;
            let caller = Arc::clone(&self);
            let request_seed = random.u64(..);
            let is_counted = due >= warm_up;
            under_way.push(spawn(async move {
                caller
                    .one_request(number, is_once, due_at, request_seed, is_counted)
                    .await;
            }));
        }
        for request in under_way {
            request.await;
        }
        self.report()
    }

    fn report(&self) -> CallerReport {
        let take = |class: &Mutex<Class>| std::mem::replace(&mut *class.lock(), Class::new());
        CallerReport {
            repeatable: take(&self.repeatable).into_report(),
            once: take(&self.once).into_report(),
            once_said: self.once_said.lock().clone(),
        }
    }

    async fn one_request(
        &self,
        number: u64,
        is_once: bool,
        due_at: Instant,
        seed: u64,
        is_counted: bool,
    ) {
        let mut random = fastrand::Rng::with_seed(seed);
        let outcome = if is_once {
            self.once_request(number, &mut random).await
        } else {
            self.repeatable_request(number, &mut random).await
        };
        if !is_counted {
            return;
        }
        let latency = due_at.elapsed();
        let deadline = Duration::from_millis(self.settings.deadline_ms);
        let class = if is_once {
            &self.once
        } else {
            &self.repeatable
        };
        class.lock().record(&outcome, latency, deadline);
    }

    async fn repeatable_request(&self, number: u64, random: &mut fastrand::Rng) -> Outcome {
        let marker = format!("r{}-{number}", self.name);
        let request = self.request(Method::GET, "/quote", &marker, Bytes::new(), None);
        let mut outcome = Outcome::Unreachable;
        for _ in 0..ENTRIES_TRIED {
            let Some(address) = self.pick(random).await.map(|entry| entry.address) else {
                return Outcome::Unreachable;
            };
            match self.client(address).call(request.clone()).await {
                Ok(response) => return judge(&response, &marker, &Bytes::new()),
                Err(error) => {
                    self.forget(address);
                    outcome = outcome_of(&error);
                }
            }
        }
        outcome
    }

    /// Sends a once-only request, and asks about it elsewhere while its outcome is open.
    async fn once_request(&self, number: u64, random: &mut fastrand::Rng) -> Outcome {
        let marker = format!("o{}-{number}", self.name);
        let body: Vec<u8> = (0..self.settings.body_bytes)
            .map(|_| random.u8(b'a'..=b'z'))
            .collect();
        let body = Bytes::from(body);
        let mut home: Option<String> = None;
        let mut outcome = Outcome::Unreachable;
        for attempt in 0..ASK_AGAIN_TIMES {
            let Some(entry) = self.pick(random).await else {
                sleep_ms(ASK_AGAIN_MS).await;
                continue;
            };
            // A home is chosen once and kept; another one would make it another request.
            let home = home.get_or_insert(entry.home.clone());
            let named = self.settings.names_home.then_some(home.as_str());
            let mut request = self.request(Method::POST, "/orders", &marker, body.clone(), named);
            request
                .headers_mut()
                .insert("pinhaven-sending", (attempt as u32 + 1).into());
            match self.client(entry.address).call(request).await {
                Ok(response) => {
                    outcome = judge(&response, &marker, &body);
                    let is_in_flight = response.status() == StatusCode::CONFLICT
                        && text_of(response.headers(), "pinhaven-run") == "unknown";
                    if !is_in_flight {
                        break;
                    }
                }
                Err(error) => {
                    self.forget(entry.address);
                    let is_first = attempt == 0 && error.is_not_sent();
                    if is_first {
                        // Nothing was sent to that home, so another may be chosen.
                        home.clear();
                    }
                    outcome = outcome_of(&error);
                }
            }
            if home.is_empty() {
                return Box::pin(self.once_request(number, random)).await;
            }
            sleep_ms(ASK_AGAIN_MS).await;
        }
        self.note_once(&marker, &outcome);
        outcome
    }

    fn note_once(&self, key: &str, outcome: &Outcome) {
        let said = match outcome {
            Outcome::Answered | Outcome::Wrong => "run",
            Outcome::Refused { run, .. } => run,
            Outcome::Unreachable | Outcome::Cut | Outcome::Silent => "unknown",
        };
        self.once_said
            .lock()
            .insert(key.to_owned(), said.to_owned());
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        marker: &str,
        body: Bytes,
        home: Option<&str>,
    ) -> Request<Bytes> {
        let mut builder = Request::builder()
            .method(&method)
            .uri(path)
            .header(http::header::HOST, &self.settings.host)
            .header("x-marker", marker)
            .header("pinhaven-deadline-ms", self.settings.deadline_ms);
        if method == Method::POST {
            builder = builder.header("idempotency-key", marker);
        }
        if let Some(home) = home {
            builder = builder.header("pinhaven-home", home);
        }
        builder
            .body(body)
            .unwrap_or_else(|_| unreachable!("the parts are valid"))
    }

    /// An entry to use: any of those that the kept answer names.
    async fn pick(&self, random: &mut fastrand::Rng) -> Option<NamedEntry> {
        if !self.settings.direct.is_empty() {
            let index = random.usize(..self.settings.direct.len());
            return Some(NamedEntry {
                address: self.settings.direct[index],
                failure_domain: String::new(),
                home: String::new(),
            });
        }
        self.renew_answer(random).await;
        let kept = self.kept.lock();
        if kept.entries.is_empty() {
            return None;
        }
        let index = random.usize(..kept.entries.len());
        Some(kept.entries[index].clone())
    }

    async fn renew_answer(&self, random: &mut fastrand::Rng) {
        {
            let mut kept = self.kept.lock();
            if Instant::now() < kept.until && !kept.entries.is_empty() {
                return;
            }
            // Others use the old answer while this one asks.
            kept.until = Instant::now() + Duration::from_millis(PATIENCE_MS);
        }
        let mut known = self.known.lock().clone();
        random.shuffle(&mut known);
        for entry in known {
            if let Some(answer) = self.fetch_entries(entry).await {
                self.learn(&answer);
                let keep = Duration::from_millis(answer.keep_ms);
                *self.kept.lock() = Kept {
                    entries: answer.entries,
                    until: Instant::now() + keep,
                };
                return;
            }
        }
    }

    /// Remembers entries for later questions, the newest first and not too many.
    fn learn(&self, answer: &AddressAnswer) {
        let mut known = self.known.lock();
        for entry in &answer.entries {
            known.retain(|address| *address != entry.address);
            known.insert(0, entry.address);
        }
        known.truncate(KNOWN_MAX);
    }

    /// Asks an entry which entries to use.
    pub async fn fetch_entries(&self, entry: SocketAddr) -> Option<AddressAnswer> {
        let uri = format!(
            "/.well-known/pinhaven/entries?service={}&domain={}",
            self.settings.service, self.settings.domain
        );
        let request = Request::get(uri).body(Bytes::new()).ok()?;
        let response = self.client(entry).call(request).await.ok()?;
        serde_json::from_slice(response.body()).ok()
    }

    /// Stops using an entry that could not be reached, until the next answer.
    fn forget(&self, address: SocketAddr) {
        let mut kept = self.kept.lock();
        kept.entries.retain(|entry| entry.address != address);
        if kept.entries.is_empty() {
            kept.until = Instant::now();
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock();
        let client = clients.entry(address).or_insert_with(|| {
            let client = HttpClient::new(address, self.settings.deadline_ms + PATIENCE_MS);
            Arc::new(client.with_idle_connections(IDLE_CONNECTIONS))
        });
        Arc::clone(client)
    }
}

fn text_of<'head>(headers: &'head HeaderMap, name: &str) -> &'head str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Whether an answer is whole and belongs to the request, or what refusal it is.
fn judge(response: &Response<Bytes>, marker: &str, body: &Bytes) -> Outcome {
    use sha2::Digest as _;
    let headers = response.headers();
    if text_of(headers, "content-type") == "application/problem+json" {
        let problem: serde_json::Value =
            serde_json::from_slice(response.body()).unwrap_or_default();
        return Outcome::Refused {
            reason: problem["title"].as_str().unwrap_or("none").to_owned(),
            run: text_of(headers, "pinhaven-run").to_owned(),
            has_retry_after: headers.contains_key("retry-after"),
        };
    }
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        return Outcome::Refused {
            reason: format!("target_{status}"),
            run: text_of(headers, "pinhaven-run").to_owned(),
            has_retry_after: true,
        };
    }
    let digest = hex::encode(sha2::Sha256::digest(body));
    let expected = format!("{marker} {} {digest}\n", body.len());
    if response.body() == expected.as_bytes() {
        Outcome::Answered
    } else {
        Outcome::Wrong
    }
}

fn outcome_of(error: &CallError) -> Outcome {
    match error.step {
        CallStep::Connect => Outcome::Unreachable,
        CallStep::Receive => Outcome::Cut,
        CallStep::Send | CallStep::Deadline => Outcome::Silent,
    }
}
