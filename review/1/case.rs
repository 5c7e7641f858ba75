//! A server runs a request that no client sent: its text stands in the body of an upload.

#[path = "../standin/support.rs"]
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use support::*;

/// The size of an upload; `max_body_bytes` is 64 MiB.
const UPLOAD_BYTES: usize = 2 << 20;

/// The size of a record in an upload, which a client writes at once.
const RECORD_BYTES: usize = 4 << 10;
const RECORD_PAUSE: Duration = Duration::from_micros(300);

const CLIENTS: usize = 8;
const UPLOADS_PER_CLIENT: usize = 12;

/// Sends an upload; with trouble, each of its records begins with the text of a request.
fn upload(address: SocketAddr, id: &str) -> Option<u16> {
    let rest = format!("Deadline-Ms: 15000\r\nContent-Length: {UPLOAD_BYTES}\r\n");
    let head = client_request("POST", "up", "", id, &rest);
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    for number in 0..UPLOAD_BYTES / RECORD_BYTES {
        let mut record = Vec::new();
        if has_trouble() {
            let quoted = format!("quoted-{id}-{number}");
            record = client_request("GET", "look", "quoted", &quoted, "").into_bytes();
        }
        record.resize(RECORD_BYTES, b'.');
        stream.write_all(&record).ok()?;
        sleep(RECORD_PAUSE);
    }
    Reader::new(stream).answer(Duration::from_secs(16)).map(|answer| answer.status)
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(Path::new(&folder), |record| {
        let fleet = Fleet::new(record, Site { memory_mb: 160, has_tenants: false });
        let _controls = fleet.start_controls();
        let _nodes = [fleet.start_node(11, "evidence"), fleet.start_node(12, "status")];
        let evidence = Server::start(&fleet, 11, "evidence", 11, |_| Work::of_ms(850));
        let status = Server::start(&fleet, 12, "status", 11, |_| Work::of_ms(100));
        let routes =
            [route("up", "upload", "evidence", 15.0, 2), route("look", "safe", "status", 12.0, 2)];
        let services = [service("evidence", 2), service("status", 2)];
        fleet.patch_until_confirmed(&[1, 2, 3], &first_order(&routes, &services, 2));
        fleet.wait_ready(11);
        fleet.wait_ready(12);
        sleep(Duration::from_secs(4));
        record.line(match has_trouble() {
            true => "clients: each record of an upload begins with the text of GET /look/quoted",
            false => "clients: the uploads contain no text of a request",
        });

        let served = Arc::new(AtomicUsize::new(0));
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            let (address, record) = (fleet.outbound(11), record.clone());
            let served = Arc::clone(&served);
            clients.push(thread::spawn(move || {
                for n in 0..UPLOADS_PER_CLIENT {
                    let id = format!("c-{client}-{n}");
                    record.line(format!("client: sends {id}, POST /up/, {UPLOAD_BYTES} bytes"));
                    let status = upload(address, &id);
                    record.line(format!("client: {id} -> {status:?}"));
                    served.fetch_add(usize::from(status == Some(200)), Ordering::Relaxed);
                }
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        sleep(Duration::from_secs(1));

        let is_sent = |run: &&Received| run.id.starts_with("c-");
        let unasked = status.runs().iter().filter(|run| !is_sent(run)).count();
        let uploads = evidence.runs().iter().filter(is_sent).count();
        let sent = CLIENTS * UPLOADS_PER_CLIENT;
        let served = served.load(Ordering::Relaxed);
        record.line(format!(
            "clients sent {sent} requests, all of them uploads, of which {served} were served; servers \
             ran {uploads} uploads and {unasked} requests that no client sent"
        ));
        if served == 0 {
            fleet.give_up("no upload was served");
        }
        unasked == 0
    })
}
