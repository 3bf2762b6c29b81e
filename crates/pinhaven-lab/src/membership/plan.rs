//! Plan of a run: the entries, their losses, and the condition of the network and the store.

/// Entries that lose power at the same moment and stay without it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PowerLoss {
    /// Time of the loss, in milliseconds.
    pub at_ms: u64,
    /// Share of all entries.
    pub share: f64,
}

/// Plan of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of failure domains, over which the entries are spread evenly.
    pub failure_domains: usize,
    /// Number of entries in each failure domain with ten times the capacity of the others.
    pub large_per_domain: usize,
    /// Share of datagrams that are lost.
    pub lost_datagrams: f64,
    /// Whether entries can use the store.
    pub has_store: bool,
    /// Entries that lose power.
    pub power_loss: Option<PowerLoss>,
    /// Time at which samples begin, in milliseconds. By then the entries have exchanged heartbeats.
    pub sampled_from_ms: u64,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl MembershipPlan {
    /// Creates a plan in which nothing fails.
    pub fn new(entries: usize, seed: u64) -> Self {
        Self {
            entries,
            failure_domains: if entries >= 300 { 5 } else { 3 },
            large_per_domain: if entries >= 60 { 2 } else { 0 },
            lost_datagrams: 0.0,
            has_store: true,
            power_loss: None,
            sampled_from_ms: 10_000,
            duration_ms: 20_000,
            seed,
        }
    }

    /// Sets the entries that lose power.
    pub fn with_power_loss(self, loss: PowerLoss) -> Self {
        Self {
            power_loss: Some(loss),
            ..self
        }
    }

    /// Sets the share of datagrams that are lost.
    pub fn with_lost_datagrams(self, share: f64) -> Self {
        Self {
            lost_datagrams: share,
            ..self
        }
    }

    /// Takes the store away from all entries.
    pub fn without_store(self) -> Self {
        Self {
            has_store: false,
            ..self
        }
    }
}
