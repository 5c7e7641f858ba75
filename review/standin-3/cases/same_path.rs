//! A request that crashes servers reaches them again and again, because requests of another caller on
//! another route, with the same path, are served.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{route, service, upsert};
use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::site::{STABILITY_WINDOW, Site};

/// The machines of the service that both routes lead to, whose clients send ordinary requests, and the
/// machines of the service whose clients send the crashing request.
const AGENDAS: usize = 6;
const DESKS: usize = 2;

/// The path of the requests on both routes.
const PATH: &str = "/day/today";

/// How often the crashing request comes again, and for how long.
const AGAIN: Duration = Duration::from_millis(2_500);
const LENGTH: Duration = Duration::from_secs(45);

/// How long a crashed server is down.
const DOWN: Duration = Duration::from_secs(2);

/// The retries that the rule allows.
const ALLOWED: usize = 3;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let services = [["agenda"; AGENDAS].as_slice(), &["desk"; DESKS]].concat();
    let site = Arc::new(Site::new(&services, record));
    let arrivals = Arc::new(Mutex::new(Vec::<(Duration, usize)>::new()));
    let mut servers = Vec::new();
    for (number, name) in services.iter().enumerate() {
        let (arrivals, record_of) = (Arc::clone(&arrivals), Arc::clone(record));
        let behaviour = Arc::new(move |request: &Message| {
            let is_crashing = request.header("host") == Some("a.example")
                && request.header("caller-service") == Some("desk")
                && request.target() == PATH;
            if !is_crashing {
                return Act::Answer { work: Duration::from_millis(300), bytes: 1_500 };
            }
            arrivals.lock().unwrap().push((record_of.now(), number));
            Act::Crash { work: Duration::from_millis(50), down: DOWN }
        });
        servers.push(Server::start(number, name, &site.nodes[number], record, behaviour));
    }
    let routes = [
        route("a", "/day/", "safe", 4, "agenda", 1),
        route("b", "/day/", "safe", 4, "agenda", 1),
        route("c", "/hold/", "unsafe", 4, "agenda", 1),
    ];
    site.start(&upsert(&[service("agenda"), service("desk")], &routes, true));
    sleep(Duration::from_secs(5));

    let is_over = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..AGENDAS * 2 {
        let (site, record, is_over) = (Arc::clone(&site), Arc::clone(record), Arc::clone(&is_over));
        let refused = Arc::clone(&refused);
        clients.push(spawn(move || send(&site, number, &record, &is_over, &refused)));
    }
    sleep(Duration::from_secs(2));
    let ends_at = Instant::now() + LENGTH;
    let mut count = 0;
    while Instant::now() < ends_at {
        if has_trouble {
            let (node, id) =
                (Arc::clone(&site.nodes[AGENDAS + count % DESKS]), format!("a{count:05}"));
            let record = Arc::clone(record);
            spawn(move || {
                let headers =
                    [("Host", "a.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
                let address = node.address(node.ports.outbound);
                let sent = http::call(address, "GET", PATH, &headers, b"", Duration::from_secs(4));
                let status = sent.map(|response| response.status).unwrap_or(0);
                record.event(&format!("{id} through {}: {status}", node.name));
            });
        }
        count += 1;
        sleep(AGAIN);
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let arrivals = arrivals.lock().unwrap();
    for (at, number) in arrivals.iter() {
        record.event(&format!(
            "the crashing request reached server {number} at {:.3} s",
            at.as_secs_f64()
        ));
    }
    let third = arrivals.get(2).map(|(at, _)| *at);
    let is_counted = |at: Duration| third.is_some_and(|third| at > third + STABILITY_WINDOW);
    let counted = arrivals.iter().filter(|(at, _)| is_counted(*at)).count();
    let crashed_holds: usize = servers
        .iter()
        .map(|server| {
            let runs = server.runs.lock().unwrap();
            runs.iter().filter(|run| run.is_crashed && run.target.starts_with("/hold/")).count()
        })
        .sum();
    record.say(&format!("the crashing request reached servers {} times", arrivals.len()));
    record.say(&format!("{crashed_holds} holds ran at servers that it crashed"));
    record.say(&format!("{} requests on route b were not served", refused.load(Ordering::SeqCst)));
    record.say(&format!("{counted} retries count, {ALLOWED} are allowed"));
    counted > ALLOWED
}

/// Sends lookups on route b, or holds, through one machine.
fn send(site: &Site, number: usize, record: &Record, is_over: &AtomicBool, refused: &AtomicUsize) {
    let node = &site.nodes[number % AGENDAS];
    let is_hold = number >= AGENDAS;
    let mut count = 0;
    sleep(Duration::from_millis(37 * number as u64));
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("b{number}n{count}");
        let (method, host, target, body) = match is_hold {
            true => ("POST", "c.example", format!("/hold/{id}"), &b"hold"[..]),
            false => ("GET", "b.example", PATH.to_string(), &b""[..]),
        };
        let headers = [("Host", host), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
        let address = node.address(node.ports.outbound);
        let sent = http::call(address, method, &target, &headers, body, Duration::from_secs(4));
        let status = sent.map(|response| response.status).unwrap_or(0);
        if status != 200 {
            record.event(&format!("{id} {target} through {}: {status}", node.name));
            refused.fetch_add(usize::from(!is_hold), Ordering::SeqCst);
        }
        sleep(Duration::from_millis(250));
    }
}
