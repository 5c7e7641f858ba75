//! A control instance that has just come back confirms an invalid order, which the others refuse.

#[path = "../standin/support.rs"]
mod support;

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::*;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(Path::new(&folder), |record| {
        let fleet = Fleet::new(record, Site { memory_mb: 260, has_tenants: false });
        let mut controls = fleet.start_controls();
        let nodes = [fleet.start_node(11, "slots"), fleet.start_node(12, "slots")];
        let server = Server::start(&fleet, 11, "slots", 5, |_| Work::of_ms(10));
        let routes =
            [route("look", "safe", "slots", 3.0, 2), route("report", "safe", "reports", 3.0, 2)];
        let services = [service("slots", 2), service("reports", 2)];
        fleet.patch_until_confirmed(&[1, 2, 3], &first_order(&routes, &services, 2));
        fleet.wait_ready(11);
        fleet.wait_ready(12);
        sleep(Duration::from_secs(3));

        if has_trouble() {
            record.line("platform: kills core-5");
            controls[4].kill();
            sleep(Duration::from_millis(1_000));
        }
        let removal = format!(
            "{{\"upsert\":{{\"routes\":{{{}}}}},\"remove\":{{\"routes\":[],\"services\":[{{\"name\":\
             \"reports\",\"version\":\"r5\"}}]}}}}",
            route("report", "safe", "slots", 3.0, 5)
        );
        if fleet.patch(1, &removal) != 200 {
            fleet.give_up("the removal was not confirmed");
        }
        sleep(Duration::from_secs(2));
        let invalid = order(&[route("archive", "safe", "reports", 3.0, 6)]);
        if fleet.patch(1, &invalid) != 400 {
            fleet.give_up("core-1 does not refuse a route to a service that is gone");
        }
        if has_trouble() {
            controls[4] = fleet.start_control(5, false);
        }
        let until = Instant::now() + Duration::from_secs(6);
        let mut status = 0;
        while !matches!(status, 200 | 400) && Instant::now() < until {
            status = fleet.patch(5, &invalid);
            sleep(Duration::from_millis(30));
        }
        sleep(Duration::from_secs(3));
        let mut present = 0;
        for number in 1..=5 {
            let read = fleet.read_back(number).unwrap_or_default();
            let is_present = read.contains("\"archive\"");
            record.line(format!("operator: core-{number} reads back: {read}"));
            present += usize::from(is_present);
        }
        record.line(format!(
            "core-5 answered the invalid order with {status}; {present} of 5 instances read it back"
        ));
        drop((nodes, server));
        status != 200 && present == 0
    })
}
