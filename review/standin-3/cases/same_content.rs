//! Two servers of one zone crash, and a request that both ran is refused from then on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use super::{route, service, upsert};
use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::site::Site;

const NODES: usize = 6;

/// The path of all requests on the later route.
const LATER: &str = "/later/free";

/// The servers of one zone; machines are in three zones in turn.
const ZONE: [usize; 2] = [0, 3];

const DOWN: Duration = Duration::from_secs(4);

/// From the return of the servers until the time that counts, and that time.
const CALM: Duration = Duration::from_secs(20);
const COUNTED: Duration = Duration::from_secs(15);

/// The requests of one route in the time that counts, and those that were served.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let site = Arc::new(Site::new(&["slots"; NODES], record));
    let mut servers = Vec::new();
    for number in 0..NODES {
        let behaviour =
            Arc::new(|_: &Message| Act::Answer { work: Duration::from_millis(400), bytes: 1_500 });
        servers.push(Server::start(number, "slots", &site.nodes[number], record, behaviour));
    }
    site.start(&upsert(
        &[service("slots")],
        &[route("first", "/first/", "safe", 4, "slots", 1)],
        true,
    ));
    sleep(Duration::from_secs(3));
    let added = upsert(&[], &[route("later", "/later/", "safe", 4, "slots", 2)], false);
    if site.order(&added) != Some(200) {
        crate::site::unusable("the later route is not acknowledged");
    }
    sleep(Duration::from_secs(3));

    let (is_over, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (first, later) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let mut clients = Vec::new();
    for number in 0..NODES * 4 {
        let is_later = number / NODES % 2 == 1;
        let count = Arc::clone(if is_later { &later } else { &first });
        let (site, record) = (Arc::clone(&site), Arc::clone(record));
        let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
        clients.push(spawn(move || {
            look_up(&site, number, is_later, &count, &record, &is_over, &counts)
        }));
    }
    sleep(Duration::from_secs(5));
    if has_trouble {
        // Under the load of a whole deployment this is so at nearly every moment.
        let runs_both = |number: &usize| servers[*number].running(LATER) > 0;
        while !ZONE.iter().all(runs_both) {
            sleep(Duration::from_millis(1));
        }
        record.say("the servers of one zone crash");
        for number in ZONE {
            servers[number].crash(DOWN);
        }
    }
    sleep(DOWN + CALM);
    counts.store(true, Ordering::SeqCst);
    sleep(COUNTED);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let share = |count: &Count| {
        let (sent, served) =
            (count.sent.load(Ordering::SeqCst), count.served.load(Ordering::SeqCst));
        (sent, served, served as f64 / sent.max(1) as f64)
    };
    let (first, later) = (share(&first), share(&later));
    record.say(&format!("first route: {} of {} served", first.1, first.0));
    record.say(&format!("later route: {} of {} served", later.1, later.0));
    later.0 >= 20 && later.2 < first.2 / 4.0
}

#[allow(clippy::too_many_arguments)]
fn look_up(
    site: &Site,
    number: usize,
    is_later: bool,
    count: &Count,
    record: &Record,
    is_over: &AtomicBool,
    counts: &AtomicBool,
) {
    let node = &site.nodes[number % NODES];
    let mut sent = 0;
    // The clients are not in step.
    sleep(Duration::from_millis(37 * number as u64));
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("q{number}n{sent}");
        let (host, target) = match is_later {
            true => ("later.example", LATER.to_string()),
            false => ("first.example", format!("/first/{number}n{sent}")),
        };
        let headers = [("Host", host), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
        let address = node.address(node.ports.outbound);
        let is_counted = counts.load(Ordering::SeqCst);
        let sent = http::call(address, "GET", &target, &headers, b"", Duration::from_secs(4));
        let status = sent.as_ref().map(|response| response.status).unwrap_or(0);
        if is_counted {
            count.sent.fetch_add(1, Ordering::SeqCst);
            count.served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        }
        if status != 200 {
            let retry_after = sent.ok().and_then(|r| r.header("retry-after").map(str::to_string));
            record.event(&format!("{id} {target}: {status}, retry-after {retry_after:?}"));
        }
        sleep(Duration::from_millis(100));
    }
}
