//! A heartbeat of another writer, with fields missing, arrives at a node.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::*;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let log = Log::new(&Path::new(&folder).join("record.txt"));
    let fleet = Fleet::new("review-writer");
    let (controls, _processes) = start_controls(&fleet, 3, 1);
    let all: Vec<SocketAddr> = controls.iter().map(|control| control.listen).collect();
    let first = format!(
        r#"{{"upsert":{{"routes":{{"r-a":{},"r-b":{}}},"services":{{"s-a":{},"s-b":{}}},"limits":{}}},"remove":{{"routes":[]}}}}"#,
        route("a.example", "/invoices/", "unsafe", "s-a", 1),
        route("b.example", "/visits/", "unsafe", "s-b", 1),
        service(1),
        service(1),
        limits(1),
    );
    if order(&log, "first configuration", &all, &first, Duration::from_secs(20)) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    // The service of each server and the target of each request that it ran.
    let runs: Arc<Mutex<Vec<(String, String, String)>>> = Arc::default();
    let (mut nodes, mut processes, mut servers) = (Vec::new(), Vec::new(), Vec::new());
    for (number, service) in [(1_u8, "s-a"), (2, "s-a"), (3, "s-b"), (4, "s-b")] {
        let node = Node::new(&format!("side-{number}"), 20 + number, service);
        processes.push(fleet.node(&node, &all));
        let identity = Identity {
            id: format!("i-{number}"),
            service: service.to_string(),
            address: node.app,
            born: unix_ms(),
            slots: 5,
        };
        let (runs, service) = (Arc::clone(&runs), service.to_string());
        let handler = move |request: &Message| {
            let (id, target) =
                (request.field("attempt-id").to_string(), request.target().to_string());
            runs.lock().unwrap().push((service.clone(), id, target));
            Action::Respond { status: 200, after: millis(100), body: b"done".to_vec() }
        };
        servers.push(Server::start(&log, identity, node.admin, handler));
        nodes.push(node);
    }
    wait_until("readiness of all nodes", Duration::from_secs(20), || nodes.iter().all(is_ready));
    sleep_ms(4_000);
    send_requests(&log, &nodes, "before");
    if has_trouble() {
        // Without `zone`, `version` and `cold_remaining_s`.
        let body = format!(
            r#"{{"service":"s-b","address":"{}","slots":5,"state":"ready","seq":1,"born":{}}}"#,
            nodes[0].app,
            unix_ms()
        );
        let target = "/-/rpc?call=instances.heartbeat&of=i-1";
        let fields = [("Content-Type", "application/json")];
        let answer = call(nodes[0].admin, "POST", target, &fields, body.as_bytes(), millis(1_000));
        log.write(&format!(
            "other writer: {body} to side-1: {:?}",
            answer.map(|answer| answer.status())
        ));
    }
    sleep_ms(2_000);
    for _ in 0..6 {
        send_requests(&log, &nodes, "after");
        sleep_ms(200);
    }
    let runs = runs.lock().unwrap();
    let is_foreign = |run: &&(String, String, String)| {
        let owner = if run.2.starts_with("/visits/") { "s-b" } else { "s-a" };
        run.0 != owner
    };
    let foreign: Vec<_> = runs.iter().filter(is_foreign).collect();
    for (service, id, target) in &foreign {
        log.write(&format!("a server of {service} ran {id} ({target})"));
    }
    log.write(&format!("{} requests ran", runs.len()));
    let verdict =
        format!("{} requests ran at a service to which no configuration sends them", foreign.len());
    finish(&log, !foreign.is_empty(), &verdict);
}

fn send_requests(log: &Log, nodes: &[Node], name: &str) {
    for (number, node) in nodes.iter().enumerate() {
        for (host, target) in [("a.example", "/invoices/new"), ("b.example", "/visits/new")] {
            let id = format!("{name}-{}-{number}-{}", unix_ms(), &host[..1]);
            let fields = [("Host", host), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
            let answer = call(node.callers, "POST", target, &fields, b"order", millis(5_000));
            let text = answer.map_or_else(|error| error, |answer| answer.status().to_string());
            log.write(&format!("client: {id} {target} at {}: {text}", node.name));
        }
    }
}
