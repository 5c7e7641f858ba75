//! Metrics that show the cause of a failed request.

use std::thread::sleep;
use std::time::Duration;

use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Returns the value of the first line of `text` that starts with `line_prefix`.
fn metric_value(text: &str, line_prefix: &str) -> u64 {
    let line = text.lines().find(|line| line.starts_with(line_prefix));
    let line = line.unwrap_or_else(|| panic!("{line_prefix} not in:\n{text}"));
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Guards against a failed request whose reason the metrics do not show: each outcome is counted
/// under its route, its service and one of a few reasons.
#[test]
fn metrics_reasons() {
    let node = Node::start_seeded(&[], 1, 1);
    let _failing_server = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_response("500 Failed", "", ""))
    });
    let _disconnecting_server = Server::start(&node, "bookings", "s2", |_, _| {
        sleep(Duration::from_millis(5));
        false
    });
    assert_eq!(node.call("GET", "/slots", &[], b"").status, 500);
    assert_eq!(node.call("POST", "/bookings", &[], b"x").status, 502);
    assert_eq!(node.call("GET", "/download/a", &[], b"").status, 503);
    assert_eq!(node.call("GET", "/none", &[], b"").status, 404);
    let renewal = serde_json::json!({"service": "slots", "server": "s1", "incarnation": 1,
        "address": "127.0.0.1:9", "slots": 5, "revision": 0});
    let refused =
        call(node.admin_address, "POST", "/v1/servers", &[], renewal.to_string().as_bytes());
    assert_eq!(refused.status, 409);

    let text = node.get_admin("/metrics").unwrap().text();
    let outcomes = "arbutuslane_request_outcomes_total";
    for labels in [
        r#"service="slots",outcome="answered",reason="server-error""#,
        r#"service="bookings",outcome="unknown",reason="broke-off""#,
        r#"service="reports",outcome="not-run",reason="unavailable""#,
        r#"service="",outcome="not-run",reason="no-route""#,
    ] {
        let line = text.lines().find(|line| line.starts_with(outcomes) && line.contains(labels));
        assert!(line.is_some_and(|line| line.ends_with(" 1")), "{labels} not in:\n{text}");
    }
    let attempts = "arbutuslane_attempts_without_response_total";
    assert_eq!(
        metric_value(&text, &format!(r#"{attempts}{{service="bookings",reason="broke-off"}}"#)),
        1
    );
    assert_eq!(metric_value(&text, r#"arbutuslane_announcements_total{fate="new"}"#), 2);
    assert_eq!(metric_value(&text, r#"arbutuslane_announcements_total{fate="refused"}"#), 1);
    assert_eq!(metric_value(&text, r#"arbutuslane_stage_seconds_count{stage="server"}"#), 1);
    assert_eq!(metric_value(&text, r#"arbutuslane_stage_seconds_count{stage="queue"}"#), 2);
    assert!(text.contains(r#"arbutuslane_retry_budget{service="slots"}"#), "{text}");

    // Guards against a metric that the operations page does not document.
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let name = line.split(' ').nth(2).unwrap();
        let short_name = name.strip_prefix("arbutuslane").unwrap();
        let short_name = short_name.strip_prefix("_server").unwrap_or(short_name);
        let documented_forms = [format!("`{name}"), format!("`{short_name}`")];
        assert!(
            documented_forms.iter().any(|form| page.contains(form)),
            "{name} is not documented in docs/OPERATIONS.md"
        );
    }
}
