//! A request that crashes each server that runs it, after the head of its response was sent.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::*;

const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// How often the request comes again, and the time between two of them.
const RESENDS: usize = 24;
const RESEND_PAUSE_MS: u64 = 1_000;
const POISON: &str = "/base/report-of-the-year";
/// The retries that may still reach servers.
const ALLOWED_RETRIES: usize = 3;

#[derive(Default)]
struct Seen {
    /// When the request arrived at a server.
    poison: Vec<Instant>,
    /// The bookings that a server began to run.
    bookings: Vec<String>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    // With `early`, the servers crash before they send anything; the fleet handles that.
    let is_early = std::env::args().nth(2).is_some_and(|word| word == "early");
    let log = Log::new(&Path::new(&folder).join("record.txt"));
    let fleet = Fleet::new("review-poison");
    let (controls, _processes) = start_controls(&fleet, 3, 1);
    let seeds: Vec<SocketAddr> = controls.iter().map(|control| control.listen).collect();
    let first = format!(
        r#"{{"upsert":{{"routes":{{"r-read":{},"r-book":{}}},"services":{{"s-a":{}}},"limits":{}}},"remove":{{"routes":[]}}}}"#,
        route("a.example", "/base/", "download", "s-a", 1),
        route("a.example", "/book/", "unsafe", "s-a", 1),
        service(1),
        limits(1),
    );
    if order(&log, "first configuration", &seeds, &first, Duration::from_secs(20)) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let trouble = has_trouble();
    let (mut nodes, mut node_processes, mut servers) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=5_u8 {
        let node = Node::new(&format!("side-{number}"), 20 + number, "s-a");
        node_processes.push(fleet.node(&node, &seeds));
        let identity = Identity {
            id: format!("i-{number}"),
            service: "s-a".to_string(),
            address: node.app,
            born: unix_ms(),
            slots: 5,
        };
        let (seen, log_of_server, name) = (Arc::clone(&seen), log.clone(), node.name.clone());
        let handler = move |request: &Message| {
            let id = request.field("attempt-id").to_string();
            if request.target().starts_with("/book/") {
                seen.lock().unwrap().bookings.push(id);
                return Action::Respond {
                    status: 200,
                    after: millis(400),
                    body: b"booked".to_vec(),
                };
            }
            if request.target() != POISON {
                return Action::Respond { status: 200, after: millis(50), body: vec![b'r'; 2_000] };
            }
            seen.lock().unwrap().poison.push(Instant::now());
            log_of_server.write(&format!("server beside {name} runs {id} ({POISON})"));
            match (trouble, is_early) {
                (false, _) => {
                    Action::Respond { status: 200, after: millis(100), body: vec![b'r'; 90_000] }
                }
                (true, true) => Action::Crash { after: millis(100) },
                (true, false) => {
                    Action::CrashInBody { after: millis(100), length: 90_000, part: 30_000 }
                }
            }
        };
        servers.push(Server::start(&log, identity, node.admin, handler));
        nodes.push(node);
    }
    wait_until("readiness of all nodes", Duration::from_secs(20), || nodes.iter().all(is_ready));
    sleep_ms(4_000);
    // Bookings run beside it; a crash loses those that its server runs.
    let stop = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let mut tasks = Vec::new();
    for client in 0..6_usize {
        let (nodes, stop, results) = (nodes.clone(), Arc::clone(&stop), Arc::clone(&results));
        tasks.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("b{client}x{number}");
                let to = nodes[(client + number) % nodes.len()].callers;
                let fields =
                    [("Host", "a.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
                let body = format!("visit {id}");
                let answer =
                    call(to, "POST", "/book/visit", &fields, body.as_bytes(), millis(5_000));
                let status = answer.ok().filter(|answer| answer.is_whole);
                results.lock().unwrap().push((id, status.map_or(0, |answer| answer.status())));
                sleep_ms(150);
            }
        }));
    }
    let mut sent_again = 0;
    for number in 0..RESENDS {
        let node = &nodes[number % nodes.len()];
        let id = format!("p{number:02}");
        let fields = [("Host", "a.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
        let answer = call(node.callers, "GET", POISON, &fields, b"", millis(5_000));
        let text = match &answer {
            Ok(answer) => format!(
                "{}, {} bytes, {}",
                answer.status(),
                answer.body.len(),
                if answer.is_whole { "whole" } else { "broken off" }
            ),
            Err(error) => error.clone(),
        };
        log.write(&format!("client: {id} at {}: {text}", node.name));
        sent_again += 1;
        sleep_ms(RESEND_PAUSE_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    let seen = seen.lock().unwrap();
    let results = results.lock().unwrap();
    let is_lost = |id: &String| {
        results.iter().any(|(known, status)| known == id && !(200..300).contains(status))
    };
    let lost = seen.bookings.iter().filter(|id| is_lost(id)).count();
    log.write(&format!("{sent_again} sent, {} runs at servers", seen.poison.len()));
    log.write(&format!(
        "{} bookings run, {lost} of them without an answer to their client",
        seen.bookings.len()
    ));
    if !trouble || seen.poison.len() < 3 {
        finish(&log, false, "the request crashed fewer than three servers");
    }
    let third = seen.poison[2] + millis(120);
    let late = seen.poison.iter().filter(|at| **at > third + STABILITY_WINDOW).count();
    let verdict = format!(
        "{late} retries reached servers later than 3 s after the third crash; {ALLOWED_RETRIES} may"
    );
    finish(&log, late > ALLOWED_RETRIES, &verdict);
}
