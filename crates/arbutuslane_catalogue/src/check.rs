//! Finds what is wrong with the entries of a catalogue before they are proposed.

use std::time::Duration;

use crate::entry::{Entry, Limits, Route};

/// The longest name of a service; the name stands in log lines and metric labels.
pub const NAME_MAX: usize = 63;

/// The longest host or path prefix.
pub const TEXT_MAX: usize = 255;

/// The longest default deadline: a download of an hour.
pub const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// The largest request body: 1 GiB.
pub const BODY_MAX: u64 = 1 << 30;

/// The number of entries that one catalogue may hold: more than ten times the target size.
pub const ENTRIES_MAX: usize = 8_192;

/// The number of routes that one catalogue may hold: more than three times the target size.
pub const ROUTES_MAX: usize = 100_000;

/// Something that is wrong with a catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The path of the key, such as `entries[2].routes[0].path_prefix`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Returns everything that is wrong with `entries`, in their order; nothing when they are valid.
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
    if entries.len() > ENTRIES_MAX {
        let problem = format!("{} entries are more than {ENTRIES_MAX}", entries.len());
        push(&mut findings, "entries".to_string(), problem, "remove services that are not used");
    }
    let routes: usize = entries.iter().map(|entry| entry.routes.len()).sum();
    if routes > ROUTES_MAX {
        let problem = format!("{routes} routes are more than {ROUTES_MAX}");
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

fn check_entry(findings: &mut Vec<Finding>, at: &str, entry: &Entry) {
    let name = entry.service.as_str();
    let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let starts = name.bytes().next().is_some_and(|byte| byte.is_ascii_lowercase());
    if !starts || name.len() > NAME_MAX || !name.bytes().all(plain) {
        push(
            findings,
            format!("{at}.service"),
            format!("{name:?} is not a valid service name"),
            "use 1 to 63 lower-case letters, digits and hyphens, and start with a letter",
        );
    }
    if entry.owner.trim().is_empty() || entry.owner.len() > TEXT_MAX {
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
    if limits.deadline.is_zero() || limits.deadline > DEADLINE_MAX {
        push(
            findings,
            format!("{at}.deadline_ms"),
            format!("a deadline of {} ms is out of range", limits.deadline.as_millis()),
            "use 1 to 3600000",
        );
    }
    if limits.body_bytes > BODY_MAX {
        push(
            findings,
            format!("{at}.body_bytes"),
            format!("{} bytes are more than {BODY_MAX}", limits.body_bytes),
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
        let plain = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'.')
        };
        if host.is_empty() || host.len() > TEXT_MAX || !host.bytes().all(plain) {
            push(
                findings,
                format!("{at}.host"),
                format!("{host:?} is not a valid host"),
                "write the host in lower case and without a port, or remove the key for any host",
            );
        }
    }
    let prefix = route.path_prefix.as_str();
    let plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'%' | b'\\');
    let dots = prefix.split('/').any(|segment| matches!(segment, "." | ".."));
    if !prefix.starts_with('/')
        || prefix.len() > TEXT_MAX
        || prefix.contains("//")
        || dots
        || !prefix.bytes().all(plain)
    {
        push(
            findings,
            format!("{at}.path_prefix"),
            format!("{prefix:?} is not a valid path prefix"),
            "start with \"/\" and use plain characters without query, \"%\", \"//\" or \"..\"",
        );
    }
}

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

fn check_routes(findings: &mut Vec<Finding>, entries: &[Entry]) {
    let mut routes: Vec<(&Option<String>, &str, usize, usize)> = Vec::new();
    for (entry_index, entry) in entries.iter().enumerate() {
        for (route_index, route) in entry.routes.iter().enumerate() {
            routes.push((&route.host, route.path_prefix.as_str(), entry_index, route_index));
        }
    }
    routes.sort_unstable();
    for pair in routes.windows(2) {
        let ((host, prefix, first, _), (other_host, other_prefix, entry, route)) =
            (pair[0], pair[1]);
        if (host, prefix) != (other_host, other_prefix) {
            continue;
        }
        push(
            findings,
            format!("entries[{entry}].routes[{route}].path_prefix"),
            format!("{prefix:?} also leads to service {:?}", entries[first].service),
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

    /// Guards against an accepted value that would refuse all requests or disable the floor.
    #[test]
    fn entries_each_fault() {
        type Fault = fn(&mut Entry);
        let faults: [(Fault, &str); 13] = [
            (|entry| entry.service = "Slots".to_string(), "service"),
            (|entry| entry.service = "a".repeat(64), "service"),
            (|entry| entry.owner = " ".to_string(), "owner"),
            (|entry| entry.floor = 0, "floor"),
            (|entry| entry.limits.deadline = Duration::ZERO, "limits.deadline_ms"),
            (|entry| entry.limits.body_bytes = BODY_MAX + 1, "limits.body_bytes"),
            (|entry| entry.limits.caller_rate = 0, "limits.caller_rate"),
            (|entry| entry.routes.clear(), "routes"),
            (|entry| entry.routes[0].host = Some("A.ee:80".to_string()), "routes[0].host"),
            (|entry| entry.routes[0].path_prefix = "slots".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a/../b".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a?b".to_string(), "routes[0].path_prefix"),
            (|entry| entry.routes[0].path_prefix = "/a%2f".to_string(), "routes[0].path_prefix"),
        ];
        for (fault, key) in faults {
            let mut faulty = entry("slots", "/slots");
            fault(&mut faulty);
            let keys: Vec<String> =
                entries(&[faulty]).into_iter().map(|finding| finding.key).collect();
            assert_eq!(keys, [format!("entries[0].{key}")]);
        }
    }

    /// Guards against two services that claim the same requests.
    #[test]
    fn entries_duplicates() {
        let findings = entries(&[entry("slots", "/a"), entry("slots", "/b"), entry("x", "/a")]);
        let keys: Vec<&str> = findings.iter().map(|finding| finding.key.as_str()).collect();
        assert_eq!(keys, ["entries[1].service", "entries[2].routes[0].path_prefix"]);
    }
}
