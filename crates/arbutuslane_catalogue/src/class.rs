//! The class of a request: how it may be repeated, and what it moves.

use std::fmt;

/// How a request may be repeated or resumed when the outcome of an attempt is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Running a request twice does no harm, as with lookups.
    Idempotent,
    /// A request runs at most once, as with bookings and holds.
    NonIdempotent,
    /// The response is long; after an interruption it can be resumed on another server.
    Download,
    /// The request body is long, and the request runs at most once.
    Upload,
}

impl Class {
    /// The number of classes.
    pub const COUNT: usize = 4;

    /// All classes, each at its [`index`](Self::index).
    pub const ALL: [Self; Self::COUNT] =
        [Self::Idempotent, Self::NonIdempotent, Self::Download, Self::Upload];

    /// Returns whether a request may run more than once.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent | Self::Upload => false,
        }
    }

    /// Returns the rank of requests whose route states none: requests that run at most once go
    /// before lookups, and lookups before downloads.
    pub const fn default_rank(self) -> u8 {
        match self {
            Self::NonIdempotent | Self::Upload => 0,
            Self::Idempotent => 1,
            Self::Download => 2,
        }
    }

    /// Returns the position of the class in [`ALL`](Self::ALL), for tables with one entry for each
    /// class.
    pub const fn index(self) -> usize {
        match self {
            Self::Idempotent => 0,
            Self::NonIdempotent => 1,
            Self::Download => 2,
            Self::Upload => 3,
        }
    }

    /// Returns the name of the class in catalogues, metrics and messages between nodes.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Download => "download",
            Self::Upload => "upload",
        }
    }

    /// Returns the class with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.name() == name)
    }
}

impl fmt::Display for Class {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
