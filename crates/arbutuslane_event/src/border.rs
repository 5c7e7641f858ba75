//! The serialized form of events.
//!
//! A kind is serialized as its name and a map of its fields, so that the command line of an earlier
//! release can still show events whose kind it does not know.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{buffer, clock, event, kind};

/// The serialized form of [`clock::Stamp`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since 1970-01-01 UTC.
    pub wall_ms: u64,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

/// The serialized form of [`event::Event`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The event's position in the causal order of the fleet.
    pub stamp: Stamp,
    /// The node or control instance that recorded the event.
    pub instance: String,
    /// The sequence number of the event in its process, counted from 1.
    pub sequence: u64,
    /// The name of the kind.
    pub kind: String,
    /// The service concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The backend server concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// The names and values of the fields of the kind.
    #[serde(default)]
    pub fields: BTreeMap<String, String>,
}

/// The serialized form of [`buffer::Page`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The instance that recorded the events.
    pub instance: String,
    /// When the process started, in milliseconds since 1970-01-01 UTC.
    pub started_ms: u64,
    /// The value of `since` for the next request: the highest sequence number so far.
    pub next: u64,
    /// The number of requested events that were no longer in the buffer.
    pub dropped: u64,
    /// The events, in ascending order of their sequence numbers.
    pub events: Vec<Event>,
}

impl From<clock::Stamp> for Stamp {
    fn from(stamp: clock::Stamp) -> Self {
        Self { wall_ms: stamp.wall_ms, counter: stamp.counter }
    }
}

impl From<Stamp> for clock::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self { wall_ms: stamp.wall_ms, counter: stamp.counter }
    }
}

impl From<event::Event> for Event {
    fn from(event: event::Event) -> Self {
        let fields = event.kind.fields().into_iter();
        Self {
            stamp: event.stamp.into(),
            instance: event.instance,
            sequence: event.sequence,
            kind: event.kind.name().to_string(),
            service: event.service,
            server: event.server,
            fields: fields.map(|(key, value)| (key.to_string(), value)).collect(),
        }
    }
}

impl Event {
    /// Returns the typed kind.
    ///
    /// Returns `None` when this release does not know the kind or one of its fields is malformed.
    pub fn to_kind(&self) -> Option<kind::Kind> {
        kind::Kind::parse(&self.kind, &self.fields)
    }
}

impl From<buffer::Page> for Page {
    fn from(page: buffer::Page) -> Self {
        Self {
            instance: page.instance,
            started_ms: page.started_ms,
            next: page.next,
            dropped: page.dropped,
            events: page.events.into_iter().map(Into::into).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::buffer::Buffer;
    use crate::event::Draft;
    use crate::kind::{Kind, Reason};

    /// Guards against a JSON form that loses fields of an event.
    #[test]
    fn page_json_round_trip() {
        let buffer = Buffer::new("node-1", 8);
        let kind = Kind::Ejection { reason: Reason::Slowness, severity: 40, permit: 1 };
        buffer.record(Draft::new(kind.clone()).service("agenda").server("agenda-2"));
        let json = serde_json::to_string(&Page::from(buffer.events_since(0))).unwrap();
        let page: Page = serde_json::from_str(&json).unwrap();
        assert_eq!(page.events[0].to_kind(), Some(kind));
        assert_eq!(page.events[0].server.as_deref(), Some("agenda-2"));
    }
}
