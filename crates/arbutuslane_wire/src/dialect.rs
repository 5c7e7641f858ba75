//! The header names and conventions on the hops to callers and backend servers.

use crate::header;

/// The names of header fields, and the conventions, on the hops to callers and backend servers.
///
/// Between the processes of the fleet, the names of [`header`] apply with every dialect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dialect {
    /// The field with the milliseconds that remain until the deadline of a request.
    pub deadline_ms: &'static str,
    /// How a response is matched to its request.
    pub response_matching: ResponseMatching,
    /// The character that ends the parent id in a request id.
    ///
    /// A server that calls another service through the fleet while it runs a request starts the id
    /// of that call with the id of the running request. `None` when ids do not show this.
    pub call_separator: Option<char>,
    /// The field that names the backend server that is to run a request; any other server refuses
    /// the request as not run.
    pub expected_server: Option<&'static str>,
    /// The field that names the service on whose machine a request originated.
    pub origin_service: Option<&'static str>,
    /// The field that names the workspace of a request; only the fleet sets it.
    pub workspace: &'static str,
    /// The field by which a server states that it did not run a request.
    pub not_run: Statement,
    /// The field by which a server states how many requests it accepts in a second, a decimal
    /// number; the limit applies until a response without the field.
    pub server_limit: &'static str,
    /// The field by which a server states that it leaves and accepts no new requests.
    pub server_leaving: Statement,
    /// Whether the statuses 408, 421, 429 and 503 guarantee to a caller that its request did not
    /// run, so that no other response may have one of them.
    pub statuses_guarantee_not_run: bool,
    /// Whether a response may end with the regular close of its connection; a reset never ends one.
    pub allows_close_delimited: bool,
}

/// How a response is matched to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMatching {
    /// The sender on each hop sets the field to a new id; servers may echo it.
    PerHop(&'static str),
    /// The caller sets the field to an id, and servers always echo it.
    EndToEnd(&'static str),
}

/// A header field by which a server states something about a request or about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The name of the field.
    pub name: &'static str,
    /// The value that states it, or `None` when any value does.
    pub value: Option<&'static str>,
}

impl Statement {
    /// Returns whether a response whose field has the value `found` states it.
    pub fn is_made_by(&self, found: Option<&str>) -> bool {
        found.is_some_and(|found| self.value.is_none_or(|value| value == found))
    }
}

impl Dialect {
    /// Returns the id of the request during which a server made the request `id`.
    ///
    /// Returns `None` when the dialect has no separator or `id` does not contain it.
    pub fn parent_id<'a>(&self, id: &'a str) -> Option<&'a str> {
        id.rsplit_once(self.call_separator?).map(|(parent, _)| parent)
    }

    /// The dialect with the fleet's own names.
    pub const NATIVE: Self = Self {
        deadline_ms: header::DEADLINE_MS,
        response_matching: ResponseMatching::PerHop(header::EXCHANGE),
        call_separator: None,
        expected_server: None,
        origin_service: None,
        workspace: header::WORKSPACE,
        not_run: Statement { name: header::OUTCOME, value: Some(header::OUTCOME_NOT_RUN) },
        server_limit: header::SERVER_LIMIT,
        server_leaving: Statement { name: header::SERVER_LEAVING, value: Some("1") },
        statuses_guarantee_not_run: false,
        allows_close_delimited: false,
    };
}
