//! Which requests servers have answered lately.

use std::time::Duration;

use arbutuslane_core::time::Time;

use super::Identity;

/// The number of requests that are remembered; each replaces an earlier one with the same remainder.
const PLACES: usize = 1_024;

/// How long a response counts.
const SERVED_WINDOW: Duration = Duration::from_secs(60);

/// The requests that the servers of one owner have answered lately, as far as there is room: a popular
/// one is mostly among them.
#[derive(Debug, Clone)]
pub(super) struct Served {
    places: Vec<Option<(Identity, Time)>>,
}

impl Default for Served {
    fn default() -> Self {
        Self { places: vec![None; PLACES] }
    }
}

impl Served {
    pub(super) fn record(&mut self, now: Time, identity: Identity) {
        self.places[place(identity)] = Some((identity, now));
    }

    pub(super) fn contains(&self, now: Time, identity: Identity) -> bool {
        self.places[place(identity)]
            .is_some_and(|(known, at)| known == identity && now < at + SERVED_WINDOW)
    }
}

fn place(identity: Identity) -> usize {
    let hash = identity.request ^ identity.variant.rotate_left(1);
    usize::try_from(hash % PLACES as u64).unwrap_or(0)
}
