//! A change that was refused is in force after a restart of all processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::{route, service, upsert};
use crate::http;
use crate::record::Record;
use crate::server::{Act, Server};
use crate::site::{Machine, Site, unusable};

/// How long the core machines stay dark that are back last.
const LATE: Duration = Duration::from_secs(12);

const RECOVERY: Duration = Duration::from_secs(15);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let services = ["old", "old", "new", "new"];
    let site = Site::new(&services, record);
    let mut servers = Vec::new();
    for (number, name) in services.iter().enumerate() {
        let behaviour =
            Arc::new(|_: &_| Act::Answer { work: Duration::from_millis(50), bytes: 300 });
        servers.push(Server::start(number, name, &site.nodes[number], record, behaviour));
    }
    let declared = [service("old"), service("new")];
    site.start(&upsert(&declared, &[route("a", "/a/", "safe", 4, "old", 1)], true));
    sleep(Duration::from_secs(4));
    run_requests(&site, &servers, record, "at first");

    let leader = leader(&site);
    let is_early = |core: &Arc<Machine>| {
        core.name == leader || Some(&core.name) == other(&site, &leader).as_ref()
    };
    let (early, late): (Vec<_>, Vec<_>) = site.cores.iter().cloned().partition(is_early);

    record.say("the first operator moves route a to the service new");
    let change = upsert(&[], &[route("a", "/a/", "safe", 4, "new", 5)], false);
    let leading = site.cores.iter().find(|core| core.name == leader).expect("the leader");
    if has_trouble {
        late.iter().for_each(|core| core.kill());
    }
    let first_answer = leading.order(&change);
    if has_trouble && first_answer.is_some() {
        unusable("the change got a clear answer");
    }
    if has_trouble {
        early.iter().for_each(|core| core.kill());
        late.iter().for_each(|core| core.start());
    }

    record.say("the second operator removes the service new, which no route uses");
    let removal =
        "{\"upsert\":{},\"remove\":{\"services\":[{\"name\":\"new\",\"version\":\"r6\"}]}}";
    let removal_answer = answer(&site, removal);
    record.say(&format!("the removal is answered with {removal_answer}"));
    let change_answer = answer(&site, &change);
    record.say(&format!(
        "the first operator sends the change again, which is answered with {change_answer}"
    ));

    if has_trouble {
        record.say("all processes are killed; some of the core are back late");
        let running = site.nodes.iter().chain(&late).cloned();
        let kills: Vec<_> = running.map(|machine| spawn(move || machine.kill())).collect();
        kills.into_iter().for_each(|kill| drop(kill.join()));
        sleep(Duration::from_secs(1));
        let killed_at = Instant::now();
        site.nodes.iter().chain(&early).for_each(|machine| machine.start());
        sleep(LATE.saturating_sub(killed_at.elapsed()));
        late.iter().for_each(|core| core.start());
    }
    sleep(RECOVERY + Duration::from_secs(5));
    for core in &site.cores {
        record.event(&format!("{} reads back {:?}", core.name, core.read_back()));
    }
    let ran = run_requests(&site, &servers, record, "at the end");
    record.say(&format!("at the end, route a is run by {ran:?}"));
    let is_refused = change_answer == 400;
    is_refused && ran.get("new").is_some_and(|count| *count > 0)
}

/// Sends an order until it gets a clear answer.
fn answer(site: &Site, patch: &str) -> u16 {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if let Some(status) = site.order(patch) {
            return status;
        }
        sleep(Duration::from_millis(300));
    }
    unusable("an order got no clear answer")
}

/// Returns the core machine that leads, as its log states.
fn leader(site: &Site) -> String {
    let mut leading = Vec::new();
    for core in &site.cores {
        for line in core.log_lines("event=leading") {
            let round =
                line.split("round=").nth(1).and_then(|text| text.trim().parse::<u64>().ok());
            leading.push((round.unwrap_or(0), core.name.clone()));
        }
    }
    leading.sort();
    leading.pop().map_or_else(|| unusable("no leader"), |(_, name)| name)
}

/// Returns a core machine beside the leader.
fn other(site: &Site, leader: &str) -> Option<String> {
    site.cores.iter().map(|core| core.name.clone()).find(|name| name != leader)
}

/// Sends requests on route a through each node; returns how many each service ran.
fn run_requests(
    site: &Site,
    servers: &[Arc<Server>],
    record: &Record,
    when: &str,
) -> BTreeMap<String, usize> {
    let tag: String = when.chars().filter(char::is_ascii_alphanumeric).collect();
    for (number, node) in site.nodes.iter().enumerate() {
        for count in 0..5 {
            let id = format!("{tag}{number}x{count}");
            let target = format!("/a/{tag}{number}{count}");
            let headers = [("Host", "a.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "3000")];
            let address = node.address(node.ports.outbound);
            let sent = http::call(address, "GET", &target, &headers, b"", Duration::from_secs(3));
            let status = sent.as_ref().map(|response| response.status).unwrap_or(0);
            record.event(&format!("request {id} through {}: {status}", node.name));
        }
    }
    let mut ran = BTreeMap::new();
    for server in servers {
        let runs = server.runs.lock().unwrap();
        let count = runs.iter().filter(|run| run.id.starts_with(&tag)).count();
        *ran.entry(server.service.clone()).or_default() += count;
    }
    ran
}
