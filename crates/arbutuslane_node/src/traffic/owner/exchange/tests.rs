//! Tests of the last checks before a request is sent to its server.

use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::http::Method;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_record::prelude::Identity;
use arbutuslane_wire::announce::Announcement;

use crate::interface::Native;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::state_file::StateFile;
use crate::traffic::client::Upload;
use crate::traffic::owner::Repeat;
use crate::traffic::workspace::Importance;

use super::*;

const SETTINGS: &str = r#"{"node": "a", "domain": "d", "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2", "admin": "127.0.0.1:3", "open_network": true, "lease_ms": 60000}"#;

/// Returns the state of a traffic thread whose node owns the server `s1` at `listener`.
fn worker_with_server(listener: &TcpListener) -> Rc<Worker> {
    let settings = Settings::parse(SETTINGS).unwrap();
    let state = Arc::new(StateFile::default());
    let shared = Shared::new(settings, Arc::new(Native), String::new(), state);
    let announcement = Announcement {
        service: "slots".to_string(),
        server: "s1".to_string(),
        incarnation: 1,
        address: listener.local_addr().unwrap().to_string(),
        slots: 5,
        revision: 0,
        sequence: 0,
        draining: false,
        warming_ms: None,
    };
    shared.servers.announce(&announcement, shared.clock.now()).unwrap();
    Worker::new(shared)
}

fn request_until(deadline: Deadline) -> ServerRequest {
    let request = Request {
        method: Method::GET,
        target: "/slots".to_string(),
        headers: HeaderMap::new(),
        upload: Upload::Empty,
    };
    ServerRequest {
        service: "slots".to_string(),
        server: "s1".to_string(),
        incarnation: 1,
        class: Class::Idempotent,
        importance: Importance { rank: 0, workspace: 0 },
        is_call: false,
        due: deadline.at(),
        is_trial: false,
        retryable: false,
        must_accept: false,
        is_offered: false,
        repeat: Repeat::First,
        known_limit: None,
        summary: None,
        deadline,
        identity: Identity::default(),
        request,
    }
}

/// Guards against a request that is sent to its server after its deadline, because the process was
/// paused after an earlier check: its caller has given it up or sent it elsewhere by then.
#[ntex::test]
async fn send_after_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = worker_with_server(&listener);
    let server = worker.shared.servers.get("s1").unwrap();
    let now = worker.shared.clock.now();
    // The connection is established within the shortest timeout, as it is during a pause.
    for _ in 0..20 {
        let request = request_until(Deadline::after(now, Duration::ZERO));
        let failure = send(&worker, &server, &request).await.unwrap_err();
        assert!(!failure.sent(), "{failure}");
        assert_eq!(Refusal::from_failure(&failure).outcome, Outcome::NotRun);
    }
    drop(worker);
    listener.set_nonblocking(true).unwrap();
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    }
}
