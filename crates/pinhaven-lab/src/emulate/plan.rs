//! What is emulated: the targets, the load, the entries, and what they know of each other.

use super::target::TargetPlan;
use pinhaven_bundle::Policy;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind {
    /// Share of all requests.
    pub share: f64,
    /// Work on it at usual speed, on average, in milliseconds.
    pub work_ms: f64,
    /// Time within which its answer is worth all it can be, in milliseconds.
    pub aim_ms: u64,
    /// How long its caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may be repeated.
    pub is_repeatable: bool,
    /// Importance, from 0 to 3.
    pub priority: u8,
    /// What an answer in time is worth; a late one is worth a tenth of it.
    pub worth: f64,
}

/// A change in the course of a run.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Callers ask this many times as much, from one time to another, in milliseconds.
    Burst {
        /// How many times.
        factor: f64,
        /// Begin and end.
        between_ms: (f64, f64),
    },
    /// This share of the targets takes no new work from a time on.
    TargetsLeave {
        /// The share.
        share: f64,
        /// When.
        at_ms: f64,
    },
    /// This share says with each answer from a time on that it leaves, and serves on.
    TargetsAnnounceLeave {
        /// The share.
        share: f64,
        /// When.
        at_ms: f64,
    },
    /// This share turns all requests away and asks for rest, from one time to another, in milliseconds.
    TargetsRest {
        /// The share.
        share: f64,
        /// Begin and end.
        between_ms: (f64, f64),
        /// The rest that each answer asks for, in milliseconds.
        rest_ms: u64,
    },
}

/// A run.
#[derive(Debug, Clone)]
pub struct EmulationPlan {
    /// What targets are like.
    pub target: TargetPlan,
    /// How many there are.
    pub targets: usize,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Load, as a share of what the targets do when all their slots are used at usual speed and the slow
    /// ones do nothing.
    pub load: f64,
    /// What happens meanwhile.
    pub changes: Vec<Change>,
    /// Entries that serve.
    pub entries: usize,
    /// Time between two rounds of news, in milliseconds.
    pub update_interval_ms: f64,
    /// Age of a report at which a target is asked, in milliseconds; 0 for never.
    pub probe_ms: f64,
    /// How targets are chosen.
    pub policy: Policy,
    /// How long it lasts, in milliseconds.
    pub length_ms: f64,
    /// Seed of everything drawn.
    pub seed: u64,
}

/// A kind of deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Deployment {
    /// Many slots, requests that take longer than a target's speed lasts.
    Long,
    /// Few slots, short requests, targets that slow down when nearly full and fall silent when full.
    Short,
    /// Few slots, as before, and requests that take long.
    LongOnFew,
    /// Many slots, requests that keep the speed with which they began, speeds that change often, targets
    /// that slow down when nearly full.
    Kept,
}

/// A kind of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Day {
    /// Half of what the targets can do.
    Quiet,
    /// Most of it.
    Busy,
    /// A burst of twice as much for three seconds.
    Burst,
    /// A third more than the targets can do.
    Overload,
    /// A third of the targets leaves.
    ThirdLeaves,
    /// A third of the targets says with its answers that it leaves, and nobody else does.
    ThirdSaysItLeaves,
    /// A third of the targets turns all requests away for five seconds and asks for rest.
    ThirdRests,
    /// All targets do.
    AllRest,
}

/// Slot use past which targets of short requests slow down, and by how much; as the users give it.
const SHORT_KNEE: (f64, f64) = (0.8, 1.7);
/// Time between two changes of a target's speed, in milliseconds; as the users give it.
const CHANGE_MS: f64 = 500.0;
/// How many times longer work takes at a slow target; as the users give it.
const SLOW_FACTOR: f64 = 7.0;
/// Time between two changes where work keeps its speed, in milliseconds; as the users give it.
const KEPT_CHANGE_MS: f64 = 150.0;
/// How many times longer work takes there at a slow target; as the users give it.
const KEPT_SLOW_FACTOR: f64 = 5.0;

impl EmulationPlan {
    /// A day of a deployment under a policy.
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
            Day::ThirdRests => (0.5, vec![rests(0.34)]),
            Day::AllRest => (0.5, vec![rests(1.0)]),
        };
        let plan = match deployment {
            Deployment::Long => long(),
            Deployment::Short => short(),
            Deployment::LongOnFew => long_on_few(),
            Deployment::Kept => kept(),
        };
        Self {
            load,
            changes,
            policy,
            seed,
            ..plan
        }
    }
}

/// Rests of three seconds, asked for from 5 to 10 s.
fn rests(share: f64) -> Change {
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
            speed_change_ms: CHANGE_MS,
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
            speed_change_ms: KEPT_CHANGE_MS,
            knee: SHORT_KNEE,
            has_fixed_speed: true,
            is_silent_when_full: false,
        },
        targets: 10,
        kinds: vec![kind(1.0, 550.0, 1_500, true, 1)],
        ..short()
    }
}

fn short() -> EmulationPlan {
    EmulationPlan {
        target: TargetPlan {
            slots: 3,
            queue_max: 6,
            slow_share: 0.35,
            slow_factor: SLOW_FACTOR,
            speed_change_ms: CHANGE_MS,
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
        changes: Vec::new(),
        entries: 6,
        update_interval_ms: 15.0,
        probe_ms: 40.0,
        policy: Policy::Forecast,
        length_ms: 20_000.0,
        seed: 1,
    }
}
