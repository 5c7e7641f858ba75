//! Renders the timeline as one self-contained HTML page.

use arbutuslane_event::kind::Level;
use arbutuslane_event::{border, log};

use crate::gather::Gathered;
use crate::timeline;

const STYLE: &str = "body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}\
td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd;vertical-align:top}\
tr.action{background:#fde8e8}tr.handled{background:#fff8e1}td.time{white-space:nowrap}\
input{margin:0 1em 1em 0;padding:4px;width:20em}p.notice{color:#a00}";

const SCRIPT: &str = "const box=document.getElementById('filter');\
box.addEventListener('input',()=>{const words=box.value.toLowerCase().split(/\\s+/);\
for(const row of document.querySelectorAll('tbody tr')){\
const text=row.textContent.toLowerCase();\
row.hidden=!words.every(word=>text.includes(word));}});";

/// Renders the page, which loads no other resources.
pub fn render(gathered: &Gathered, now_ms: u64) -> String {
    let mut html = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>arbutuslane timeline</title><style>{STYLE}</style></head><body>\n\
         <h1>Timeline</h1>\n<p>Gathered {} from {} instances: {} events.</p>\n",
        log::format_utc(now_ms),
        gathered.reached.len(),
        gathered.events.len()
    );
    for notice in timeline::notices(gathered) {
        html.push_str(&format!("<p class=\"notice\">{}</p>\n", escape_html(&notice)));
    }
    html.push_str(
        "<input id=\"filter\" placeholder=\"filter: words that a row must contain\">\n\
         <table><thead><tr><th>time (UTC)</th><th>instance</th><th>kind</th><th>service</th>\
         <th>server</th><th>details</th></tr></thead><tbody>\n",
    );
    for event in &gathered.events {
        html.push_str(&render_row(event));
    }
    html.push_str(&format!("</tbody></table>\n<script>{SCRIPT}</script>\n</body></html>\n"));
    html
}

fn render_row(event: &border::Event) -> String {
    let class = match event.to_kind().map(|kind| kind.level()) {
        Some(Level::Action) => "action",
        Some(Level::Handled) => "handled",
        Some(Level::Routine) | None => "routine",
    };
    let details: Vec<String> =
        event.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    let cells = [
        event.instance.as_str(),
        event.kind.as_str(),
        event.service.as_deref().unwrap_or_default(),
        event.server.as_deref().unwrap_or_default(),
        &details.join(" "),
    ];
    let mut html = format!(
        "<tr class=\"{class}\"><td class=\"time\">{}</td>",
        log::format_utc(event.stamp.wall_ms)
    );
    for cell in cells {
        html.push_str(&format!("<td>{}</td>", escape_html(cell)));
    }
    html.push_str("</tr>\n");
    html
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
        .replace('\'', "&#39;")
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    /// Guards against a server name that runs as a script in the operator's browser, and against a
    /// page that loads resources from the network.
    #[test]
    fn render_hostile_name() {
        let event = border::Event {
            stamp: border::Stamp::default(),
            instance: "node-1".to_string(),
            sequence: 1,
            kind: "server-left".to_string(),
            service: Some("<script>alert(1)</script>".to_string()),
            server: None,
            fields: BTreeMap::from([("incarnation".to_string(), "\"><img>".to_string())]),
        };
        let gathered = Gathered { events: vec![event], ..Gathered::default() };
        let html = render(&gathered, 0);
        assert!(html.contains("&lt;script&gt;alert(1)") && !html.contains("<script>alert"));
        assert!(!html.contains("<img") && !html.contains("http"));
    }
}
