//! Runs the program against a real control instance on loopback.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

use arbutuslane_control::daemon::Daemon;
use arbutuslane_control::settings::Settings;
use tempfile::TempDir;

const TOKEN: &str = "token-that-must-not-be-shown";

fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn start(folder: &Path) {
    let (operators, peers) = (free_address(), free_address());
    let text = format!(
        "{{\"name\": \"c1\", \"data\": \"{0}/data\", \"operators\": \"{operators}\", \
         \"peers\": \"{peers}\", \"members\": [{{\"name\": \"c1\", \"peers\": \"{peers}\", \
         \"operators\": \"{operators}\"}}], \"operator_tokens\": \"{0}/operators.tokens\", \
         \"peer_token\": \"{0}/fleet.token\", \"control_token\": \"{0}/control.token\"}}",
        folder.display()
    );
    std::fs::write(folder.join("control.json"), text).unwrap();
    std::fs::write(folder.join("operators.tokens"), format!("mari {TOKEN}\n")).unwrap();
    std::fs::write(folder.join("fleet.token"), "fleet\n").unwrap();
    std::fs::write(folder.join("control.token"), "control\n").unwrap();
    std::fs::write(folder.join("operator.token"), TOKEN).unwrap();
    let settings = format!(
        "{{\"controls\": [\"{operators}\"], \"token_file\": \"operator.token\", \
         \"author\": \"mari\"}}"
    );
    std::fs::write(folder.join("arbutuslane.json"), settings).unwrap();
    let settings = Settings::load(&folder.join("control.json")).unwrap();
    // The daemon runs until the test process ends; this test does not cover its shutdown.
    std::mem::forget(Daemon::start(settings).unwrap());
}

fn run(folder: &Path, arguments: &str) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_arbutuslane"))
        .args(arguments.split_whitespace())
        .current_dir(folder)
        .env_remove("ARBUTUSLANE_SETTINGS")
        .output()
        .unwrap();
    let (stdout, stderr) =
        (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    assert!(!format!("{stdout}{stderr}").contains(TOKEN), "the token is shown");
    (output.status.code().unwrap(), stdout, stderr)
}

fn expect(folder: &Path, code: i32, arguments: &str) -> String {
    let (actual, stdout, stderr) = run(folder, arguments);
    assert_eq!(actual, code, "{arguments}\n{stdout}\n{stderr}");
    stdout
}

fn write_catalogue(folder: &Path, name: &str, floor: u32) {
    let text = format!(
        "{{\"entries\": [{{\"service\": \"slots\", \"owner\": \"o\", \"class\": \"idempotent\", \
         \"preference\": \"fast-detection\", \"floor\": {floor}, \
         \"routes\": [{{\"path_prefix\": \"/slots\"}}]}}]}}"
    );
    std::fs::write(folder.join(name), text).unwrap();
}

/// Guards against a mismatch between the requests of the client and the interface of the control
/// instance.
#[test]
fn catalogue_life_cycle() {
    let folder: TempDir = tempfile::tempdir().unwrap();
    let folder = folder.path();
    start(folder);
    write_catalogue(folder, "one.json", 8);
    write_catalogue(folder, "two.json", 9);
    assert!(expect(folder, 0, "catalogue apply --base 0 one.json").contains("revision 1"));
    // Running the same command again resends the change and gets the same response.
    assert!(expect(folder, 0, "catalogue apply --base 0 one.json").contains("revision 1"));
    let conflict = expect(folder, 3, "catalogue apply --base 0 two.json");
    assert!(conflict.contains("by mari made revision 1"), "{conflict}");
    assert!(expect(folder, 0, "catalogue diff two.json").contains("floor: 8 -> 9"));
    assert!(expect(folder, 0, "catalogue apply --base 1 two.json").contains("revision 2"));
    let rolled_back = expect(folder, 0, "catalogue rollback --base 2 --to 1");
    assert!(rolled_back.contains("revision 3"), "{rolled_back}");
    let shown = expect(folder, 0, "catalogue show");
    std::fs::write(folder.join("shown.json"), &shown).unwrap();
    assert!(shown.contains("\"floor\": 8"), "{shown}");
    expect(folder, 0, "catalogue check shown.json");
    assert!(expect(folder, 0, "catalogue diff shown.json").contains("no differences"));
    assert_eq!(expect(folder, 0, "catalogue history").lines().count(), 4);
    expect(folder, 5, "catalogue show --revision 77");
    assert!(expect(folder, 0, "status").contains("c1"));
}

/// Guards against showing or changing the catalogue without the token of an operator.
#[test]
fn apply_other_token() {
    let folder: TempDir = tempfile::tempdir().unwrap();
    let folder = folder.path();
    start(folder);
    write_catalogue(folder, "one.json", 8);
    std::fs::write(folder.join("operator.token"), "a-token-of-nobody").unwrap();
    expect(folder, 5, "catalogue apply --base 0 one.json");
    expect(folder, 5, "catalogue show");
}

/// Guards against accepting an invalid catalogue from a client that does not check it.
#[test]
fn change_invalid() {
    let folder: TempDir = tempfile::tempdir().unwrap();
    let folder = folder.path();
    start(folder);
    write_catalogue(folder, "one.json", 0);
    let entries = std::fs::read_to_string(folder.join("one.json")).unwrap();
    let body = entries.replacen(
        '{',
        "{\"change_id\": \"x\", \"author\": \"mari\", \"base_revision\": 0, ",
        1,
    );
    let settings = std::fs::read_to_string(folder.join("arbutuslane.json")).unwrap();
    let address = settings.split('"').nth(3).unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "POST /v1/changes HTTP/1.1\r\nhost: c1\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 422"), "{response}");
    assert!(response.contains("entries[0].floor"), "{response}");
    assert!(expect(folder, 0, "catalogue history").lines().count() == 1);
}

/// Guards against a reset without a warning or without the consent of the operator.
#[test]
fn groups_reset_consent() {
    let folder: TempDir = tempfile::tempdir().unwrap();
    let folder = folder.path();
    start(folder);
    let (code, _, stderr) = run(folder, "groups reset 7");
    assert_eq!(code, 2);
    assert!(stderr.contains("no longer protected") && stderr.contains("nothing was reset"));
    let command = stderr.lines().find_map(|line| line.strip_prefix("  arbutuslane ")).unwrap();
    // No node is alive, so the fleet has no group that could be reset.
    let (code, _, stderr) = run(folder, command);
    assert_eq!(code, 5, "{stderr}");
    assert!(stderr.contains("no longer protected") && stderr.contains("has no group"), "{stderr}");
    expect(folder, 2, "groups reset 7 --yes");
}
