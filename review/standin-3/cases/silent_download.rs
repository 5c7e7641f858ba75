//! Servers fall silent in the middle of downloads, and the downloads get no answer at the timeout of
//! their route.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{route, service, upsert};
use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::site::Site;

const NODES: usize = 9;

/// The servers of one zone; machines are in three zones in turn.
const ZONE: [usize; 3] = [0, 3, 6];

const TIMEOUT_S: u32 = 3;

/// How long after the timeout the rule still waits.
const EXTRA: Duration = Duration::from_millis(500);

/// The requests that the rule needs.
const NEEDED: usize = 8;

/// The client's own time limit.
const LIMIT: Duration = Duration::from_secs(8);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let site = Arc::new(Site::new(&["reports"; NODES], record));
    let mut servers = Vec::new();
    for number in 0..NODES {
        let behaviour =
            Arc::new(|_: &Message| Act::Stream { time: Duration::from_secs(1), bytes: 60_000 });
        servers.push(Server::start(number, "reports", &site.nodes[number], record, behaviour));
    }
    let routes = [route("r", "/r/", "download", TIMEOUT_S, "reports", 1)];
    site.start(&upsert(&[service("reports")], &routes, true));
    sleep(Duration::from_secs(5));

    let taken = Arc::new(Mutex::new(Vec::<(String, Duration, bool)>::new()));
    let ends_at = Instant::now() + Duration::from_secs(12);
    let mut clients = Vec::new();
    for number in 0..NODES * 5 {
        let (site, record, taken) = (Arc::clone(&site), Arc::clone(record), Arc::clone(&taken));
        clients.push(spawn(move || download(&site, number, ends_at, &record, &taken)));
    }
    sleep(Duration::from_secs(4));
    if has_trouble {
        record.say("the servers of one zone fall silent");
        ZONE.iter().for_each(|number| servers[*number].go_dark());
    }
    clients.into_iter().for_each(|client| drop(client.join()));

    let taken = taken.lock().unwrap();
    let timeout = Duration::from_secs(TIMEOUT_S.into());
    let long: Vec<_> = taken.iter().filter(|(_, took, _)| *took > timeout).collect();
    let unended: Vec<_> = long.iter().filter(|(_, took, _)| *took > timeout + EXTRA).collect();
    let given_up = long.iter().filter(|(_, took, is_whole)| *took >= LIMIT && !is_whole).count();
    for (id, took, is_whole) in &long {
        record.event(&format!("{id} took {:.3} s, whole: {is_whole}", took.as_secs_f64()));
    }
    record.say(&format!(
        "{} downloads, {} longer than the timeout of {TIMEOUT_S} s",
        taken.len(),
        long.len()
    ));
    record.say(&format!("{} of them had no end {EXTRA:?} later", unended.len()));
    record.say(&format!(
        "{given_up} clients gave up at their time limit of {LIMIT:?} without an end"
    ));
    unended.len() >= NEEDED && unended.len() * 4 > long.len()
}

fn download(
    site: &Site,
    number: usize,
    ends_at: Instant,
    record: &Record,
    taken: &Mutex<Vec<(String, Duration, bool)>>,
) {
    let node = &site.nodes[number % NODES];
    let mut count = 0;
    while Instant::now() < ends_at {
        count += 1;
        let id = format!("d{number}n{count}");
        let begun_at = Instant::now();
        let is_whole = fetch(node.address(node.ports.outbound), &id).unwrap_or(false);
        let took = begun_at.elapsed();
        taken.lock().unwrap().push((id.clone(), took, is_whole));
        if !is_whole {
            record.event(&format!(
                "{id} through {} ends after {:.3} s",
                node.name,
                took.as_secs_f64()
            ));
        }
        sleep(Duration::from_millis(100));
    }
}

/// Fetches a file; returns whether it is whole, as soon as that is clear or the time limit has passed.
fn fetch(address: std::net::SocketAddr, id: &str) -> std::io::Result<bool> {
    let ends_at = Instant::now() + LIMIT;
    let mut stream = TcpStream::connect(address)?;
    let limit = LIMIT.as_millis().to_string();
    let headers = [("Host", "r.example"), ("Attempt-Id", id), ("Deadline-Ms", &*limit)];
    stream.write_all(&http::request("GET", &format!("/r/{id}"), &headers, b""))?;
    stream.set_read_timeout(Some(LIMIT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(head) = http::read_head(&mut reader)? else { return Ok(false) };
    let length: usize =
        head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut read = 0;
    let mut buffer = [0; 16 << 10];
    while read < length {
        let left = ends_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(false);
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match reader.read(&mut buffer)? {
            0 => return Ok(false),
            bytes => read += bytes,
        }
    }
    Ok(head.status == 200)
}
