//! The loads of the simulation.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    /// The rank; 0 has the highest priority.
    pub rank: u8,
    /// The workspace, or 0 without one.
    pub workspace: u64,
    /// The share of all slots that the requests would occupy.
    pub load: f64,
    /// Whether the load is higher by `BURST_FACTOR` for `BURST_LENGTH` in each `BURST_PERIOD`.
    pub is_bursty: bool,
    /// The mean service time.
    pub work: Duration,
    /// The time within which a response has its full value.
    pub objective: Duration,
    /// The time after which a response has no value.
    pub timeout: Duration,
    /// The number of calls that are sent together for one request, or 0 for requests of callers.
    pub calls: u32,
}

/// Requests that are counted together.
#[derive(Debug, Clone)]
pub struct Group {
    /// What the requests have in common.
    pub label: String,
    /// The kinds of requests.
    pub sources: Vec<Source>,
}

/// A load on the service.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// The requests.
    pub groups: Vec<Group>,
}

/// The time between the starts of two bursts.
const BURST_PERIOD: Duration = Duration::from_secs(20);

/// The length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(2);

/// The load of a burst as a multiple of the load between bursts.
const BURST_FACTOR: f64 = 4.0;

impl Source {
    /// Returns requests that load all slots by the share `load`.
    pub fn new(rank: u8, load: f64) -> Self {
        Self {
            rank,
            workspace: 0,
            load,
            is_bursty: false,
            work: Duration::from_millis(900),
            objective: Duration::from_secs(3),
            timeout: Duration::from_secs(8),
            calls: 0,
        }
    }

    /// Returns pairs of calls that load all slots by the share `load`.
    pub fn calls(rank: u8, load: f64) -> Self {
        let (work, timeout) = (Duration::from_millis(220), Duration::from_secs(3));
        Self { work, timeout, calls: 2, ..Self::new(rank, load) }
    }

    /// Returns the time within which a response has its full value: that of a call ends at its deadline.
    pub(super) fn due_after(&self) -> Duration {
        if self.calls > 0 { self.timeout } else { self.objective }
    }

    /// Returns how many requests arrive together.
    pub(super) fn sent_together(&self) -> u32 {
        self.calls.max(1)
    }

    /// Returns how often requests arrive, in a second, at a service with `slots` slots.
    #[expect(clippy::cast_precision_loss, reason = "a number of slots")]
    pub(super) fn per_second(&self, slots: usize, now: Time) -> f64 {
        let work = self.work * self.sent_together();
        let since_burst = now.as_secs_f64() % BURST_PERIOD.as_secs_f64();
        let is_burst = self.is_bursty && since_burst < BURST_LENGTH.as_secs_f64();
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        self.load * factor * slots as f64 / work.as_secs_f64()
    }
}

impl Group {
    fn new(label: &str, sources: impl IntoIterator<Item = Source>) -> Self {
        Self { label: label.to_string(), sources: sources.into_iter().collect() }
    }
}

impl Scenario {
    /// Returns the scenario with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|scenario| scenario.name == name)
    }

    /// Returns all scenarios.
    pub fn all() -> Vec<Self> {
        let of_workspace = |workspace, load| Source { workspace, ..Source::new(1, load) };
        let bursty = Source { is_bursty: true, ..Source::new(1, 0.6) };
        let work =
            |millis, load| Source { work: Duration::from_millis(millis), ..Source::new(1, load) };
        vec![
            Self {
                name: "no overload",
                groups: vec![Group::new(
                    "four workspaces, 0.9",
                    [(1, 0.2), (2, 0.3), (3, 0.3), (4, 0.1)]
                        .map(|(name, load)| of_workspace(name, load)),
                )],
            },
            Self {
                name: "twice the slots",
                groups: vec![
                    Group::new("rank 1, 0.6", [Source::new(1, 0.6)]),
                    Group::new("rank 2, 0.7", [Source::new(2, 0.7)]),
                    Group::new("rank 3, 0.7", [Source::new(3, 0.7)]),
                ],
            },
            Self { name: "bursts", groups: vec![Group::new("0.6, for 2 s in 20 s 2.4", [bursty])] },
            Self {
                name: "one large workspace",
                groups: vec![
                    Group::new("70 small ones, 0.7", (1..=70).map(|name| of_workspace(name, 0.01))),
                    Group::new("at 8 times its load, 0.8", [of_workspace(71, 0.8)]),
                ],
            },
            Self {
                name: "four workspaces",
                groups: vec![
                    Group::new("0.1", [of_workspace(1, 0.1)]),
                    Group::new("0.2", [of_workspace(2, 0.2)]),
                    Group::new("0.3", [of_workspace(3, 0.3)]),
                    Group::new("at 8 times its load, 0.8", [of_workspace(4, 0.8)]),
                ],
            },
            Self {
                name: "long and short",
                groups: vec![
                    Group::new("0.3 s, 0.75", [work(300, 0.75)]),
                    Group::new("1.2 s, 0.75", [work(1_200, 0.75)]),
                ],
            },
            Self {
                name: "calls",
                groups: vec![
                    Group::new("calls of rank 1, 0.5", [Source::calls(1, 0.5)]),
                    Group::new("new of rank 1, 0.2", [Source::new(1, 0.2)]),
                    Group::new("calls of rank 3, 0.9", [Source::calls(3, 0.9)]),
                ],
            },
        ]
    }

    /// Returns the sources of all groups, each with the number of its group.
    pub(super) fn sources(&self) -> Vec<(usize, Source)> {
        let mut sources = Vec::new();
        for (index, group) in self.groups.iter().enumerate() {
            sources.extend(group.sources.iter().map(|source| (index, *source)));
        }
        sources
    }
}
