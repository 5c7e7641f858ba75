//! The faults that a simulation injects.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::service::DOMAINS;

/// A fault that lasts from the start of the measured part to the end of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Server 0 answers probes but fails all other requests early.
    Failing,
    /// Service times of server 0 are multiplied by this factor.
    Straggler(u32),
    /// Server 0 fails all requests in the first 5 s of every 10 s.
    Flapping,
    /// One route with 5% of the requests takes 10 times as long on all servers. The arrival rate is
    /// reduced so that the total work stays the same.
    SlowRoute,
    /// All requests of one caller, which sends 40% of them, fail.
    HeavyCaller,
    /// All servers of domain 0 take 3 times as long.
    SlowDomain,
    /// All servers take 3 times as long.
    SlowService,
    /// Load reports are 2 s old, and server 0 takes 10 times as long.
    LaggingReports,
    /// Server 0 starts cold: it takes 4 times as long at first and is warm after 10 s.
    ColdStart,
    /// The upper half of the servers is unreachable.
    HalfLost,
}

/// The route that [`Fault::SlowRoute`] slows down.
pub const SLOW_ROUTE: u64 = 3;

/// The share of requests on [`SLOW_ROUTE`].
pub const SLOW_ROUTE_SHARE: f64 = 0.05;

/// The caller of [`Fault::HeavyCaller`].
pub const HEAVY_CALLER: u64 = 0;

/// The share of requests that [`HEAVY_CALLER`] sends.
pub const HEAVY_CALLER_SHARE: f64 = 0.4;

/// The age of load reports in [`Fault::LaggingReports`].
pub const LOAD_REPORT_AGE: Duration = Duration::from_secs(2);

/// The time that a server takes to warm up in [`Fault::ColdStart`].
pub const COLD_START_WARM_UP: Duration = Duration::from_secs(10);

/// Half of the period of [`Fault::Flapping`] in seconds.
const HALF_FLAP_PERIOD_S: f64 = 5.0;

impl Fault {
    /// Returns the faults of the detection scenarios.
    pub fn detection_faults() -> Vec<Self> {
        vec![
            Self::Failing,
            Self::Straggler(3),
            Self::Straggler(10),
            Self::Flapping,
            Self::SlowRoute,
            Self::HeavyCaller,
            Self::SlowDomain,
            Self::SlowService,
            Self::LaggingReports,
            Self::ColdStart,
        ]
    }

    /// Returns the name of the scenario in result files.
    pub fn name(&self) -> String {
        match self {
            Self::None => "none".to_string(),
            Self::Failing => "failing".to_string(),
            Self::Straggler(factor) => format!("straggler-{factor}x"),
            Self::Flapping => "flapping".to_string(),
            Self::SlowRoute => "slow-route".to_string(),
            Self::HeavyCaller => "heavy-caller".to_string(),
            Self::SlowDomain => "slow-domain".to_string(),
            Self::SlowService => "slow-service".to_string(),
            Self::LaggingReports => "lagging-reports".to_string(),
            Self::ColdStart => "cold-start".to_string(),
            Self::HalfLost => "half-lost".to_string(),
        }
    }

    /// Returns whether server 0 is unhealthy and must be ejected.
    pub fn has_unhealthy_server(&self) -> bool {
        matches!(self, Self::Failing | Self::Straggler(_) | Self::Flapping | Self::LaggingReports)
    }

    /// Returns whether an ejection of `server` is false.
    ///
    /// An ejection of a server in the slow domain counts as neither required nor false, because the
    /// server is slow; the capacity floor limits such ejections.
    pub fn is_false_ejection(&self, server: usize) -> bool {
        match self {
            Self::SlowDomain => !server.is_multiple_of(DOMAINS),
            _ => !self.has_unhealthy_server() || server != 0,
        }
    }

    /// Returns the factor on the service time of a request. `since` is the time since the start of
    /// the fault, or `None` before it.
    pub fn service_time_factor(&self, server: usize, route: u64, since: Option<Time>) -> f64 {
        let Some(since) = since else { return 1.0 };
        match self {
            Self::Straggler(factor) if server == 0 => f64::from(*factor),
            Self::LaggingReports if server == 0 => 10.0,
            Self::SlowRoute if route == SLOW_ROUTE => 10.0,
            Self::SlowDomain if server.is_multiple_of(DOMAINS) => 3.0,
            Self::SlowService => 3.0,
            Self::ColdStart if server == 0 => {
                let remaining = 1.0 - since.as_secs_f64() / COLD_START_WARM_UP.as_secs_f64();
                1.0 + 3.0 * remaining.max(0.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the factor on the arrival rate that keeps the total work constant.
    pub fn arrival_rate_factor(&self, since: Option<Time>) -> f64 {
        if *self == Self::SlowRoute && since.is_some() {
            return 1.0 / (1.0 + 9.0 * SLOW_ROUTE_SHARE);
        }
        1.0
    }

    /// Returns whether a request of `caller` to `server` fails.
    pub fn fails(&self, server: usize, caller: u64, since: Option<Time>) -> bool {
        let Some(since) = since else { return false };
        match self {
            Self::Failing => server == 0,
            Self::Flapping => {
                server == 0 && since.as_secs_f64() % (2.0 * HALF_FLAP_PERIOD_S) < HALF_FLAP_PERIOD_S
            }
            Self::HeavyCaller => caller == HEAVY_CALLER,
            _ => false,
        }
    }

    /// Returns whether a server is lost, of `servers` in total.
    pub fn is_server_lost(&self, server: usize, servers: usize, since: Option<Time>) -> bool {
        *self == Self::HalfLost && since.is_some() && server >= servers / 2
    }
}
