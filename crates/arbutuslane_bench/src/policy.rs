//! The policies for choosing and ejecting servers that runs compare.

use std::time::Duration;

use arbutuslane_catalogue::entry::Preference;
use arbutuslane_core::time::Time;
use arbutuslane_health::baseline::{Consecutive, Never, Rule, SuccessRate};

use crate::phi::Phi;

/// A policy for choosing and ejecting servers.
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
    /// Returns the policies that run only when `--policy` names them.
    pub fn opt_in() -> Vec<Self> {
        vec![Self::PickerOnly, Self::Phi]
    }

    /// Returns the policies that the detection scenarios compare: the two preferences of the fleet
    /// and three baselines.
    pub fn compared() -> Vec<Self> {
        vec![
            Self::Fleet(Preference::FastDetection),
            Self::Fleet(Preference::FewFalseEjections),
            Self::RoundRobin,
            Self::Consecutive,
            Self::SuccessRate,
        ]
    }

    /// Returns the name in result files.
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

    /// Returns the preference of the fleet's detector, or `None` when the policy does not use it.
    pub fn preference(&self) -> Option<Preference> {
        match self {
            Self::Fleet(preference) => Some(*preference),
            _ => None,
        }
    }

    /// Returns the rule that ejects servers in place of the fleet's detector.
    ///
    /// A rule observes all requests of the service. That favours it over practice, where each proxy
    /// observes only its own requests.
    pub fn ejection_rule(&self, servers: usize) -> Box<dyn Rule> {
        match self {
            Self::Consecutive => Box::new(Consecutive::new(servers, 5)),
            Self::SuccessRate => Box::new(SuccessRate::new(servers, Duration::from_secs(10))),
            Self::Phi => Box::new(Phi::new(servers)),
            _ => Box::new(Never),
        }
    }
}

/// A part of a run with a constant offered load.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// The start of the phase.
    pub from: Time,
    /// The offered load as a multiple of the capacity.
    pub load: f64,
}
