//! An acknowledged item is replaced by other content under the same version, after the core has
//! restarted.

#[path = "../standin/support.rs"]
mod support;

use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use support::*;

const VERSION: u32 = 7;
const ITEMS: usize = 12;

/// The orders of the second operator, each with a part of the items, and the time between them.
const ORDERS: usize = 4;
const ORDER_INTERVAL: Duration = Duration::from_millis(120);

/// The routes `numbers` of one operator, all at [`VERSION`]; `timeout_s` tells the operators apart.
fn routes(numbers: Range<usize>, service: &str, timeout_s: f64) -> Vec<String> {
    numbers.map(|n| route(&format!("x{n}"), "safe", service, timeout_s, VERSION)).collect()
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(Path::new(&folder), |record| {
        let fleet = Arc::new(Fleet::new(record, Site { memory_mb: 260, has_tenants: false }));
        let mut controls = fleet.start_controls();
        let node = [fleet.start_node(11, "slots"), fleet.start_node(12, "bookings")];
        let servers = [
            Server::start(&fleet, 11, "slots", 5, |_| Work::of_ms(10)),
            Server::start(&fleet, 12, "bookings", 5, |_| Work::of_ms(10)),
        ];
        let first: Vec<String> =
            (0..ITEMS).map(|n| route(&format!("x{n}"), "safe", "slots", 3.0, 2)).collect();
        let services = [service("slots", 2), service("bookings", 2)];
        fleet.patch_until_confirmed(&[1, 2, 3], &first_order(&first, &services, 2));
        fleet.wait_ready(11);
        fleet.wait_ready(12);
        sleep(Duration::from_secs(3));

        if has_trouble() {
            record.line("platform: kills core-5");
            controls[4].kill();
            sleep(Duration::from_millis(1_000));
        }
        if fleet.patch(1, &order(&routes(0..ITEMS, "slots", 4.0))) != 200 {
            fleet.give_up("the first operator's order was not confirmed");
        }
        sleep(Duration::from_millis(1_500));
        let held = fleet.read_back(2).unwrap_or_default().matches("\"timeout_s\":4").count();
        record.line(format!(
            "operator: core-2 reads back {held} of the {ITEMS} items just acknowledged"
        ));
        if has_trouble() {
            record.line("platform: kills all processes of the core");
            for control in &mut controls {
                control.kill();
            }
            sleep(Duration::from_millis(300));
            for number in 1..=5 {
                controls[number - 1] = fleet.start_control(number as u8, false);
            }
        }
        let mut orders = Vec::new();
        for part in 0..ORDERS {
            sleep(ORDER_INTERVAL);
            let size = ITEMS / ORDERS;
            let other = order(&routes(part * size..(part + 1) * size, "bookings", 5.0));
            let fleet = Arc::clone(&fleet);
            orders.push(thread::spawn(move || {
                let until = Instant::now() + Duration::from_secs(6);
                while fleet.patch(5, &other) != 200 && Instant::now() < until {
                    sleep(Duration::from_millis(30));
                }
            }));
        }
        for order in orders {
            let _ = order.join();
        }
        sleep(Duration::from_secs(5));

        let mut replaced = 0;
        for number in 1..=5 {
            let Some(read) = fleet.read_back(number) else {
                record.line(format!("operator: core-{number} reads nothing back"));
                continue;
            };
            let count = read.matches("\"timeout_s\":5").count();
            record.line(format!("operator: core-{number} reads back: {read}"));
            record.line(format!(
                "operator: {count} of {ITEMS} items at r{VERSION} are not those acknowledged first"
            ));
            replaced += count;
        }
        for n in 0..ITEMS {
            let request = client_request("GET", &format!("x{n}"), "", &format!("c-{n}"), "");
            let answer = exchange(fleet.outbound(11), request.as_bytes(), Duration::from_secs(4));
            let by = answer.as_ref().and_then(|answer| answer.field("response-signature"));
            record.line(format!("client: request c-{n} on route x{n} answered by {by:?}"));
        }
        drop((servers, node));
        replaced == 0
    })
}
