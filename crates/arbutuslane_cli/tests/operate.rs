//! Runs the program against mock servers with the interface of control instances and nodes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use tempfile::TempDir;

const TOKEN: &str = "token-that-must-not-be-shown";

const ENTRIES: &str = r#"{"entries": [{"service": "slots", "owner": "tuning",
  "class": "idempotent", "preference": "few-false-ejections", "floor": 8,
  "routes": [{"path_prefix": "/slots"}]}]}"#;

/// A received request: its request line, authorization header and body.
type ReceivedRequest = (String, String, String);

/// Returns the status and body of the response to a request, given the number of requests received
/// so far; `None` closes the connection without a response.
type ResponseHandler = Box<dyn Fn(&ReceivedRequest, usize) -> Option<(u16, String)> + Send>;

struct MockServer {
    address: String,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl MockServer {
    fn start(handler: ResponseHandler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared_requests = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.unwrap();
                let request = receive(&stream);
                let mut requests = shared_requests.lock().unwrap();
                requests.push(request);
                let count = requests.len();
                if let Some((status, body)) = handler(&requests[count - 1], count) {
                    respond(&stream, status, &body);
                }
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }
}

fn receive(stream: &TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let (mut request_line, mut authorization, mut length) = (String::new(), String::new(), 0);
    reader.read_line(&mut request_line).unwrap();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap();
        match name.to_ascii_lowercase().as_str() {
            "authorization" => authorization = value.trim().to_string(),
            "content-length" => length = value.trim().parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (request_line.trim().to_string(), authorization, String::from_utf8(body).unwrap())
}

fn respond(mut stream: &TcpStream, status: u16, body: &str) {
    let head = format!("HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n");
    let length = body.len();
    let _ = write!(stream, "{head}content-length: {length}\r\nconnection: close\r\n\r\n{body}");
}

fn folder(controls: &[&str]) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let controls = serde_json::to_string(controls).unwrap();
    let settings =
        format!("{{\"controls\": {controls}, \"token_file\": \"token\", \"author\": \"mari\"}}");
    std::fs::write(folder.path().join("arbutuslane.json"), settings).unwrap();
    std::fs::write(folder.path().join("token"), format!("{TOKEN}\n")).unwrap();
    std::fs::write(folder.path().join("catalogue.json"), ENTRIES).unwrap();
    folder
}

fn run(folder: &Path, arguments: &str) -> (i32, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_arbutuslane"))
        .args(arguments.split_whitespace())
        .current_dir(folder)
        .env_remove("ARBUTUSLANE_SETTINGS")
        .output()
        .unwrap();
    let text = format!("{}{}", String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));
    assert!(!text.contains(TOKEN), "the token is shown:\n{text}");
    (status.code().unwrap(), text)
}

/// Guards against a change that is made twice or reported as failed after its response was lost and
/// the resent request reached an instance that is not the leader.
#[test]
fn apply_lost_response() {
    let leader = MockServer::start(Box::new(|_, count| {
        (count > 1).then(|| (200, "{\"revision\": 8}".to_string()))
    }));
    let hint = format!("{{\"leader\": \"{}\"}}", leader.address);
    let follower = MockServer::start(Box::new(move |_, _| Some((503, hint.clone()))));
    let folder = folder(&[&follower.address]);
    let (code, text) = run(folder.path(), "catalogue apply --base 7 catalogue.json");
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("accepted as revision 8"), "{text}");
    let bodies: Vec<String> = leader.requests().into_iter().map(|(_, _, body)| body).collect();
    assert_eq!(bodies.len(), 2);
    assert_eq!(bodies[0], bodies[1]);
    assert!(leader.requests()[0].1 == format!("Bearer {TOKEN}"));
}

/// Guards against a conflict message that does not name the change that was accepted first.
#[test]
fn apply_conflict() {
    let control = MockServer::start(Box::new(|_, _| {
        let body = "{\"revision\": 9, \"winner\": \"change-x\", \"author\": \"jaan\"}";
        Some((409, body.to_string()))
    }));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "catalogue apply --base 7 catalogue.json");
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("change-x by jaan made revision 9"), "{text}");
    assert_eq!(control.requests().len(), 1);
}

/// Guards against sending an invalid catalogue, and against showing a refusal without its remedy.
#[test]
fn apply_refused() {
    let control = MockServer::start(Box::new(|_, _| {
        Some((403, "{\"error\": \"unknown token\", \"remedy\": \"renew it\"}".to_string()))
    }));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "catalogue apply --base 7 catalogue.json");
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("unknown token") && text.contains("renew it"), "{text}");
    std::fs::write(folder.path().join("catalogue.json"), ENTRIES.replace("8", "0")).unwrap();
    let (code, text) = run(folder.path(), "catalogue apply --base 7 catalogue.json");
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("catalogue.json:2: entries[0].floor"), "{text}");
    assert_eq!(control.requests().len(), 1);
}

/// Guards against a command that hangs or reports success when no instance confirms the change.
#[test]
fn apply_unconfirmed() {
    let control = MockServer::start(Box::new(|_, _| Some((503, "{\"leader\": null}".to_string()))));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "catalogue apply --base 7 --timeout 0 catalogue.json");
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("run the same command again"), "{text}");
}

/// Guards against `--wait` returning before every live node has the revision in force.
#[test]
fn apply_wait() {
    let control = MockServer::start(Box::new(|(request_line, _, _), count| {
        if request_line.starts_with("POST") {
            return Some((200, "{\"revision\": 8}".to_string()));
        }
        let revision = if count > 3 { 8 } else { 7 };
        Some((
            200,
            format!(
                "{{\"instance\": \"c1\", \"revision\": 8, \"members\": [{{\"instance\": \"n1\", \
                 \"role\": \"node\", \"state\": \"alive\", \"revision\": {revision}}}]}}"
            ),
        ))
    }));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "catalogue apply --base 7 --wait catalogue.json");
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("in force on 2 of 2 instances"), "{text}");
    assert!(control.requests().len() >= 4);
}

/// Guards against a diff that does not show that a raised floor leaves no server to eject, so that
/// ejected servers return to use.
#[test]
fn diff_capacity() {
    let control = MockServer::start(Box::new(|(request_line, _, _), _| {
        let entries = ENTRIES.replace("\"floor\": 8", "\"floor\": 6");
        if request_line.contains("/v1/catalogue") {
            return Some((200, entries.replacen('{', "{\"revision\": 7, ", 1)));
        }
        let status = "{\"services\": [{\"service\": \"slots\", \"live\": 8, \"ejected\": 1}]}";
        Some((200, status.to_string()))
    }));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "catalogue diff catalogue.json");
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("floor: 6 -> 8"), "{text}");
    assert!(text.contains("1 of 1 ejected servers would return to use"), "{text}");
    assert!(text.contains("--base 7"), "{text}");
}

/// Guards against a timeline that does not mention an instance that was not reached, and against
/// sending the operator token to a node.
#[test]
fn timeline_unreached() {
    let page = |instance: &str, wall_ms: u64, kind: &str| {
        format!(
            "{{\"instance\": \"{instance}\", \"started_ms\": 1, \"next\": 1, \"dropped\": 0, \
             \"events\": [{{\"stamp\": {{\"wall_ms\": {wall_ms}, \"counter\": 0}}, \
             \"instance\": \"{instance}\", \"sequence\": 1, \"kind\": \"{kind}\"}}]}}"
        )
    };
    let node = MockServer::start(Box::new(move |(request_line, _, _), _| {
        let status = "{\"instance\": \"n1\", \"role\": \"node\"}".to_string();
        let events = request_line.contains("/v1/events");
        Some((200, if events { page("n1", 1_000, "lease-lost") } else { status }))
    }));
    let closed_address =
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let members = format!(
        "[{{\"instance\": \"n1\", \"role\": \"node\", \"state\": \"alive\", \"address\": \"{}\"}}, \
         {{\"instance\": \"n2\", \"role\": \"node\", \"state\": \"alive\", \"address\": \"{}\"}}]",
        node.address, closed_address
    );
    let control = MockServer::start(Box::new(move |(request_line, _, _), _| {
        let status = format!("{{\"instance\": \"c1\", \"members\": {members}}}");
        let events = request_line.contains("/v1/events");
        Some((200, if events { page("c1", 2_000, "leader-change") } else { status }))
    }));
    let folder = folder(&[&control.address]);
    let (code, text) = run(folder.path(), "timeline --json");
    assert_eq!(code, 6, "{text}");
    assert!(text.contains(&format!("not reached: n2 at {closed_address}")), "{text}");
    assert!(text.find("lease-lost").unwrap() < text.find("leader-change").unwrap(), "{text}");
    assert!(node.requests().iter().all(|(_, authorization, _)| authorization.is_empty()));
}

/// Guards against events that are shown twice or not at all while following, also after a restart
/// of the process that recorded them.
#[test]
fn timeline_follow() {
    let control = MockServer::start(Box::new(|(request_line, _, _), count| {
        if !request_line.contains("/v1/events") {
            return Some((200, "{\"instance\": \"c1\"}".to_string()));
        }
        let (started, last) = if count > 4 { (2, 1) } else { (1, 2) };
        let since: u64 = request_line.split("since=").nth(1)?.split(' ').next()?.parse().ok()?;
        let event = |sequence: u64| {
            format!(
                "{{\"stamp\": {{\"wall_ms\": {started}, \"counter\": {sequence}}}, \
                 \"instance\": \"c1\", \"sequence\": {sequence}, \"kind\": \"k{started}-{sequence}\"}}"
            )
        };
        let events: Vec<String> = (since + 1..=last).map(event).collect();
        Some((
            200,
            format!(
                "{{\"instance\": \"c1\", \"started_ms\": {started}, \"next\": {last}, \
                 \"dropped\": 0, \"events\": [{}]}}",
                events.join(",")
            ),
        ))
    }));
    let folder = folder(&[&control.address]);
    let mut child = Command::new(env!("CARGO_BIN_EXE_arbutuslane"))
        .args(["timeline", "--follow", "--json"])
        .current_dir(folder.path())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut kinds = Vec::new();
    for line in BufReader::new(child.stdout.take().unwrap()).lines().take(3) {
        let event: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        kinds.push(event["kind"].as_str().unwrap().to_string());
    }
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(kinds, ["k1-1", "k1-2", "k2-1"]);
}

/// Guards against a completion script that lacks the commands.
#[test]
fn completions_each_shell() {
    let folder = tempfile::tempdir().unwrap();
    for shell in ["bash", "zsh", "fish"] {
        let (code, text) = run(folder.path(), &format!("completions {shell}"));
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("arbutuslane") && text.contains("rollback"), "{shell}");
    }
}

/// Guards against a node that obtains the operator token by posing as a control instance.
#[test]
fn status_false_control() {
    let false_control = MockServer::start(Box::new(|_, _| Some((200, "{}".to_string()))));
    let members = format!(
        "[{{\"instance\": \"c9\", \"role\": \"control\", \"state\": \"alive\", \
         \"address\": \"{}\"}}]",
        false_control.address
    );
    let node = MockServer::start(Box::new(move |_, _| {
        Some((200, format!("{{\"instance\": \"n1\", \"members\": {members}}}")))
    }));
    let control =
        MockServer::start(Box::new(|_, _| Some((200, "{\"instance\": \"c1\"}".to_string()))));
    let folder = folder(&[&control.address]);
    let path = folder.path().join("arbutuslane.json");
    let settings = std::fs::read_to_string(&path).unwrap();
    let nodes = format!("{{\"nodes\": [\"{}\"], ", node.address);
    std::fs::write(&path, settings.replacen('{', &nodes, 1)).unwrap();
    run(folder.path(), "status");
    assert!(!false_control.requests().is_empty());
    assert!(false_control.requests().iter().all(|(_, authorization, _)| authorization.is_empty()));
    assert!(control.requests().iter().all(|(_, authorization, _)| !authorization.is_empty()));
}
