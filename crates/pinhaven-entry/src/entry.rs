//! State shared by all parts of an entry.
//!
//! [`Entry`] is created once per process and shared by the request handlers and the background tasks.

use crate::capacity::capacity_of;
use crate::clock::Clock;
use crate::crashes::watch::CrashWatch;
use crate::once_only::claim_rate::ClaimRate;
use crate::peers::peer_counts::PeerCounts;
use crate::targets::leaving_targets::LeavingTargets;
use crate::targets::restarts::Restarts;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use crate::watch::counters::Counters;
use crate::watch::latencies::Latencies;
use crate::watch::organisations::OrganisationCounters;
use crate::watch::steps::StepTimes;
use crate::wire::dialect::Dialect;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use pinhaven_agree::Home;
use pinhaven_agree::KnownDrains;
use pinhaven_agree::KnownTargets;
use pinhaven_agree::Ledger;
use pinhaven_agree::LedgerLimits;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::Packages;
use pinhaven_agree::RecentDeltas;
use pinhaven_agree::ReportedLeaves;
use pinhaven_agree::SeatKeeper;
use pinhaven_agree::StoreAccess;
use pinhaven_agree::StoreFailures;
use pinhaven_agree::StoreLag;
use pinhaven_agree::TargetReach;
use pinhaven_agree::TransferBudget;
use pinhaven_agree::VersionFetch;
use pinhaven_agree::VersionInForce;
use pinhaven_agree::VersionLag;
use pinhaven_decide::ColdAccess;
use pinhaven_decide::StopPlan;
use pinhaven_limits::OrganisationLimits;
use pinhaven_peer::PeerClients;
use pinhaven_platform::Discovery;
use pinhaven_platform::ForeignRow;
use pinhaven_platform::HttpObjectStore;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::PlatformError;
use pinhaven_platform::StoreCall;
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
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Maximum size of an answer stored for repeated keys, in bytes.
const STORED_ANSWER_BYTES_MAX: usize = 64 * 1024;
/// Maximum total size of the stored answers, in bytes.
const STORED_ANSWERS_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Number of gossip intervals without a heartbeat after which a member counts as silent.
const SILENT_AFTER_EXCHANGES: u64 = 8;
/// Silence after which a member is removed where entries hear of most others through few of them. At several hundred
/// entries, a member that stands by is heard of about every half a minute.
const REMOVE_MEMBER_AFTER: Microseconds = Microseconds::from_ms(120_000);

/// Environment of an entry: the protocol of callers and targets, and the store of the configuration,
/// the targets and the peers, if there is one.
pub struct EntryEnvironment {
    /// Protocol of callers and targets.
    pub dialect: Arc<dyn Dialect>,
    /// Store of the configuration, the targets and the peers; `None` if the entry uses the table
    /// service and signed bundles.
    pub discovery: Option<Arc<dyn Discovery>>,
    /// Recorder of decisions; without a recorder, decisions are not recorded.
    pub recorder: Option<Recorder>,
    /// Reloads the settings on SIGHUP; without a reader, SIGHUP has no effect.
    pub settings_reader: Option<SettingsReader>,
}

/// Function that reloads the settings. The error describes what is invalid in them.
pub type SettingsReader = Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>;

impl EntryEnvironment {
    /// Sets the recorder.
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Sets the function that reloads the settings.
    pub fn with_settings_reader(mut self, settings_reader: SettingsReader) -> Self {
        self.settings_reader = Some(settings_reader);
        self
    }
}

impl Default for EntryEnvironment {
    fn default() -> Self {
        Self {
            dialect: Arc::new(crate::wire::dialect::OwnDialect),
            discovery: None,
            recorder: None,
            settings_reader: None,
        }
    }
}

/// An entry instance.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) discovery: Option<Arc<dyn Discovery>>,
    pub(crate) recorder: Option<Recorder>,
    pub(crate) settings_reader: Option<SettingsReader>,
    /// Addresses to contact while no peer is known; a reload of the settings replaces them.
    pub(crate) peer_seeds: ArcSwap<Vec<SocketAddr>>,
    pub(crate) targets: Mutex<KnownTargets>,
    /// Who may send requests to cold targets, as last decided.
    pub(crate) cold_access: Mutex<ColdAccess>,
    /// Failure domains that operators have drained by orders in the store.
    pub(crate) drains: Mutex<KnownDrains>,
    pub(crate) restarts: Restarts,
    /// Fingerprints of the requests in flight when targets crashed.
    pub(crate) crashes: CrashWatch,
    pub(crate) peer_counts: Mutex<PeerCounts>,
    /// Rate limits of the organisations.
    pub(crate) limits: OrganisationLimits,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) version: Mutex<VersionInForce>,
    /// Versions known to exist, and the reason why the newest is not in force here.
    pub(crate) version_lag: Mutex<VersionLag>,
    /// Received parts of a newer version.
    pub(crate) version_fetch: Mutex<VersionFetch>,
    /// Deltas between recent versions, sent to peers that hold an older version.
    pub(crate) recent_deltas: Mutex<RecentDeltas>,
    /// Cache of the packages that peers are fetching.
    pub(crate) packages: Mutex<Packages>,
    /// Link capacity available for sending versions to peers.
    pub(crate) transfer_budget: Mutex<TransferBudget>,
    /// Serializes the changes of the snapshot.
    pub(crate) adopt_lock: Mutex<()>,
    /// Whether a fetch of a version from peers is in progress.
    pub(crate) is_fetching: AtomicBool,
    /// Whether a fetch of the target list from a peer is in progress.
    pub(crate) is_fetching_list: AtomicBool,
    /// Whether the last call to the store or the platform succeeded.
    pub(crate) store_answers: AtomicBool,
    /// Notified when the pending call for a new configuration may never be answered, so that the call
    /// is replaced by a new one.
    pub(crate) restart_following: event_listener::Event,
    /// Time at which the pending call for a new configuration began, in microseconds; 0 if there is none.
    pub(crate) configuration_call_us: AtomicU64,
    /// Newest version received from the store, compared with the versions that peers have.
    pub(crate) store_lag: Mutex<StoreLag>,
    /// Outcomes of the calls that this entry makes as a store delegate.
    pub(crate) store_failures: Mutex<StoreFailures>,
    /// When this entry may call the store itself.
    pub(crate) store_access: StoreAccess,
    /// Idle timeout of connections from callers, in milliseconds.
    pub(crate) caller_idle_ms: Arc<AtomicU64>,
    pub(crate) ledger: Mutex<Ledger>,
    pub(crate) members: Mutex<Membership>,
    /// Entries that reach the targets of each service.
    pub(crate) reach: Mutex<TargetReach>,
    pub(crate) seats: Mutex<SeatKeeper>,
    pub(crate) leaving: Mutex<LeavingTargets>,
    /// Targets that reported to this entry that they are leaving, to be advertised to peers.
    pub(crate) reported_leaves: Mutex<ReportedLeaves>,
    /// Members that peers advertise and whose row this entry lacks.
    pub(crate) unknown_members: Mutex<BTreeSet<Incarnation>>,
    /// Notified when a change must be sent to peers without waiting for the next exchange.
    pub(crate) urgent_update: event_listener::Event,
    /// Whether this entry has become ready. Remains set when the entry stops.
    pub(crate) is_ready: AtomicBool,
    /// Time at which this entry last served, in microseconds; 0 if it never did.
    pub(crate) served_at_us: AtomicU64,
    /// Notified when this entry becomes ready.
    pub(crate) became_ready: event_listener::Event,
    /// Signals that requests in flight must get their final answer.
    pub(crate) stop_signal: StopSignal,
    /// Times of the planned stop, once it has begun.
    pub(crate) stop_plan: OnceLock<StopPlan>,
    pub(crate) table: HttpTableService,
    pub(crate) objects: HttpObjectStore,
    pub(crate) peers: PeerClients,
    pub(crate) counters: Counters,
    pub(crate) organisation_counters: OrganisationCounters,
    pub(crate) request_times: Latencies,
    pub(crate) attempt_times: Latencies,
    /// How long the entries named in address answers had been silent.
    pub(crate) named_silences: Latencies,
    /// Durations of the steps that delay everything else.
    pub(crate) steps: StepTimes,
    pub(crate) claim_slots: ClaimRate,
    in_flight: AtomicU32,
    body_bytes: AtomicU64,
    next_request: AtomicU64,
}

impl Entry {
    /// An entry that listens at these addresses, without a version in force or known peers.
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
            lacks_store: false,
        };
        // Without seeds there is no one to ask first.
        let is_seed = settings.peer_seeds.is_empty() || settings.peer_seeds.contains(&peer_address);
        let store_access = StoreAccess::new(row.capacity, is_seed, fastrand::f64());
        let silent_after = Microseconds::from_ms(settings.gossip_ms * SILENT_AFTER_EXCHANGES);
        let members =
            Membership::new(row, silent_after).with_near_entries_first(settings.near_entries_first);
        // Only with a store do most entries hear of each other seldom.
        let members = match settings.discovery {
            Some(_) => members.with_removal_after(REMOVE_MEMBER_AFTER),
            None => members,
        };
        let timeout_ms = settings.platform_timeout_ms;
        Arc::new(Self {
            dialect: environment.dialect,
            discovery: environment.discovery,
            recorder: environment.recorder,
            settings_reader: environment.settings_reader,
            peer_seeds: ArcSwap::from_pointee(settings.peer_seeds.clone()),
            targets: Mutex::new(KnownTargets::new()),
            cold_access: Mutex::new(ColdAccess::Closed),
            drains: Mutex::default(),
            restarts: Restarts::default(),
            crashes: CrashWatch::default(),
            peer_counts: Mutex::new(PeerCounts::default()),
            limits: OrganisationLimits::new(),
            incarnation,
            clock: Clock::new(),
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            version: Mutex::new(VersionInForce::new()),
            version_lag: Mutex::default(),
            version_fetch: Mutex::default(),
            recent_deltas: Mutex::new(RecentDeltas::default()),
            packages: Mutex::default(),
            transfer_budget: Mutex::new(TransferBudget::new(settings.resources.link_mbps)),
            adopt_lock: Mutex::new(()),
            is_fetching: AtomicBool::new(false),
            is_fetching_list: AtomicBool::new(false),
            store_answers: AtomicBool::new(true),
            restart_following: event_listener::Event::new(),
            configuration_call_us: AtomicU64::new(0),
            store_lag: Mutex::default(),
            store_failures: Mutex::default(),
            store_access,
            caller_idle_ms,
            ledger: Mutex::new(Ledger::new(limits)),
            members: Mutex::new(members),
            reach: Mutex::default(),
            seats: Mutex::new(SeatKeeper::new(incarnation, 0)),
            leaving: Mutex::new(LeavingTargets::default()),
            reported_leaves: Mutex::default(),
            unknown_members: Mutex::new(BTreeSet::new()),
            urgent_update: event_listener::Event::new(),
            is_ready: AtomicBool::new(false),
            served_at_us: AtomicU64::new(0),
            became_ready: event_listener::Event::new(),
            stop_signal: StopSignal::default(),
            stop_plan: OnceLock::new(),
            table: HttpTableService::new(settings.table_address, timeout_ms),
            objects: HttpObjectStore::new(settings.object_address, timeout_ms),
            peers: PeerClients::new(),
            counters: Counters::new(),
            organisation_counters: OrganisationCounters::default(),
            request_times: Latencies::new("pinhaven_request_ms", "route"),
            attempt_times: Latencies::new("pinhaven_attempt_ms", "target"),
            named_silences: Latencies::new("pinhaven_named_silence_ms", "last_source"),
            steps: StepTimes::default(),
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

    /// Number of calls to the store by purpose.
    pub(crate) fn store_calls(&self) -> BTreeMap<StoreCall, u64> {
        let store = self.discovery.as_ref();
        store.map(|store| store.calls()).unwrap_or_default()
    }

    /// Number of times each row of another writer was ignored.
    pub(crate) fn foreign_rows(&self) -> BTreeMap<ForeignRow, u64> {
        match &self.discovery {
            Some(store) => store.foreign_rows(),
            None => self.table.foreign_rows(),
        }
    }

    /// Whether once-only requests are recorded by their key. With a store, every request of a caller
    /// has an id of its own and no request carries a key.
    pub(crate) fn keeps_once_keys(&self) -> bool {
        self.discovery.is_none()
    }

    /// State of this entry as a member.
    pub(crate) fn state(&self) -> MemberState {
        self.members.lock().own().state
    }

    /// This entry's incarnation and current epoch, as the home of new once-only requests.
    pub(crate) fn home(&self) -> Home {
        Home {
            incarnation: self.incarnation,
            epoch: self.ledger.lock().epoch(),
        }
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests in flight, as a share of the maximum number of requests.
    pub(crate) fn utilization(&self) -> f32 {
        self.in_flight() as f32 / self.settings.requests_most as f32
    }

    /// Next request number; numbers are unique within this incarnation.
    pub(crate) fn request_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Reserves memory for a body; `None` when the total would exceed the limit for all bodies.
    pub(crate) fn reserve_body(self: &Arc<Self>, bytes: u64) -> Option<BodyMemory> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let memory = BodyMemory {
            entry: Arc::clone(self),
            bytes,
        };
        (before + bytes <= self.settings.body_memory_bytes).then_some(memory)
    }

    /// Counts a call to the platform, and its failure if it failed. Returns the outcome unchanged.
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

/// Signal that requests in flight must get their final answer. Once triggered, it stays set.
#[derive(Default)]
pub(crate) struct StopSignal {
    is_set: AtomicBool,
    event: event_listener::Event,
}

impl StopSignal {
    /// Sets the signal and wakes all waiters.
    pub(crate) fn trigger(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Waits until the signal is set.
    pub(crate) async fn wait(&self) {
        let listener = self.event.listen();
        if !self.is_set.load(Ordering::SeqCst) {
            listener.await;
        }
    }
}

/// Guard that counts a request as in flight.
pub(crate) struct InFlight(Arc<Entry>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard of the memory reserved for a body.
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
