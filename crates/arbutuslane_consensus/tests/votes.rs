//! Single decisions of one replica that random schedules reach too rarely.

use std::time::Duration;

use arbutuslane_consensus::input::Refusal;
use arbutuslane_consensus::prelude::*;
use arbutuslane_core::time::Time;

fn id(name: &str) -> Id {
    Id { name: name.to_string(), instance: 1 }
}

fn founded(name: &str) -> Node {
    let member =
        |name| Member { id: id(name), voter: true, replaces: None, contact: String::new() };
    let saved = Saved::founded(id(name), vec![member("a"), member("b"), member("c")], Vec::new());
    Node::start(saved, Timing::default(), 1, Time::ZERO)
}

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// Passes a message and completes all writes; returns what the replica sends.
fn receive(node: Node, now: Time, from: &str, message: Message) -> (Node, Vec<Message>) {
    let to = node.id().clone();
    let envelope = Envelope { from: id(from), to, message };
    settle(node, now, Input::Message(envelope))
}

fn settle(node: Node, now: Time, input: Input) -> (Node, Vec<Message>) {
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

fn votes(sent: &[Message]) -> bool {
    sent.iter().any(|message| matches!(message, Message::Voted { granted: true, .. }))
}

const CAMPAIGN: Message = Message::Vote { term: 2, last_index: 1, last_term: 1 };

/// Guards against a replica that restarts and votes at once: the heartbeat that it acknowledged
/// before it stopped still supports reads at the old leader.
#[test]
fn vote_after_restart() {
    let pre_vote = Message::PreVote { term: 2, last_index: 1, last_term: 1 };
    let (node, sent) = receive(founded("b"), at(100), "c", pre_vote);
    assert!(matches!(sent[..], [Message::PreVoted { granted: false, .. }]));
    let (node, sent) = receive(node, at(599), "c", CAMPAIGN);
    assert!(!votes(&sent));
    assert_eq!(node.term(), 1);
    let (_, sent) = receive(node, at(600), "c", CAMPAIGN);
    assert!(votes(&sent));
}

/// Guards against a vote for an earlier choice in a later term while the leader's lease is in force.
#[test]
fn vote_while_bound() {
    let (node, sent) = receive(founded("b"), at(700), "c", CAMPAIGN);
    assert!(votes(&sent));
    let heartbeat = Message::Append {
        term: 2,
        round: 1,
        prev_index: 1,
        prev_term: 1,
        entries: Vec::new(),
        commit: 1,
    };
    let (node, _) = receive(node, at(800), "a", heartbeat);
    let later = Message::Vote { term: 3, last_index: 1, last_term: 1 };
    let (node, sent) = receive(node, at(900), "c", later);
    assert!(!votes(&sent));
    assert_eq!(node.term(), 2);
}

/// Guards against two votes in one term.
#[test]
fn vote_once() {
    let (node, sent) = receive(founded("b"), at(700), "c", CAMPAIGN);
    assert!(votes(&sent));
    let (_, sent) = receive(node, at(701), "a", CAMPAIGN);
    assert!(!votes(&sent));
}

/// Guards against a vote that is sent before it is durable.
#[test]
fn vote_waits_for_disk() {
    let node = founded("b");
    let to = node.id().clone();
    let envelope = Envelope { from: id("c"), to, message: CAMPAIGN };
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

fn leader() -> Node {
    let (node, _) = settle(founded("a"), at(2_000), Input::Tick);
    let pre_voted = Message::PreVoted { term: 2, own_term: 1, granted: true };
    let (node, _) = receive(node, at(2_001), "b", pre_voted);
    let (node, _) = receive(node, at(2_002), "b", Message::Voted { term: 2, granted: true });
    assert_eq!(node.role(), "leader");
    let appended = Message::Appended { term: 2, round: 1, matched: 2, conflict: None };
    let (node, _) = receive(node, at(2_003), "b", appended);
    assert!(node.is_established());
    node
}

fn refused(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Guards against a removal that leaves voters which cannot commit anything: `c` was never heard
/// from, so `a` and `c` could not even commit their own membership.
#[test]
fn reconfigure_unreachable() {
    let remove = |name: &str| Input::Reconfigure {
        token: 1,
        change: Reconfigure::Remove { name: name.to_string() },
    };
    let (_, effects) = leader().step(at(2_010), remove("b"));
    assert_eq!(refused(&effects), Some(Refusal::Unreachable));
    let (_, effects) = leader().step(at(2_010), remove("c"));
    assert_eq!(refused(&effects), None);
}

fn snapshots(sent: &[Message]) -> usize {
    sent.iter().filter(|message| matches!(message, Message::Snapshot { .. })).count()
}

/// Guards against a snapshot every 2 s for a replica that fell silent, which fills the queue of
/// messages to it.
#[test]
fn snapshot_silent_replica() {
    let (node, _) = settle(leader(), at(2_010), Input::Compact { index: 2, payload: vec![7] });
    let behind = |round| Message::Appended { term: 2, round, matched: 0, conflict: Some(0) };
    let (mut node, sent) = receive(node, at(2_011), "c", behind(1));
    assert_eq!(snapshots(&sent), 1);
    let mut count = 0;
    for step in 1..200 {
        let now = at(2_011 + step * 50);
        let round = step / 3;
        let alive = Message::Appended { term: 2, round, matched: 2, conflict: None };
        let (after, _) = receive(node, now, "b", alive);
        let (after, sent) = settle(after, now, Input::Tick);
        count += snapshots(&sent);
        node = after;
    }
    assert_eq!((node.role(), count), ("leader", 0));
    let (_, sent) = receive(node, at(13_000), "c", behind(1));
    assert_eq!(snapshots(&sent), 1);
}

/// Guards against an empty replica that keeps the vote of the disk it lost.
#[test]
fn joining_takes_vote() {
    let node = leader();
    let from = Id { name: "c".to_string(), instance: 9 };
    let to = Id { name: "a".to_string(), instance: 0 };
    let envelope = Envelope { from, to, message: Message::Joining };
    let (node, _) = node.step(at(2_010), Input::Message(envelope));
    let member = node.members().iter().find(|member| member.id.name == "c").unwrap();
    assert_eq!((member.id.instance, member.voter), (9, false));
}

/// Guards against a request to join that gets lost because it reached a follower.
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
    let (node, _) = receive(founded("b"), at(10), "a", heartbeat);
    let from = Id { name: "d".to_string(), instance: 9 };
    let to = Id { name: "b".to_string(), instance: 0 };
    let envelope = Envelope { from: from.clone(), to, message: Message::Joining };
    let (_, effects) = node.step(at(20), Input::Message(envelope));
    let forwarded = Envelope { from, to: id("a"), message: Message::Joining };
    assert_eq!(effects, vec![Effect::Send(forwarded)]);
}
