//! A deployment that is to bear the loss of a zone loses the disks of one.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{route, service, upsert};
use crate::record::Record;
use crate::server::{Act, Server};
use crate::site::{Site, unusable};

const ZONES: usize = 3;
const DOWN: Duration = Duration::from_millis(1_600);

/// From the return of a zone until the next one is lost: its machines have caught up by then.
const BETWEEN: Duration = Duration::from_secs(8);

const RECOVERY: Duration = Duration::from_secs(15);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let site = Site::with_tolerance(&["slots"; 3], record, 0, 1);
    let mut servers = Vec::new();
    for number in 0..site.nodes.len() {
        let behaviour =
            Arc::new(|_: &_| Act::Answer { work: Duration::from_millis(50), bytes: 300 });
        servers.push(Server::start(number, "slots", &site.nodes[number], record, behaviour));
    }
    site.start(&upsert(&[service("slots")], &[route("a", "/a/", "safe", 4, "slots", 1)], true));
    sleep(Duration::from_secs(5));
    let change = upsert(&[], &[route("a", "/a/", "safe", 3, "slots", 7)], false);
    if site.order(&change) != Some(200) {
        unusable("the change is not acknowledged");
    }
    record.say("a change is acknowledged");
    if !is_read_back(&site, record, Duration::from_secs(3)) {
        unusable("the change is not read back before the loss");
    }
    // One zone at a time, each after the one before has caught up.
    for zone in 0..ZONES {
        if has_trouble {
            record.say(&format!("zone {zone} loses its disks"));
            let lost = || site.cores.iter().skip(zone).step_by(ZONES);
            lost().for_each(|core| core.kill());
            lost().for_each(|core| core.lose_disk());
            sleep(DOWN);
            lost().for_each(|core| core.start());
        }
        sleep(BETWEEN);
        if !is_read_back(&site, record, Duration::from_secs(3)) {
            break;
        }
    }
    sleep(RECOVERY);
    let is_there = is_read_back(&site, record, Duration::from_secs(10));
    record.say(&format!("at the end, the change is read back: {is_there}"));
    let again = upsert(&[], &[route("a", "/a/", "safe", 4, "slots", 9)], false);
    record.say(&format!("another change is answered with {:?}", site.order(&again)));
    !is_there
}

/// Asks all core machines for the configuration until one returns the acknowledged version.
fn is_read_back(site: &Site, record: &Record, limit: Duration) -> bool {
    let ends_at = Instant::now() + limit;
    while Instant::now() < ends_at {
        for core in &site.cores {
            let text = core.read_back();
            record.event(&format!("{} reads back {text:?}", core.name));
            if text.is_some_and(|text| text.contains("\"r7\"")) {
                return true;
            }
        }
        sleep(Duration::from_millis(500));
    }
    false
}
