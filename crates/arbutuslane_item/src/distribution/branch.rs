//! Divides the receivers of a message among relays, which pass it on.
//!
//! A sender splits its receivers into branches, and sends each branch to one of its receivers, the
//! relay, together with the addresses of the others. The relay does the same for these. A fleet of any
//! size is reached in a few hops, and no process sends more than a few messages for one change. Where
//! a relay does not respond, its branch is split again, so that a failed process delays only the
//! receivers behind it, and each failure halves their number.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuslane_core::id::DomainName;

/// The number of branches for the nodes of each failure domain. With two, a relay that dies after it
/// has confirmed a message cuts off half of a domain until the next comparisons.
const BRANCHES_PER_DOMAIN: usize = 2;

/// The number of branches into which a relay splits its receivers.
pub const RELAY_BRANCHES: usize = 5;

/// The number of messages to one relay; the comparisons repair what is lost more often.
const MAX_TRIES: u8 = 3;

/// The longest wait for the response of a relay, several round trips between regions.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// A node that has to be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receiver {
    /// The address of its `peers` listener.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// A relay and the receivers that it has to pass a message on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The process that the message is sent to.
    pub relay: SocketAddr,
    /// The processes that the relay has to tell.
    pub others: Vec<SocketAddr>,
    /// The number of messages to the relay that had no response.
    failures: u8,
}

impl Branch {
    /// Splits all nodes for the process that has a message for them, so that the message enters each
    /// failure domain a few times only. The caller passes the nodes in random order: a node that does
    /// not respond then delays other nodes each time.
    ///
    /// ```
    /// use arbutuslane_item::distribution::{Branch, Receiver};
    ///
    /// let receiver = |number: u8| Receiver {
    ///     address: ([10, 0, 0, number], 80).into(),
    ///     domain: format!("d{}", number % 2),
    /// };
    /// let branches = Branch::for_domains((0..100).map(receiver).collect());
    /// assert_eq!(branches.len(), 4);
    /// assert!(branches.iter().all(|branch| branch.others.len() == 24));
    /// ```
    pub fn for_domains(mut receivers: Vec<Receiver>) -> Vec<Self> {
        // The sort keeps the random order within a domain.
        receivers.sort_by(|left, right| left.domain.cmp(&right.domain));
        let mut branches = Vec::new();
        for domain in receivers.chunk_by(|left, right| left.domain == right.domain) {
            let addresses: Vec<SocketAddr> =
                domain.iter().map(|receiver| receiver.address).collect();
            branches.extend(Self::split(&addresses, BRANCHES_PER_DOMAIN));
        }
        branches
    }

    /// Splits receivers into `count` branches of nearly the same size, or fewer.
    pub fn split(receivers: &[SocketAddr], count: usize) -> Vec<Self> {
        let size = receivers.len().div_ceil(count.max(1)).max(1);
        let mut branches = Vec::new();
        for part in receivers.chunks(size) {
            let [relay, others @ ..] = part else { continue };
            branches.push(Self { relay: *relay, others: others.to_vec(), failures: 0 });
        }
        branches
    }

    /// Returns what to send after the relay did not respond: the message again to it alone, up to
    /// three times in all, because it may only be lost or late, and two branches of the others.
    pub fn after_failure(self) -> Vec<Self> {
        let mut branches = Self::split(&self.others, 2);
        let failures = self.failures + 1;
        if failures < MAX_TRIES {
            branches.push(Self { others: Vec::new(), failures, ..self });
        }
        branches
    }
}

#[cfg(test)]
mod tests {
    use arbutuslane_core::rng::{self, Rng};
    use rand::RngExt;

    use super::*;

    fn receivers(count: u32, domains: u32) -> Vec<Receiver> {
        let receiver = |number: u32| Receiver {
            address: SocketAddr::from((number.to_be_bytes(), 80)),
            domain: format!("d{}", number % domains),
        };
        (0..count).map(receiver).collect()
    }

    /// Delivers branches, with a share of the receivers down; returns who got the message, and the
    /// most messages in a row from the first sender to a receiver.
    fn deliver(branches: Vec<Branch>, down: f64, rng: &mut Rng) -> (Vec<SocketAddr>, u32) {
        let (mut reached, mut longest) = (Vec::new(), 0);
        let mut failed: Vec<SocketAddr> = Vec::new();
        let mut waiting: Vec<(Branch, u32)> =
            branches.into_iter().map(|branch| (branch, 1)).collect();
        while let Some((branch, hops)) = waiting.pop() {
            let is_down = failed.contains(&branch.relay)
                || (!reached.contains(&branch.relay) && rng.random_bool(down));
            let next = match is_down {
                true => {
                    failed.push(branch.relay);
                    branch.after_failure()
                }
                false => {
                    reached.push(branch.relay);
                    longest = longest.max(hops);
                    Branch::split(&branch.others, RELAY_BRANCHES)
                }
            };
            waiting.extend(next.into_iter().map(|branch| (branch, hops + 1)));
        }
        failed.sort_unstable();
        failed.dedup();
        reached.extend(failed);
        (reached, longest)
    }

    /// Guards against a receiver that is left out or told twice, also when many relays do not respond,
    /// and against chains of messages that grow with the fleet.
    #[test]
    fn split_reaches_each_once() {
        let mut rng = rng::seeded(5);
        for (count, domains) in [(0, 1), (1, 1), (7, 3), (30, 2), (300, 5), (3_000, 12)] {
            for (down, max_hops) in [(0.0, 6), (0.3, 20)] {
                let receivers = receivers(count, domains);
                let branches = Branch::for_domains(receivers.clone());
                assert!(branches.len() <= usize::try_from(domains).unwrap() * BRANCHES_PER_DOMAIN);
                let (mut reached, longest) = deliver(branches, down, &mut rng);
                reached.sort_unstable();
                let expected: Vec<SocketAddr> =
                    receivers.iter().map(|receiver| receiver.address).collect();
                assert_eq!(reached, expected, "{count} receivers, {down} down");
                assert!(longest <= max_hops, "{count} receivers, {down} down: {longest} hops");
            }
        }
    }

    /// Guards against a message that leaves a failure domain again after it has entered it.
    #[test]
    fn for_domains_stays_inside() {
        let receivers = receivers(300, 5);
        let domain_of = |address: &SocketAddr| {
            receivers.iter().find(|receiver| receiver.address == *address).map(|r| &r.domain)
        };
        for branch in Branch::for_domains(receivers.clone()) {
            let domain = domain_of(&branch.relay);
            assert!(branch.others.iter().all(|other| domain_of(other) == domain));
        }
    }

    /// Guards against a process that is tried again and again.
    #[test]
    fn after_failure_ends() {
        let address = SocketAddr::from(([10, 0, 0, 1], 80));
        let [branch] = Branch::split(&[address], 5).try_into().unwrap();
        let mut tries = 0;
        let mut waiting = vec![branch];
        while let Some(branch) = waiting.pop() {
            assert_eq!((branch.relay, branch.others.len()), (address, 0));
            tries += 1;
            waiting.extend(branch.after_failure());
        }
        assert_eq!(tries, MAX_TRIES);
    }
}
