//! What backend servers state about themselves in their responses.

use ntex::http::HeaderMap;

use crate::announce::Server;
use crate::traffic::fields;
use crate::traffic::worker::Worker;

/// Applies what a server states about itself in a response: its limit, and that it leaves.
///
/// The owner dispatches all requests to its server, so that it alone can keep the limit for the whole
/// fleet.
pub(super) fn apply(worker: &Worker, server: &Server, headers: &HeaderMap) {
    let dialect = worker.shared.interface.dialect();
    let limit = fields::text(headers, dialect.server_limit).and_then(parse_limit);
    if server.set_limit(limit) {
        tracing::info!(event = "server-limit", server = server.id, per_second = limit);
    }
    let leaving = dialect.server_leaving;
    if leaving.is_made_by(fields::text(headers, leaving.name))
        && worker.shared.servers.close(server)
    {
        tracing::info!(event = "server-leaving", server = server.id);
    }
}

/// Parses a number of requests a second; returns `None` for anything but a finite number of at least
/// 0.
pub(crate) fn parse_limit(text: &str) -> Option<f64> {
    let limit: f64 = text.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a limit from a field that cannot be read, which would stop a healthy server.
    #[test]
    fn parse_limit_unreadable() {
        for (text, limit) in [("2.5", Some(2.5)), (" 0 ", Some(0.0)), ("1e2", Some(100.0))] {
            assert_eq!(parse_limit(text), limit, "{text}");
        }
        for text in ["", "-1", "NaN", "inf", "two", "1,5"] {
            assert_eq!(parse_limit(text), None, "{text}");
        }
    }
}
