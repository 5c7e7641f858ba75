//! Collects the statuses and events of every instance that can be reached.

use std::collections::{BTreeMap, BTreeSet};

use arbutuslane_event::border;
use arbutuslane_wire::status;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::answers;
use crate::client::HttpClient;
use crate::error::Error;
use crate::settings::Settings;

/// The maximum number of instances that are queried at a time.
const MAX_CONCURRENT_INSTANCES: usize = 32;

/// The statuses and events of the fleet.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Gathered {
    /// The events in causal order.
    pub events: Vec<border::Event>,
    /// The instances that responded.
    pub reached: Vec<String>,
    /// The instances that did not respond.
    pub unreached: Vec<Unreached>,
    /// Instances that no longer had some of the requested events in memory.
    pub dropped: Vec<Dropped>,
    /// The statuses of the instances that responded.
    #[serde(skip)]
    pub statuses: Vec<status::Status>,
}

/// An instance that did not respond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unreached {
    /// The address.
    pub address: String,
    /// The id, if another instance reported it.
    pub instance: Option<String>,
    /// The error of the request.
    pub fault: String,
}

/// The number of events that an instance no longer had in memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// The instance.
    pub instance: String,
    /// The number of events.
    pub events: u64,
}

/// The position in the events of each process.
#[derive(Debug, Default)]
pub struct Cursor {
    /// For each address, when the process started, in milliseconds since 1970-01-01 UTC, and the
    /// sequence number of its last received event.
    positions: BTreeMap<String, (u64, u64)>,
}

/// An instance to query.
#[derive(Debug, Clone)]
struct Target {
    address: String,
    instance: Option<String>,
    /// Whether the instance is a control instance, which receives the operator token.
    is_control: bool,
}

/// The responses of one instance.
struct TargetResponse {
    target: Target,
    status: Result<status::Status, String>,
    page: Result<border::Page, String>,
}

impl Cursor {
    /// Returns the sequence number of the event after which the next request to `address` starts.
    fn since(&self, address: &str) -> u64 {
        self.positions.get(address).map_or(0, |(_, next)| *next)
    }

    /// Records the position of `page` and returns whether the process has restarted, so that its
    /// events must be requested from the start.
    fn advance(&mut self, address: &str, page: &border::Page) -> bool {
        let previous = self.positions.insert(address.to_string(), (page.started_ms, page.next));
        let restarted =
            previous.is_some_and(|(started, next)| started != page.started_ms && next > 0);
        if restarted {
            self.positions.insert(address.to_string(), (page.started_ms, 0));
        }
        restarted
    }
}

/// Collects the statuses, and the events after `cursor`, of all instances that can be reached.
pub(crate) async fn all(
    http: &HttpClient,
    settings: &Settings,
    cursor: &mut Cursor,
) -> Result<Gathered, Error> {
    if settings.controls.is_empty() && settings.nodes.is_empty() {
        return Err(Error::MissingSetting { name: "control instance", key: "controls" });
    }
    let mut gathered = Gathered::default();
    let mut queried = BTreeSet::new();
    let mut round: Vec<Target> = Vec::new();
    for (addresses, control) in [(&settings.controls, true), (&settings.nodes, false)] {
        for address in addresses {
            round.push(Target { address: address.clone(), instance: None, is_control: control });
        }
    }
    // Each round queries the instances that the previous round discovered.
    while !round.is_empty() {
        queried.extend(round.iter().map(|target| target.address.clone()));
        let since = |target: &Target| cursor.since(&target.address);
        let requests = round.iter().map(|target| query_target(http, target.clone(), since(target)));
        let responses: Vec<TargetResponse> =
            stream::iter(requests).buffer_unordered(MAX_CONCURRENT_INSTANCES).collect().await;
        let mut discovered: Vec<Target> = Vec::new();
        for mut response in responses {
            if let Ok(page) = &response.page
                && cursor.advance(&response.target.address, page)
            {
                response = query_target(http, response.target, 0).await;
                if let Ok(page) = &response.page {
                    cursor.advance(&response.target.address, page);
                }
            }
            discovered.extend(add_response(&mut gathered, response));
        }
        discovered.sort_by(|left, right| left.address.cmp(&right.address));
        discovered.dedup_by(|left, right| left.address == right.address);
        round =
            discovered.into_iter().filter(|target| !queried.contains(&target.address)).collect();
    }
    gathered.reached.sort();
    gathered.reached.dedup();
    gathered.unreached.sort_by(|left, right| left.address.cmp(&right.address));
    order(&mut gathered.events);
    Ok(gathered)
}

/// Sorts `events` in causal order and removes those that were received twice.
pub fn order(events: &mut Vec<border::Event>) {
    let key = |event: &border::Event| (event.stamp, event.instance.clone(), event.sequence);
    events.sort_by_cached_key(key);
    events.dedup_by(|left, right| key(left) == key(right));
}

async fn query_target(http: &HttpClient, target: Target, since: u64) -> TargetResponse {
    // Nodes require no token for statuses and events, so they do not receive it.
    let http = if target.is_control { http.clone() } else { http.without_token() };
    let status = get_json::<answers::StatusResponse>(&http, &target.address, "/v1/status").await;
    let status = status.map(status::Status::from);
    let page = match &status {
        Ok(status) => {
            let path = format!("/v1/events?since={since}");
            let events = get_json::<answers::EventsResponse>(&http, &target.address, &path).await;
            events.map(|events| events.page(&status.instance, since))
        }
        Err(error) => Err(error.clone()),
    };
    TargetResponse { target, status, page }
}

async fn get_json<T: serde::de::DeserializeOwned>(
    http: &HttpClient,
    address: &str,
    path: &str,
) -> Result<T, String> {
    let response = http.get(address, path).await.map_err(|error| error.to_string())?;
    if response.status != 200 {
        return Err(format!("status {} for {path}", response.status));
    }
    response.json(address).map_err(|error| error.to_string())
}

/// Adds `response` to `gathered` and returns the instances that it lists.
fn add_response(gathered: &mut Gathered, response: TargetResponse) -> Vec<Target> {
    let mut discovered = Vec::new();
    let error = response.status.as_ref().err().or(response.page.as_ref().err());
    if let Some(error) = error {
        gathered.unreached.push(Unreached {
            address: response.target.address,
            instance: response.target.instance,
            fault: error.clone(),
        });
    }
    if let Ok(status) = response.status {
        for member in &status.members {
            if member.address.is_empty() || member.state == "dead" {
                continue;
            }
            // Only a control instance is trusted to list other control instances, which receive the
            // operator token. A compromised node could list its own address as one.
            discovered.push(Target {
                address: member.address.clone(),
                instance: Some(member.instance.clone()),
                is_control: member.role == "control" && response.target.is_control,
            });
        }
        gathered.statuses.push(status);
    }
    if let Ok(page) = response.page {
        if page.dropped > 0 {
            let (instance, events) = (page.instance.clone(), page.dropped);
            gathered.dropped.push(Dropped { instance, events });
        }
        gathered.reached.push(page.instance);
        gathered.events.extend(page.events);
    }
    discovered
}

#[cfg(test)]
mod tests {
    use super::*;

    fn page(started_ms: u64, next: u64) -> border::Page {
        border::Page {
            instance: "n1".to_string(),
            started_ms,
            next,
            dropped: 0,
            events: Vec::new(),
        }
    }

    /// Guards against losing events because a restarted process numbers them from 1 again.
    #[test]
    fn cursor_restart() {
        let mut cursor = Cursor::default();
        assert!(!cursor.advance("a", &page(100, 40)));
        assert_eq!(cursor.since("a"), 40);
        assert!(cursor.advance("a", &page(200, 3)));
        assert_eq!(cursor.since("a"), 0);
        assert!(!cursor.advance("a", &page(200, 3)));
        assert_eq!(cursor.since("a"), 3);
    }

    /// Guards against an effect that is shown before its cause because the wall clock of its
    /// instance is behind.
    #[test]
    fn order_causal() {
        let event = |wall_ms, counter, instance: &str, sequence| border::Event {
            stamp: border::Stamp { wall_ms, counter },
            instance: instance.to_string(),
            sequence,
            kind: "stop".to_string(),
            service: None,
            server: None,
            fields: BTreeMap::new(),
        };
        let mut events = vec![
            event(5, 1, "b", 9),
            event(5, 0, "a", 4),
            event(5, 1, "b", 9),
            event(4, 8, "b", 8),
            event(5, 1, "a", 5),
        ];
        order(&mut events);
        let order: Vec<(&str, u64)> =
            events.iter().map(|event| (event.instance.as_str(), event.sequence)).collect();
        assert_eq!(order, [("b", 8), ("a", 4), ("a", 5), ("b", 9)]);
    }
}
