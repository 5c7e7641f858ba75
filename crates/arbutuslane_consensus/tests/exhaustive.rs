//! Breadth-first search of every order of events in a small group.
//!
//! The group has three replicas. Any message in flight may arrive next or never. Replicas may reach
//! their election timeout, let time pass without a step, restart from their disk and receive a
//! proposal, each a limited number of times.
//! `ARBUTUSLANE_DEPTH` sets the number of steps; `tools/exhaustive.sh` uses it.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::hash;
use arbutuslane_core::time::Time;

const REPLICA_NAMES: [&str; 3] = ["a", "b", "c"];

fn timing() -> Timing {
    // A fixed election timeout avoids states that differ only in its random part.
    Timing { election_timeout_max: Timing::default().election_timeout_min, ..Timing::default() }
}

/// A state of the group, with the history that the checks need and the events that may still occur.
#[derive(Debug, Clone)]
struct Group {
    nodes: Vec<Node>,
    disks: Vec<DurableState>,
    clocks: Vec<Time>,
    in_flight: Vec<Envelope>,
    /// The replica that led each term.
    leader_by_term: BTreeMap<u64, usize>,
    /// The term of the entry that was applied at each index.
    applied_terms: BTreeMap<u64, u64>,
    timeouts_left: u8,
    waits_left: u8,
    restarts_left: u8,
    proposals_left: u8,
}

fn id(replica: usize) -> Id {
    Id { name: REPLICA_NAMES[replica].to_string(), disk_id: 1 }
}

impl Group {
    fn new() -> Self {
        let member = |replica| Member {
            id: id(replica),
            voter: true,
            replaces: None,
            addresses: String::new(),
        };
        let members: Vec<Member> = (0..3).map(member).collect();
        let disks: Vec<DurableState> = (0..3)
            .map(|replica| DurableState::initial(id(replica), members.clone(), Vec::new()))
            .collect();
        let nodes = disks.iter().map(|disk| Node::start(disk.clone(), timing(), 0, Time::ZERO));
        Self {
            nodes: nodes.collect(),
            disks,
            clocks: vec![Duration::from_secs(1); 3],
            in_flight: Vec::new(),
            leader_by_term: BTreeMap::new(),
            applied_terms: BTreeMap::new(),
            timeouts_left: 3,
            waits_left: 1,
            restarts_left: 1,
            proposals_left: 1,
        }
    }

    /// Passes an input to a replica and completes all its writes; fails when the result violates an
    /// invariant.
    fn step(&mut self, replica: usize, input: Input) -> Result<(), String> {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let node = self.nodes[replica].clone();
            let (node, effects) = node.step(self.clocks[replica], input);
            self.nodes[replica] = node;
            for effect in effects {
                match effect {
                    Effect::Send(envelope) => self.in_flight.push(envelope),
                    Effect::Write { sequence, write } => {
                        self.persist(replica, write);
                        inputs.push(Input::Written(sequence));
                    }
                    Effect::Apply(entry) => {
                        let term = *self.applied_terms.entry(entry.index).or_insert(entry.term);
                        if term != entry.term {
                            return Err(format!(
                                "two different entries applied at index {}",
                                entry.index
                            ));
                        }
                    }
                    _ => {}
                }
            }
        }
        let node = &self.nodes[replica];
        if node.role() == "leader" {
            let first = *self.leader_by_term.entry(node.term()).or_insert(replica);
            if first != replica {
                return Err(format!("two leaders in term {}", node.term()));
            }
        }
        self.in_flight.sort_unstable_by_key(|envelope| format!("{envelope:?}"));
        Ok(())
    }

    fn persist(&mut self, replica: usize, write: Write) {
        let disk = &mut self.disks[replica];
        match write {
            Write::Vote { term, vote } => (disk.term, disk.vote) = (term, vote),
            Write::Entries(entries) => {
                disk.entries.retain(|entry| entry.index < entries[0].index);
                disk.entries.extend(entries);
            }
            Write::Snapshot { snapshot, .. } => disk.snapshot = Some(snapshot),
        }
    }

    /// Returns every state that one more event leads to; fails when one violates an invariant.
    fn successors(&self) -> Result<Vec<Self>, String> {
        let mut states = Vec::new();
        let election_timeout = timing().election_timeout_min;
        for index in 0..self.in_flight.len() {
            if index > 0 && self.in_flight[index] == self.in_flight[index - 1] {
                continue;
            }
            let mut state = self.clone();
            let envelope = state.in_flight.remove(index);
            let to = REPLICA_NAMES.iter().position(|name| *name == envelope.to.name).unwrap_or(0);
            state.step(to, Input::Message(envelope))?;
            states.push(state);
        }
        for replica in 0..3 {
            let is_leader = self.nodes[replica].role() == "leader";
            if self.timeouts_left > 0 && !is_leader {
                let mut state = self.clone();
                state.timeouts_left -= 1;
                state.clocks[replica] += election_timeout;
                state.step(replica, Input::Tick)?;
                states.push(state);
            }
            if self.waits_left > 0 {
                let mut state = self.clone();
                state.waits_left -= 1;
                state.clocks[replica] += election_timeout;
                states.push(state);
            }
            if self.restarts_left > 0 {
                let mut state = self.clone();
                state.restarts_left -= 1;
                let disk = state.disks[replica].clone();
                state.nodes[replica] = Node::start(disk, timing(), 0, state.clocks[replica]);
                states.push(state);
            }
            if self.proposals_left > 0 && is_leader {
                let mut state = self.clone();
                state.proposals_left -= 1;
                state.step(replica, Input::Propose { token: 1, command: vec![1] })?;
                states.push(state);
            }
        }
        Ok(states)
    }

    /// Returns a hash of the whole state, of 128 bits so that millions of states do not collide.
    fn fingerprint(&self) -> u128 {
        let text = format!("{self:?}");
        let low = hash::of_bytes(text.as_bytes());
        u128::from(hash::weight(&text, "high")) << 64 | u128::from(low)
    }
}

/// Visits every state within `depth` events.
///
/// Returns the number of states, the number of them with a leader in any term so far, and the
/// highest number of applied entries in one state. Fails when a state violates an invariant.
fn search(depth: usize) -> Result<(usize, usize, usize), String> {
    let mut seen = HashSet::new();
    let mut frontier = vec![Group::new()];
    let mut with_leader = 0;
    let mut max_applied = 0;
    seen.insert(frontier[0].fingerprint());
    for _ in 0..depth {
        let mut next = Vec::new();
        for state in frontier {
            for state in state.successors()? {
                if seen.insert(state.fingerprint()) {
                    with_leader += usize::from(!state.leader_by_term.is_empty());
                    max_applied = max_applied.max(state.applied_terms.len());
                    next.push(state);
                }
            }
        }
        frontier = next;
    }
    Ok((seen.len(), with_leader, max_applied))
}

/// Guards against any order of events that elects two leaders in a term or makes two replicas apply
/// different entries at one index.
#[test]
fn search_small_group() {
    let depth = std::env::var("ARBUTUSLANE_DEPTH").ok().and_then(|depth| depth.parse().ok());
    let depth = depth.unwrap_or(6);
    let (states, with_leader, max_applied) = search(depth).unwrap();
    println!("depth={depth} states={states} with_leader={with_leader} most_applied={max_applied}");
    assert!(with_leader > 0);
}
