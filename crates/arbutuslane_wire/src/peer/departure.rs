//! Departures of backend servers in messages.

use arbutuslane_member::departure;
use serde::{Deserialize, Serialize};

/// See [`departure::Departure`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    server: String,
    incarnation: u64,
    stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Stage {
    Draining,
    Left,
}

impl From<departure::Departure> for Departure {
    fn from(departure: departure::Departure) -> Self {
        let stage = match departure.stage {
            departure::Stage::Draining => Stage::Draining,
            departure::Stage::Left => Stage::Left,
        };
        Self { server: departure.server, incarnation: departure.incarnation, stage }
    }
}

impl From<Departure> for departure::Departure {
    fn from(departure: Departure) -> Self {
        let stage = match departure.stage {
            Stage::Draining => departure::Stage::Draining,
            Stage::Left => departure::Stage::Left,
        };
        Self { server: departure.server, incarnation: departure.incarnation, stage }
    }
}
