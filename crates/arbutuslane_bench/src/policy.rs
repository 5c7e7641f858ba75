//! The ways of choosing and ejecting that runs compare.

use std::time::Duration;

use arbutuslane_catalogue::entry::Preference;
use arbutuslane_core::time::Time;
use arbutuslane_health::baseline::{Consecutive, Never, Rule, SuccessRate};

use crate::phi::Phi;

/// How servers are chosen and ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decision code of the fleet.
    Fleet(Preference),
    /// The decision code of the fleet without ejection.
    PickerOnly,
    /// Round robin without ejection.
    RoundRobin,
    /// Round robin; 5 consecutive failures eject for 30 s.
    Consecutive,
    /// Round robin; a success rate 1.9 standard deviations below the mean of 10 s ejects for 30 s.
    SuccessRate,
    /// Round robin; a phi accrual detector on the times between successful responses.
    Phi,
}

impl Policy {
    /// Returns the policies that run only when they are named.
    pub fn named() -> Vec<Self> {
        vec![Self::PickerOnly, Self::Phi]
    }

    /// Returns the two preferences and the three baselines of the detection runs.
    pub fn compared() -> Vec<Self> {
        vec![
            Self::Fleet(Preference::FastDetection),
            Self::Fleet(Preference::FewFalseEjections),
            Self::RoundRobin,
            Self::Consecutive,
            Self::SuccessRate,
        ]
    }

    /// Returns the name in results.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Fleet(Preference::FastDetection) => "fast_detection",
            Self::Fleet(Preference::FewFalseEjections) => "few_false_ejections",
            Self::PickerOnly => "picker-only",
            Self::RoundRobin => "round-robin",
            Self::Consecutive => "consecutive-failures",
            Self::SuccessRate => "success-rate-10s",
            Self::Phi => "phi-accrual",
        }
    }

    /// Returns whether the fleet's picker chooses servers.
    pub fn uses_picker(&self) -> bool {
        matches!(self, Self::Fleet(_) | Self::PickerOnly)
    }

    /// Returns the preference of the fleet's detector, when it is in use.
    pub fn preference(&self) -> Option<Preference> {
        match self {
            Self::Fleet(preference) => Some(*preference),
            _ => None,
        }
    }

    /// Returns the rule that ejects servers in place of the fleet's detector.
    ///
    /// A rule sees all requests of the service, which favours it: in practice each proxy has a view
    /// of its own.
    pub fn rule(&self, servers: usize) -> Box<dyn Rule> {
        match self {
            Self::Consecutive => Box::new(Consecutive::new(servers, 5)),
            Self::SuccessRate => Box::new(SuccessRate::new(servers, Duration::from_secs(10))),
            Self::Phi => Box::new(Phi::new(servers)),
            _ => Box::new(Never),
        }
    }
}

/// A point from which the offered load is `load` times the capacity.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// The start.
    pub from: Time,
    /// The offered load.
    pub load: f64,
}
