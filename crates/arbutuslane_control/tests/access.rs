//! Access control with operator, fleet and control tokens.

mod cluster;

use std::fs;

use arbutuslane_control::prelude::Settings;
use cluster::{Cluster, TOKEN, change, request, wait};

/// Guards against reads and changes without a valid token, tokens that take effect only after a
/// restart, and refusals without a remedy.
#[test]
fn requests_refused() {
    let cluster = Cluster::start(1);
    cluster.leader();
    let address = &cluster.members[0].operators;
    for path in ["/v1/catalogue", "/v1/history", "/v1/status", "/v1/events", "/other"] {
        let (code, body) = request(address, "GET", path, "wrong", "").unwrap();
        assert_eq!(code, 401);
        assert!(body["remedy"].is_string());
    }
    let (code, _) = request(address, "POST", "/v1/changes", "", &change("a", 0, 1)).unwrap();
    assert_eq!(code, 401);
    let file = cluster.folder.path().join("operators");
    fs::write(&file, format!("mari {TOKEN}\njaan second-token\n")).unwrap();
    wait("the new token", || {
        let (code, _) = request(address, "GET", "/v1/status", "second-token", "")?;
        (code == 200).then_some(())
    });
    let (code, _) =
        request(address, "POST", "/v1/changes", "second-token", &change("a", 0, 1)).unwrap();
    assert_eq!(code, 403);
    fs::write(&file, format!("mari {TOKEN}\n")).unwrap();
    wait("the withdrawal of the token", || {
        let (code, _) = request(address, "GET", "/v1/status", "second-token", "")?;
        (code == 401).then_some(())
    });
    let misspelled = change("a", 0, 1).replace("\"floor\"", "\"flor\"");
    let (code, body) = cluster.send_request(0, "POST", "/v1/changes", &misspelled).unwrap();
    assert_eq!(code, 422);
    assert!(body["error"].as_str().unwrap().contains("entries[0].flor"));
    let oversized = change(&"a".repeat(9 << 20), 0, 1);
    let response = cluster.send_request(0, "POST", "/v1/changes", &oversized);
    assert!(response.is_none_or(|(code, _)| code == 413));
    let (code, body) = cluster.send_request(0, "POST", "/v1/changes", &change("a", 0, 0)).unwrap();
    assert_eq!((code, body["findings"][0]["key"].as_str()), (422, Some("entries[0].floor")));
    assert_eq!(cluster.revision(0), Some(0));
}

/// Guards against consensus messages that are accepted under the fleet's token, which nodes hold,
/// or an operator's, and against control tokens that take effect only after a restart.
#[test]
fn raft_token() {
    let cluster = Cluster::start(1);
    cluster.leader();
    for token in ["", "wrong", "secret-of-the-fleet", TOKEN] {
        assert_eq!(cluster.post_raft(0, token), Some(401), "token `{token}`");
    }
    assert_eq!(cluster.post_raft(0, "secret-of-control"), Some(200));
    fs::write(cluster.folder.path().join("control"), "second-secret\n").unwrap();
    wait("the new token", || (cluster.post_raft(0, "second-secret")? == 200).then_some(()));
    assert_eq!(cluster.post_raft(0, "secret-of-control"), Some(401));
}

/// Guards against settings that use the fleet's token file, which all nodes hold, as control token.
#[test]
fn settings_control_token() {
    let cluster = Cluster::prepare(1);
    cluster.settings(0);
    let file = cluster.folder.path().join("control-0.json");
    let text = fs::read_to_string(&file).unwrap();
    let mut value: serde_json::Value = serde_json::from_str(&text).unwrap();
    value["control_token"] = value["peer_token"].clone();
    fs::write(&file, value.to_string()).unwrap();
    let error = Settings::load(&file).unwrap_err();
    assert!(error.to_string().contains("`control_token`"), "{error}");
}
