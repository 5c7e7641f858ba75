//! The state that a traffic thread keeps for each route: the shares of its services and its mean
//! latency.

use std::time::Duration;

use rand::RngExt;

use arbutuslane_balance::share::WeightedRoundRobin;
use arbutuslane_core::id::ServiceName;

use crate::configuration::Rule;

/// The maximum number of routes that are tracked; when it is exceeded, all of them are dropped.
const MAX_ROUTES: usize = 65_536;

/// The moving average gives the newest latency a weight of one over this number.
const LATENCY_SMOOTHING: u32 = 8;

/// The state of each route, in ascending order of the route names.
#[derive(Debug, Default)]
pub(crate) struct RouteStates {
    routes: Vec<(String, RouteState)>,
}

#[derive(Debug)]
struct RouteState {
    sequence: WeightedRoundRobin,
    latency: Option<Duration>,
}

impl RouteStates {
    /// Returns the service for the next request of `rule`.
    pub(crate) fn next_service(&mut self, rule: &Rule) -> ServiceName {
        let route = self.route(rule);
        if !route.sequence.has_weights(&rule.targets) {
            route.sequence = new_sequence(rule);
        }
        route.sequence.next_service()
    }

    /// Records the latency of a successful response.
    pub(crate) fn record_latency(&mut self, name: &str, newest: Duration) {
        let Ok(index) = self.find(name) else { return };
        let mean = &mut self.routes[index].1.latency;
        *mean =
            Some(mean.map_or(newest, |mean| {
                (mean * (LATENCY_SMOOTHING - 1) + newest) / LATENCY_SMOOTHING
            }));
    }

    /// Returns the mean latency of successful responses.
    pub(crate) fn latency(&self, name: &str) -> Option<Duration> {
        self.find(name).ok().and_then(|index| self.routes[index].1.latency)
    }

    fn route(&mut self, rule: &Rule) -> &mut RouteState {
        let index = match self.find(&rule.name) {
            Ok(index) => index,
            Err(_) if self.routes.len() >= MAX_ROUTES => {
                self.routes.clear();
                self.insert(0, rule)
            }
            Err(index) => self.insert(index, rule),
        };
        &mut self.routes[index].1
    }

    fn insert(&mut self, index: usize, rule: &Rule) -> usize {
        let route = RouteState { sequence: new_sequence(rule), latency: None };
        self.routes.insert(index, (rule.name.clone(), route));
        index
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|(known, _)| known.as_str().cmp(name))
    }
}

fn new_sequence(rule: &Rule) -> WeightedRoundRobin {
    WeightedRoundRobin::new(&rule.targets, rand::rng().random())
}
