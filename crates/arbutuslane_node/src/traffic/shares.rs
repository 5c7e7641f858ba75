//! The shares of services in weighted routes, at one traffic thread.

use rand::RngExt;

use arbutuslane_balance::share::Share;
use arbutuslane_core::id::ServiceName;

use crate::configuration::Rule;

/// The most weighted routes that are remembered; the dealing of all begins anew above it.
const ROUTES: usize = 65_536;

/// The shares by host and path prefix in ascending order.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    routes: Vec<((Option<String>, String), Share)>,
}

impl Shares {
    /// Returns the service for the next request of `rule`.
    pub(crate) fn next(&mut self, rule: &Rule) -> ServiceName {
        if let [(service, _)] = rule.targets.as_slice() {
            return service.clone();
        }
        let route = (rule.host.clone(), rule.prefix.clone());
        match self.routes.binary_search_by(|(known, _)| known.cmp(&route)) {
            Ok(index) => {
                let share = &mut self.routes[index].1;
                if !share.is_for(&rule.targets) {
                    *share = fresh(rule);
                }
                share.next()
            }
            Err(index) => {
                let mut share = fresh(rule);
                let service = share.next();
                if self.routes.len() >= ROUTES {
                    self.routes.clear();
                    self.routes.push((route, share));
                } else {
                    self.routes.insert(index, (route, share));
                }
                service
            }
        }
    }
}

fn fresh(rule: &Rule) -> Share {
    Share::new(&rule.targets, rand::rng().random())
}
