//! The `status` command: shows the current state of instances and services.

use std::collections::BTreeMap;

use arbutuslane_wire::status::{Service, Status};
use serde::Serialize;

use crate::catalogue;
use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::gather::{self, Cursor, Unreached};
use crate::output;
use crate::settings::Settings;
use crate::timeline;

#[derive(Serialize)]
struct StatusOutput<'gathered> {
    instances: &'gathered [Status],
    services: &'gathered [Service],
    unreached: &'gathered [Unreached],
}

/// Shows the instances that can be reached, and the services.
pub(crate) async fn show(settings: Settings, json: bool) -> Result<Code, Error> {
    let token = if settings.controls.is_empty() { None } else { Some(settings.token()?) };
    let http = HttpClient::new(token, settings.timeout_ms).await?;
    let mut gathered = gather::all(&http, &settings, &mut Cursor::default()).await?;
    gathered
        .statuses
        .sort_by(|left, right| (&left.role, &left.instance).cmp(&(&right.role, &right.instance)));
    let services = add_catalogue_entries(&http, &settings, merge(&gathered.statuses)).await;
    if json {
        output::write_json(&StatusOutput {
            instances: &gathered.statuses,
            services: &services,
            unreached: &gathered.unreached,
        });
    } else {
        output::write_line(&render(&gathered.statuses, &services));
        gathered.dropped.clear();
        for notice in timeline::notices(&gathered) {
            output::write_line(&notice);
        }
    }
    Ok(if gathered.unreached.is_empty() { Code::Done } else { Code::Partial })
}

/// Merges the services in the statuses of all instances.
///
/// An instance that has just started or is partitioned knows only some of the servers, and a node
/// may list only the servers that it owns. Each named server is therefore counted once over all
/// instances, and a higher count of a single instance takes precedence.
pub(crate) fn merge(statuses: &[Status]) -> Vec<Service> {
    let mut merged: BTreeMap<&str, Service> = BTreeMap::new();
    for reported in statuses.iter().flat_map(|status| &status.services) {
        let service = merged.entry(&reported.service).or_default();
        service.service.clone_from(&reported.service);
        service.floor = service.floor.max(reported.floor);
        service.live = service.live.max(reported.live);
        service.ejected = service.ejected.max(reported.ejected);
        service.cold = service.cold.max(reported.cold);
        service.draining = service.draining.max(reported.draining);
        service.servers.extend(reported.servers.iter().cloned());
    }
    let mut services: Vec<Service> = merged.into_values().collect();
    for service in &mut services {
        service.servers.sort_by(|left, right| left.server.cmp(&right.server));
        service.servers.dedup_by(|left, right| left.server == right.server);
        let count = |state: &str| {
            let matching_servers =
                service.servers.iter().filter(|server| server.state == state).count();
            u32::try_from(matching_servers).unwrap_or(u32::MAX)
        };
        let (serving, ejected, cold) = (count("serving"), count("ejected"), count("cold"));
        let draining = count("draining");
        service.live = service.live.max(serving + ejected);
        service.ejected = service.ejected.max(ejected);
        service.cold = service.cold.max(cold);
        service.draining = service.draining.max(draining);
    }
    services
}

/// Adds the floors and the services without servers, which nodes do not report, from the catalogue.
pub(crate) async fn add_catalogue_entries(
    http: &HttpClient,
    settings: &Settings,
    mut services: Vec<Service>,
) -> Vec<Service> {
    let Ok(current) = catalogue::fetch(http, settings, None).await else { return services };
    for entry in current.entries {
        match services.iter_mut().find(|service| service.service == entry.service) {
            Some(service) => service.floor = entry.floor,
            None => services.push(Service {
                service: entry.service,
                floor: entry.floor,
                ..Service::default()
            }),
        }
    }
    services.sort_by(|left, right| left.service.cmp(&right.service));
    services
}

fn render(statuses: &[Status], services: &[Service]) -> String {
    let row = |cells: &[&str]| cells.iter().map(|cell| (*cell).to_string()).collect::<Vec<_>>();
    let mut rows = vec![row(&["instance", "role", "domain", "revision", "version", "state"])];
    for status in statuses {
        let mut state = Vec::new();
        if let Some(log) = &status.log {
            state.push(format!("{} in term {}", log.state, log.term));
        }
        if status.isolated {
            state.push("isolated".to_string());
        }
        if status.stopping {
            state.push("stopping".to_string());
        }
        if state.is_empty() {
            state.push("running".to_string());
        }
        let revision = status.revision.to_string();
        let state = state.join(", ");
        rows.push(row(&[
            &status.instance,
            &status.role,
            &status.domain,
            &revision,
            &status.version,
            &state,
        ]));
    }
    let mut text = output::format_table(&rows);
    let headings = ["service", "floor", "live", "ejected", "cold", "draining", "note"];
    let mut rows = vec![row(&headings)];
    for service in services {
        let usable = service.live.saturating_sub(service.ejected);
        let note = match usable {
            usable if usable < service.floor => "below its floor",
            usable if usable == service.floor => "at its floor",
            _ => "",
        };
        let numbers =
            [service.floor, service.live, service.ejected, service.cold, service.draining]
                .map(|number| number.to_string());
        let mut cells = vec![service.service.clone()];
        cells.extend(numbers);
        cells.push(note.to_string());
        rows.push(cells);
    }
    text.push_str("\n\n");
    text.push_str(&output::format_table(&rows));
    text
}

#[cfg(test)]
mod tests {
    use arbutuslane_wire::status::Server;

    use super::*;

    /// Guards against counting the servers of only one owner, and against counting a server twice
    /// after it moved to another owner.
    #[test]
    fn merge_owners() {
        let server = |name: &str, state: &str| Server {
            server: name.to_string(),
            state: state.to_string(),
            ..Server::default()
        };
        let view = |servers: Vec<Server>| Status {
            services: vec![Service {
                service: "slots".to_string(),
                live: 1,
                servers,
                ..Service::default()
            }],
            ..Status::default()
        };
        let one = view(vec![server("a", "serving"), server("b", "ejected")]);
        let two = view(vec![server("a", "serving"), server("c", "draining")]);
        let service = merge(&[one, two]).remove(0);
        assert_eq!((service.live, service.ejected, service.draining), (2, 1, 1));
    }

    /// Guards against an instance that has just started and hides the servers that others know.
    #[test]
    fn merge_partial_view() {
        let view = |live| Status {
            services: vec![Service { service: "slots".to_string(), live, ..Service::default() }],
            ..Status::default()
        };
        assert_eq!(merge(&[view(2), view(9), view(0)])[0].live, 9);
    }
}
