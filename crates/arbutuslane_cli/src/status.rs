//! The `status` command: instances and services as the fleet sees them now.

use std::collections::BTreeMap;

use arbutuslane_wire::status::{Service, Status};
use serde::Serialize;

use crate::client::Http;
use crate::error::Error;
use crate::exit::Code;
use crate::gather::{self, Cursor, Unreached};
use crate::output;
use crate::settings::Settings;
use crate::timeline;

#[derive(Serialize)]
struct Shown<'gathered> {
    instances: &'gathered [Status],
    services: &'gathered [Service],
    unreached: &'gathered [Unreached],
}

/// Shows all instances that can be reached and the services.
pub(crate) async fn show(settings: Settings, json: bool) -> Result<Code, Error> {
    let token = if settings.controls.is_empty() { None } else { Some(settings.token()?) };
    let http = Http::new(token, settings.timeout_ms).await?;
    let mut gathered = gather::all(&http, &settings, &mut Cursor::default()).await?;
    gathered
        .statuses
        .sort_by(|left, right| (&left.role, &left.instance).cmp(&(&right.role, &right.instance)));
    let services = merge(&gathered.statuses);
    if json {
        output::json(&Shown {
            instances: &gathered.statuses,
            services: &services,
            unreached: &gathered.unreached,
        });
    } else {
        output::line(&render(&gathered.statuses, &services));
        gathered.dropped.clear();
        for notice in timeline::notices(&gathered) {
            output::line(&notice);
        }
    }
    Ok(if gathered.unreached.is_empty() { Code::Done } else { Code::Partial })
}

/// Returns each service as the instance that knows most live servers of it sees it.
///
/// An instance that just started, or that is cut off, knows fewer servers than there are.
pub(crate) fn merge(statuses: &[Status]) -> Vec<Service> {
    let mut merged: BTreeMap<&str, &Service> = BTreeMap::new();
    for service in statuses.iter().flat_map(|status| &status.services) {
        let known = merged.entry(&service.service).or_insert(service);
        if (service.live, service.servers.len()) > (known.live, known.servers.len()) {
            *known = service;
        }
    }
    merged.into_values().cloned().collect()
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
    let mut text = output::table(&rows);
    let head = ["service", "floor", "live", "ejected", "cold", "draining", "note"];
    let mut rows = vec![row(&head)];
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
    text.push_str(&output::table(&rows));
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a freshly started instance that hides the servers which others know.
    #[test]
    fn merge_partial_view() {
        let view = |live| Status {
            services: vec![Service { service: "slots".to_string(), live, ..Service::default() }],
            ..Status::default()
        };
        assert_eq!(merge(&[view(2), view(9), view(0)])[0].live, 9);
    }
}
