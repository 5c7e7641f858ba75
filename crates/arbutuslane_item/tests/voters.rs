//! Tests which instances become voters, and that halves of a fleet do not both accept changes.

use arbutuslane_item::prelude::*;
use arbutuslane_item::replication::Status;
use arbutuslane_item::voter::{self, UNKNOWN_DISK};

const QUORUM: usize = 3;

fn voter(name: &str, disk: u64) -> Voter {
    Voter { instance: name.to_string(), disk }
}

/// Returns the report of an instance that is no founder.
fn newcomer(name: &str, disk: u64) -> Status {
    Status {
        voter: voter(name, disk),
        is_founder: false,
        promised: Ballot::default(),
        position: Position::default(),
        digest: 0,
        electorate: Electorate::default(),
        accepted: None,
        is_leaving: false,
    }
}

fn founder(name: &str) -> Status {
    Status { is_founder: true, ..newcomer(name, 1) }
}

fn five() -> Electorate {
    let voters = ["a", "b", "c", "d", "e"].map(|name| voter(name, 1)).to_vec();
    Electorate { voters, replaced: Vec::new() }
}

fn present(names: &[&str]) -> Vec<Status> {
    names.iter().map(|name| newcomer(name, 1)).collect()
}

fn names(electorate: Option<Electorate>) -> String {
    let voters = electorate.unwrap_or_default().voters;
    voters.iter().map(|voter| format!("{}{}", voter.instance, voter.disk)).collect()
}

/// Guards against a newcomer that counts beside the instance that it will replace: two halves of six
/// instances would each have a quorum.
#[test]
fn next_replacement_runs() {
    let all = present(&["a", "b", "c", "d", "e", "f"]);
    assert_eq!(five().next(&all, QUORUM, |_| true), None);
    let newest = |status: Status| Status { electorate: five(), ..status };
    let half = |names: &[&str]| present(names).into_iter().map(newest).collect::<Vec<_>>();
    assert!(voter::is_quorum(&half(&["a", "b", "c"]), QUORUM));
    assert!(!voter::is_quorum(&half(&["d", "e", "f"]), QUORUM));
}

/// Guards against a place that stays with an instance that is gone, and against one that is taken from
/// an instance which is only slow or which nobody can replace.
#[test]
fn next_gone() {
    let without_a = present(&["b", "c", "d", "e"]);
    assert_eq!(five().next(&without_a, QUORUM, |_| false), None);
    let with_f = present(&["b", "c", "d", "e", "f"]);
    assert_eq!(five().next(&with_f, QUORUM, |_| true), None);
    let next = five().next(&with_f, QUORUM, |name| name != "a").unwrap();
    assert_eq!(next.replaced, five().voters);
    assert_eq!(names(Some(next.clone())), "b1c1d1e1f1");
    // The change ends before another one begins.
    let ended = next.next(&with_f, QUORUM, |_| false).unwrap();
    assert_eq!(ended, Electorate { replaced: Vec::new(), ..next });
}

/// Guards against a planned stop after which a place stays empty although an instance without one runs, and
/// against a place for an instance that leaves as well.
#[test]
fn next_leaving() {
    let mut all = present(&["a", "b", "c", "d", "e"]);
    all[1].is_leaving = true;
    assert_eq!(five().next(&all, QUORUM, |_| true), None);
    all.push(newcomer("f", 1));
    assert_eq!(names(five().next(&all, QUORUM, |_| true)), "a1c1d1e1f1");
    all[5].is_leaving = true;
    assert_eq!(five().next(&all, QUORUM, |_| true), None);
}

/// Guards against an instance that counts after it has forgotten what it promised and stored.
#[test]
fn next_disk_lost() {
    let mut all = present(&["a", "b", "c", "d"]);
    all.push(newcomer("e", 2));
    assert_eq!(names(five().next(&all, QUORUM, |_| true)), "a1b1c1d1e2");
    let next = five().next(&all, QUORUM, |_| true).unwrap();
    let kept = |voter: &Voter| all.iter().any(|status| status.voter == *voter);
    // During the change, quorums of the old and of the new voters are needed.
    assert!(next.is_quorum(kept, QUORUM));
    assert!(
        !next.is_quorum(|voter| kept(voter) && voter.instance != "a" && voter.instance != "b", 3)
    );
}

/// Guards against first voters that leave a founder out which is about to start, or that an instance of
/// an earlier release would store without their names.
#[test]
fn next_first() {
    let first = |present: &[Status]| names(Electorate::default().next(present, QUORUM, |_| true));
    let mut known = ["a", "b", "c", "d"].map(founder).to_vec();
    assert_eq!(first(&known), "");
    known.push(newcomer("f", 1));
    assert_eq!(first(&known), "a1b1c1d1");
    known.push(founder("e"));
    assert_eq!(first(&known), "a1b1c1d1e1");
    known[0].voter.disk = UNKNOWN_DISK;
    assert_eq!(first(&known), "");
}
