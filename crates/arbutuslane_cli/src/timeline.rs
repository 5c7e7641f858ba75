//! The `timeline` command: shows the events of the fleet in causal order.

use std::path::PathBuf;

use arbutuslane_event::{border, clock, event, log};
use ntex::time::{Millis, sleep};

use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::gather::{self, Cursor, Gathered};
use crate::output;
use crate::page;
use crate::settings::Settings;

/// The pause between two queries with `--follow`.
const FOLLOW_INTERVAL: Millis = Millis(1_000);

/// Selects the events to show; an empty list selects all.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// The services.
    pub services: Vec<String>,
    /// The backend servers.
    pub servers: Vec<String>,
    /// The instances that recorded the events.
    pub instances: Vec<String>,
    /// The names of the kinds of events.
    pub kinds: Vec<String>,
    /// The earliest time in milliseconds since 1970-01-01 UTC.
    pub since_ms: Option<u64>,
    /// The latest time in milliseconds since 1970-01-01 UTC.
    pub until_ms: Option<u64>,
}

/// The format of the timeline.
#[derive(Debug, Clone)]
pub(crate) enum OutputFormat {
    Text,
    JsonLines,
    Html(PathBuf),
}

impl Filter {
    /// Returns whether the filter selects `event`.
    pub fn matches(&self, event: &border::Event) -> bool {
        let one_of = |wanted: &[String], value: Option<&str>| {
            wanted.is_empty() || value.is_some_and(|value| wanted.iter().any(|name| name == value))
        };
        one_of(&self.services, event.service.as_deref())
            && one_of(&self.servers, event.server.as_deref())
            && one_of(&self.instances, Some(&event.instance))
            && one_of(&self.kinds, Some(&event.kind))
            && self.since_ms.is_none_or(|since| event.stamp.wall_ms >= since)
            && self.until_ms.is_none_or(|until| event.stamp.wall_ms <= until)
    }
}

/// Shows the events that `filter` selects; with `follow`, continues with new events.
pub(crate) async fn show(
    filter: Filter,
    format: OutputFormat,
    follow: bool,
    settings: Settings,
) -> Result<Code, Error> {
    let token = if settings.controls.is_empty() { None } else { Some(settings.token()?) };
    let http = HttpClient::new(token, settings.timeout_ms).await?;
    let mut cursor = Cursor::default();
    let mut previous_notices: Vec<String> = Vec::new();
    loop {
        let mut gathered = gather::all(&http, &settings, &mut cursor).await?;
        gathered.events.retain(|event| filter.matches(event));
        match &format {
            OutputFormat::Html(path) => {
                let html = page::render(&gathered, clock::wall_ms());
                std::fs::write(path, html)
                    .map_err(|source| Error::Write { path: path.clone(), source })?;
                output::write_line(&format!("wrote {}", path.display()));
            }
            OutputFormat::JsonLines => {
                for event in &gathered.events {
                    output::write_line(&serde_json::to_string(event).unwrap_or_default());
                }
            }
            OutputFormat::Text => {
                for event in &gathered.events {
                    output::write_line(&line(event));
                }
            }
        }
        let current_notices = notices(&gathered);
        for notice in &current_notices {
            // While following, prints a notice only when the previous round did not have it.
            if !previous_notices.contains(notice) {
                eprintln!("{notice}");
            }
        }
        previous_notices = current_notices;
        if !follow {
            let complete = gathered.unreached.is_empty();
            return Ok(if complete { Code::Done } else { Code::Partial });
        }
        sleep(FOLLOW_INTERVAL).await;
    }
}

/// Formats `event` as one line.
pub fn line(event: &border::Event) -> String {
    let mut text = format!(
        "{} {:<10} {:<19}",
        log::format_utc(event.stamp.wall_ms),
        strip_control_characters(&event.instance),
        strip_control_characters(&event.kind)
    );
    for (key, value) in [("service", &event.service), ("server", &event.server)] {
        if let Some(value) = value {
            text.push_str(&format!(" {key}={}", event::quoted(value)));
        }
    }
    for (key, value) in &event.fields {
        text.push_str(&format!(" {}={}", strip_control_characters(key), event::quoted(value)));
    }
    text
}

/// Returns a line about each instance that was not reached and each one that dropped events.
pub fn notices(gathered: &Gathered) -> Vec<String> {
    let mut lines = Vec::new();
    for unreached in &gathered.unreached {
        let name = unreached.instance.as_deref().unwrap_or("instance");
        lines.push(format!("not reached: {name} at {}: {}", unreached.address, unreached.fault));
    }
    for dropped in &gathered.dropped {
        let (instance, events) = (&dropped.instance, dropped.events);
        lines.push(format!("incomplete: {instance} no longer has {events} earlier events"));
    }
    lines
}

/// Returns `text` without control characters, which could alter the terminal of the operator.
fn strip_control_characters(text: &str) -> String {
    text.chars().filter(|character| !character.is_control()).collect()
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    fn event() -> border::Event {
        border::Event {
            stamp: border::Stamp { wall_ms: 951_782_400_123, counter: 0 },
            instance: "node-1".to_string(),
            sequence: 3,
            kind: "lease-lost".to_string(),
            service: Some("agenda".to_string()),
            server: Some("agenda-2".to_string()),
            fields: BTreeMap::from([("silent_ms".to_string(), "2500".to_string())]),
        }
    }

    #[test]
    fn line_text() {
        assert_eq!(
            line(&event()),
            "2000-02-29T00:00:00.123Z node-1     lease-lost          service=agenda \
             server=agenda-2 silent_ms=2500"
        );
    }

    /// Guards against an event that sends control sequences to the terminal of the operator.
    #[test]
    fn line_control_characters() {
        let mut event = event();
        event.instance = "\u{1b}[2Jnode".to_string();
        event.server = Some("\u{1b}]0;x\u{7}".to_string());
        assert!(!line(&event).contains(char::is_control));
    }

    /// Guards against a filter that hides selected events or shows others.
    #[test]
    fn matches_each_filter() {
        let all = Filter::default();
        assert!(all.matches(&event()));
        let wanted = |name: &str| vec!["other".to_string(), name.to_string()];
        let cases = [
            (Filter { services: wanted("agenda"), ..all.clone() }, true),
            (Filter { services: wanted("slots"), ..all.clone() }, false),
            (Filter { servers: wanted("agenda-2"), ..all.clone() }, true),
            (Filter { instances: wanted("node-2"), ..all.clone() }, false),
            (Filter { kinds: wanted("lease-lost"), ..all.clone() }, true),
            (Filter { since_ms: Some(951_782_400_124), ..all.clone() }, false),
            (Filter { until_ms: Some(951_782_400_123), ..all }, true),
        ];
        for (filter, expected) in cases {
            assert_eq!(filter.matches(&event()), expected, "{filter:?}");
        }
    }
}
