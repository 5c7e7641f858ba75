//! The faults that runs cause.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::service::DOMAINS;

/// What goes wrong from the start of the measured part on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Server 0 answers probes but fails all work at once.
    Failing,
    /// Server 0 takes this many times as long.
    Straggler(u32),
    /// Server 0 fails all work for 5 s of every 10 s.
    Flapping,
    /// One route, 5% of the requests, is 10 times as slow on all servers. Arrivals fall so that
    /// the work stays the same.
    SlowRoute,
    /// All requests of one caller, 40% of the work, fail.
    HeavyCaller,
    /// All servers of domain 0 take 3 times as long.
    SlowDomain,
    /// All servers take 3 times as long.
    SlowService,
    /// Load reports are 2 s old, and server 0 takes 10 times as long.
    LaggingReports,
    /// Server 0 starts cold: it takes 4 times as long at first and is warm after 10 s.
    ColdStart,
    /// The upper half of the servers is gone.
    HalfLost,
}

/// The route that [`Fault::SlowRoute`] slows down.
pub const SLOW_ROUTE: u64 = 3;

/// The share of requests on that route.
pub const SLOW_ROUTE_SHARE: f64 = 0.05;

/// The caller of [`Fault::HeavyCaller`].
pub const HEAVY_CALLER: u64 = 0;

/// The share of the work that is the heavy caller's.
pub const HEAVY_SHARE: f64 = 0.4;

/// The age of load reports in [`Fault::LaggingReports`].
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// The time in which a cold server warms up.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Half of the period of [`Fault::Flapping`].
const FLAP: f64 = 5.0;

impl Fault {
    /// Returns the faults that the detection runs go through.
    pub fn detection() -> Vec<Self> {
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

    /// Returns the name in results.
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

    /// Returns whether server 0 is unhealthy and is to be ejected.
    pub fn has_target(&self) -> bool {
        matches!(self, Self::Failing | Self::Straggler(_) | Self::Flapping | Self::LaggingReports)
    }

    /// Returns whether an ejection of `server` is false.
    ///
    /// The servers of a slow domain are slow, so ejecting them is neither right nor false; the
    /// capacity floor bounds it.
    pub fn is_false(&self, server: usize) -> bool {
        match self {
            Self::SlowDomain => !server.is_multiple_of(DOMAINS),
            _ => !self.has_target() || server != 0,
        }
    }

    /// Returns the factor on the service time of a request, `since` the start of the fault.
    pub fn slowdown(&self, server: usize, route: u64, since: Option<Time>) -> f64 {
        let Some(since) = since else { return 1.0 };
        match self {
            Self::Straggler(factor) if server == 0 => f64::from(*factor),
            Self::LaggingReports if server == 0 => 10.0,
            Self::SlowRoute if route == SLOW_ROUTE => 10.0,
            Self::SlowDomain if server.is_multiple_of(DOMAINS) => 3.0,
            Self::SlowService => 3.0,
            Self::ColdStart if server == 0 => {
                let left = 1.0 - since.as_secs_f64() / WARM_UP.as_secs_f64();
                1.0 + 3.0 * left.max(0.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the factor on arrivals that keeps the work constant.
    pub fn arrivals(&self, since: Option<Time>) -> f64 {
        if *self == Self::SlowRoute && since.is_some() {
            return 1.0 / (1.0 + 9.0 * SLOW_ROUTE_SHARE);
        }
        1.0
    }

    /// Returns whether a request fails.
    pub fn fails(&self, server: usize, caller: u64, since: Option<Time>) -> bool {
        let Some(since) = since else { return false };
        match self {
            Self::Failing => server == 0,
            Self::Flapping => server == 0 && since.as_secs_f64() % (2.0 * FLAP) < FLAP,
            Self::HeavyCaller => caller == HEAVY_CALLER,
            _ => false,
        }
    }

    /// Returns whether a server is gone.
    pub fn is_gone(&self, server: usize, servers: usize, since: Option<Time>) -> bool {
        *self == Self::HalfLost && since.is_some() && server >= servers / 2
    }
}
