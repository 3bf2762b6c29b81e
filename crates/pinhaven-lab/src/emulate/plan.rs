//! Plan of an emulation run: targets, load, entries, and how often entries exchange and collect state.

use super::domains::DomainPlan;
use super::shared::ColdPlan;
use super::shared::OrganisationPlan;
use super::shared::organisations_of_falling_size;
use super::target::TargetPlan;
use pinhaven_bundle::Policy;

/// Properties of one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind {
    /// Share of all requests that are of this kind.
    pub share: f64,
    /// Mean work of a request at normal speed, in milliseconds.
    pub work_ms: f64,
    /// Latency up to which an answer earns its full worth, in milliseconds.
    pub aim_ms: u64,
    /// Maximum time that the caller waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may be repeated.
    pub is_repeatable: bool,
    /// Priority, from 0 to 3.
    pub priority: u8,
    /// Credit for an answer within the aim; a late answer earns a tenth of the credit.
    pub worth: f64,
}

/// A change of load or of target behaviour during a run.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// The load is multiplied by a factor for a time.
    Burst {
        /// Factor by which the load is multiplied.
        factor: f64,
        /// Start and end, in milliseconds.
        between_ms: (f64, f64),
    },
    /// The load of one organisation is multiplied by a factor for a time.
    OrganisationBurst {
        /// Number of the organisation.
        organisation: usize,
        /// Factor by which its load is multiplied.
        factor: f64,
        /// Start and end, in milliseconds.
        between_ms: (f64, f64),
    },
    /// All entries restart and lose their state; their callers' connections break.
    EntriesRestart {
        /// Time of the change, in milliseconds.
        at_ms: f64,
    },
    /// A share of the targets takes no new work from a time on.
    TargetsLeave {
        /// Share of the targets.
        share: f64,
        /// Time of the change, in milliseconds.
        at_ms: f64,
    },
    /// A share of the targets says with each answer from a time on that the target leaves, and continues to serve.
    TargetsAnnounceLeave {
        /// Share of the targets.
        share: f64,
        /// Time of the change, in milliseconds.
        at_ms: f64,
    },
    /// A share of the targets rejects all requests for a time and orders a rest with each answer.
    TargetsRest {
        /// Share of the targets.
        share: f64,
        /// Start and end, in milliseconds.
        between_ms: (f64, f64),
        /// Length of the rest that each answer orders, in milliseconds.
        rest_ms: u64,
    },
}

/// Parameters of an emulation run.
#[derive(Debug, Clone)]
pub struct EmulationPlan {
    /// Behaviour of the targets.
    pub target: TargetPlan,
    /// Number of targets.
    pub targets: usize,
    /// Kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Organisations of the callers; empty for callers without organisations.
    pub organisations: Vec<OrganisationPlan>,
    /// Targets that turn cold during the run.
    pub cold: Option<ColdPlan>,
    /// Maximum number of retries by a caller after refusals.
    pub caller_retries_max: u32,
    /// Load, as a share of the capacity of all slots at normal speed when the slow targets contribute nothing.
    pub load: f64,
    /// Changes during the run.
    pub changes: Vec<Change>,
    /// Number of serving entries.
    pub entries: usize,
    /// Interval at which entries send updates to each other, in milliseconds.
    pub update_interval_ms: f64,
    /// Age of a target's last report from which the target is probed, in milliseconds; 0 turns probes off.
    pub probe_ms: f64,
    /// Policy by which entries choose targets.
    pub policy: Policy,
    /// Failure domains; without a plan all targets are in the domain of the entries.
    pub domains: Option<DomainPlan>,
    /// Length of the run, in milliseconds.
    pub length_ms: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Kind of deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Deployment {
    /// Many slots; requests take longer than the time between two changes of a target's speed.
    Long,
    /// Few slots and short requests; targets slow down when nearly full and ignore requests when full.
    Short,
    /// Targets as for short requests, with few slots, and long requests.
    LongOnFew,
    /// Many slots; requests keep the speed at which they started, speeds change often, and targets slow down
    /// when nearly full.
    Kept,
    /// Targets of two slots with a short queue, shared by many organisations; speeds change often, targets slow
    /// down when both slots are in use, and callers retry once.
    Scarce,
    /// As [`Deployment::Scarce`], with few targets and short requests.
    ScarceBrief,
}

/// Load and changes of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Day {
    /// Load of about half the targets' capacity.
    Quiet,
    /// Load of about three quarters of the targets' capacity.
    Busy,
    /// Twice the load for three seconds.
    Burst,
    /// Load of a third more than the targets' capacity.
    Overload,
    /// A third of the targets leaves, and all entries know at once.
    ThirdLeaves,
    /// A third of the targets leaves, and only the targets' answers say so.
    ThirdSaysItLeaves,
    /// A third of the targets rejects all requests for five seconds and orders rests.
    ThirdRests,
    /// All targets reject all requests for five seconds and order rests.
    AllRest,
    /// As many requests as can be answered within the aim, in the deployments with scarce slots.
    Answerable,
    /// Twice as many.
    Twice,
    /// Twice as many, with a fifth of the targets cold.
    TwiceCold,
    /// The largest organisation sends 5.6 times its usual load.
    OneOrganisation,
    /// A burst of 1.9 times the requests that can be answered.
    ScarceBurst,
    /// All entries restart during that burst.
    ScarceRestart,
}

/// Share of used slots above which a target is nearly full, and the slowdown factor then; as the users specify.
const SHORT_KNEE: (f64, f64) = (0.8, 1.7);
/// Mean time between two changes of a target's speed, in milliseconds; as the users specify.
const SPEED_CHANGE_MS: f64 = 500.0;
/// Slowdown factor of a slow target; as the users specify.
const SLOW_FACTOR: f64 = 7.0;
/// Mean time between two changes of speed in [`Deployment::Kept`], in milliseconds; as the users specify.
const KEPT_SPEED_CHANGE_MS: f64 = 150.0;
/// Slowdown factor of a slow target in [`Deployment::Kept`]; as the users specify.
const KEPT_SLOW_FACTOR: f64 = 5.0;
/// Cold targets in the deployments with scarce slots; as the users specify.
const COLD: ColdPlan = ColdPlan {
    share: 0.2,
    duration_ms: 3_000,
    requests_per_s: 2.8,
    factor: 2.0,
};
/// Load at which the deployments with scarce slots answer about as many requests within the aim as at any load.
const ANSWERABLE_LOAD: f64 = 0.5;
/// Number of organisations in the deployments with scarce slots; as the users specify.
const ORGANISATIONS: usize = 87;

impl EmulationPlan {
    /// Plan for a day of a deployment under a policy.
    pub fn new(deployment: Deployment, day: Day, policy: Policy, seed: u64) -> Self {
        let (load, changes) = match day {
            Day::Quiet => (0.45, Vec::new()),
            Day::Busy => (0.75, Vec::new()),
            Day::Burst => {
                let between_ms = (5_000.0, 8_000.0);
                (
                    0.5,
                    vec![Change::Burst {
                        factor: 2.0,
                        between_ms,
                    }],
                )
            }
            Day::Overload => (1.33, Vec::new()),
            Day::ThirdLeaves => {
                let (share, at_ms) = (0.34, 5_000.0);
                (0.6, vec![Change::TargetsLeave { share, at_ms }])
            }
            Day::ThirdSaysItLeaves => {
                let (share, at_ms) = (0.34, 5_000.0);
                (0.5, vec![Change::TargetsAnnounceLeave { share, at_ms }])
            }
            Day::ThirdRests => (0.5, vec![targets_rest(0.34)]),
            Day::AllRest => (0.5, vec![targets_rest(1.0)]),
            Day::Answerable => (ANSWERABLE_LOAD, Vec::new()),
            Day::Twice | Day::TwiceCold => (2.0 * ANSWERABLE_LOAD, Vec::new()),
            Day::OneOrganisation => (ANSWERABLE_LOAD, vec![organisation_burst()]),
            Day::ScarceBurst => (0.5 * ANSWERABLE_LOAD, vec![scarce_burst()]),
            Day::ScarceRestart => {
                let restart = Change::EntriesRestart { at_ms: 5_000.0 };
                (0.5 * ANSWERABLE_LOAD, vec![scarce_burst(), restart])
            }
        };
        let plan = match deployment {
            Deployment::Long => long(),
            Deployment::Short => short(),
            Deployment::LongOnFew => long_on_few(),
            Deployment::Kept => kept(),
            Deployment::Scarce => scarce(),
            Deployment::ScarceBrief => scarce_brief(),
        };
        let cold = (day == Day::TwiceCold).then_some(COLD);
        Self {
            load,
            changes,
            cold,
            policy,
            seed,
            ..plan
        }
    }
}

/// Rests of 3 s, ordered by a share of the targets from 5 s to 10 s after the start.
fn targets_rest(share: f64) -> Change {
    Change::TargetsRest {
        share,
        between_ms: (5_000.0, 10_000.0),
        rest_ms: 3_000,
    }
}

fn kind(share: f64, work_ms: f64, aim_ms: u64, is_repeatable: bool, priority: u8) -> RequestKind {
    RequestKind {
        share,
        work_ms,
        aim_ms,
        deadline_ms: aim_ms * 6,
        is_repeatable,
        priority,
        worth: f64::from(priority),
    }
}

fn long() -> EmulationPlan {
    EmulationPlan {
        target: TargetPlan {
            slots: 6,
            queue_max: 24,
            slow_share: 0.25,
            slow_factor: SLOW_FACTOR,
            speed_change_ms: SPEED_CHANGE_MS,
            knee: (1.0, 1.0),
            has_fixed_speed: false,
            is_silent_when_full: false,
        },
        targets: 30,
        kinds: vec![
            kind(0.67, 220.0, 600, true, 1),
            kind(0.33, 290.0, 800, false, 2),
        ],
        ..short()
    }
}

fn long_on_few() -> EmulationPlan {
    EmulationPlan {
        kinds: vec![
            kind(0.64, 260.0, 600, true, 1),
            kind(0.36, 340.0, 800, false, 2),
        ],
        ..short()
    }
}

fn kept() -> EmulationPlan {
    EmulationPlan {
        target: TargetPlan {
            slots: 6,
            queue_max: 12,
            slow_share: 0.25,
            slow_factor: KEPT_SLOW_FACTOR,
            speed_change_ms: KEPT_SPEED_CHANGE_MS,
            knee: SHORT_KNEE,
            has_fixed_speed: true,
            is_silent_when_full: false,
        },
        targets: 10,
        kinds: vec![kind(1.0, 550.0, 1_500, true, 1)],
        ..short()
    }
}

fn organisation_burst() -> Change {
    Change::OrganisationBurst {
        organisation: 0,
        factor: 5.6,
        between_ms: (2_000.0, 10_000.0),
    }
}

fn scarce_burst() -> Change {
    Change::Burst {
        factor: 2.0 * 1.9,
        between_ms: (3_000.0, 7_000.0),
    }
}

fn scarce() -> EmulationPlan {
    EmulationPlan {
        target: TargetPlan {
            slots: 2,
            queue_max: 4,
            slow_share: 0.3,
            slow_factor: KEPT_SLOW_FACTOR,
            speed_change_ms: KEPT_SPEED_CHANGE_MS,
            knee: SHORT_KNEE,
            has_fixed_speed: false,
            is_silent_when_full: false,
        },
        targets: 100,
        kinds: vec![RequestKind {
            deadline_ms: 2_000,
            ..kind(1.0, 220.0, 600, true, 1)
        }],
        organisations: organisations_of_falling_size(ORGANISATIONS),
        caller_retries_max: 1,
        entries: 8,
        length_ms: 10_000.0,
        ..short()
    }
}

fn scarce_brief() -> EmulationPlan {
    EmulationPlan {
        targets: 26,
        kinds: vec![RequestKind {
            deadline_ms: 1_000,
            ..kind(1.0, 88.0, 250, true, 1)
        }],
        ..scarce()
    }
}

fn short() -> EmulationPlan {
    EmulationPlan {
        target: TargetPlan {
            slots: 3,
            queue_max: 6,
            slow_share: 0.35,
            slow_factor: SLOW_FACTOR,
            speed_change_ms: SPEED_CHANGE_MS,
            knee: SHORT_KNEE,
            has_fixed_speed: false,
            is_silent_when_full: true,
        },
        targets: 28,
        kinds: vec![
            kind(0.64, 60.0, 200, true, 1),
            kind(0.36, 78.0, 250, false, 2),
        ],
        load: 0.5,
        organisations: Vec::new(),
        cold: None,
        caller_retries_max: 2,
        changes: Vec::new(),
        entries: 6,
        update_interval_ms: 15.0,
        probe_ms: 40.0,
        policy: Policy::Forecast,
        domains: None,
        length_ms: 20_000.0,
        seed: 1,
    }
}
