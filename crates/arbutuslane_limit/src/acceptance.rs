//! How many owners are worth asking for a free slot.

use arbutuslane_core::experiment::Mechanism;

use crate::attempts::MAX_OWNERS_TRIED;

/// The weight of the newest answer in the share of acceptances.
const ANSWER_WEIGHT: f64 = 0.05;

/// The number of owners asked while hardly any has a free slot. The request then waits at the one of
/// them with the shortest wait.
const FEW_OWNERS: u32 = 3;

/// The share of owners of one service that had a free slot when this entry asked them.
///
/// While slots are free somewhere, asking further owners finds one. At an overload nearly all refuse,
/// and the questions of all entries use up the links and the processor time of the owners that have
/// the most work.
#[derive(Debug, Clone)]
pub struct Acceptance {
    share: f64,
}

impl Default for Acceptance {
    fn default() -> Self {
        Self { share: 1.0 }
    }
}

impl Acceptance {
    /// Records whether an owner accepted a request at once.
    pub fn record(&mut self, accepted: bool) {
        let answer = if accepted { 1.0 } else { 0.0 };
        self.share += ANSWER_WEIGHT * (answer - self.share);
    }

    /// Returns how many owners a request asks before it waits.
    pub fn max_owners(&self) -> u32 {
        let is_overloaded = self.share * f64::from(MAX_OWNERS_TRIED) < 1.0;
        match is_overloaded && Mechanism::Acceptance.is_on() {
            true => FEW_OWNERS,
            false => MAX_OWNERS_TRIED,
        }
    }
}
