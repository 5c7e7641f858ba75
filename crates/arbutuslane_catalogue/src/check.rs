//! Validates the entries of a catalogue before they are proposed.

use std::time::Duration;

use crate::entry::{Entry, Limits, Route};

/// The maximum length of a service name in bytes; the name appears in log lines and metric labels.
pub const MAX_NAME_BYTES: usize = 63;

/// The maximum length of an owner, a host or a path prefix in bytes.
pub const MAX_TEXT_BYTES: usize = 255;

/// The maximum default deadline, which allows for a download of an hour.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// The maximum value of the body limit in bytes: 1 GiB.
pub const MAX_BODY_BYTES: u64 = 1 << 30;

/// The maximum number of entries in a catalogue: more than ten times the target size.
pub const MAX_ENTRIES: usize = 8_192;

/// The maximum number of routes in a catalogue: more than three times the target size.
pub const MAX_ROUTES: usize = 100_000;

/// A problem in a catalogue, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The path of the invalid key, such as `entries[2].routes[0].path_prefix`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Returns the problems in `entries`; the list is empty when they are valid.
///
/// Limits of the whole catalogue come first, then the problems of each entry in the order of the
/// entries, and last the duplicate services and routes.
///
/// ```
/// use arbutuslane_catalogue::prelude::*;
///
/// let entry = Entry {
///     service: "slots".to_string(),
///     owner: "tuning".to_string(),
///     class: Class::Idempotent,
///     preference: Preference::FewFalseEjections,
///     floor: 0,
///     limits: Limits::default(),
///     routes: vec![Route { host: None, path_prefix: "/slots".to_string(), class: None }],
/// };
/// let findings = arbutuslane_catalogue::check::entries(&[entry]);
/// assert_eq!(findings[0].key, "entries[0].floor");
/// ```
pub fn entries(entries: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    if entries.len() > MAX_ENTRIES {
        let problem =
            format!("the catalogue has {} entries; the limit is {MAX_ENTRIES}", entries.len());
        push(&mut findings, "entries".to_string(), problem, "remove services that are not used");
    }
    let routes: usize = entries.iter().map(|entry| entry.routes.len()).sum();
    if routes > MAX_ROUTES {
        let problem = format!("the catalogue has {routes} routes; the limit is {MAX_ROUTES}");
        push(&mut findings, "entries".to_string(), problem, "replace routes by shorter prefixes");
    }
    for (index, entry) in entries.iter().enumerate() {
        check_entry(&mut findings, &format!("entries[{index}]"), entry);
    }
    check_services(&mut findings, entries);
    check_routes(&mut findings, entries);
    findings
}

fn push(findings: &mut Vec<Finding>, key: String, problem: String, remedy: &str) {
    findings.push(Finding { key, problem, remedy: remedy.to_string() });
}

/// Checks one entry; `at` is the path of its key, such as `entries[2]`.
fn check_entry(findings: &mut Vec<Finding>, at: &str, entry: &Entry) {
    let name = entry.service.as_str();
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let starts_with_letter = name.bytes().next().is_some_and(|byte| byte.is_ascii_lowercase());
    if !starts_with_letter || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        push(
            findings,
            format!("{at}.service"),
            format!("{name:?} is not a valid service name"),
            "use 1 to 63 lower-case letters, digits and hyphens, and start with a letter",
        );
    }
    if entry.owner.trim().is_empty() || entry.owner.len() > MAX_TEXT_BYTES {
        push(
            findings,
            format!("{at}.owner"),
            "the owner is empty or too long".to_string(),
            "name the firm or team that answers for the service, in at most 255 bytes",
        );
    }
    if entry.floor == 0 {
        push(
            findings,
            format!("{at}.floor"),
            "a floor of 0 lets every server of the service be ejected".to_string(),
            "set the number of servers that the service needs at its busiest, at least 1",
        );
    }
    check_limits(findings, &format!("{at}.limits"), &entry.limits);
    if entry.routes.is_empty() {
        push(
            findings,
            format!("{at}.routes"),
            "no request can reach a service without a route".to_string(),
            "add a route, or remove the entry",
        );
    }
    for (index, route) in entry.routes.iter().enumerate() {
        check_route(findings, &format!("{at}.routes[{index}]"), route);
    }
}

fn check_limits(findings: &mut Vec<Finding>, at: &str, limits: &Limits) {
    if limits.deadline.is_zero() || limits.deadline > MAX_DEADLINE {
        push(
            findings,
            format!("{at}.deadline_ms"),
            format!("a deadline of {} ms is out of range", limits.deadline.as_millis()),
            "use 1 to 3600000",
        );
    }
    if limits.body_bytes > MAX_BODY_BYTES {
        push(
            findings,
            format!("{at}.body_bytes"),
            format!("{} bytes exceed the limit of {MAX_BODY_BYTES}", limits.body_bytes),
            "use at most 1073741824 (1 GiB)",
        );
    }
    let rates = [
        ("caller_rate", limits.caller_rate),
        ("route_rate", limits.route_rate),
        ("service_rate", limits.service_rate),
    ];
    for (key, rate) in rates {
        if rate == 0 {
            push(
                findings,
                format!("{at}.{key}"),
                "a rate of 0 refuses every request".to_string(),
                "use at least 1, or remove the entry to stop the service",
            );
        }
    }
}

fn check_route(findings: &mut Vec<Finding>, at: &str, route: &Route) {
    if let Some(host) = &route.host {
        let is_allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'.')
        };
        if host.is_empty() || host.len() > MAX_TEXT_BYTES || !host.bytes().all(is_allowed) {
            push(
                findings,
                format!("{at}.host"),
                format!("{host:?} is not a valid host"),
                "write the host in lower case and without a port, or remove the key for any host",
            );
        }
    }
    let prefix = route.path_prefix.as_str();
    let is_allowed =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'%' | b'\\');
    let has_dot_segment = prefix.split('/').any(|segment| matches!(segment, "." | ".."));
    if !prefix.starts_with('/')
        || prefix.len() > MAX_TEXT_BYTES
        || prefix.contains("//")
        || has_dot_segment
        || !prefix.bytes().all(is_allowed)
    {
        push(
            findings,
            format!("{at}.path_prefix"),
            format!("{prefix:?} is not a valid path prefix"),
            "start with \"/\" and use plain characters without query, \"%\", \"//\" or \"..\"",
        );
    }
}

/// Reports each entry whose service is declared by an earlier entry.
fn check_services(findings: &mut Vec<Finding>, entries: &[Entry]) {
    let mut order: Vec<usize> = (0..entries.len()).collect();
    order.sort_by_key(|index| (&entries[*index].service, *index));
    for pair in order.windows(2) {
        if entries[pair[0]].service != entries[pair[1]].service {
            continue;
        }
        push(
            findings,
            format!("entries[{}].service", pair[1]),
            format!("{:?} is already declared", entries[pair[1]].service),
            "keep one entry for each service",
        );
    }
}

/// Reports each route with the same host and path prefix as another route.
fn check_routes(findings: &mut Vec<Finding>, entries: &[Entry]) {
    let mut routes: Vec<(&Option<String>, &str, usize, usize)> = Vec::new();
    for (entry_index, entry) in entries.iter().enumerate() {
        for (route_index, route) in entry.routes.iter().enumerate() {
            routes.push((&route.host, route.path_prefix.as_str(), entry_index, route_index));
        }
    }
    routes.sort_unstable();
    for pair in routes.windows(2) {
        let ((host, prefix, first_entry, _), (other_host, other_prefix, entry, route)) =
            (pair[0], pair[1]);
        if (host, prefix) != (other_host, other_prefix) {
            continue;
        }
        push(
            findings,
            format!("entries[{entry}].routes[{route}].path_prefix"),
            format!("{prefix:?} also leads to service {:?}", entries[first_entry].service),
            "give each host and path prefix to one service only",
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::{Class, Preference};

    fn entry(service: &str, prefix: &str) -> Entry {
        Entry {
            service: service.to_string(),
            owner: "tuning".to_string(),
            class: Class::Idempotent,
            preference: Preference::FewFalseEjections,
            floor: 8,
            limits: Limits::default(),
            routes: vec![Route { host: None, path_prefix: prefix.to_string(), class: None }],
        }
    }

    #[test]
    fn entries_valid() {
        assert_eq!(entries(&[entry("slots", "/slots"), entry("bookings", "/bookings")]), []);
    }

    /// Guards against accepting a value that would refuse all requests or disable the floor.
    #[test]
    fn entries_each_fault() {
        type Mutation = fn(&mut Entry);
        let cases: [(Mutation, &str); 13] = [
            (|entry| entry.service = "Slots".to_string(), "service"),
            (|entry| entry.service = "a".repeat(64), "service"),
            (|entry| entry.owner = " ".to_string(), "owner"),
            (|entry| entry.floor = 0, "floor"),
            (|entry| entry.limits.deadline = Duration::ZERO, "limits.deadline_ms"),
            (|entry| entry.limits.body_bytes = MAX_BODY_BYTES + 1, "limits.body_bytes"),
            (|entry| entry.limits.caller_rate = 0, "limits.caller_rate"),
            (|entry| entry.routes.clear(), "routes"),
            (|entry| entry.routes[0].host = Some("A.ee:80".to_string()), "routes[0].host"),
            (|entry| entry.routes[0].path_prefix = "slots".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a/../b".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a?b".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a%2f".to_string(), "routes[0].path_prefix"),
        ];
        for (mutate, key) in cases {
            let mut faulty = entry("slots", "/slots");
            mutate(&mut faulty);
            let keys: Vec<String> =
                entries(&[faulty]).into_iter().map(|finding| finding.key).collect();
            assert_eq!(keys, [format!("entries[0].{key}")]);
        }
    }

    /// Guards against a service that is declared twice, and two services with the same route.
    #[test]
    fn entries_duplicates() {
        let findings = entries(&[entry("slots", "/a"), entry("slots", "/b"), entry("x", "/a")]);
        let keys: Vec<&str> = findings.iter().map(|finding| finding.key.as_str()).collect();
        assert_eq!(keys, ["entries[1].service", "entries[2].routes[0].path_prefix"]);
    }
}
