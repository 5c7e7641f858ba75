//! One service as its owner declares it.

use std::time::Duration;

use arbutuslane_core::id::ServiceName;

/// What may be done with a request of a route when its outcome is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Running twice does no harm: lookups.
    Idempotent,
    /// Runs at most once: bookings and holds.
    NonIdempotent,
    /// A long response that can be resumed from where it broke off, on another server.
    Download,
}

/// What the owner of a service weighs more when the evidence against a server is thin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Ejects an unhealthy server early and accepts that a healthy one is ejected at times.
    FastDetection,
    /// Keeps healthy servers in use and accepts slower detection.
    FewFalseEjections,
}

/// The limits of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The deadline of a request whose caller states none.
    pub deadline: Duration,
    /// The largest request body in bytes.
    pub body_bytes: u64,
    /// Requests a second that one entry node accepts from one caller.
    pub caller_rate: u32,
    /// Requests a second that one entry node accepts for each route.
    pub route_rate: u32,
    /// Requests a second that one entry node accepts for the service.
    pub service_rate: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(5),
            body_bytes: 8 << 20,
            caller_rate: 200,
            route_rate: 2_000,
            service_rate: 4_000,
        }
    }
}

/// Selects the requests of a service by host and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The host that a request names, or any host.
    pub host: Option<String>,
    /// The start of the path; the longest matching prefix wins.
    pub path_prefix: String,
    /// The class of this route's requests, or that of the service.
    pub class: Option<Class>,
}

/// The declaration of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name under which backend servers announce themselves.
    pub service: ServiceName,
    /// The firm or team that answers for the service.
    pub owner: String,
    /// The class of requests on routes that state none.
    pub class: Class,
    /// What the owner weighs more.
    pub preference: Preference,
    /// The number of healthy servers below which no ejection may bring the service.
    pub floor: u32,
    /// The limits of the service.
    pub limits: Limits,
    /// The routes that lead to the service.
    pub routes: Vec<Route>,
}
