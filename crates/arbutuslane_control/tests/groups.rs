//! Assignment and reset of register groups by the control instances.

mod cluster;

use cluster::{Cluster, request};
use serde_json::json;

/// Guards against a group that stays lost for good, a reset without an operator's token, a reset of
/// a group that has a majority, and a resent reset that gives up the registers a second time.
#[test]
fn group_reset() {
    let cluster = Cluster::start(1);
    cluster.leader();
    let path = "/v1/groups/7/reset";
    let reset = |id: &str| {
        let body = json!({ "change_id": id }).to_string();
        cluster.send_request(0, "POST", path, &body).unwrap()
    };
    assert_eq!(request(&cluster.members[0].operators, "POST", path, "wrong", "{}").unwrap().0, 401);
    assert_eq!(reset("early").0, 404);
    let nodes = ["a", "b", "c"];
    let version = || cluster.status(0).map_or(0, |status| status.group_version);
    cluster.wait("the first groups", || {
        cluster.announce_nodes(0, &nodes);
        (version() == 64).then_some(())
    });
    let votes = (0..64).map(|shard| (shard, 1)).collect::<Vec<_>>();
    for node in nodes {
        cluster.announce_nodes(0, &nodes);
        cluster.report_votes(0, node, &votes);
    }
    assert_eq!(reset("healthy").0, 409);
    // Two members restart with empty memory and report that they vote nowhere.
    cluster.report_votes(0, "a", &[]);
    cluster.report_votes(0, "b", &[]);
    let (code, body) = cluster.wait("the reset", || {
        cluster.announce_nodes(0, &nodes);
        Some(reset("lost")).filter(|(code, _)| *code == 200)
    });
    assert_eq!((code, body), (200, json!({"shard": 7, "epoch": 2})));
    let after = version();
    assert_eq!(reset("lost"), (200, json!({"shard": 7, "epoch": 2})));
    assert_eq!(version(), after);
    let body = json!({"change_id": "lost"}).to_string();
    assert_eq!(cluster.send_request(0, "POST", "/v1/groups/8/reset", &body).unwrap().0, 422);
    let (_, page) = cluster.send_request(0, "GET", "/v1/events", "").unwrap();
    let events = page["events"].as_array().unwrap();
    let resets: Vec<_> = events.iter().filter(|event| event["kind"] == "group-reset").collect();
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0]["fields"]["author"], "mari");
}
