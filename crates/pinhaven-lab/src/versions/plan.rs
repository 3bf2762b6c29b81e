//! What a run of versions is made of: how many entries, routes and versions, over which links, and what fails.

use crate::versions::costs::Costs;

/// What each new version changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum VersionChange {
    /// One route of all that are there.
    OneRoute,
    /// As many routes as the plan names are added to few.
    AddRoutes,
    /// Nothing; one entry has no version and needs the whole.
    FreshEntry,
}

/// How versions travel from entry to entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Transfer {
    /// All of it within one second from the peer that told of it, with all routes in each difference. What has
    /// come when that time is over is thrown away.
    WholeInASecond,
    /// In compressed packages, part by part, from any peer that has it.
    Parts,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionFault {
    /// An entry dies.
    Crashes {
        /// The entry.
        entry: usize,
        /// When, after the first version was acknowledged.
        at_ms: u64,
    },
    /// An entry says that it has each version at once, and answers nobody who asks for it.
    AdvertisesButIsSilent {
        /// The entry.
        entry: usize,
    },
    /// An entry says that it has each version at once, and tells who asks that it has none.
    AdvertisesButHasNone {
        /// The entry.
        entry: usize,
    },
    /// Packages are no longer kept once a part of them was given.
    PackagesAreDropped,
    /// Differences don't lead to the signed version at an entry.
    DifferencesFail {
        /// The entry.
        entry: usize,
    },
    /// The store answers only one delegate.
    StoreAnswersOne {
        /// When it answers the others again, after the first version was acknowledged.
        until_ms: u64,
    },
    /// Calls and datagrams between entries are lost.
    CallsAreLost {
        /// Share of them, from 0 to 1.
        share: f64,
    },
}

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct VersionsPlan {
    /// Entries, in equal parts in the failure domains.
    pub entries: usize,
    /// Failure domains.
    pub failure_domains: usize,
    /// Routes, or routes that a version adds.
    pub routes: usize,
    /// What each version changes.
    pub change: VersionChange,
    /// Versions that are acknowledged.
    pub versions: u64,
    /// Time between two acknowledgements.
    pub gap_ms: u64,
    /// How versions travel.
    pub transfer: Transfer,
    /// Link of each entry, shared by all that it sends and receives.
    pub link_mbps: f64,
    /// Share of a core that an entry has.
    pub core_share: f64,
    /// Processor time and memory of each step.
    pub costs: Costs,
    /// What goes wrong.
    pub faults: Vec<VersionFault>,
    /// Time after the last acknowledgement at which the run ends, also if entries are behind.
    pub limit_ms: u64,
    /// Seed of everything drawn.
    pub seed: u64,
}

impl VersionsPlan {
    /// One version, on links of 10 Mbit/s and a tenth of a core, with nothing that goes wrong.
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

    /// The same with other links.
    pub fn with_link_mbps(mut self, link_mbps: f64) -> Self {
        self.link_mbps = link_mbps;
        self
    }

    /// The same with something that goes wrong.
    pub fn with_fault(mut self, fault: VersionFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// The same with several versions, one each `gap_ms`.
    pub fn with_versions(mut self, versions: u64, gap_ms: u64) -> Self {
        self.versions = versions;
        self.gap_ms = gap_ms;
        self
    }

    /// The same with another way for versions to travel.
    pub fn with_transfer(mut self, transfer: Transfer) -> Self {
        self.transfer = transfer;
        self
    }
}
