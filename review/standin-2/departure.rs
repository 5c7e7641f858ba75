//! A server leaves, all processes of the system are killed right after the confirmation, and one of
//! the server's earlier heartbeats arrives late.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::*;

const DRAIN: Duration = Duration::from_secs(2);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// How long the processes are away.
const AWAY_MS: u64 = 500;
/// How much later than the departure the last heartbeat arrives that was sent before it, at the
/// earliest.
const LATE: Duration = Duration::from_millis(2_500);
/// How long the server serves on after the confirmation.
const SERVES_ON: Duration = Duration::from_secs(10);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let log = Log::new(&Path::new(&folder).join("record.txt"));
    let fleet = Fleet::new("review-departure");
    let (controls, mut processes) = start_controls(&fleet, 5, 2);
    let all: Vec<SocketAddr> = controls.iter().map(|control| control.listen).collect();
    let seeds = &all[..3];
    let first = format!(
        r#"{{"upsert":{{"routes":{{"r-read":{},"r-book":{}}},"services":{{"s-a":{}}},"limits":{}}},"remove":{{"routes":[]}}}}"#,
        route("a.example", "/base/", "safe", "s-a", 1),
        route("a.example", "/book/", "unsafe", "s-a", 1),
        service(1),
        limits(1),
    );
    if order(&log, "first configuration", &all, &first, Duration::from_secs(20)) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    let runs: Arc<Mutex<Vec<(String, String, Instant)>>> = Arc::default();
    let (mut nodes, mut servers) = (Vec::new(), Vec::new());
    for number in 1..=3_u8 {
        let node = Node::new(&format!("side-{number}"), 20 + number, "s-a");
        processes.push(fleet.node(&node, seeds));
        let identity = Identity {
            id: format!("i-{number}"),
            service: "s-a".to_string(),
            address: node.app,
            born: unix_ms(),
            slots: 5,
        };
        let (runs, id) = (Arc::clone(&runs), identity.id.clone());
        let handler = move |request: &Message| {
            let attempt = request.field("attempt-id").to_string();
            runs.lock().unwrap().push((id.clone(), attempt, Instant::now()));
            Action::Respond { status: 200, after: millis(800), body: b"done".to_vec() }
        };
        servers.push(Server::start(&log, identity, node.admin, handler));
        nodes.push(node);
    }
    wait_until("readiness of all nodes", Duration::from_secs(20), || nodes.iter().all(is_ready));
    sleep_ms(4_000);

    let leaving = servers[0].identity.lock().unwrap().clone();
    // The heartbeat that is on its way while the server leaves.
    servers[0].stop_beats();
    let late_sequence = 1_000;
    let sent_at = Instant::now();
    let status = leaving.send_departure(nodes[0].admin);
    let acknowledged = Instant::now();
    log.write(&format!("server {} sends its departure to side-1: {status}", leaving.id));
    if status != 200 {
        cannot_run("the departure was not confirmed");
    }
    if has_trouble() {
        for process in &mut processes {
            process.kill();
        }
        log.write("all processes of the system were killed");
        sleep_ms(AWAY_MS);
        for process in &mut processes {
            process.restart();
        }
        log.write("all processes of the system start again");
    }
    let restarted = Instant::now();
    std::thread::sleep((sent_at + LATE).saturating_duration_since(Instant::now()));
    wait_until("readiness of all nodes", Duration::from_secs(20), || nodes.iter().all(is_ready));
    let status = leaving.send_beat(nodes[0].admin, "ready", late_sequence);
    log.write(&format!(
        "a heartbeat of {} that was sent before arrives at side-1: {status}",
        leaving.id
    ));
    // The nodes are in touch again after twice the window.
    std::thread::sleep(
        (restarted + 2 * STABILITY_WINDOW).saturating_duration_since(Instant::now()),
    );
    log.write("clients send bookings to all nodes");
    let stop = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..9)
        .map(|client| {
            let (nodes, stop, results) = (nodes.clone(), Arc::clone(&stop), Arc::clone(&results));
            std::thread::spawn(move || send_bookings(client, &nodes, &stop, &results))
        })
        .collect();
    std::thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    servers[0].crash(None);
    log.write(&format!("server {} ends, {SERVES_ON:?} after the confirmation", leaving.id));
    sleep_ms(1_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (runs, results) = (runs.lock().unwrap(), results.lock().unwrap());
    let late: Vec<&(String, String, Instant)> =
        runs.iter().filter(|(id, _, at)| *id == leaving.id && *at > acknowledged + DRAIN).collect();
    for (id, attempt, at) in late.iter().take(10) {
        let after = at.duration_since(acknowledged).as_secs_f64();
        log.write(&format!("server {id} ran {attempt} {after:.3} s after the confirmation"));
    }
    let lost = results.iter().filter(|(id, status)| {
        !(200..300).contains(status) && runs.iter().any(|(_, attempt, _)| attempt == id)
    });
    for (id, status) in lost {
        log.write(&format!("booking {id} ran, and its client got {status} (0: no answer)"));
    }
    log.write(&format!("{} bookings ran", runs.len()));
    let verdict = format!(
        "{} requests reached a server later than 2 s after its departure was confirmed",
        late.len()
    );
    finish(&log, !late.is_empty(), &verdict);
}

/// Sends bookings one after the other until it is stopped, and adds the status of each.
fn send_bookings(
    client: usize,
    nodes: &[Node],
    stop: &AtomicBool,
    results: &Mutex<Vec<(String, u16)>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("b{client}x{number}");
        let to = nodes[(client + number) % nodes.len()].callers;
        let fields = [("Host", "a.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
        let answer = call(to, "POST", "/book/visit", &fields, id.as_bytes(), millis(5_000));
        let answer = answer.ok().filter(|answer| answer.is_whole);
        results.lock().unwrap().push((id, answer.map_or(0, |answer| answer.status())));
        sleep_ms(100);
    }
}
