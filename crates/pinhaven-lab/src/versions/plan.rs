//! Plan of a run: the number of entries, routes and versions, the links, and the injected faults.

use crate::versions::costs::Costs;

/// Content of each new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum VersionChange {
    /// Changes one route.
    OneRoute,
    /// Adds [`VersionsPlan::routes`] routes to a small first version.
    AddRoutes,
    /// No new version; one entry starts without a version and needs the whole body.
    FreshEntry,
}

/// Transfer of versions between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Transfer {
    /// Everything within one second from the peer that advertised the version, with all routes in each difference.
    /// Data received by then is discarded if the answer is incomplete.
    WholeInASecond,
    /// Compressed packages, part by part, from any peer that has the version.
    Parts,
}

/// Injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionFault {
    /// An entry crashes.
    Crashes {
        /// The entry.
        entry: usize,
        /// Time of the crash after the first version is acknowledged.
        at_ms: u64,
    },
    /// An entry advertises each version as soon as the version is acknowledged, and answers no requests for a version.
    AdvertisesButIsSilent {
        /// The entry.
        entry: usize,
    },
    /// An entry advertises each version as soon as the version is acknowledged, and answers requests for a version as
    /// if it had none.
    AdvertisesButHasNone {
        /// The entry.
        entry: usize,
    },
    /// Entries drop their cached packages after each part that they serve.
    PackagesAreDropped,
    /// Differences don't yield the signed version at an entry.
    DifferencesFail {
        /// The entry.
        entry: usize,
    },
    /// The store answers only one delegate.
    StoreAnswersOne {
        /// Time after which the store answers all delegates, counted from the first acknowledgement.
        until_ms: u64,
    },
    /// Calls and datagrams between entries are lost.
    CallsAreLost {
        /// Lost share, from 0 to 1.
        share: f64,
    },
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct VersionsPlan {
    /// Number of entries, distributed evenly among the failure domains.
    pub entries: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Number of routes, or of routes that each version adds.
    pub routes: usize,
    /// Content of each new version.
    pub change: VersionChange,
    /// Number of versions that are acknowledged during the run.
    pub versions: u64,
    /// Time between two acknowledgements.
    pub gap_ms: u64,
    /// Transfer of versions between entries.
    pub transfer: Transfer,
    /// Rate of each entry's link, shared by everything that the entry sends and receives.
    pub link_mbps: f64,
    /// Share of a core per entry, from 0 to 1.
    pub core_share: f64,
    /// Cost of each step in processor time and memory.
    pub costs: Costs,
    /// Injected faults.
    pub faults: Vec<VersionFault>,
    /// Time after the last acknowledgement at which the run ends even if entries are behind.
    pub limit_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl VersionsPlan {
    /// Creates a plan with one version, links of 10 Mbit/s, a tenth of a core per entry and no faults.
    pub fn new(entries: usize, routes: usize, change: VersionChange, seed: u64) -> Self {
        Self {
            entries,
            failure_domains: 3,
            routes,
            change,
            versions: 1,
            gap_ms: 500,
            transfer: Transfer::Parts,
            link_mbps: 10.0,
            core_share: 0.1,
            costs: Costs::default(),
            faults: Vec::new(),
            limit_ms: 120_000,
            seed,
        }
    }

    /// Sets the rate of each entry's link.
    pub fn with_link_mbps(mut self, link_mbps: f64) -> Self {
        self.link_mbps = link_mbps;
        self
    }

    /// Adds a fault.
    pub fn with_fault(mut self, fault: VersionFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Sets the number of versions and the time between two acknowledgements.
    pub fn with_versions(mut self, versions: u64, gap_ms: u64) -> Self {
        self.versions = versions;
        self.gap_ms = gap_ms;
        self
    }

    /// Sets the transfer of versions between entries.
    pub fn with_transfer(mut self, transfer: Transfer) -> Self {
        self.transfer = transfer;
        self
    }
}
