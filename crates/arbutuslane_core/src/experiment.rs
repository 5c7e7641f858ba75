//! Mechanisms that an experiment can turn off, to measure what each of them is worth.
//!
//! All mechanisms are on, except in a process whose settings name those that are off. The state
//! belongs to the process, as it is set once, before the process starts its threads.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::atomic::{AtomicU32, Ordering};

/// The mechanisms that are off: bit `n` stands for the mechanism with the value `n`.
static OFF: AtomicU32 = AtomicU32::new(0);

/// A mechanism that an experiment can turn off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Attempts at another server while the first one is silent.
    SilentAttempts,
    /// The avoidance of servers that failed their last requests.
    SuspectServers,
    /// Trials of suspect servers with requests that others would accept.
    SuspectTrials,
    /// The baselines of the peers of a server, which entries send to its owner.
    PeerSummaries,
    /// Fewer owners asked while hardly any has a free slot.
    Acceptance,
    /// The preference for servers in the own failure domain.
    LocalPreference,
    /// The refusal of requests whose predicted wait is too long.
    PredictedWait,
    /// The starts that are reserved for requests of lower ranks.
    LowerRankStarts,
    /// The common precedence of the calls of one request.
    CallPrecedence,
    /// Offers of requests with long bodies before their bodies.
    BodyOffers,
    /// Request bodies that are held in memory, so that they can be sent again.
    HeldBodies,
    /// The reuse of connections for requests that run at most once.
    ConnectionReuse,
    /// The limit on repeats.
    RepeatLimit,
    /// The avoidance of servers whose owners refused a request of the same entry.
    Avoidance,
}

/// A text that names no mechanism.
#[derive(Debug)]
pub struct UnknownMechanism(String);

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 14] = [
        Self::SilentAttempts,
        Self::SuspectServers,
        Self::SuspectTrials,
        Self::PeerSummaries,
        Self::Acceptance,
        Self::LocalPreference,
        Self::PredictedWait,
        Self::LowerRankStarts,
        Self::CallPrecedence,
        Self::BodyOffers,
        Self::HeldBodies,
        Self::ConnectionReuse,
        Self::RepeatLimit,
        Self::Avoidance,
    ];

    /// Returns the name of the mechanism in settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::SilentAttempts => "silent-attempts",
            Self::SuspectServers => "suspect-servers",
            Self::SuspectTrials => "suspect-trials",
            Self::PeerSummaries => "peer-summaries",
            Self::Acceptance => "acceptance",
            Self::LocalPreference => "local-preference",
            Self::PredictedWait => "predicted-wait",
            Self::LowerRankStarts => "lower-rank-starts",
            Self::CallPrecedence => "call-precedence",
            Self::BodyOffers => "body-offers",
            Self::HeldBodies => "held-bodies",
            Self::ConnectionReuse => "connection-reuse",
            Self::RepeatLimit => "repeat-limit",
            Self::Avoidance => "avoidance",
        }
    }

    /// Returns whether the mechanism is on in this process.
    pub fn is_on(self) -> bool {
        OFF.load(Ordering::Relaxed) & self.bit() == 0
    }

    fn bit(self) -> u32 {
        1 << (self as u32)
    }
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = Self::ALL.into_iter().find(|mechanism| mechanism.name() == text);
        named.ok_or_else(|| UnknownMechanism(text.to_string()))
    }
}

impl Display for UnknownMechanism {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "no mechanism is named \"{}\"; the mechanisms are", self.0)?;
        for (index, mechanism) in Mechanism::ALL.into_iter().enumerate() {
            let separator = if index == 0 { " " } else { ", " };
            write!(formatter, "{separator}{}", mechanism.name())?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownMechanism {}

/// Turns `mechanisms` off in this process, and all others on.
pub fn turn_off(mechanisms: &[Mechanism]) {
    let off = mechanisms.iter().fold(0, |off, mechanism| off | mechanism.bit());
    OFF.store(off, Ordering::Relaxed);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two mechanisms with one bit, of which an experiment would turn off both, and
    /// against a mechanism that settings cannot name.
    #[test]
    fn mechanism_names() {
        let mut bits = 0;
        for mechanism in Mechanism::ALL {
            assert_eq!(bits & mechanism.bit(), 0, "{mechanism:?}");
            bits |= mechanism.bit();
            assert_eq!(mechanism.name().parse::<Mechanism>().unwrap(), mechanism);
        }
        let error = "retries".parse::<Mechanism>().unwrap_err().to_string();
        assert!(error.contains("\"retries\"") && error.contains("silent-attempts"), "{error}");
    }
}
