//! The timeline of a run as text: the steps of the script and the events of all instances.

use super::evidence::Evidence;
use super::script::Script;

/// The kinds of events that the timeline omits, because every restart repeats them for each shard,
/// node or server.
const OMITTED_KINDS: [&str; 6] = [
    "group-changed",
    "registers-recovered",
    "node-joined",
    "revision-in-force",
    "server-announced",
    "lease-lost",
];

/// Returns one line per step and event, with the seconds since the start of the load.
pub fn text(script: &Script, evidence: &Evidence) -> String {
    let start = evidence.start_ms();
    let mut lines: Vec<(u64, u32, String)> = Vec::new();
    for line in script.lines().lines() {
        let mut fields = line.splitn(3, '\t');
        let step = fields.next().and_then(|field| field.parse::<usize>().ok());
        let action = fields.nth(1).unwrap_or_default().replace('\t', " ");
        let Some(mark) = step.and_then(|step| evidence.mark(step)) else { continue };
        lines.push((mark.at_ms, 0, format!("STEP {action}")));
        if mark.end_ms > mark.at_ms + 1_000 {
            lines.push((mark.end_ms, 0, format!("STEP {action} ended")));
        }
    }
    for event in &evidence.events {
        if OMITTED_KINDS.contains(&event.kind.as_str()) || event.stamp.wall_ms < start {
            continue;
        }
        let mut line = format!("{:<10} {:<20}", event.instance, event.kind);
        for value in [&event.service, &event.server].into_iter().flatten() {
            line += &format!(" {value}");
        }
        for (key, value) in &event.fields {
            line += &format!(" {key}={value}");
        }
        lines.push((event.stamp.wall_ms, event.stamp.counter, line));
    }
    lines.sort_unstable();
    let mut text = String::new();
    for (at_ms, _, line) in lines {
        let millis = at_ms.saturating_sub(start);
        text += &format!("{:4}.{:03} {line}\n", millis / 1_000, millis % 1_000);
    }
    text
}
