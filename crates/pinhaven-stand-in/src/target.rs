//! A stand-in target with slots, a queue, log-normal service times and injected faults.
//!
//! A target processes as many requests concurrently as it has slots; further requests wait for a slot. A timer stands
//! for the processing, so that many targets fit on one machine. Answers to requests and probes carry a load report in
//! the `endpoint-load-metrics` header (JSON form). A probe, `GET /load`, also returns the load report as its body and
//! occupies a slot for its service time. `PUT /faults` configures the faults; `GET /counts` and `GET /runs` return
//! statistics.

use crate::answer;
use crate::json_answer;
use crate::read_body;
use bytes::Bytes;
use event_listener::Event;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::spawn;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of idempotency keys whose executions a target counts for tests.
const RUNS_MAX: usize = 1_000_000;

/// Settings of a target.
#[derive(Debug, Clone, Copy)]
pub struct TargetSettings {
    /// Number of requests that the target processes concurrently.
    pub slots: usize,
    /// Mean service time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation of the service time's logarithm.
    pub sigma: f64,
    /// Service time of a probe, in milliseconds.
    pub probe_ms: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Faults injected by a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Factor by which service times are multiplied.
    pub slow_factor: f64,
    /// Share of requests that fail with status 500 as soon as they get a slot, in percent.
    pub fail_percent: u8,
    /// Whether the target is leaving: its load report says so, and it answers new requests with 503.
    pub draining: bool,
    /// Maximum number of waiting requests; further requests are shed with 503.
    pub queue_most: usize,
    /// Share of answers whose body is truncated, in percent.
    pub cut_percent: u8,
    /// Share of answers that carry the id and marker of another request, in percent.
    pub crossed_percent: u8,
    /// Whether the load report always describes an idle target.
    pub lying: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            fail_percent: 0,
            draining: false,
            queue_most: 1_000,
            cut_percent: 0,
            crossed_percent: 0,
            lying: false,
        }
    }
}

/// Statistics of a target.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Requests whose processing started.
    pub started: u64,
    /// Requests and probes that finished.
    pub finished: u64,
    /// Requests shed because the target was draining or its queue was full.
    pub refused: u64,
    /// Requests and probes that ended early: the caller left, the deadline passed in the queue or the body was cut.
    pub cancelled: u64,
    /// Probes answered.
    pub probes: u64,
    /// Accepted connections; not counted, always 0.
    pub connections: u64,
    /// Arrival times of probes, in milliseconds since the start of the target.
    pub probe_times_ms: Vec<u64>,
    /// Requests that arrived while draining.
    pub arrived_draining: u64,
    /// Time from the start of draining to the last arrival of a request, in milliseconds.
    pub last_arrival_draining_ms: u64,
}

#[derive(Default)]
struct TargetState {
    running: usize,
    waiting: usize,
    faults: TargetFaults,
    counts: TargetCounts,
    runs: HashMap<String, u32>,
    random: fastrand::Rng,
    drain_started_at: Option<Instant>,
}

struct Target {
    settings: TargetSettings,
    state: Mutex<TargetState>,
    slot_freed: Event,
    started: Instant,
}

/// A running stand-in target.
pub struct RunningTarget {
    address: SocketAddr,
}

impl RunningTarget {
    /// Starts a target in this process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if binding to the address fails.
    pub fn start(address: SocketAddr, settings: TargetSettings) -> std::io::Result<Self> {
        let server_settings = HttpServerSettings {
            idle_ms: 300_000,
            connections_max: 1_000,
            allows_http2: true,
        };
        let server = HttpServer::bind(address, server_settings)?;
        let address = server.local_address();
        let target = Arc::new(Target {
            settings,
            state: Mutex::new(TargetState {
                random: fastrand::Rng::with_seed(settings.seed),
                ..TargetState::default()
            }),
            slot_freed: Event::new(),
            started: Instant::now(),
        });
        spawn(async move {
            let handler = move |request| {
                let target = Arc::clone(&target);
                async move { target.handle(request).await }
            };
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

/// Frees a request's slot, or its position in the queue, when dropped.
struct SlotGuard<'target> {
    target: &'target Target,
    is_running: bool,
    is_finished: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.target.state.lock();
        if self.is_running {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
        if self.is_finished {
            state.counts.finished += 1;
        } else {
            state.counts.cancelled += 1;
        }
        drop(state);
        self.target.slot_freed.notify(1);
    }
}

impl Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnyBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::PUT, "/faults") => return self.set_faults(body).await,
            (&Method::GET, "/counts") => return json_answer(&self.state.lock().counts),
            (&Method::GET, "/runs") => return json_answer(&self.state.lock().runs),
            (&Method::GET, "/load") => return self.probe().await,
            _ => {}
        }
        let id = head.headers.get("x-request-id").cloned();
        let mut response = self.process(&head.headers, body).await;
        if let Some(id) = id {
            response.headers_mut().entry("x-request-id").or_insert(id);
        }
        response
    }

    async fn process(&self, headers: &HeaderMap, body: Incoming) -> Response<AnyBody> {
        if let Some(response) = self.refuse_if_full() {
            return response;
        }
        let Some(mut slot_guard) = self.acquire_slot(headers).await else {
            return self.with_load_report(answer(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline passed in queue",
            ));
        };
        let Some(body) = read_body(body).await else {
            return answer(StatusCode::BAD_REQUEST, "the body was cut");
        };
        let plan = self.start_run(headers);
        if plan.fails {
            slot_guard.is_finished = true;
            drop(slot_guard);
            return self.with_load_report(answer(StatusCode::INTERNAL_SERVER_ERROR, "fault"));
        }
        async_io::Timer::after(plan.time).await;
        slot_guard.is_finished = true;
        drop(slot_guard);
        self.with_load_report(respond(headers, &body, &plan))
    }

    async fn set_faults(&self, body: Incoming) -> Response<AnyBody> {
        let Some(body) = read_body(body).await else {
            return answer(StatusCode::BAD_REQUEST, "the body was cut");
        };
        match serde_json::from_slice::<TargetFaults>(&body) {
            Ok(faults) => {
                let mut state = self.state.lock();
                state.drain_started_at = faults.draining.then(Instant::now);
                state.faults = faults;
                answer(StatusCode::OK, "")
            }
            Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn refuse_if_full(&self) -> Option<Response<AnyBody>> {
        let mut state = self.state.lock();
        if let Some(started_at) = state.drain_started_at {
            state.counts.arrived_draining += 1;
            state.counts.last_arrival_draining_ms = started_at.elapsed().as_millis() as u64;
        }
        if state.faults.draining || state.waiting >= state.faults.queue_most {
            state.counts.refused += 1;
            drop(state);
            return Some(self.with_load_report(answer(StatusCode::SERVICE_UNAVAILABLE, "shed")));
        }
        state.waiting += 1;
        None
    }

    /// Waits for a slot; `None` if the request's deadline passes first.
    async fn acquire_slot(&self, headers: &HeaderMap) -> Option<SlotGuard<'_>> {
        let mut slot_guard = SlotGuard {
            target: self,
            is_running: false,
            is_finished: false,
        };
        let deadline = deadline_of(headers).map(|time| Instant::now() + time);
        loop {
            let freed = self.slot_freed.listen();
            {
                let mut state = self.state.lock();
                if state.running < self.settings.slots {
                    state.waiting -= 1;
                    state.running += 1;
                    slot_guard.is_running = true;
                    return Some(slot_guard);
                }
            }
            match deadline {
                None => freed.await,
                Some(deadline) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    pinhaven_runtime::within(left, freed).await?;
                }
            }
        }
    }

    fn start_run(&self, headers: &HeaderMap) -> RunPlan {
        let mut state = self.state.lock();
        state.counts.started += 1;
        if let Some(key) = headers
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
            && state.runs.len() < RUNS_MAX
        {
            *state.runs.entry(key.to_owned()).or_default() += 1;
        }
        let faults = state.faults.clone();
        let mut percent = || state.random.u8(0..100);
        RunPlan {
            fails: percent() < faults.fail_percent,
            is_cut: percent() < faults.cut_percent,
            is_crossed: percent() < faults.crossed_percent,
            time: self.draw_service_time(&mut state.random, faults.slow_factor),
        }
    }

    /// Draws a log-normal service time with the mean of the settings.
    fn draw_service_time(&self, random: &mut fastrand::Rng, slow_factor: f64) -> Duration {
        let sigma = self.settings.sigma;
        let normal = (-2.0 * (1.0 - random.f64()).ln()).sqrt()
            * (std::f64::consts::TAU * random.f64()).cos();
        let median_ms = self.settings.mean_ms / (sigma * sigma / 2.0).exp();
        let time_ms = median_ms * (sigma * normal).exp() * slow_factor;
        Duration::from_secs_f64(time_ms / 1_000.0)
    }

    async fn probe(&self) -> Response<AnyBody> {
        {
            let mut state = self.state.lock();
            state.waiting += 1;
            let time_ms = self.started.elapsed().as_millis() as u64;
            state.counts.probe_times_ms.push(time_ms);
        }
        let Some(mut slot_guard) = self.acquire_slot(&HeaderMap::new()).await else {
            return answer(StatusCode::GATEWAY_TIMEOUT, "");
        };
        let time_ms = self.settings.probe_ms * self.state.lock().faults.slow_factor;
        async_io::Timer::after(Duration::from_secs_f64(time_ms / 1_000.0)).await;
        self.state.lock().counts.probes += 1;
        slot_guard.is_finished = true;
        drop(slot_guard);
        self.with_load_report(answer(StatusCode::OK, self.load_report()))
    }

    fn load_report(&self) -> String {
        let state = self.state.lock();
        let (running, waiting) = if state.faults.lying {
            (0, 0)
        } else {
            (state.running, state.waiting)
        };
        let utilization = running as f64 / self.settings.slots as f64;
        format!(
            "{{\"application_utilization\":{utilization:.3},\"named_metrics\":{{\
             \"requests_running\":{running},\"requests_waiting\":{waiting},\"draining\":{}}}}}",
            u8::from(state.faults.draining)
        )
    }

    fn with_load_report(&self, mut response: Response<AnyBody>) -> Response<AnyBody> {
        if let Ok(value) = HeaderValue::from_str(&format!("JSON {}", self.load_report())) {
            response
                .headers_mut()
                .insert("endpoint-load-metrics", value);
        }
        response
    }
}

/// Planned outcome of one request.
struct RunPlan {
    fails: bool,
    is_cut: bool,
    is_crossed: bool,
    time: Duration,
}

fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("pinhaven-deadline-ms")?.to_str().ok()?;
    Some(Duration::from_millis(text.parse().ok()?))
}

/// Builds the answer: the request's marker, and the length and SHA-256 digest of its body.
fn respond(headers: &HeaderMap, body: &Bytes, plan: &RunPlan) -> Response<AnyBody> {
    use sha2::Digest as _;
    let own = headers
        .get("x-marker")
        .and_then(|marker| marker.to_str().ok())
        .unwrap_or("none");
    let marker = if plan.is_crossed { "another" } else { own };
    let digest = hex::encode(sha2::Sha256::digest(body));
    let text = format!("{marker} {} {digest}\n", body.len());
    let mut response = if plan.is_cut {
        let part = text[..text.len() / 2].to_owned();
        let mut response = Response::new(truncated_body(part));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, text.len().into());
        response
    } else {
        answer(StatusCode::OK, text)
    };
    if plan.is_crossed {
        let id = HeaderValue::from_static("another-request");
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// Builds a body that fails after `part`.
fn truncated_body(part: String) -> AnyBody {
    use futures_util::stream;
    use http_body::Frame;
    use http_body_util::BodyExt as _;
    use http_body_util::StreamBody;
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from(part))),
        Err("target aborted the answer".into()),
    ]);
    StreamBody::new(frames).boxed_unsync()
}
