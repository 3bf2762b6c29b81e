//! A stand-in target: slots, a queue, a service time with a heavy tail, and faults.
//!
//! A target works on as many requests at a time as it has slots; others wait in order of arrival. The
//! work is a timer, so that many targets fit one machine. Every answer carries a load report in the
//! published `endpoint-load-metrics` header (JSON form), and `GET /load` gives the same as a probe,
//! which takes a slot for its time.

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

/// Runs that a target remembers, so that tests can count them by key.
const RUNS_REMEMBERED: usize = 1_000_000;

/// What a target is like.
#[derive(Debug, Clone, Copy)]
pub struct TargetSettings {
    /// Requests worked on at a time.
    pub slots: usize,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Spread of the log-normal service time.
    pub sigma: f64,
    /// Time of a probe, in milliseconds.
    pub probe_ms: f64,
    /// Seed of its randomness.
    pub seed: u64,
}

/// What goes wrong at a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Requests take this many times longer.
    pub slow_factor: f64,
    /// Share of requests that fail at once with 500, in percent.
    pub fail_percent: u8,
    /// The target is leaving: it says so and answers new requests with 503.
    pub draining: bool,
    /// New requests past this many waiting are shed with 503.
    pub queue_most: usize,
    /// Share of answers that are cut in the middle, in percent.
    pub cut_percent: u8,
    /// Share of answers that carry the id of another request, in percent.
    pub crossed_percent: u8,
    /// The load report says that the target is idle, whatever it does.
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

/// What a target has done.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Requests that were begun.
    pub started: u64,
    /// Requests that were finished.
    pub finished: u64,
    /// Requests shed or refused.
    pub refused: u64,
    /// Requests whose caller left before they were finished.
    pub cancelled: u64,
    /// Probes answered.
    pub probes: u64,
    /// Connections taken.
    pub connections: u64,
    /// When probes arrived, in milliseconds since the target started.
    pub probe_times_ms: Vec<u64>,
    /// Requests begun since the target was told to drain.
    pub arrived_draining: u64,
    /// Time of the last request that arrived while draining, after the drain began, in milliseconds.
    pub last_arrival_draining_ms: u64,
}

#[derive(Default)]
struct Work {
    running: usize,
    waiting: usize,
    faults: TargetFaults,
    counts: TargetCounts,
    runs: HashMap<String, u32>,
    random: fastrand::Rng,
    drain_began: Option<Instant>,
}

struct Target {
    settings: TargetSettings,
    work: Mutex<Work>,
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
    /// The system's error when the address can't be had.
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
            work: Mutex::new(Work {
                random: fastrand::Rng::with_seed(settings.seed),
                ..Work::default()
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Frees a slot, or the place in the queue, when the work ends in any way.
struct Place<'target> {
    target: &'target Target,
    is_running: bool,
    is_finished: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut work = self.target.work.lock();
        if self.is_running {
            work.running -= 1;
        } else {
            work.waiting -= 1;
        }
        if self.is_finished {
            work.counts.finished += 1;
        } else {
            work.counts.cancelled += 1;
        }
        drop(work);
        self.target.slot_freed.notify(1);
    }
}

impl Target {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnyBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::PUT, "/faults") => return self.set_faults(body).await,
            (&Method::GET, "/counts") => return json_answer(&self.work.lock().counts),
            (&Method::GET, "/runs") => return json_answer(&self.work.lock().runs),
            (&Method::GET, "/load") => return self.probe().await,
            _ => {}
        }
        let id = head.headers.get("x-request-id").cloned();
        let mut response = self.work_on(&head.headers, body).await;
        if let Some(id) = id {
            response.headers_mut().entry("x-request-id").or_insert(id);
        }
        response
    }

    async fn work_on(&self, headers: &HeaderMap, body: Incoming) -> Response<AnyBody> {
        if let Some(response) = self.refuse_if_full() {
            return response;
        }
        let Some(mut place) = self.take_slot(headers).await else {
            return self.reported(answer(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline passed in queue",
            ));
        };
        let Some(body) = read_body(body).await else {
            return answer(StatusCode::BAD_REQUEST, "the body was cut");
        };
        let fate = self.begin_run(headers);
        if fate.fails {
            place.is_finished = true;
            drop(place);
            return self.reported(answer(StatusCode::INTERNAL_SERVER_ERROR, "fault"));
        }
        async_io::Timer::after(fate.time).await;
        place.is_finished = true;
        drop(place);
        self.reported(respond(headers, &body, &fate))
    }

    async fn set_faults(&self, body: Incoming) -> Response<AnyBody> {
        let Some(body) = read_body(body).await else {
            return answer(StatusCode::BAD_REQUEST, "the body was cut");
        };
        match serde_json::from_slice::<TargetFaults>(&body) {
            Ok(faults) => {
                let mut work = self.work.lock();
                work.drain_began = faults.draining.then(Instant::now);
                work.faults = faults;
                answer(StatusCode::OK, "")
            }
            Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn refuse_if_full(&self) -> Option<Response<AnyBody>> {
        let mut work = self.work.lock();
        if let Some(began) = work.drain_began {
            work.counts.arrived_draining += 1;
            work.counts.last_arrival_draining_ms = began.elapsed().as_millis() as u64;
        }
        if work.faults.draining || work.waiting >= work.faults.queue_most {
            work.counts.refused += 1;
            drop(work);
            return Some(self.reported(answer(StatusCode::SERVICE_UNAVAILABLE, "shed")));
        }
        work.waiting += 1;
        None
    }

    /// Waits for a slot; `None` when the request's deadline passes first.
    async fn take_slot(&self, headers: &HeaderMap) -> Option<Place<'_>> {
        let mut place = Place {
            target: self,
            is_running: false,
            is_finished: false,
        };
        let deadline = deadline_of(headers).map(|time| Instant::now() + time);
        loop {
            let freed = self.slot_freed.listen();
            {
                let mut work = self.work.lock();
                if work.running < self.settings.slots {
                    work.waiting -= 1;
                    work.running += 1;
                    place.is_running = true;
                    return Some(place);
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

    fn begin_run(&self, headers: &HeaderMap) -> Fate {
        let mut work = self.work.lock();
        work.counts.started += 1;
        if let Some(key) = headers
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
            && work.runs.len() < RUNS_REMEMBERED
        {
            *work.runs.entry(key.to_owned()).or_default() += 1;
        }
        let faults = work.faults.clone();
        let mut percent = || work.random.u8(0..100);
        Fate {
            fails: percent() < faults.fail_percent,
            cut: percent() < faults.cut_percent,
            crossed: percent() < faults.crossed_percent,
            time: self.draw_time(&mut work.random, faults.slow_factor),
        }
    }

    /// A log-normal time with the settings' mean.
    fn draw_time(&self, random: &mut fastrand::Rng, slow_factor: f64) -> Duration {
        let sigma = self.settings.sigma;
        let normal = (-2.0 * (1.0 - random.f64()).ln()).sqrt()
            * (std::f64::consts::TAU * random.f64()).cos();
        let median_ms = self.settings.mean_ms / (sigma * sigma / 2.0).exp();
        let time_ms = median_ms * (sigma * normal).exp() * slow_factor;
        Duration::from_secs_f64(time_ms / 1_000.0)
    }

    async fn probe(&self) -> Response<AnyBody> {
        {
            let mut work = self.work.lock();
            work.waiting += 1;
            let time_ms = self.started.elapsed().as_millis() as u64;
            work.counts.probe_times_ms.push(time_ms);
        }
        let Some(mut place) = self.take_slot(&HeaderMap::new()).await else {
            return answer(StatusCode::GATEWAY_TIMEOUT, "");
        };
        let time_ms = self.settings.probe_ms * self.work.lock().faults.slow_factor;
        async_io::Timer::after(Duration::from_secs_f64(time_ms / 1_000.0)).await;
        self.work.lock().counts.probes += 1;
        place.is_finished = true;
        drop(place);
        self.reported(answer(StatusCode::OK, self.report()))
    }

    fn report(&self) -> String {
        let work = self.work.lock();
        let (running, waiting) = if work.faults.lying {
            (0, 0)
        } else {
            (work.running, work.waiting)
        };
        let utilization = running as f64 / self.settings.slots as f64;
        format!(
            "{{\"application_utilization\":{utilization:.3},\"named_metrics\":{{\
             \"requests_running\":{running},\"requests_waiting\":{waiting},\"draining\":{}}}}}",
            u8::from(work.faults.draining)
        )
    }

    fn reported(&self, mut response: Response<AnyBody>) -> Response<AnyBody> {
        if let Ok(value) = HeaderValue::from_str(&format!("JSON {}", self.report())) {
            response
                .headers_mut()
                .insert("endpoint-load-metrics", value);
        }
        response
    }
}

/// What will become of a run.
struct Fate {
    fails: bool,
    cut: bool,
    crossed: bool,
    time: Duration,
}

fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("pinhaven-deadline-ms")?.to_str().ok()?;
    Some(Duration::from_millis(text.parse().ok()?))
}

/// The answer: the request's marker and the length and digest of its body.
fn respond(headers: &HeaderMap, body: &Bytes, fate: &Fate) -> Response<AnyBody> {
    use sha2::Digest as _;
    let own = headers
        .get("x-marker")
        .and_then(|marker| marker.to_str().ok())
        .unwrap_or("none");
    let marker = if fate.crossed { "another" } else { own };
    let digest = hex::encode(sha2::Sha256::digest(body));
    let text = format!("{marker} {} {digest}\n", body.len());
    let mut response = if fate.cut {
        let cut = text[..text.len() / 2].to_owned();
        let mut response = Response::new(cut_body(cut));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, text.len().into());
        response
    } else {
        answer(StatusCode::OK, text)
    };
    if fate.crossed {
        let id = HeaderValue::from_static("another-request");
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// A body that breaks after its first part.
fn cut_body(part: String) -> AnyBody {
    use futures_util::stream;
    use http_body::Frame;
    use http_body_util::BodyExt as _;
    use http_body_util::StreamBody;
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from(part))),
        Err("the target broke off".into()),
    ]);
    StreamBody::new(frames).boxed_unsync()
}
