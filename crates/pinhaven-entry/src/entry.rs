//! What all parts of an entry share.

use crate::capacity::capacity_of;
use crate::clock::Clock;
use crate::crashes::watch::CrashWatch;
use crate::once_only::claim_rate::ClaimRate;
use crate::peers::news_message::PeerCounts;
use crate::targets::leaving_targets::LeavingTargets;
use crate::targets::reported_leaves::ReportedLeaves;
use crate::targets::restarts::Restarts;
use crate::versions::snapshot::Snapshot;
use crate::versions::store_pace;
use crate::watch::counters::Count;
use crate::watch::counters::Counters;
use crate::watch::latencies::Latencies;
use crate::wire::dialect::Dialect;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use pinhaven_agree::Home;
use pinhaven_agree::KnownTargets;
use pinhaven_agree::Ledger;
use pinhaven_agree::LedgerLimits;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::Packages;
use pinhaven_agree::RecentDeltas;
use pinhaven_agree::SeatKeeper;
use pinhaven_agree::StoreLag;
use pinhaven_agree::TransferBudget;
use pinhaven_agree::VersionFetch;
use pinhaven_agree::VersionInForce;
use pinhaven_agree::VersionLag;
use pinhaven_peer::PeerClients;
use pinhaven_platform::Discovery;
use pinhaven_platform::ForeignRow;
use pinhaven_platform::HttpObjectStore;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::PlatformError;
use pinhaven_record::Recorder;
use pinhaven_settings::Settings;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The largest answer that is kept for a repeated key, in bytes.
const STORED_ANSWER_BYTES_MAX: usize = 64 * 1024;
/// All kept answers together, in bytes.
const STORED_ANSWERS_BYTES_MAX: usize = 32 * 1024 * 1024;
/// A member is silent after this many exchanges' time.
const SILENT_AFTER_EXCHANGES: u64 = 8;

/// What an entry meets outside: how callers and targets speak, and where it finds its configuration,
/// its targets and its peers if that is a store.
pub struct EntryEnvironment {
    /// How callers and targets speak.
    pub dialect: Arc<dyn Dialect>,
    /// The store that holds everything, unless the table service and signed bundles are used.
    pub discovery: Option<Arc<dyn Discovery>>,
    /// Where decisions are recorded; nowhere without it.
    pub recorder: Option<Recorder>,
    /// Reads the settings again when they are said to have changed.
    pub reread: Option<Reread>,
}

/// Reads the settings again; the error says what is wrong with them.
pub type Reread = Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>;

impl EntryEnvironment {
    /// The same with a recorder.
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// The same with a way to read the settings again.
    pub fn with_reread(mut self, reread: Reread) -> Self {
        self.reread = Some(reread);
        self
    }
}

impl Default for EntryEnvironment {
    fn default() -> Self {
        Self {
            dialect: Arc::new(crate::wire::dialect::OwnDialect),
            discovery: None,
            recorder: None,
            reread: None,
        }
    }
}

/// An entry instance.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) discovery: Option<Arc<dyn Discovery>>,
    pub(crate) recorder: Option<Recorder>,
    pub(crate) reread: Option<Reread>,
    /// Peers to ask while none is known; they may change while the entry runs.
    pub(crate) peer_seeds: ArcSwap<Vec<SocketAddr>>,
    pub(crate) targets: Mutex<KnownTargets>,
    pub(crate) restarts: Restarts,
    /// Which requests were under way when targets crashed.
    pub(crate) crashes: CrashWatch,
    pub(crate) peer_counts: Mutex<PeerCounts>,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) version: Mutex<VersionInForce>,
    /// Which versions this entry knows to exist, and why it lacks the newest.
    pub(crate) version_lag: Mutex<VersionLag>,
    /// What has come of a newer version.
    pub(crate) version_fetch: Mutex<VersionFetch>,
    pub(crate) recent_deltas: Mutex<RecentDeltas>,
    /// Packages that peers are taking.
    pub(crate) packages: Mutex<Packages>,
    pub(crate) giving: Mutex<TransferBudget>,
    pub(crate) adopting: Mutex<()>,
    pub(crate) is_fetching: AtomicBool,
    pub(crate) is_fetching_list: AtomicBool,
    pub(crate) store_answers: AtomicBool,
    /// Notified when the call that waits for a new configuration may never hear anything.
    pub(crate) follow_anew: event_listener::Event,
    /// What the store has brought, against what peers have.
    pub(crate) store_lag: Mutex<StoreLag>,
    /// Age of this process from which it may ask the store.
    pub(crate) asks_store_from: Microseconds,
    /// How long callers' connections may be idle, in milliseconds.
    pub(crate) caller_idle_ms: Arc<AtomicU64>,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) members: Mutex<Membership>,
    pub(crate) seats: Mutex<SeatKeeper>,
    pub(crate) leaving: Mutex<LeavingTargets>,
    /// Targets that told this entry themselves that they leave, for the others.
    pub(crate) heard_leaves: Mutex<ReportedLeaves>,
    pub(crate) unknown_members: Mutex<BTreeSet<Incarnation>>,
    pub(crate) news: event_listener::Event,
    /// Whether this entry has known all that it needs to serve.
    pub(crate) is_ready: AtomicBool,
    /// Notified when it does.
    pub(crate) became_ready: event_listener::Event,
    /// Set and notified when requests under way must have their final answers.
    pub(crate) ending: Ending,
    pub(crate) table: HttpTableService,
    pub(crate) objects: HttpObjectStore,
    pub(crate) peers: PeerClients,
    pub(crate) counters: Counters,
    pub(crate) request_times: Latencies,
    pub(crate) attempt_times: Latencies,
    pub(crate) claim_slots: ClaimRate,
    in_flight: AtomicU32,
    body_bytes: AtomicU64,
    next_request: AtomicU64,
}

impl Entry {
    /// An entry that listens at these addresses and knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        environment: EntryEnvironment,
        caller_address: SocketAddr,
        caller_idle_ms: Arc<AtomicU64>,
        peer_address: SocketAddr,
    ) -> Arc<Self> {
        let incarnation = Incarnation::random();
        let limits = LedgerLimits {
            records_max: settings.ledger_records,
            answer_bytes_max: STORED_ANSWER_BYTES_MAX,
            all_answer_bytes_max: STORED_ANSWERS_BYTES_MAX,
        };
        let row = MemberRow {
            incarnation,
            instance_id: settings.instance_id.clone(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            capacity: capacity_of(&settings.resources),
            demand: RequestRate::ZERO,
            caller_address,
            peer_address,
            state: MemberState::Starting,
            heartbeat: 1,
            version: BundleVersion::NONE,
            epoch: 1,
        };
        let silent_after = Microseconds::from_ms(settings.gossip_ms * SILENT_AFTER_EXCHANGES);
        let timeout_ms = settings.platform_timeout_ms;
        Arc::new(Self {
            dialect: environment.dialect,
            discovery: environment.discovery,
            recorder: environment.recorder,
            reread: environment.reread,
            peer_seeds: ArcSwap::from_pointee(settings.peer_seeds.clone()),
            targets: Mutex::new(KnownTargets::new()),
            restarts: Restarts::default(),
            crashes: CrashWatch::default(),
            peer_counts: Mutex::new(PeerCounts::default()),
            incarnation,
            clock: Clock::new(),
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            version: Mutex::new(VersionInForce::new()),
            version_lag: Mutex::default(),
            version_fetch: Mutex::default(),
            recent_deltas: Mutex::new(RecentDeltas::default()),
            packages: Mutex::default(),
            giving: Mutex::new(TransferBudget::new(settings.resources.link_mbps)),
            adopting: Mutex::new(()),
            is_fetching: AtomicBool::new(false),
            is_fetching_list: AtomicBool::new(false),
            store_answers: AtomicBool::new(true),
            follow_anew: event_listener::Event::new(),
            store_lag: Mutex::default(),
            asks_store_from: store_pace::asks_store_from(),
            caller_idle_ms,
            ledger: Mutex::new(Ledger::new(limits)),
            members: Mutex::new(Membership::new(row, silent_after)),
            seats: Mutex::new(SeatKeeper::new(incarnation, 0)),
            leaving: Mutex::new(LeavingTargets::default()),
            heard_leaves: Mutex::default(),
            unknown_members: Mutex::new(BTreeSet::new()),
            news: event_listener::Event::new(),
            is_ready: AtomicBool::new(false),
            became_ready: event_listener::Event::new(),
            ending: Ending::default(),
            table: HttpTableService::new(settings.table_address, timeout_ms),
            objects: HttpObjectStore::new(settings.object_address, timeout_ms),
            peers: PeerClients::new(),
            counters: Counters::new(),
            request_times: Latencies::new("pinhaven_request_ms", "route"),
            attempt_times: Latencies::new("pinhaven_attempt_ms", "target"),
            claim_slots: ClaimRate::new(settings.claim_writes_per_second),
            in_flight: AtomicU32::new(0),
            body_bytes: AtomicU64::new(0),
            next_request: AtomicU64::new(0),
            settings,
        })
    }

    pub(crate) fn now(&self) -> Microseconds {
        self.clock.now()
    }

    /// How often each row of another writer was left out.
    pub(crate) fn foreign_rows(&self) -> BTreeMap<ForeignRow, u64> {
        match &self.discovery {
            Some(store) => store.foreign_rows(),
            None => self.table.foreign_rows(),
        }
    }

    /// Whether once-only requests are remembered by their key. Where each request of a caller has an
    /// id of its own and no key comes, there is nothing to remember.
    pub(crate) fn keeps_once_keys(&self) -> bool {
        self.discovery.is_none()
    }

    pub(crate) fn state(&self) -> MemberState {
        self.members.lock().own().state
    }

    /// This entry as the home of requests that begin now.
    pub(crate) fn home(&self) -> Home {
        Home {
            incarnation: self.incarnation,
            epoch: self.ledger.lock().epoch(),
        }
    }

    /// Requests under way.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Share of the requests that the entry can hold that are under way.
    pub(crate) fn use_share(&self) -> f32 {
        self.in_flight() as f32 / self.settings.requests_most as f32
    }

    /// A number for a request, different from all others of this incarnation.
    pub(crate) fn request_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request in until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Reserves memory for a body; `None` when bodies fill what they may.
    pub(crate) fn reserve_body(self: &Arc<Self>, bytes: u64) -> Option<BodyMemory> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let memory = BodyMemory {
            entry: Arc::clone(self),
            bytes,
        };
        (before + bytes <= self.settings.body_memory_bytes).then_some(memory)
    }

    /// Counts a call to the platform and its failure.
    pub(crate) fn count_platform<T>(
        &self,
        outcome: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.counters.add(Count::PlatformCalls);
        if outcome.is_err() {
            self.counters.add(Count::PlatformFailed);
        }
        self.record_store(outcome.is_ok());
        outcome
    }
}

/// The word that this entry ends.
#[derive(Default)]
pub(crate) struct Ending {
    has_come: AtomicBool,
    event: event_listener::Event,
}

impl Ending {
    /// Gives the word.
    pub(crate) fn announce(&self) {
        self.has_come.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Comes once the word was given.
    pub(crate) async fn wait(&self) {
        let listener = self.event.listen();
        if !self.has_come.load(Ordering::SeqCst) {
            listener.await;
        }
    }
}

/// A request under way.
pub(crate) struct InFlight(Arc<Entry>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory reserved for a body.
pub(crate) struct BodyMemory {
    entry: Arc<Entry>,
    bytes: u64,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.entry
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
