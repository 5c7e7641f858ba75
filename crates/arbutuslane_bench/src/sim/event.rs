//! The events of the simulation.

use arbutuslane_balance::candidate::Serving;

/// An event of the simulation. The numbers are indices of requests, attempts or servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    Resend(usize),
    ReachedOwner(usize),
    ServiceEnded(usize),
    ReachedEntry(usize),
    ClaimPermit(usize),
    Tick,
    RenewPermits,
    /// The state of a server as it reaches the entries; [`Event::decode_serving`] decodes `serving`.
    ServingUpdate {
        server: usize,
        serving: u8,
    },
}

impl Event {
    pub(super) fn serving_update(server: usize, serving: Serving) -> Self {
        let serving = match serving {
            Serving::Open => 0,
            Serving::Ejected => 1,
            Serving::Draining => 2,
        };
        Self::ServingUpdate { server, serving }
    }

    pub(super) fn decode_serving(code: u8) -> Serving {
        match code {
            0 => Serving::Open,
            1 => Serving::Ejected,
            _ => Serving::Draining,
        }
    }
}
