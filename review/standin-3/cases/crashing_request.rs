//! A request that crashes the servers that run it reaches them again after planned restarts of nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{route, service, upsert};
use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Act, Run, Server};
use crate::site::{STABILITY_WINDOW, Site};

const NODES: usize = 8;

/// The nodes that are restarted at a time, and the time from their start until the crashing request
/// comes again.
const AT_A_TIME: usize = 2;
const RESTART_GAP: Duration = Duration::from_millis(3_500);

/// For how long the crashing request comes again, how often, and the pause after it.
const BUSY: Duration = Duration::from_secs(6);
const AGAIN: Duration = Duration::from_millis(400);

/// How long a crashed server is down.
const DOWN: Duration = Duration::from_secs(2);

/// The retries that the rule allows.
const ALLOWED: usize = 3;

/// A run of the crashing request.
struct Arrival {
    run: Run,
    is_in_touch: bool,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let site = Arc::new(Site::new(&["bookings"; NODES], record));
    let arrivals = Arc::new(std::sync::Mutex::new(Vec::<Arrival>::new()));
    let mut servers = Vec::new();
    for number in 0..NODES {
        let (arrivals, nodes, record_of) =
            (Arc::clone(&arrivals), site.nodes.clone(), Arc::clone(record));
        let behaviour = Arc::new(move |request: &Message| {
            if !request.target().starts_with("/b/crash") {
                return Act::Answer { work: Duration::from_millis(300), bytes: 300 };
            }
            let id = request.header("attempt-id").unwrap_or_default().to_string();
            let entry = id.split('e').nth(1).and_then(|text| text.parse::<usize>().ok());
            let is_in_touch = nodes[number].is_in_touch()
                && entry.is_some_and(|entry| nodes[entry].is_in_touch());
            let target = request.target().to_string();
            let at = record_of.now();
            let run = Run { id, target, machine: number, at, is_answered: false, is_crashed: true };
            arrivals.lock().unwrap().push(Arrival { run, is_in_touch });
            Act::Crash { work: Duration::from_millis(50), down: DOWN }
        });
        servers.push(Server::start(number, "bookings", &site.nodes[number], record, behaviour));
    }
    let routes = [route("b", "/b/", "unsafe", 4, "bookings", 1)];
    site.start(&upsert(&[service("bookings")], &routes, true));
    sleep(Duration::from_secs(5));

    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..NODES {
        let (site, record, is_over) = (Arc::clone(&site), Arc::clone(record), Arc::clone(&is_over));
        clients.push(spawn(move || book(&site, number, &record, &is_over)));
    }
    let mut count = 0;
    send_crashing(&site, record, &mut count);
    for first in (0..NODES).step_by(AT_A_TIME) {
        let batch = site.nodes[first..first + AT_A_TIME].to_vec();
        let restarts: Vec<_> = batch
            .into_iter()
            .filter(|_| has_trouble)
            .map(|node| {
                spawn(move || {
                    node.terminate();
                    node.start();
                })
            })
            .collect();
        restarts.into_iter().for_each(|restart| drop(restart.join()));
        sleep(RESTART_GAP);
        send_crashing(&site, record, &mut count);
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let arrivals = arrivals.lock().unwrap();
    let third = arrivals.get(2).map(|arrival| arrival.run.at);
    let counted: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| third.is_some_and(|third| arrival.run.at > third + STABILITY_WINDOW))
        .filter(|arrival| arrival.is_in_touch)
        .collect();
    for arrival in arrivals.iter() {
        let Run { id, machine, at, .. } = &arrival.run;
        record.event(&format!(
            "{id} reached server {machine} at {:.3} s, in touch: {}",
            at.as_secs_f64(),
            arrival.is_in_touch
        ));
    }
    let lost: usize = servers
        .iter()
        .map(|server| {
            let runs = server.runs.lock().unwrap();
            runs.iter().filter(|run| run.is_crashed && run.target.starts_with("/b/order")).count()
        })
        .sum();
    record.say(&format!("the crashing request reached servers {} times", arrivals.len()));
    record.say(&format!("{} bookings ran at servers that it crashed", lost));
    record.say(&format!("{} retries count, {ALLOWED} are allowed", counted.len()));
    counted.len() > ALLOWED
}

/// Sends the crashing request for a while, at any machine whose node is ready.
fn send_crashing(site: &Arc<Site>, record: &Arc<Record>, count: &mut usize) {
    let ends_at = Instant::now() + BUSY;
    while Instant::now() < ends_at {
        let number = *count * 3 % NODES;
        let node = Arc::clone(&site.nodes[number]);
        let (id, record) = (format!("c{count:05}e{number}"), Arc::clone(record));
        spawn(move || {
            if !node.is_ready() {
                return;
            }
            let headers = [("Host", "b.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
            let address = node.address(node.ports.outbound);
            let sent =
                http::call(address, "POST", "/b/crash", &headers, b"crash", Duration::from_secs(4));
            let status = sent.map(|response| response.status).unwrap_or(0);
            record.event(&format!("{id} through {}: {status}", node.name));
        });
        *count += 1;
        sleep(AGAIN);
    }
}

/// Sends bookings through one machine.
fn book(site: &Arc<Site>, number: usize, record: &Record, is_over: &AtomicBool) {
    let node = &site.nodes[number];
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(300));
        if !node.is_ready() {
            continue;
        }
        count += 1;
        let (id, target) = (format!("b{number}n{count}"), format!("/b/order{number}n{count}"));
        let headers = [("Host", "b.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
        let address = node.address(node.ports.outbound);
        let sent = http::call(address, "POST", &target, &headers, b"order", Duration::from_secs(4));
        let status = sent.map(|response| response.status).unwrap_or(0);
        if status != 200 {
            record.event(&format!("booking {id} through {}: {status}", node.name));
        }
    }
}
