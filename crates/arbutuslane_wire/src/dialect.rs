//! How callers and backend servers name what the fleet exchanges with them.

use crate::header;

/// The names of header fields, and the conventions, on the hops to callers and backend servers.
///
/// Between the processes of the fleet the names of [`header`] hold, whatever the dialect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dialect {
    /// The milliseconds that remain for a request.
    pub deadline_ms: &'static str,
    /// How a response is matched to its request.
    pub exchange: Exchange,
    /// Separates the id of a running request from the rest of the id of a call that its server makes
    /// through the fleet, where such ids tell the two apart.
    pub call_separator: Option<char>,
    /// Names the backend server that is to run a request; any other refuses it as not run.
    pub expected_server: Option<&'static str>,
    /// Names the service on whose machine a request began.
    pub origin_service: Option<&'static str>,
    /// How a server says that it did not run a request.
    pub not_run: NotRun,
    /// Whether the statuses 408, 421, 429 and 503 promise a caller that its request did not run, so
    /// that no other response may carry one of them.
    pub statuses_promise: bool,
    /// Whether the end of a connection may end a response; a reset never does.
    pub ends_with_connection: bool,
}

/// How a response is matched to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// The sender of each hop sets the field to an id of its own; servers may echo it.
    PerHop(&'static str),
    /// The caller sets the field, and servers always echo it.
    OfCaller(&'static str),
}

/// The field by which a server says that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// The name of the field.
    pub name: &'static str,
    /// Its value, or nothing where any value says so.
    pub value: Option<&'static str>,
}

impl Dialect {
    /// Returns the id of the running request that the request `id` is a call of.
    pub fn parent<'a>(&self, id: &'a str) -> Option<&'a str> {
        id.rsplit_once(self.call_separator?).map(|(parent, _)| parent)
    }

    /// The fleet's own names.
    pub const NATIVE: Self = Self {
        deadline_ms: header::DEADLINE_MS,
        exchange: Exchange::PerHop(header::EXCHANGE),
        call_separator: None,
        expected_server: None,
        origin_service: None,
        not_run: NotRun { name: header::OUTCOME, value: Some(header::OUTCOME_NOT_RUN) },
        statuses_promise: false,
        ends_with_connection: false,
    };
}
