//! A lookup runs at its first server while its node and that of another server are stopped in turn.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::*;

/// How long the servers work on most lookups, and on the one of this case.
const USUAL_MS: u64 = 1_000;
const LOOKUP_MS: u64 = 4_200;
const LOOKUP: &str = "/read/history";
/// When the two nodes get SIGTERM, counted from the sending of the lookup.
const FIRST_STOP_MS: u64 = 1_400;
const STOP_GAP_MS: u64 = 1_300;
/// The end of the time of a stop, in which a server that is still at work excuses the node.
const EXCUSED_FROM: Duration = Duration::from_secs(5);

/// The servers that began to run the lookup, and when.
type Runs = Arc<Mutex<Vec<(usize, Instant)>>>;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let log = Log::new(&Path::new(&folder).join("record.txt"));
    let fleet = Fleet::new("review-given-up");
    let (controls, _processes) = start_controls(&fleet, 3, 1);
    let all: Vec<SocketAddr> = controls.iter().map(|control| control.listen).collect();
    let lookups = route("a.example", "/read/", "safe", "s-a", 1)
        .replace(r#""timeout_s":4,"target_latency_s":2"#, r#""timeout_s":12,"target_latency_s":3"#);
    let first = format!(
        r#"{{"upsert":{{"routes":{{"r-read":{lookups}}},"services":{{"s-a":{},"s-b":{}}},"limits":{}}},"remove":{{"routes":[]}}}}"#,
        service(1),
        service(1),
        limits(1),
    );
    if order(&log, "first configuration", &all, &first, Duration::from_secs(20)) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    let runs: Runs = Arc::default();
    let (mut nodes, mut processes, mut servers) = (Vec::new(), Vec::new(), Vec::new());
    for (number, service) in [(1_usize, "s-b"), (2, "s-a"), (3, "s-a")] {
        let machine = u8::try_from(20 + number).unwrap_or(20);
        let node = Node::new(&format!("side-{number}"), machine, service);
        processes.push(fleet.node(&node, &all));
        let identity = Identity {
            id: format!("i-{number}"),
            service: service.to_string(),
            address: node.app,
            born: unix_ms(),
            slots: 5,
        };
        let (runs, record) = (Arc::clone(&runs), log.clone());
        let handler = move |request: &Message| {
            if request.target() != LOOKUP {
                return Action::Respond {
                    status: 200,
                    after: millis(USUAL_MS),
                    body: b"x".to_vec(),
                };
            }
            runs.lock().unwrap().push((number, Instant::now()));
            record.write(&format!("server i-{number} runs {}", request.field("attempt-id")));
            Action::Respond { status: 200, after: millis(LOOKUP_MS), body: b"history".to_vec() }
        };
        servers.push(Server::start(&log, identity, node.admin, handler));
        nodes.push(node);
    }
    wait_until("readiness of all nodes", Duration::from_secs(20), || nodes.iter().all(is_ready));
    sleep_ms(6_000);
    log.write("clients send the usual lookups");
    for turn in 0..8 {
        let calls: Vec<_> = (0..4)
            .map(|number| {
                let node = nodes[0].clone();
                thread::spawn(move || send(&node, "/read/x", &format!("w{turn}x{number}")).status())
            })
            .collect();
        for call in calls {
            if call.join().unwrap_or(0) != 200 {
                log.write("a usual lookup was not served");
            }
        }
    }
    let sent_at = Instant::now();
    log.write("client: sends the lookup to side-1");
    let client = {
        let node = nodes[0].clone();
        thread::spawn(move || (send(&node, LOOKUP, "lookup"), Instant::now()))
    };
    sleep_until(sent_at + millis(FIRST_STOP_MS));
    let first_run = runs.lock().unwrap().first().copied();
    let Some((busy, began_at)) = first_run else { cannot_run("the lookup has reached no server") };
    let other = 5 - busy;
    let mut stopped_at = sent_at;
    if has_trouble() {
        log.write(&format!("rolling restart: side-{other} gets SIGTERM"));
        processes[other - 1].signal("TERM");
        sleep_until(sent_at + millis(FIRST_STOP_MS + STOP_GAP_MS));
        log.write("rolling restart: side-1 gets SIGTERM");
        processes[0].signal("TERM");
        stopped_at = Instant::now();
    }
    let (answer, answered_at) = client.join().unwrap_or_else(|_| cannot_run("the client failed"));
    let is_own = !answer.fields.contains_key("response-signature");
    log.write(&format!(
        "client: gets {} {}, {} ms after it sent the lookup",
        answer.status(),
        if is_own { "of the node's own" } else { "of a server" },
        answered_at.duration_since(sent_at).as_millis()
    ));
    if !has_trouble() {
        finish(&log, false, "no node was stopped");
    }
    // What the first server was at work on would have been answered well inside the time of the stop.
    let would_end_at = began_at + millis(LOOKUP_MS);
    log.write(&format!(
        "i-{busy} would have answered {} ms after the sending, {} ms after the SIGTERM of side-1; the \
         client got its answer {} ms after that SIGTERM",
        would_end_at.duration_since(sent_at).as_millis(),
        would_end_at.saturating_duration_since(stopped_at).as_millis(),
        answered_at.saturating_duration_since(stopped_at).as_millis()
    ));
    let is_broken = is_own
        && answer.status() != 200
        && would_end_at < stopped_at + EXCUSED_FROM
        && answered_at < stopped_at + EXCUSED_FROM;
    let verdict = match is_broken {
        true => "the node broke off a request after its SIGTERM and gave an answer of its own",
        false => "the request was answered by a server, or its end is excused",
    };
    finish(&log, is_broken, verdict);
}

fn sleep_until(end: Instant) {
    thread::sleep(end.saturating_duration_since(Instant::now()));
}

/// Sends a lookup and returns the response, or an empty message without one.
fn send(node: &Node, target: &str, id: &str) -> Message {
    let fields = [("Host", "a.example"), ("Attempt-Id", id), ("Deadline-Ms", "12000")];
    call(node.callers, "GET", target, &fields, b"", millis(13_000)).unwrap_or_default()
}
