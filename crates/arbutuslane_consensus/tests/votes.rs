//! Decisions of a single replica that random schedules reach too rarely.

use std::time::Duration;

use arbutuslane_consensus::input::Refusal;
use arbutuslane_consensus::prelude::*;
use arbutuslane_core::time::Time;

fn id(name: &str) -> Id {
    Id { name: name.to_string(), disk_id: 1 }
}

/// Starts the replica `name` of a new group of three voters.
fn start_voter(name: &str) -> Node {
    let member =
        |name| Member { id: id(name), voter: true, replaces: None, addresses: String::new() };
    let saved =
        DurableState::initial(id(name), vec![member("a"), member("b"), member("c")], Vec::new());
    Node::start(saved, Timing::default(), 1, Time::ZERO)
}

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// Passes a message and completes all writes; returns the replica and the messages that it sends.
fn deliver(node: Node, now: Time, from: &str, message: Message) -> (Node, Vec<Message>) {
    let to = node.id().clone();
    let envelope = Envelope { from: id(from), to, message };
    step_with_writes(node, now, Input::Message(envelope))
}

/// Passes an input and completes all writes; returns the replica and the messages that it sends.
fn step_with_writes(node: Node, now: Time, input: Input) -> (Node, Vec<Message>) {
    let (mut node, mut effects) = node.step(now, input);
    let mut sent = Vec::new();
    while !effects.is_empty() {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send(envelope) => sent.push(envelope.message),
                Effect::Write { sequence, .. } => {
                    let (after, more) = node.step(now, Input::Written(sequence));
                    node = after;
                    next.extend(more);
                }
                _ => {}
            }
        }
        effects = next;
    }
    (node, sent)
}

fn grants_vote(sent: &[Message]) -> bool {
    sent.iter().any(|message| matches!(message, Message::Voted { granted: true, .. }))
}

const VOTE_REQUEST: Message = Message::Vote { term: 2, last_index: 1, last_term: 1 };

/// Guards against a replica that votes right after a restart, while a heartbeat that it
/// acknowledged before it stopped still supports reads on the old leader.
#[test]
fn vote_after_restart() {
    let pre_vote = Message::PreVote { term: 2, last_index: 1, last_term: 1 };
    let (node, sent) = deliver(start_voter("b"), at(100), "c", pre_vote);
    assert!(matches!(sent[..], [Message::PreVoted { granted: false, .. }]));
    let (node, sent) = deliver(node, at(599), "c", VOTE_REQUEST);
    assert!(!grants_vote(&sent));
    assert_eq!(node.term(), 1);
    let (_, sent) = deliver(node, at(600), "c", VOTE_REQUEST);
    assert!(grants_vote(&sent));
}

/// Guards against a vote in a later term, for the candidate of an earlier vote, while the lease of
/// the leader is valid.
#[test]
fn vote_while_bound() {
    let (node, sent) = deliver(start_voter("b"), at(700), "c", VOTE_REQUEST);
    assert!(grants_vote(&sent));
    let heartbeat = Message::Append {
        term: 2,
        round: 1,
        prev_index: 1,
        prev_term: 1,
        entries: Vec::new(),
        commit: 1,
    };
    let (node, _) = deliver(node, at(800), "a", heartbeat);
    let later_request = Message::Vote { term: 3, last_index: 1, last_term: 1 };
    let (node, sent) = deliver(node, at(900), "c", later_request);
    assert!(!grants_vote(&sent));
    assert_eq!(node.term(), 2);
}

/// Guards against a replica that votes for two candidates in one term.
#[test]
fn vote_once() {
    let (node, sent) = deliver(start_voter("b"), at(700), "c", VOTE_REQUEST);
    assert!(grants_vote(&sent));
    let (_, sent) = deliver(node, at(701), "a", VOTE_REQUEST);
    assert!(!grants_vote(&sent));
}

/// Guards against a vote that is sent before it is durable.
#[test]
fn vote_waits_for_disk() {
    let node = start_voter("b");
    let to = node.id().clone();
    let envelope = Envelope { from: id("c"), to, message: VOTE_REQUEST };
    let (node, effects) = node.step(at(700), Input::Message(envelope));
    assert!(effects.iter().all(|effect| !matches!(effect, Effect::Send(_))));
    let sequences: Vec<u64> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Write { sequence, .. } => Some(*sequence),
            _ => None,
        })
        .collect();
    let (_, effects) = node.step(at(701), Input::Written(*sequences.last().unwrap()));
    assert!(matches!(effects[..], [Effect::Send(_)]));
}

/// Returns the replica `a` after `b` elected it and acknowledged its first entry; `c` is silent.
fn elected_leader() -> Node {
    let (node, _) = step_with_writes(start_voter("a"), at(2_000), Input::Tick);
    let pre_voted = Message::PreVoted { term: 2, own_term: 1, granted: true };
    let (node, _) = deliver(node, at(2_001), "b", pre_voted);
    let (node, _) = deliver(node, at(2_002), "b", Message::Voted { term: 2, granted: true });
    assert_eq!(node.role(), "leader");
    let appended = Message::Appended { term: 2, round: 1, matched: 2, conflict: None };
    let (node, _) = deliver(node, at(2_003), "b", appended);
    assert!(node.is_established());
    node
}

fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Guards against a removal that leaves voters which cannot commit anything: `c` was never heard
/// from, so without `b` the voters `a` and `c` could not even commit their own membership.
#[test]
fn reconfigure_unreachable() {
    let remove = |name: &str| Input::Reconfigure {
        token: 1,
        change: Reconfigure::Remove { name: name.to_string() },
    };
    let (_, effects) = elected_leader().step(at(2_010), remove("b"));
    assert_eq!(refusal(&effects), Some(Refusal::Unreachable));
    let (_, effects) = elected_leader().step(at(2_010), remove("c"));
    assert_eq!(refusal(&effects), None);
}

fn count_snapshots(sent: &[Message]) -> usize {
    sent.iter().filter(|message| matches!(message, Message::Snapshot { .. })).count()
}

/// Guards against a leader that sends a snapshot every 2 s to a replica that stopped responding,
/// which fills the queue of messages to it.
#[test]
fn snapshot_silent_replica() {
    let (node, _) = step_with_writes(
        elected_leader(),
        at(2_010),
        Input::Compact { index: 2, payload: vec![7] },
    );
    let conflict_response =
        |round| Message::Appended { term: 2, round, matched: 0, conflict: Some(0) };
    let (mut node, sent) = deliver(node, at(2_011), "c", conflict_response(1));
    assert_eq!(count_snapshots(&sent), 1);
    let mut count = 0;
    for step in 1..200 {
        let now = at(2_011 + step * 50);
        let round = step / 3;
        let acknowledgement = Message::Appended { term: 2, round, matched: 2, conflict: None };
        let (after, _) = deliver(node, now, "b", acknowledgement);
        let (after, sent) = step_with_writes(after, now, Input::Tick);
        count += count_snapshots(&sent);
        node = after;
    }
    assert_eq!((node.role(), count), ("leader", 0));
    let (_, sent) = deliver(node, at(13_000), "c", conflict_response(1));
    assert_eq!(count_snapshots(&sent), 1);
}

/// Guards against a replica that lost its disk and remains a voter with an empty log.
#[test]
fn joining_takes_vote() {
    let node = elected_leader();
    let from = Id { name: "c".to_string(), disk_id: 9 };
    let to = Id { name: "a".to_string(), disk_id: 0 };
    let envelope = Envelope { from, to, message: Message::JoinRequest };
    let (node, _) = node.step(at(2_010), Input::Message(envelope));
    let member = node.members().iter().find(|member| member.id.name == "c").unwrap();
    assert_eq!((member.id.disk_id, member.voter), (9, false));
}

/// Guards against a join request that is lost because it reached a follower.
#[test]
fn joining_forwarded() {
    let heartbeat = Message::Append {
        term: 1,
        round: 1,
        prev_index: 1,
        prev_term: 1,
        entries: Vec::new(),
        commit: 1,
    };
    let (node, _) = deliver(start_voter("b"), at(10), "a", heartbeat);
    let from = Id { name: "d".to_string(), disk_id: 9 };
    let to = Id { name: "b".to_string(), disk_id: 0 };
    let envelope = Envelope { from: from.clone(), to, message: Message::JoinRequest };
    let (_, effects) = node.step(at(20), Input::Message(envelope));
    let forwarded = Envelope { from, to: id("a"), message: Message::JoinRequest };
    assert_eq!(effects, vec![Effect::Send(forwarded)]);
}
