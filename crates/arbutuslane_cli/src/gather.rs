//! Gathers events and statuses from every instance that can be reached.

use std::collections::{BTreeMap, BTreeSet};

use arbutuslane_event::border;
use arbutuslane_wire::status;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::answers;
use crate::client::Http;
use crate::error::Error;
use crate::settings::Settings;

/// How many instances are asked at a time.
const CONCURRENT: usize = 32;

/// What was gathered.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Gathered {
    /// The events in causal order.
    pub events: Vec<border::Event>,
    /// The instances that answered.
    pub reached: Vec<String>,
    /// The instances that did not.
    pub unreached: Vec<Unreached>,
    /// Instances whose memory no longer held events that were asked for.
    pub dropped: Vec<Dropped>,
    /// The statuses of the instances that answered.
    #[serde(skip)]
    pub statuses: Vec<status::Status>,
}

/// An instance that did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unreached {
    /// The address.
    pub address: String,
    /// The id, where another instance told it.
    pub instance: Option<String>,
    /// What was seen.
    pub fault: String,
}

/// Events that an instance no longer had in memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// The instance.
    pub instance: String,
    /// The number of events.
    pub events: u64,
}

/// Remembers from which event on each process is asked.
#[derive(Debug, Default)]
pub struct Cursor {
    next: BTreeMap<String, (u64, u64)>,
}

/// One address to ask.
#[derive(Debug, Clone)]
struct Target {
    address: String,
    instance: Option<String>,
    control: bool,
}

/// What one address answered.
struct Answer {
    target: Target,
    status: Result<status::Status, String>,
    page: Result<border::Page, String>,
}

impl Cursor {
    /// Returns the number of events to skip in the next request to `address`.
    fn since(&self, address: &str) -> u64 {
        self.next.get(address).map_or(0, |(_, next)| *next)
    }

    /// Takes note of `page` and returns whether the process is another one than before, so that
    /// its events have to be asked for from the start.
    fn advance(&mut self, address: &str, page: &border::Page) -> bool {
        let before = self.next.insert(address.to_string(), (page.started_ms, page.next));
        let restarted =
            before.is_some_and(|(started, next)| started != page.started_ms && next > 0);
        if restarted {
            self.next.insert(address.to_string(), (page.started_ms, 0));
        }
        restarted
    }
}

/// Gathers statuses and the events after `cursor` from all instances that can be reached.
pub(crate) async fn all(
    http: &Http,
    settings: &Settings,
    cursor: &mut Cursor,
) -> Result<Gathered, Error> {
    if settings.controls.is_empty() && settings.nodes.is_empty() {
        return Err(Error::Missing { what: "control instance", key: "controls" });
    }
    let mut gathered = Gathered::default();
    let mut asked = BTreeSet::new();
    let mut round: Vec<Target> = Vec::new();
    for (addresses, control) in [(&settings.controls, true), (&settings.nodes, false)] {
        for address in addresses {
            round.push(Target { address: address.clone(), instance: None, control });
        }
    }
    // Each round asks the instances that the round before made known.
    while !round.is_empty() {
        asked.extend(round.iter().map(|target| target.address.clone()));
        let since = |target: &Target| cursor.since(&target.address);
        let requests = round.iter().map(|target| ask(http, target.clone(), since(target)));
        let answers: Vec<Answer> =
            stream::iter(requests).buffer_unordered(CONCURRENT).collect().await;
        let mut found: Vec<Target> = Vec::new();
        for mut answer in answers {
            if let Ok(page) = &answer.page
                && cursor.advance(&answer.target.address, page)
            {
                answer = ask(http, answer.target, 0).await;
                if let Ok(page) = &answer.page {
                    cursor.advance(&answer.target.address, page);
                }
            }
            found.extend(add(&mut gathered, answer));
        }
        found.sort_by(|left, right| left.address.cmp(&right.address));
        found.dedup_by(|left, right| left.address == right.address);
        round = found.into_iter().filter(|target| !asked.contains(&target.address)).collect();
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

async fn ask(http: &Http, target: Target, since: u64) -> Answer {
    // Nodes show their events without a token, so they are not sent one.
    let http = if target.control { http.clone() } else { http.without_token() };
    let status = get::<answers::Status>(&http, &target.address, "/v1/status").await;
    let status = status.map(status::Status::from);
    let page = match &status {
        Ok(status) => {
            let path = format!("/v1/events?since={since}");
            let events = get::<answers::Events>(&http, &target.address, &path).await;
            events.map(|events| events.page(&status.instance, since))
        }
        Err(fault) => Err(fault.clone()),
    };
    Answer { target, status, page }
}

async fn get<T: serde::de::DeserializeOwned>(
    http: &Http,
    address: &str,
    path: &str,
) -> Result<T, String> {
    let reply = http.get(address, path).await.map_err(|fault| fault.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {} for {path}", reply.status));
    }
    reply.json(address).map_err(|error| error.to_string())
}

/// Adds `answer` to what was gathered and returns the instances that it makes known.
fn add(gathered: &mut Gathered, answer: Answer) -> Vec<Target> {
    let mut found = Vec::new();
    let fault = answer.status.as_ref().err().or(answer.page.as_ref().err());
    if let Some(fault) = fault {
        gathered.unreached.push(Unreached {
            address: answer.target.address,
            instance: answer.target.instance,
            fault: fault.clone(),
        });
    }
    if let Ok(status) = answer.status {
        for member in &status.members {
            if member.address.is_empty() || member.state == "dead" {
                continue;
            }
            // Only a control instance is believed about where the operator token may go: a
            // compromised node could name its own address as that of a control instance.
            found.push(Target {
                address: member.address.clone(),
                instance: Some(member.instance.clone()),
                control: member.role == "control" && answer.target.control,
            });
        }
        gathered.statuses.push(status);
    }
    if let Ok(page) = answer.page {
        if page.dropped > 0 {
            let (instance, events) = (page.instance.clone(), page.dropped);
            gathered.dropped.push(Dropped { instance, events });
        }
        gathered.reached.push(page.instance);
        gathered.events.extend(page.events);
    }
    found
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

    /// Guards against events that are lost because a restarted process counts from 1 again.
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

    /// Guards against an effect that is shown before its cause, because its wall clock is behind.
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
