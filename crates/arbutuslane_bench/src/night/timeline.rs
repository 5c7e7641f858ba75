//! The timeline of a night as text: the steps of the script and the events of all instances.

use super::evidence::Evidence;
use super::script::Script;

/// Kinds that every restart repeats for each shard, node or server.
const LEFT_OUT: [&str; 6] = [
    "group-changed",
    "registers-recovered",
    "node-joined",
    "revision-in-force",
    "server-announced",
    "lease-lost",
];

/// Returns one line for each step and event, with the seconds since the start of the load.
pub fn text(script: &Script, evidence: &Evidence) -> String {
    let start = evidence.start_ms();
    let mut lines: Vec<(u64, u32, String)> = Vec::new();
    for line in script.lines().lines() {
        let mut words = line.splitn(3, '\t');
        let step = words.next().and_then(|word| word.parse::<usize>().ok());
        let words = words.nth(1).unwrap_or_default().replace('\t', " ");
        let Some(mark) = step.and_then(|step| evidence.mark(step)) else { continue };
        lines.push((mark.at_ms, 0, format!("STEP {words}")));
        if mark.end_ms > mark.at_ms + 1_000 {
            lines.push((mark.end_ms, 0, format!("STEP {words} ended")));
        }
    }
    for event in &evidence.events {
        if LEFT_OUT.contains(&event.kind.as_str()) || event.stamp.wall_ms < start {
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
