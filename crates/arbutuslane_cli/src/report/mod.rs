//! The `report` command: summarizes events in sentences, and lists what needs action.

mod sentences;

use std::collections::{BTreeMap, BTreeSet};

use arbutuslane_event::kind::Kind;
use arbutuslane_event::{border, clock, log};
use arbutuslane_wire::status::Service;
use serde::Serialize;

use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::gather::{self, Cursor, Gathered};
use crate::output;
use crate::settings::Settings;
use crate::status;
use crate::timeline;
use crate::when;

/// A summary of the events in a period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Sentences about each service, then about the instances and the catalogue.
    pub happened: Vec<String>,
    /// The actions that an operator must take.
    pub action: Vec<String>,
    /// The gaps in the data of the report.
    pub missing: Vec<String>,
}

/// The conditions that still apply at the end of the period.
#[derive(Debug, Default)]
struct OngoingConditions {
    /// When each ejected server was ejected, by service and server, in milliseconds since
    /// 1970-01-01 UTC.
    ejected: BTreeMap<(String, String), u64>,
    /// When the ejection of an unhealthy server was refused, by service and server.
    ejection_refused: BTreeMap<(String, String), u64>,
    /// The isolated instances, each with the peers that it does not hear from.
    isolated: BTreeMap<String, &'static str>,
    /// When each dead node was declared dead.
    dead: BTreeMap<String, u64>,
}

/// Shows the report on the period since `since_ms`.
pub(crate) async fn show(since_ms: u64, settings: Settings, json: bool) -> Result<Code, Error> {
    let token = if settings.controls.is_empty() { None } else { Some(settings.token()?) };
    let http = HttpClient::new(token, settings.timeout_ms).await?;
    let gathered = gather::all(&http, &settings, &mut Cursor::default()).await?;
    let now_ms = clock::wall_ms();
    let mut report = build(&gathered, since_ms, now_ms);
    let services = status::merge(&gathered.statuses);
    short_of_capacity(
        &mut report,
        &status::add_catalogue_entries(&http, &settings, services).await,
    );
    if json {
        output::write_json(&report);
    } else {
        output::write_line(&render(&report, since_ms, now_ms));
    }
    Ok(if gathered.unreached.is_empty() { Code::Done } else { Code::Partial })
}

/// Builds the report on the events of `gathered` between `since_ms` and `now_ms`.
pub fn build(gathered: &Gathered, since_ms: u64, now_ms: u64) -> Report {
    let mut services: BTreeMap<String, sentences::ServiceCounts> = BTreeMap::new();
    let mut ongoing = OngoingConditions::default();
    let mut report = Report::default();
    let mut fleet_counts: BTreeMap<&'static str, u64> = BTreeMap::new();
    let mut unknown_kinds = 0;
    let mut reported_facts: BTreeSet<String> = BTreeSet::new();
    for event in &gathered.events {
        let Some(kind) = event.to_kind() else {
            unknown_kinds += 1;
            continue;
        };
        // A condition that started before the period may still apply, so earlier events update the
        // ongoing conditions but are not counted.
        update_ongoing(&mut ongoing, event, &kind);
        if event.stamp.wall_ms < since_ms {
            continue;
        }
        // Nodes count refusals and unknown outcomes over all services, so these events name no
        // service.
        let service = event.service.clone().unwrap_or_else(|| "All services".to_string());
        services.entry(service).or_default().count(&kind);
        // Each control instance records the decisions of the whole group, which are reported once.
        if let Some(fact) = shared_fact_key(&kind)
            && !reported_facts.insert(fact)
        {
            continue;
        }
        *fleet_counts.entry(kind.name()).or_default() += 1;
        report_event(&mut report, event, &kind);
    }
    let mut happened: Vec<String> = Vec::new();
    for (name, service) in &services {
        happened.extend(service.sentences(name));
    }
    happened.extend(sentences::fleet_sentences(&fleet_counts));
    happened.append(&mut report.happened);
    report.happened = happened;
    report_ongoing(&mut report, &ongoing, now_ms);
    report.missing = timeline::notices(gathered);
    if unknown_kinds > 0 {
        report
            .missing
            .push(format!("{unknown_kinds} events have kinds that are unknown to this release"));
    }
    report
}

/// Updates `ongoing` with the start or the end of a condition.
fn update_ongoing(ongoing: &mut OngoingConditions, event: &border::Event, kind: &Kind) {
    let or_default = |value: &Option<String>| value.clone().unwrap_or_default();
    let server_key = (or_default(&event.service), or_default(&event.server));
    match kind {
        Kind::Ejection { .. } => {
            ongoing.ejection_refused.remove(&server_key);
            ongoing.ejected.insert(server_key, event.stamp.wall_ms);
        }
        Kind::EjectionRefused { .. } => {
            ongoing.ejection_refused.insert(server_key, event.stamp.wall_ms);
        }
        Kind::Return { .. } | Kind::ServerLeft { .. } | Kind::LeaseLost { .. } => {
            ongoing.ejected.remove(&server_key);
            ongoing.ejection_refused.remove(&server_key);
        }
        Kind::ReplicaIsolated { .. } => {
            ongoing.isolated.insert(event.instance.clone(), "a majority of the control instances");
        }
        Kind::ControlUnreachable { .. } => {
            ongoing.isolated.insert(event.instance.clone(), "any control instance");
        }
        Kind::ReplicaRejoined { .. } | Kind::ControlReachable { .. } => {
            ongoing.isolated.remove(&event.instance);
        }
        Kind::NodeDead { node } => {
            ongoing.dead.insert(node.clone(), event.stamp.wall_ms);
        }
        Kind::NodeJoined { node, .. } | Kind::NodeRefuted { node } => {
            ongoing.dead.remove(node);
        }
        Kind::Start { .. } => {
            ongoing.isolated.remove(&event.instance);
            ongoing.dead.remove(&event.instance);
        }
        _ => {}
    }
}

/// Returns a key for a fact that several instances record, or `None` for other kinds.
fn shared_fact_key(kind: &Kind) -> Option<String> {
    match kind {
        Kind::ChangeAccepted { revision, .. } => Some(format!("revision {revision}")),
        Kind::ChangeRefused { change_id, .. } => Some(format!("refused {change_id}")),
        Kind::LeaderChange { term, .. } => Some(format!("term {term}")),
        Kind::NodeDead { node } => Some(format!("dead {node}")),
        _ => None,
    }
}

/// Adds the sentence or the action that follows from a single event.
fn report_event(report: &mut Report, event: &border::Event, kind: &Kind) {
    let time = log::format_utc(event.stamp.wall_ms);
    let instance = &event.instance;
    let service = event.service.as_deref().unwrap_or("a service");
    match kind {
        Kind::ChangeAccepted { revision, author, .. } => {
            report.happened.push(format!("{author} made catalogue revision {revision} at {time}."));
        }
        Kind::Stopped { interrupted } if *interrupted > 0 => report.action.push(format!(
            "{instance} interrupted {interrupted} requests in a planned stop at {time}. Report \
             this as a defect."
        )),
        Kind::DiskFault { detail } => report.action.push(format!(
            "The storage of {instance} failed at {time}: {detail}. Free space on a full disk; \
             replace a broken one, then rebuild the instance (docs/OPERATIONS.md, disk-fault)."
        )),
        Kind::RequestQuarantined { fingerprint, for_s } => report.action.push(format!(
            "A request crashed servers of {service}, and the fleet refused it for {} from {time}. \
             Give fingerprint {fingerprint} to the owner of the service.",
            when::format_duration(for_s * 1_000)
        )),
        Kind::RegistersUnavailable { shard } => report.action.push(format!(
            "Shard {shard} had no quorum at {time}, so its keyed bookings were refused as not \
             run (docs/OPERATIONS.md, registers-unavailable)."
        )),
        _ => {}
    }
}

/// Adds an action for each condition that still applies.
fn report_ongoing(report: &mut Report, ongoing: &OngoingConditions, now_ms: u64) {
    for ((service, server), since) in &ongoing.ejected {
        let age = when::format_duration(now_ms.saturating_sub(*since));
        report.action.push(format!(
            "{server} of {service} has been ejected for {age}. Ask the owner of the service to \
             repair it; it returns on its own."
        ));
    }
    for ((service, server), since) in &ongoing.ejection_refused {
        let age = when::format_duration(now_ms.saturating_sub(*since));
        report.action.push(format!(
            "{server} of {service} was found unhealthy {age} ago and stays in use, because the \
             service is at its floor. Add servers, or ask the owner to repair it."
        ));
    }
    for (instance, peers) in &ongoing.isolated {
        report.action.push(format!(
            "{instance} does not hear from {peers}. Check its network (docs/OPERATIONS.md, \
             isolated)."
        ));
    }
    for (node, since) in &ongoing.dead {
        let age = when::format_duration(now_ms.saturating_sub(*since));
        report.action.push(format!(
            "Node {node} was declared dead {age} ago and has not come back. Restart or replace it."
        ));
    }
}

/// Adds an action for each service that now has fewer usable servers than its floor.
fn short_of_capacity(report: &mut Report, services: &[Service]) {
    for service in services {
        let usable = service.live.saturating_sub(service.ejected);
        if usable >= service.floor {
            continue;
        }
        report.action.push(format!(
            "{} has {usable} usable servers now, below its floor of {}. Bring servers back, or \
             add others.",
            service.service, service.floor
        ));
    }
}

fn render(report: &Report, since_ms: u64, now_ms: u64) -> String {
    let mut lines =
        vec![format!("From {} to {}:", log::format_utc(since_ms), log::format_utc(now_ms))];
    let sections = [
        ("", &report.happened, "Nothing to report."),
        ("Needs action:", &report.action, "Nothing needs action."),
        ("Not covered:", &report.missing, ""),
    ];
    for (title, sentences, empty_text) in sections {
        if !title.is_empty() && !sentences.is_empty() {
            lines.push(title.to_string());
        }
        lines.extend(sentences.iter().map(|sentence| format!("- {sentence}")));
        if sentences.is_empty() && !empty_text.is_empty() {
            lines.push(empty_text.to_string());
        }
    }
    lines.join("\n")
}

#[cfg(test)]
mod tests {
    use arbutuslane_event::kind::{Cause, Reason};

    use super::*;

    fn event(wall_ms: u64, server: &str, kind: &Kind) -> border::Event {
        let fields = kind.fields().into_iter();
        border::Event {
            stamp: border::Stamp { wall_ms, counter: 0 },
            instance: "node-1".to_string(),
            sequence: wall_ms,
            kind: kind.name().to_string(),
            service: Some("agenda".to_string()),
            server: Some(server.to_string()),
            fields: fields.map(|(key, value)| (key.to_string(), value)).collect(),
        }
    }

    fn ejection() -> Kind {
        Kind::Ejection { reason: Reason::Failures, severity: 90, permit: 0 }
    }

    fn gathered(events: Vec<border::Event>) -> Gathered {
        Gathered { events, ..Gathered::default() }
    }

    /// Guards against reporting a change once for each control instance that recorded it.
    #[test]
    fn build_shared_fact() {
        let kind = Kind::ChangeAccepted {
            revision: 4,
            change_id: "x".to_string(),
            author: "mari".to_string(),
        };
        let report = build(&gathered(vec![event(1, "", &kind), event(2, "", &kind)]), 0, 10);
        assert_eq!(
            report.happened,
            ["mari made catalogue revision 4 at 1970-01-01T00:00:00.001Z."]
        );
    }

    /// Guards against an ejected server that is missing from the list of actions, also when it was
    /// ejected before the period.
    #[test]
    fn build_open_ejection() {
        let returned = Kind::Return { cause: Cause::Trials, out_ms: 6_000 };
        let report = build(
            &gathered(vec![
                event(10, "agenda-1", &ejection()),
                event(2_000, "agenda-2", &ejection()),
                event(8_000, "agenda-2", &returned),
            ]),
            1_000,
            60_010,
        );
        assert_eq!(
            report.happened,
            [
                "agenda: 1 ejection (1 failures).",
                "agenda: 1 return to use (1 trials), after 6 s out of use in total."
            ]
        );
        assert_eq!(report.action.len(), 1);
        assert!(report.action[0].starts_with("agenda-1 of agenda has been ejected for 1 min 0 s."));
    }

    /// Guards against a report without an action while a service is short of servers for another
    /// reason than ejections.
    #[test]
    fn short_of_capacity_floor() {
        let service =
            |live| Service { service: "agenda".to_string(), floor: 8, live, ..Service::default() };
        let mut report = Report::default();
        short_of_capacity(&mut report, &[service(8)]);
        assert_eq!(report.action, Vec::<String>::new());
        short_of_capacity(&mut report, &[service(7)]);
        assert!(report.action[0].contains("7 usable servers now"));
    }

    /// Guards against a report that does not mention that events are missing.
    #[test]
    fn build_unreached() {
        let mut gathered = gathered(vec![event(5, "a", &Kind::Drain { in_flight: 0 })]);
        gathered.events[0].kind = "kind-of-a-later-release".to_string();
        gathered.unreached.push(gather::Unreached {
            address: "127.0.0.1:9".to_string(),
            instance: Some("node-9".to_string()),
            fault: "connection refused".to_string(),
        });
        let report = build(&gathered, 0, 10);
        assert!(report.missing[0].contains("node-9") && report.missing[1].contains("1 events"));
        assert!(render(&report, 0, 10).contains("Not covered:"));
    }
}
