//! A server that has left, and whose departure was acknowledged, gets work again after its node was
//! killed and started, when a ping that it sent before it left arrives late.

#[path = "../standin/support.rs"]
mod support;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use support::*;

/// How long after the departure the server goes on serving.
const SERVES_ON: Duration = Duration::from_secs(14);

/// How late the ping arrives that the server sent just before it left.
const PING_DELAY: Duration = Duration::from_millis(3_500);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(Path::new(&folder), |record| {
        let fleet = Arc::new(Fleet::new(record, Site { memory_mb: 260, has_tenants: false }));
        let _controls = fleet.start_controls();
        let mut leaving_node = fleet.start_node(11, "bookings");
        let _other_nodes = [fleet.start_node(12, "bookings"), fleet.start_node(13, "slots")];
        let leaving = Server::start(&fleet, 11, "bookings", 5, |_| Work::of_ms(100));
        let _staying = Server::start(&fleet, 12, "bookings", 5, |_| Work::of_ms(100));
        let routes = [route("book", "unsafe", "bookings", 4.0, 2)];
        let services = [service("bookings", 2), service("slots", 2)];
        fleet.patch_until_confirmed(&[1, 2, 3], &first_order(&routes, &services, 2));
        for number in 11..=13 {
            fleet.wait_ready(number);
        }

        // Clients at sidecar-13, which is in touch all the time.
        let is_over = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for client in 0..4 {
            let (fleet, is_over) = (Arc::clone(&fleet), Arc::clone(&is_over));
            clients.push(thread::spawn(move || {
                let mut n = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("c-{client}-{n}");
                    let rest = "Deadline-Ms: 4000\r\nContent-Length: 4\r\n";
                    let request = client_request("POST", "book", "", &id, rest) + "body";
                    let answer =
                        exchange(fleet.outbound(13), request.as_bytes(), Duration::from_secs(5));
                    let status = answer.map_or(0, |answer| answer.status);
                    fleet.record.line(format!("client: {id} -> {status}"));
                    sleep(Duration::from_millis(150));
                    n += 1;
                }
            }));
        }
        sleep(Duration::from_secs(5));
        if leaving.runs().is_empty() {
            fleet.give_up("the server got no work before it left");
        }

        let state = Arc::clone(&leaving.state);
        state.pings.store(false, Ordering::Relaxed);
        let (late_ping, control) = (state.heartbeat("ready"), fleet.control(11));
        record.line(format!("i-11: sends a ping, which is delayed: {late_ping}"));
        let pinging = {
            let (state, record) = (Arc::clone(&state), record.clone());
            thread::spawn(move || {
                sleep(PING_DELAY);
                let status = state.say(control, "instances.heartbeat", &late_ping);
                record.line(format!("i-11: the delayed ping arrives -> {status}"));
            })
        };
        sleep(Duration::from_millis(300));
        let departure = format!("{{\"born\":{}}}", state.born);
        let status = state.say(control, "instances.deregister", &departure);
        let left_at = Instant::now();
        record.line(format!("i-11: deregisters -> {status}"));
        if status != 200 {
            fleet.give_up("the departure was not confirmed");
        }
        sleep(Duration::from_millis(500));
        let mut started_at = None;
        if has_trouble() {
            record.line("platform: kills sidecar-11");
            leaving_node.kill();
            sleep(Duration::from_millis(500));
            leaving_node = fleet.start_node(11, "bookings");
            started_at = Some(Instant::now());
        }
        sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
        is_over.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        let _ = pinging.join();

        let late: Vec<Received> =
            leaving.runs().into_iter().filter(|run| run.at > left_at + DRAIN).collect();
        let in_touch_from = started_at.map_or(left_at, |at| at + STABILITY_WINDOW);
        let counted = late.iter().filter(|run| run.at > in_touch_from).count();
        record.line(format!(
            "{} requests reached i-11 later than {DRAIN:?} after its departure was confirmed, {counted} \
             of them through nodes in touch",
            late.len()
        ));
        drop(leaving_node);
        counted == 0
    })
}
