//! The declaration of a service: its class, limits and routes.

use std::time::Duration;

use arbutuslane_core::id::ServiceName;

pub use crate::class::Class;

/// What ejection favours when there is little evidence that a server is unhealthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Ejects an unhealthy server early and accepts that a healthy one is ejected at times.
    FastDetection,
    /// Keeps healthy servers in use and accepts slower detection.
    FewFalseEjections,
}

/// The request limits of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The deadline of requests whose caller sets none.
    pub deadline: Duration,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The requests per second that one entry node accepts from one caller.
    pub caller_rate: u32,
    /// The requests per second that one entry node accepts for each route.
    pub route_rate: u32,
    /// The requests per second that one entry node accepts for the service.
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
    /// The host that requests must name; `None` matches any host.
    pub host: Option<String>,
    /// The prefix of the request path; the longest matching prefix wins.
    pub path_prefix: String,
    /// The class of requests on this route; `None` means the class of the service.
    pub class: Option<Class>,
}

/// The declaration of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name under which backend servers announce themselves.
    pub service: ServiceName,
    /// The firm or team that is responsible for the service.
    pub owner: String,
    /// The class of requests on routes that set none.
    pub class: Class,
    /// Whether ejection favours fast detection or few false ejections.
    pub preference: Preference,
    /// The minimum number of healthy servers; no ejection may reduce the service below it.
    pub floor: u32,
    /// The request limits of the service.
    pub limits: Limits,
    /// The routes that lead to the service.
    pub routes: Vec<Route>,
}
