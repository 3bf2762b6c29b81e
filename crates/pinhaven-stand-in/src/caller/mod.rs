//! A stand-in caller: resolves the entries of a service, caches the answer and sends requests to the entries.
//!
//! Requests are sent at the times of a Poisson process, whether or not earlier requests were answered. Latency is
//! measured from the scheduled send time, so that a delayed send counts as latency. The caller checks that every
//! answer is complete and belongs to its request, and returns its statistics as a [`CallerReport`].

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

/// Maximum number of idle connections to each entry.
const IDLE_CONNECTIONS_MAX: usize = 512;
/// Time past the deadline for which a caller waits for an answer, and time after which a request repeats an unfinished
/// refresh of the cached answer, in milliseconds.
const DEADLINE_GRACE_MS: u64 = 2_000;
/// Maximum number of attempts per repeatable request.
const ATTEMPTS_MAX: usize = 6;
/// Delay before a once-only request is sent again, in milliseconds.
const ONCE_RETRY_DELAY_MS: u64 = 100;
/// Maximum number of attempts per once-only request.
const ONCE_ATTEMPTS_MAX: usize = 20;
/// Maximum number of entry addresses that a caller remembers.
const KNOWN_ADDRESSES_MAX: usize = 32;

/// An entry in an address answer.
#[derive(Debug, Clone, Deserialize)]
pub struct NamedEntry {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub failure_domain: String,
    /// Value of the `pinhaven-home` header for once-only requests to this entry.
    pub home: String,
}

/// Answer that lists the entries to use for a service.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressAnswer {
    /// Time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Entries, nearest first.
    pub entries: Vec<NamedEntry>,
}

struct CachedEntries {
    entries: Vec<NamedEntry>,
    valid_until: Instant,
}

/// Number of the next caller of this process. Idempotency keys contain the number, so callers don't share keys.
static NEXT_CALLER_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A stand-in caller of one service.
pub struct Caller {
    settings: CallerSettings,
    name: String,
    cached: Mutex<CachedEntries>,
    /// Addresses of entries to resolve the service with: the seeds and the entries of earlier answers.
    known_addresses: Mutex<Vec<SocketAddr>>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    repeatable: Mutex<Class>,
    once: Mutex<Class>,
    once_run_states: Mutex<BTreeMap<String, String>>,
}

impl Caller {
    /// Creates a caller that knows only the seeds.
    pub fn new(settings: CallerSettings) -> Arc<Self> {
        let number = NEXT_CALLER_NUMBER.fetch_add(1, Ordering::Relaxed);
        Arc::new(Self {
            known_addresses: Mutex::new(settings.seeds.clone()),
            settings,
            name: format!("{}-{number}", std::process::id()),
            cached: Mutex::new(CachedEntries {
                entries: Vec::new(),
                valid_until: Instant::now(),
            }),
            clients: Mutex::new(HashMap::new()),
            repeatable: Mutex::new(Class::new()),
            once: Mutex::new(Class::new()),
            once_run_states: Mutex::new(BTreeMap::new()),
        })
    }

    /// Sends all requests, waits for their outcomes and returns the report.
    pub async fn run(self: Arc<Self>) -> CallerReport {
        let mut random = fastrand::Rng::with_seed(self.settings.seed);
        let started_at = Instant::now();
        let duration = Duration::from_millis(self.settings.duration_ms);
        let warm_up = Duration::from_millis(self.settings.warm_up_ms);
        let mut due = Duration::ZERO;
        let mut number: u64 = 0;
        let mut pending = Vec::new();
        while due < duration {
            let interval_s = -(1.0 - random.f64()).ln() / self.settings.rate_per_s;
            due += Duration::from_secs_f64(interval_s);
            let due_at = started_at + due;
            if due_at > Instant::now() {
                async_io::Timer::at(due_at).await;
            }
            number += 1;
            let is_once = random.u8(0..100) < self.settings.once_percent;
            let caller = Arc::clone(&self);
            let request_seed = random.u64(..);
            let is_counted = due >= warm_up;
            pending.push(spawn(async move {
                caller
                    .run_request(number, is_once, due_at, request_seed, is_counted)
                    .await;
            }));
        }
        for request in pending {
            request.await;
        }
        self.report()
    }

    fn report(&self) -> CallerReport {
        let take_class = |class: &Mutex<Class>| std::mem::replace(&mut *class.lock(), Class::new());
        CallerReport {
            repeatable: take_class(&self.repeatable).into_report(),
            once: take_class(&self.once).into_report(),
            once_said: self.once_run_states.lock().clone(),
        }
    }

    async fn run_request(
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
        for _ in 0..ATTEMPTS_MAX {
            let Some(address) = self.pick_entry(random).await.map(|entry| entry.address) else {
                return Outcome::Unreachable;
            };
            match self.client(address).call(request.clone()).await {
                Ok(response) => return classify_response(&response, &marker, &Bytes::new()),
                Err(error) => {
                    self.remove_cached_entry(address);
                    outcome = outcome_of_error(&error);
                }
            }
        }
        outcome
    }

    /// Sends a once-only request, and sends it again with the same key and home while its outcome is unknown.
    async fn once_request(&self, number: u64, random: &mut fastrand::Rng) -> Outcome {
        let marker = format!("o{}-{number}", self.name);
        let body: Vec<u8> = (0..self.settings.body_bytes)
            .map(|_| random.u8(b'a'..=b'z'))
            .collect();
        let body = Bytes::from(body);
        let mut home: Option<String> = None;
        let mut outcome = Outcome::Unreachable;
        for attempt in 0..ONCE_ATTEMPTS_MAX {
            let Some(entry) = self.pick_entry(random).await else {
                sleep_ms(ONCE_RETRY_DELAY_MS).await;
                continue;
            };
            // The home stays the same in all attempts: a different home would make a different request.
            let home = home.get_or_insert(entry.home.clone());
            let named = self.settings.names_home.then_some(home.as_str());
            let mut request = self.request(Method::POST, "/orders", &marker, body.clone(), named);
            request
                .headers_mut()
                .insert("pinhaven-sending", (attempt as u32 + 1).into());
            match self.client(entry.address).call(request).await {
                Ok(response) => {
                    outcome = classify_response(&response, &marker, &body);
                    let is_in_flight = response.status() == StatusCode::CONFLICT
                        && header_text(response.headers(), "pinhaven-run") == "unknown";
                    if !is_in_flight {
                        break;
                    }
                }
                Err(error) => {
                    self.remove_cached_entry(entry.address);
                    let is_first = attempt == 0 && error.is_not_sent();
                    if is_first {
                        // The request wasn't sent, so a different home may be chosen.
                        home.clear();
                    }
                    outcome = outcome_of_error(&error);
                }
            }
            if home.is_empty() {
                return Box::pin(self.once_request(number, random)).await;
            }
            sleep_ms(ONCE_RETRY_DELAY_MS).await;
        }
        self.record_run_state(&marker, &outcome);
        outcome
    }

    fn record_run_state(&self, key: &str, outcome: &Outcome) {
        let run_state = match outcome {
            Outcome::Answered | Outcome::Wrong => "run",
            Outcome::Refused { run, .. } => run,
            Outcome::Unreachable | Outcome::Cut | Outcome::Silent => "unknown",
        };
        self.once_run_states
            .lock()
            .insert(key.to_owned(), run_state.to_owned());
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

    /// Picks a random entry of the cached answer, or a random direct target.
    async fn pick_entry(&self, random: &mut fastrand::Rng) -> Option<NamedEntry> {
        if !self.settings.direct.is_empty() {
            let index = random.usize(..self.settings.direct.len());
            return Some(NamedEntry {
                address: self.settings.direct[index],
                failure_domain: String::new(),
                home: String::new(),
            });
        }
        self.refresh_cached_entries(random).await;
        let cached = self.cached.lock();
        if cached.entries.is_empty() {
            return None;
        }
        let index = random.usize(..cached.entries.len());
        Some(cached.entries[index].clone())
    }

    async fn refresh_cached_entries(&self, random: &mut fastrand::Rng) {
        {
            let mut cached = self.cached.lock();
            if Instant::now() < cached.valid_until && !cached.entries.is_empty() {
                return;
            }
            // Concurrent requests use the old answer during the refresh.
            cached.valid_until = Instant::now() + Duration::from_millis(DEADLINE_GRACE_MS);
        }
        let mut known_addresses = self.known_addresses.lock().clone();
        random.shuffle(&mut known_addresses);
        for entry in known_addresses {
            if let Some(answer) = self.fetch_entries(entry).await {
                self.add_known_addresses(&answer);
                let keep = Duration::from_millis(answer.keep_ms);
                *self.cached.lock() = CachedEntries {
                    entries: answer.entries,
                    valid_until: Instant::now() + keep,
                };
                return;
            }
        }
    }

    /// Adds the answer's entries at the front of the known addresses and drops the oldest above the maximum.
    fn add_known_addresses(&self, answer: &AddressAnswer) {
        let mut known_addresses = self.known_addresses.lock();
        for entry in &answer.entries {
            known_addresses.retain(|address| *address != entry.address);
            known_addresses.insert(0, entry.address);
        }
        known_addresses.truncate(KNOWN_ADDRESSES_MAX);
    }

    /// Fetches the entries to use for the service from `entry`.
    pub async fn fetch_entries(&self, entry: SocketAddr) -> Option<AddressAnswer> {
        let uri = format!(
            "/.well-known/pinhaven/entries?service={}&domain={}",
            self.settings.service, self.settings.domain
        );
        let request = Request::get(uri).body(Bytes::new()).ok()?;
        let response = self.client(entry).call(request).await.ok()?;
        serde_json::from_slice(response.body()).ok()
    }

    /// Removes an entry from the cached answer after a failed call. If no entry is left, the answer expires.
    fn remove_cached_entry(&self, address: SocketAddr) {
        let mut cached = self.cached.lock();
        cached.entries.retain(|entry| entry.address != address);
        if cached.entries.is_empty() {
            cached.valid_until = Instant::now();
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock();
        let client = clients.entry(address).or_insert_with(|| {
            let client = HttpClient::new(address, self.settings.deadline_ms + DEADLINE_GRACE_MS);
            Arc::new(client.with_idle_connections(IDLE_CONNECTIONS_MAX))
        });
        Arc::clone(client)
    }
}

fn header_text<'head>(headers: &'head HeaderMap, name: &str) -> &'head str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Classifies a response: the complete answer to the request, a wrong answer or a refusal.
fn classify_response(response: &Response<Bytes>, marker: &str, body: &Bytes) -> Outcome {
    use sha2::Digest as _;
    let headers = response.headers();
    if header_text(headers, "content-type") == "application/problem+json" {
        let problem: serde_json::Value =
            serde_json::from_slice(response.body()).unwrap_or_default();
        return Outcome::Refused {
            reason: problem["title"].as_str().unwrap_or("none").to_owned(),
            run: header_text(headers, "pinhaven-run").to_owned(),
            has_retry_after: headers.contains_key("retry-after"),
        };
    }
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        return Outcome::Refused {
            reason: format!("target_{status}"),
            run: header_text(headers, "pinhaven-run").to_owned(),
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

fn outcome_of_error(error: &CallError) -> Outcome {
    match error.step {
        CallStep::Connect => Outcome::Unreachable,
        CallStep::Receive => Outcome::Cut,
        CallStep::Send | CallStep::Deadline => Outcome::Silent,
    }
}
