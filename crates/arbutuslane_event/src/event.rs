//! Events, and drafts of events that are not recorded yet.

use std::fmt;

use arbutuslane_core::id::{ServerId, ServiceName};

use crate::clock::Stamp;
use crate::kind::Kind;

/// Something that happened in a process of the fleet.
///
/// Its [`fmt::Display`] form is one line of `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's position in the causal order of the fleet.
    pub stamp: Stamp,
    /// The node or control instance that recorded the event.
    pub instance: String,
    /// The sequence number of the event in its process, counted from 1.
    pub sequence: u64,
    /// The service concerned.
    pub service: Option<ServiceName>,
    /// The backend server concerned.
    pub server: Option<ServerId>,
    /// What happened, with the fields of that kind of event.
    pub kind: Kind,
}

/// An event before [`crate::buffer::Buffer::record`] adds the stamp, instance and sequence number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    pub(crate) service: Option<ServiceName>,
    pub(crate) server: Option<ServerId>,
    pub(crate) kind: Kind,
}

impl Draft {
    /// Returns a draft that concerns no service or server.
    pub fn new(kind: Kind) -> Self {
        Self { service: None, server: None, kind }
    }

    /// Sets the service concerned.
    pub fn service(mut self, service: impl Into<ServiceName>) -> Self {
        self.service = Some(service.into());
        self
    }

    /// Sets the backend server concerned.
    pub fn server(mut self, server: impl Into<ServerId>) -> Self {
        self.server = Some(server.into());
        self
    }
}

impl From<Kind> for Draft {
    fn from(kind: Kind) -> Self {
        Self::new(kind)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "kind={} instance={}", self.kind.name(), quoted(&self.instance))?;
        if let Some(service) = &self.service {
            write!(formatter, " service={}", quoted(service))?;
        }
        if let Some(server) = &self.server {
            write!(formatter, " server={}", quoted(server))?;
        }
        for (key, value) in self.kind.fields() {
            write!(formatter, " {key}={}", quoted(&value))?;
        }
        write!(formatter, " stamp={}.{}", self.stamp.wall_ms, self.stamp.counter)
    }
}

/// Returns `value` in the form for a `key=value` line.
///
/// An empty value, or one with characters other than visible ASCII, or with `"`, `=` or `\`, is
/// quoted and escaped.
pub fn quoted(value: &str) -> String {
    let is_plain =
        |character: char| character.is_ascii_graphic() && !matches!(character, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(is_plain) {
        return value.to_string();
    }
    format!("{value:?}")
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a value with a line break or space that forges a log line or a key.
    #[test]
    fn display_hostile_value() {
        let event = Event {
            stamp: Stamp { wall_ms: 7, counter: 1 },
            instance: "control-1".to_string(),
            sequence: 1,
            service: None,
            server: None,
            kind: Kind::DiskFault { detail: "x\nkind=start \"".to_string() },
        };
        assert_eq!(
            event.to_string(),
            r#"kind=disk-fault instance=control-1 detail="x\nkind=start \"" stamp=7.1"#
        );
    }
}
