//! A planned replacement of a control instance, during which the instances are split into halves.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::*;

/// How long the instance that is replaced runs on after the split has healed.
const OVERLAP_MS: u64 = 1_000;
/// How long the machines are split.
const SPLIT: Duration = Duration::from_millis(5_000);
const LOST_DISKS: usize = 2;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let log = Log::new(&Path::new(&folder).join("record.txt"));
    let fleet = Fleet::new("review-split");
    let partition = Partition::default();
    let names = ["core-1", "core-2", "core-3", "core-4", "core-5", "core-6"];
    let mut controls = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let machine = u8::try_from(index + 1).unwrap();
        let advertise = Some(free_address(machine));
        controls.push(Control { name: name.to_string(), listen: free_address(machine), advertise });
    }
    let ids: Vec<Arc<AtomicU64>> = names.iter().map(|_| Arc::default()).collect();
    for (control, id) in controls.iter().zip(&ids) {
        partition.forward(control.reached_at(), control.listen, Arc::clone(id));
    }
    let seeds: Vec<SocketAddr> = controls[..3].iter().map(Control::reached_at).collect();
    let mut processes = Vec::new();
    let group = |index: usize| if index < 3 { 1 } else { 2 };
    for index in 0..5 {
        let process = fleet.control(&controls[index], &seeds, true, LOST_DISKS);
        ids[index].store(u64::from(process.id()), Ordering::SeqCst);
        partition.assign(process.id(), group(index));
        processes.push(process);
    }
    let all: Vec<SocketAddr> = controls[..5].iter().map(|control| control.listen).collect();
    let first = format!(
        r#"{{"upsert":{{"routes":{{"r-base":{}}},"services":{{"s-a":{},"s-b":{}}},"limits":{}}},"remove":{{"routes":[]}}}}"#,
        route("a.example", "/base/", "safe", "s-a", 1),
        service(1),
        service(1),
        limits(1),
    );
    if order(&log, "first configuration", &all, &first, Duration::from_secs(20)) != 200 {
        cannot_run("the first configuration was not accepted");
    }
    std::thread::sleep(Duration::from_secs(2));
    log.write("planned replacement: core-6 starts with an empty disk, for core-1");
    let newest = fleet.control(&controls[5], &seeds, false, LOST_DISKS);
    ids[5].store(u64::from(newest.id()), Ordering::SeqCst);
    partition.assign(newest.id(), group(5));
    processes.push(newest);
    let mut acknowledged: BTreeMap<String, u64> = BTreeMap::new();
    wait_until("the start of core-6", Duration::from_secs(20), || is_complete(&controls[5]));
    sleep_ms(500);
    log.write("core-6 runs beside core-1 to core-5");
    if has_trouble() {
        partition.set_cut(true);
        log.write("the machines are split: core-1 to core-3 | core-4 to core-6");
    }
    let cut_at = Instant::now();
    let halves = [&controls[0..3], &controls[3..6]];
    let mut tasks = Vec::new();
    for (half, members) in halves.iter().enumerate() {
        let members: Vec<SocketAddr> = members.iter().map(|control| control.listen).collect();
        let log = log.clone();
        tasks.push(std::thread::spawn(move || {
            let mut sent = Vec::new();
            let name = format!("r-half-{}", half + 1);
            let prefix = format!("/half{}/", half + 1);
            let version = 20 + half as u64;
            let body = format!(
                r#"{{"upsert":{{"routes":{{"{name}":{}}}}},"remove":{{"routes":[]}}}}"#,
                route("a.example", &prefix, "safe", "s-b", version)
            );
            let title = format!("{name} r{version}");
            if order(&log, &title, &members, &body, Duration::from_millis(4_800)) == 200 {
                sent.push((name, version));
            }
            sent
        }));
    }
    for task in tasks {
        acknowledged.extend(task.join().unwrap());
    }
    log.write(&format!("acknowledged: {acknowledged:?}"));
    std::thread::sleep(SPLIT.saturating_sub(cut_at.elapsed()));
    partition.set_cut(false);
    log.write("the split has healed");
    sleep_ms(OVERLAP_MS);
    log.write("planned replacement: SIGTERM of core-1");
    processes[0].signal("TERM");
    processes[0].wait(Duration::from_secs(6));
    log.write("core-1 has ended");
    // Another change shows that the instances work again.
    let rest: Vec<SocketAddr> = controls[1..].iter().map(|control| control.listen).collect();
    let last = format!(
        r#"{{"upsert":{{"routes":{{"r-last":{}}}}},"remove":{{"routes":[]}}}}"#,
        route("a.example", "/last/", "safe", "s-a", 30)
    );
    if order(&log, "r-last r30", &rest, &last, Duration::from_secs(20)) == 200 {
        acknowledged.insert("r-last".to_string(), 30);
    }
    // The operator reads repeatedly for at least stability_window_s.
    std::thread::sleep(Duration::from_secs(3));
    let mut read = None;
    for turn in 0..20 {
        let control = rest[turn % rest.len()];
        if let Ok(response) = operate(control, "get", "")
            && response.status() == 200
        {
            let found: Vec<String> = acknowledged
                .keys()
                .map(|name| format!("{name}: {:?}", route_version(&response.text(), name)))
                .collect();
            log.write(&format!("read at {control}: {}", found.join(", ")));
            read = Some(response.text());
        }
        sleep_ms(200);
    }
    let Some(read) = read else { finish(&log, true, "no read was answered") };
    let mut lost = Vec::new();
    for (name, version) in &acknowledged {
        if route_version(&read, name).is_none_or(|known| known < *version) {
            lost.push(format!("{name} r{version}"));
        }
    }
    match lost.is_empty() {
        true => finish(&log, false, "every acknowledged item is read back"),
        false => {
            finish(&log, true, &format!("acknowledged, but not read back: {}", lost.join(", ")))
        }
    }
}
