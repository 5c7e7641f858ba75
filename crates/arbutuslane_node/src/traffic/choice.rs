//! The choice of a server at the entry.
//!
//! Power of two choices over reported and own requests in flight. The picker of the `balance` crate
//! takes the place of [`choose`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_core::time::Time;
use arbutuslane_wire::load::{Report, Serving};

use crate::announce::Server;

use super::worker::Worker;

/// How long a server is skipped whose owner could not be reached.
const BACK_OFF: Duration = Duration::from_millis(500);

/// How long a report that a server is draining keeps it from being chosen.
const DRAIN_MEMORY: Duration = Duration::from_secs(3);

/// A server that a request can be sent to.
#[derive(Debug, Clone)]
pub(crate) enum Candidate {
    /// A server of this node.
    Local(Arc<Server>),
    /// A server of another node.
    Remote {
        /// The name of the server.
        server: ServerId,
        /// The incarnation of the server.
        incarnation: Incarnation,
        /// The number of its slots.
        slots: u32,
        /// The `peers` address of its owner.
        address: SocketAddr,
    },
}

/// The load of servers as one thread last saw it, in ascending order of their names.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    entries: Vec<(ServerId, Load)>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    own: u32,
    report: Option<(Report, Time)>,
    skip_until: Time,
}

/// Counts a request as in flight at this thread until it is dropped.
#[derive(Debug)]
pub(crate) struct Ongoing {
    loads: Rc<RefCell<Loads>>,
    server: ServerId,
}

impl Candidate {
    /// Returns the name of the server.
    pub(crate) fn server(&self) -> &str {
        match self {
            Self::Local(server) => &server.id,
            Self::Remote { server, .. } => server,
        }
    }

    fn slots(&self) -> u32 {
        match self {
            Self::Local(server) => server.admission.occupancy().2,
            Self::Remote { slots, .. } => *slots,
        }
    }
}

impl Loads {
    /// Notes the load that a server reported.
    pub(crate) fn note(&mut self, server: &str, report: Report, now: Time) {
        self.entry(server).report = Some((report, now));
    }

    /// Skips a server for a short while because its owner could not be reached.
    pub(crate) fn skip(&mut self, server: &str, now: Time) {
        self.entry(server).skip_until = now + BACK_OFF;
    }

    /// Counts a request to `server` as in flight.
    pub(crate) fn begin(loads: &Rc<RefCell<Self>>, server: &str) -> Ongoing {
        loads.borrow_mut().entry(server).own += 1;
        Ongoing { loads: Rc::clone(loads), server: server.to_string() }
    }

    fn entry(&mut self, server: &str) -> &mut Load {
        let index = match self.entries.binary_search_by(|(known, _)| known.as_str().cmp(server)) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (server.to_string(), Load::default()));
                index
            }
        };
        &mut self.entries[index].1
    }

    fn get(&self, server: &str) -> Load {
        let index = self.entries.binary_search_by(|(known, _)| known.as_str().cmp(server));
        index.map(|index| self.entries[index].1).unwrap_or_default()
    }
}

impl Drop for Ongoing {
    fn drop(&mut self) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(&self.server);
        load.own = load.own.saturating_sub(1);
    }
}

/// Returns the servers of `service` that can take work, except those in `tried`.
pub(crate) fn candidates(worker: &Worker, service: &str, tried: &[ServerId]) -> Vec<Candidate> {
    let now = worker.shared.clock.now();
    let mut candidates = Vec::new();
    for server in worker.shared.servers.all() {
        if server.service == service && server.open(now) && !tried.contains(&server.id) {
            candidates.push(Candidate::Local(server));
        }
    }
    let local = candidates.len();
    let remotes = worker.shared.remotes();
    let first = remotes.partition_point(|remote| remote.service.as_str() < service);
    for remote in &remotes[first..] {
        if remote.service != service {
            break;
        }
        let known = candidates[..local].iter().any(|local| local.server() == remote.server);
        if known || tried.contains(&remote.server) {
            continue;
        }
        candidates.push(Candidate::Remote {
            server: remote.server.clone(),
            incarnation: remote.incarnation,
            slots: remote.slots,
            address: remote.address,
        });
    }
    candidates
}

/// Chooses the better of two random candidates; servers that drain or are skipped come last.
pub(crate) fn choose(worker: &Worker, mut candidates: Vec<Candidate>) -> Option<Candidate> {
    let now = worker.shared.clock.now();
    let loads = worker.loads.borrow();
    let usable = |candidate: &Candidate| {
        let load = loads.get(candidate.server());
        let draining = load.report.is_some_and(|(report, at)| {
            report.serving == Serving::Draining && now < at + DRAIN_MEMORY
        });
        now >= load.skip_until && !draining
    };
    if candidates.iter().any(usable) {
        candidates.retain(usable);
    }
    let mut rng = worker.rng.borrow_mut();
    let take = |candidates: &mut Vec<Candidate>, rng: &mut arbutuslane_core::rng::Rng| {
        (!candidates.is_empty())
            .then(|| candidates.swap_remove(rng.random_range(0..candidates.len())))
    };
    let first = take(&mut candidates, &mut rng)?;
    let Some(second) = take(&mut candidates, &mut rng) else { return Some(first) };
    let score = |candidate: &Candidate| {
        let load = loads.get(candidate.server());
        let reported = load.report.map_or(0, |(report, _)| report.in_flight + report.queued);
        f64::from(load.own.max(reported) + 1) / f64::from(candidate.slots().max(1))
    };
    Some(if score(&first) <= score(&second) { first } else { second })
}
