//! Faults of whole control instances.

mod cluster;

use std::fs;
use std::process::{Child, Command, Stdio};

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_control::daemon;
use arbutuslane_storage::disk;
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::{self, gossip};
use cluster::{Cluster, address, change};
use serde_json::json;

/// Guards against acknowledged changes that are lost with the leader, and against resends that get
/// a different outcome from another instance or after a restart.
#[test]
fn leader_killed() {
    let mut cluster = Cluster::start(3);
    let first = cluster.leader();
    assert_eq!(cluster.apply("change-1", 0, 1).0, 200);
    assert_eq!(cluster.apply("lost", 0, 9).0, 409);
    cluster.kill(first);
    let second = cluster.leader();
    assert_ne!(first, second);
    assert_eq!(cluster.revision(second), Some(1));
    assert_eq!(cluster.apply("change-2", 1, 2).1["revision"], 2);
    cluster.start_instance(first);
    cluster
        .wait("the old leader to catch up", || (cluster.revision(first) == Some(2)).then_some(()));
    for index in 0..3 {
        let resend =
            |id: &str| cluster.send_request(index, "POST", "/v1/changes", &change(id, 0, 1));
        let accepted =
            cluster.wait("a resend", || resend("change-1").filter(|(code, _)| *code != 503));
        assert_eq!((accepted.0, accepted.1["revision"].as_u64()), (200, Some(1)));
        let refused = cluster.wait("a resend", || resend("lost").filter(|(code, _)| *code != 503));
        assert_eq!((refused.0, refused.1["winner"].as_str()), (409, Some("change-1")));
    }
}

/// Guards against a replica with a lost disk that still counts with its earlier vote, or that never
/// catches up.
#[test]
fn disk_lost() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    for revision in 0..5 {
        assert_eq!(cluster.apply(&format!("change-{revision}"), revision, 1).0, 200);
    }
    let victim = (leader + 1) % 3;
    cluster.kill(victim);
    fs::remove_dir_all(cluster.data(victim)).unwrap();
    cluster.start_instance(victim);
    // The leader shows the replica of the lost disk as a voter until the empty replica requests the
    // log. The role in the replica's own status shows when it votes again.
    cluster.wait("the vote of the empty replica", || {
        let status = cluster.status(victim)?;
        (status.role == "follower" && status.revision == 5).then_some(())
    });
    // The rebuilt replica and one other now form a majority without the old leader.
    cluster.kill(leader);
    let next = cluster.leader();
    assert_eq!(cluster.revision(next), Some(5));
    assert_eq!(cluster.apply("after", 5, 2).1["revision"], 6);
}

/// Guards against a damaged data folder that is truncated silently, or that cannot be rebuilt.
#[test]
fn disk_damaged() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    for revision in 0..5 {
        assert_eq!(cluster.apply(&format!("change-{revision}"), revision, 1).0, 200);
    }
    let victim = (leader + 1) % 3;
    cluster.wait("all changes there", || (cluster.revision(victim) == Some(5)).then_some(()));
    cluster.kill(victim);
    let mut names: Vec<_> =
        fs::read_dir(cluster.data(victim)).unwrap().map(|item| item.unwrap().path()).collect();
    names.retain(|path| path.to_string_lossy().contains("segment-"));
    names.sort();
    let mut bytes = fs::read(&names[0]).unwrap();
    bytes[60] ^= 1;
    fs::write(&names[0], bytes).unwrap();
    let settings = cluster.settings(victim);
    let refused = daemon::Daemon::start(settings.clone()).err().unwrap();
    assert!(refused.to_string().contains("is corrupt"), "{refused}");
    daemon::rebuild(&settings).unwrap();
    cluster.start_instance(victim);
    cluster.wait("the rebuilt replica", || {
        let status = cluster.status(victim)?;
        (status.role == "follower" && status.revision == 5).then_some(())
    });
}

/// Guards against a leader that continues or acknowledges a change after a failed sync of its disk.
#[test]
fn disk_sync_failed() {
    let mut cluster = Cluster::prepare(3);
    let mut disks = Vec::new();
    for index in 0..3 {
        let disk = disk::Fake::new(index as u64);
        let daemon = daemon::Daemon::start_on(disk.clone(), cluster.settings(index)).unwrap();
        cluster.daemons[index] = Some(daemon);
        disks.push(disk);
    }
    let leader = cluster.leader();
    assert_eq!(cluster.apply("change-1", 0, 1).0, 200);
    disks[leader].fail_sync_after(0);
    // The change is decided by the next leader: the failed one never acknowledges it.
    assert_eq!(cluster.apply("change-2", 1, 2).1["revision"], 2);
    let status = cluster
        .wait("the stop", || cluster.status(leader).filter(|status| status.role == "stopped"));
    assert!(status.failure.unwrap().contains("sync"));
    // The event stays on the timeline, where operators find it later.
    let (_, events) = cluster.send_request(leader, "GET", "/v1/events", "").unwrap();
    assert!(events.to_string().contains("disk-fault"), "{events}");
    assert_eq!(cluster.send_request(leader, "GET", "/v1/catalogue", "").unwrap().0, 503);
    assert_ne!(cluster.leader(), leader);
    // After a restart, the instance has the synced changes and copies the rest from the others.
    cluster.kill(leader);
    disks[leader].crash();
    let settings = cluster.settings(leader);
    let daemon = daemon::Daemon::start_on(disks[leader].clone(), settings).unwrap();
    cluster.daemons[leader] = Some(daemon);
    cluster.wait("the last revision", || (cluster.revision(leader) == Some(2)).then_some(()));
}

/// Guards against nodes that get the whole state with each change, or a delta that does not lead to
/// the current state.
#[test]
fn deltas_fetched() {
    let cluster = Cluster::start(1);
    cluster.leader();
    for (revision, floor) in (0..4).zip(1..5) {
        assert_eq!(cluster.apply(&format!("change-{revision}"), revision, floor).0, 200);
    }
    let fetch = |revision: u64| {
        let message = peer::Message::Gossip(gossip::Message::Fetch { known: (revision, 0) });
        match cluster.send_message(0, &message) {
            Some(peer::Answer::Gossip(gossip::Answer::Configuration(payload))) => payload,
            _ => None,
        }
    };
    let from_start = cluster.wait("the last revision", || match fetch(0)? {
        gossip::Payload::Deltas(deltas) => (deltas.last()?.pos.0 == 4).then_some(deltas),
        gossip::Payload::Snapshot { pos, .. } => panic!("a snapshot at {pos:?}"),
    });
    let mut snapshot = Snapshot::default();
    for delta in from_start {
        assert_eq!(delta.base.0, snapshot.revision);
        snapshot.apply_delta(codec::decode(&delta.bytes).unwrap());
    }
    assert_eq!((snapshot.revision, snapshot.entries[0].floor), (4, 4));
    assert!(matches!(fetch(3), Some(gossip::Payload::Deltas(deltas)) if deltas.len() == 1));
    assert_eq!(fetch(4), None);
}

/// Guards against acknowledged changes that are lost when a process is killed, because they are
/// saved only when a thread ends regularly.
#[test]
fn process_killed() {
    let cluster = Cluster::prepare(3);
    let spawn = |index: usize| {
        let name = cluster.members[index].name.clone();
        cluster.settings(index);
        let settings = cluster.folder.path().join(format!("{name}.json"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_arbutuslane-control"));
        let command = command.arg("--settings").arg(settings).stdout(Stdio::null());
        Process(command.stderr(Stdio::null()).spawn().unwrap())
    };
    let mut processes: Vec<Option<Process>> = (0..3).map(|at| Some(spawn(at))).collect();
    let mut revision = 0;
    for round in 0..3 {
        let leader = cluster.wait("a leader", || {
            (0..3).find(|at| cluster.status(*at).is_some_and(|status| status.role == "leader"))
        });
        for number in 0..20 {
            let id = format!("round-{round}-{number}");
            let (code, body) = cluster.wait("a response", || {
                let body = change(&id, revision, 1);
                let mut responses =
                    (0..3).filter_map(|at| cluster.send_request(at, "POST", "/v1/changes", &body));
                responses.find(|(code, _)| *code != 503)
            });
            assert_eq!(code, 200, "{body}");
            revision = body["revision"].as_u64().unwrap();
        }
        processes[leader] = None;
        processes[leader] = Some(spawn(leader));
    }
    cluster.wait("all instances at the last revision", || {
        (0..3).all(|at| cluster.revision(at) == Some(revision)).then_some(())
    });
    assert_eq!(revision, 60);
}

/// A process that is killed at the end of its scope.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against concurrent changes of several operators of which one is lost or two get the same
/// revision.
#[test]
fn operators_race() {
    let cluster = Cluster::start(3);
    cluster.leader();
    let wins = std::thread::scope(|scope| {
        let mut operators = Vec::new();
        for operator in 0..5 {
            let cluster = &cluster;
            operators.push(scope.spawn(move || {
                let mut won = Vec::new();
                let mut base = 0;
                let mut attempt = 0;
                while won.len() < 20 {
                    attempt += 1;
                    let id = format!("operator-{operator}-{attempt}");
                    let (code, body) = cluster.apply(&id, base, 1 + operator);
                    base = body["revision"].as_u64().unwrap();
                    match code {
                        200 => won.push(base),
                        _ => assert_ne!(body["winner"], json!(id)),
                    }
                }
                won
            }));
        }
        let mut wins = Vec::new();
        for operator in operators {
            wins.extend(operator.join().unwrap());
        }
        wins
    });
    let mut revisions = wins.clone();
    revisions.sort_unstable();
    assert_eq!(revisions, (1..=100).collect::<Vec<u64>>());
    assert_eq!(cluster.revision(cluster.leader()), Some(100));
}

/// Guards against changes that are lost between a burst and a restart of all instances.
#[test]
fn burst_restart() {
    let mut cluster = Cluster::start(3);
    cluster.leader();
    for revision in 0..500 {
        assert_eq!(cluster.apply(&format!("burst-{revision}"), revision, 1).0, 200);
    }
    for index in 0..3 {
        cluster.kill(index);
    }
    for index in 0..3 {
        cluster.start_instance(index);
    }
    let leader = cluster.leader();
    assert_eq!(cluster.revision(leader), Some(500));
    assert_eq!(cluster.apply("burst-250", 0, 1).1["revision"], 251);
    // A rollback is a change with the entries of an earlier revision.
    let (_, old) = cluster.send_request(leader, "GET", "/v1/catalogue?revision=0", "").unwrap();
    assert_eq!(old["entries"], json!([]));
    let back = json!({"change_id": "back", "author": "mari", "base_revision": 500, "entries": []});
    let (code, body) =
        cluster.send_request(leader, "POST", "/v1/changes", &back.to_string()).unwrap();
    assert_eq!((code, body["revision"].as_u64()), (200, Some(501)));
}

/// Guards against a lost instance that no event reports, and an isolated leader that still serves
/// reads.
#[test]
fn instance_lost() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    cluster.apply("change-1", 0, 1);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    cluster.kill(others[0]);
    let name = cluster.members[others[0]].name.clone();
    cluster.wait("the loss in the events", || {
        let (_, page) = cluster.send_request(leader, "GET", "/v1/events", "")?;
        let events = page["events"].as_array()?;
        let lost = |event: &&serde_json::Value| {
            event["kind"] == "node-suspected" && event["fields"]["node"] == json!(name)
        };
        events.iter().find(lost).map(|_| ())
    });
    let status = cluster.status(leader).unwrap();
    assert!(status.instances.iter().any(|other| other.name == name && !other.reachable));
    cluster.kill(others[1]);
    cluster.wait("the isolated leader to step down", || {
        let status = cluster.status(leader)?;
        (status.isolated && status.role != "leader").then_some(())
    });
    let (code, _) = cluster.send_request(leader, "GET", "/v1/catalogue", "").unwrap();
    assert_eq!(code, 503);
}

/// Guards against a replacement of an instance that loses a change of the catalogue, and against a
/// resent replacement that is refused.
#[test]
fn instance_replaced() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    cluster.apply("change-1", 0, 1);
    let old = (leader + 1) % 3;
    cluster.members.push(address("control-3"));
    cluster.daemons.push(None);
    cluster.start_instance(3);
    let body = json!({
        "action": "replace",
        "name": cluster.members[old].name,
        "instance": cluster.members[3],
        "change_id": "replace-1",
    });
    let replace = |body: &serde_json::Value| {
        cluster.send_request(leader, "POST", "/v1/instances", &body.to_string()).unwrap().0
    };
    assert_eq!(replace(&body), 204);
    // A resend after a lost response gets the first outcome; the same change under another id is
    // refused.
    assert_eq!(replace(&body), 204);
    let mut other = body.clone();
    other["change_id"] = json!("replace-2");
    assert_eq!(replace(&other), 409);
    cluster.wait("the replacement", || {
        let status = cluster.status(leader)?;
        let names: Vec<&str> = status.instances.iter().map(|other| other.name.as_str()).collect();
        let voter = status.instances.iter().any(|other| other.name == "control-3" && other.voter);
        (voter && !names.contains(&cluster.members[old].name.as_str())).then_some(())
    });
    assert_eq!(replace(&body), 204);
    cluster.kill(old);
    assert_eq!(cluster.apply("change-2", 1, 2).1["revision"], 2);
    // The outcome is in the replicated state, so another instance returns it too.
    cluster.wait("the response of the new instance", || {
        let (code, _) = cluster.send_request(3, "POST", "/v1/instances", &body.to_string())?;
        (code == 204).then_some(())
    });
}
