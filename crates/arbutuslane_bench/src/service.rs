//! The six simulated services, three for each of the two customers.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;

use crate::sample::Shape;

/// The model of a service.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// The name.
    pub name: &'static str,
    /// The number of servers.
    pub servers: usize,
    /// The number of requests that one server runs at a time.
    pub slots: usize,
    /// The class of most requests.
    pub class: Class,
    /// The share of requests that are idempotent reads, also in a service of non-idempotent work.
    pub read_share: f64,
    /// The distribution of service times of a healthy server.
    pub shape: Shape,
    /// The one-way delay between failure domains.
    pub hop_delay: Duration,
    /// The deadline of a request.
    pub deadline: Duration,
    /// The capacity floor: no ejection may leave fewer servers than this.
    pub floor: usize,
}

/// The number of failure domains of each service.
pub const DOMAINS: usize = 3;

/// Returns the six services; the floor is 70% of the servers, rounded up.
///
/// The design states numbers of servers, slots and network delays. Service times and deadlines are
/// assumptions: lookups of tens of milliseconds, bookings about twice as long, downloads of some
/// hundred milliseconds. One request in 200 takes a multiple with a Pareto tail.
pub fn all() -> Vec<Service> {
    let ee_hop_delay = Duration::from_micros(500);
    let tn_hop_delay = Duration::from_micros(1_500);
    vec![
        build("slots", 10, Class::Idempotent, 0.030, 0.6, ee_hop_delay),
        build("bookings", 20, Class::NonIdempotent, 0.060, 0.6, ee_hop_delay),
        build("reports", 6, Class::Download, 0.300, 0.8, ee_hop_delay),
        build("vitrine", 12, Class::Idempotent, 0.040, 0.6, tn_hop_delay),
        build("agenda", 12, Class::NonIdempotent, 0.070, 0.6, tn_hop_delay),
        build("archives", 6, Class::Download, 0.400, 0.8, tn_hop_delay),
    ]
}

fn build(
    name: &'static str,
    servers: usize,
    class: Class,
    median: f64,
    sigma: f64,
    hop_delay: Duration,
) -> Service {
    let shape = Shape { median, sigma, tail_share: 0.005, tail_exponent: 1.5, tail_limit: 100.0 };
    let (read_share, deadline) = match class {
        Class::Idempotent => (1.0, 2),
        Class::NonIdempotent | Class::Upload => (0.2, 5),
        Class::Download => (0.0, 30),
    };
    let floor = (servers * 7).div_ceil(10);
    let deadline = Duration::from_secs(deadline);
    Service { name, servers, slots: 5, class, read_share, shape, hop_delay, deadline, floor }
}

impl Service {
    /// Returns the requests per second that all servers together can run.
    pub fn capacity(&self) -> f64 {
        let slots = u32::try_from(self.servers * self.slots).unwrap_or(u32::MAX);
        f64::from(slots) / self.shape.mean()
    }
}
