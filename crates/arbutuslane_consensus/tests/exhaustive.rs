//! Breadth-first search of every order of events in a small group.
//!
//! Three replicas; any message in flight may arrive next or never; replicas may time out, wait,
//! restart from their disk and take a proposal, each a limited number of times.
//! `ARBUTUSLANE_DEPTH` sets the number of steps; `tools/exhaustive.sh` uses it.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::hash;
use arbutuslane_core::time::Time;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn timing() -> Timing {
    // Without a random part of the timeout, states that differ only in it are the same.
    Timing { election_timeout_max: Timing::default().election_timeout_min, ..Timing::default() }
}

/// One state of the group with the history that the checks need.
#[derive(Debug, Clone)]
struct Group {
    nodes: Vec<Node>,
    disks: Vec<Saved>,
    clocks: Vec<Time>,
    flying: Vec<Envelope>,
    leaders: BTreeMap<u64, usize>,
    applied: BTreeMap<u64, u64>,
    timeouts: u8,
    waits: u8,
    restarts: u8,
    proposals: u8,
}

fn id(position: usize) -> Id {
    Id { name: NAMES[position].to_string(), instance: 1 }
}

impl Group {
    fn new() -> Self {
        let member = |position| Member {
            id: id(position),
            voter: true,
            replaces: None,
            contact: String::new(),
        };
        let members: Vec<Member> = (0..3).map(member).collect();
        let disks: Vec<Saved> = (0..3)
            .map(|position| Saved::founded(id(position), members.clone(), Vec::new()))
            .collect();
        let nodes = disks.iter().map(|disk| Node::start(disk.clone(), timing(), 0, Time::ZERO));
        Self {
            nodes: nodes.collect(),
            disks,
            clocks: vec![Duration::from_secs(1); 3],
            flying: Vec::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            timeouts: 3,
            waits: 1,
            restarts: 1,
            proposals: 1,
        }
    }

    /// Makes a step with all its writes; returns what it violates.
    fn step(&mut self, position: usize, input: Input) -> Result<(), String> {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let node = self.nodes[position].clone();
            let (node, effects) = node.step(self.clocks[position], input);
            self.nodes[position] = node;
            for effect in effects {
                match effect {
                    Effect::Send(envelope) => self.flying.push(envelope),
                    Effect::Write { sequence, write } => {
                        self.persist(position, write);
                        inputs.push(Input::Written(sequence));
                    }
                    Effect::Apply(entry) => {
                        let term = *self.applied.entry(entry.index).or_insert(entry.term);
                        if term != entry.term {
                            return Err(format!("two entries applied at {}", entry.index));
                        }
                    }
                    _ => {}
                }
            }
        }
        let node = &self.nodes[position];
        if node.role() == "leader" {
            let first = *self.leaders.entry(node.term()).or_insert(position);
            if first != position {
                return Err(format!("two leaders in term {}", node.term()));
            }
        }
        self.flying.sort_unstable_by_key(|envelope| format!("{envelope:?}"));
        Ok(())
    }

    fn persist(&mut self, position: usize, write: Write) {
        let disk = &mut self.disks[position];
        match write {
            Write::Vote { term, vote } => (disk.term, disk.vote) = (term, vote),
            Write::Entries(entries) => {
                disk.entries.retain(|entry| entry.index < entries[0].index);
                disk.entries.extend(entries);
            }
            Write::Snapshot { snapshot, .. } => disk.snapshot = Some(snapshot),
        }
    }

    /// Returns every state that one more event leads to.
    fn next(&self) -> Result<Vec<Self>, String> {
        let mut states = Vec::new();
        let limit = timing().election_timeout_min;
        for position in 0..self.flying.len() {
            if position > 0 && self.flying[position] == self.flying[position - 1] {
                continue;
            }
            let mut state = self.clone();
            let envelope = state.flying.remove(position);
            let to = NAMES.iter().position(|name| *name == envelope.to.name).unwrap_or(0);
            state.step(to, Input::Message(envelope))?;
            states.push(state);
        }
        for position in 0..3 {
            let is_leader = self.nodes[position].role() == "leader";
            if self.timeouts > 0 && !is_leader {
                let mut state = self.clone();
                state.timeouts -= 1;
                state.clocks[position] += limit;
                state.step(position, Input::Tick)?;
                states.push(state);
            }
            if self.waits > 0 {
                let mut state = self.clone();
                state.waits -= 1;
                state.clocks[position] += limit;
                states.push(state);
            }
            if self.restarts > 0 {
                let mut state = self.clone();
                state.restarts -= 1;
                let disk = state.disks[position].clone();
                state.nodes[position] = Node::start(disk, timing(), 0, state.clocks[position]);
                states.push(state);
            }
            if self.proposals > 0 && is_leader {
                let mut state = self.clone();
                state.proposals -= 1;
                state.step(position, Input::Propose { token: 1, command: vec![1] })?;
                states.push(state);
            }
        }
        Ok(states)
    }

    /// Returns a hash of the whole state; 128 bits, so that no two of millions collide.
    fn fingerprint(&self) -> u128 {
        let text = format!("{self:?}");
        let low = hash::of_bytes(text.as_bytes());
        u128::from(hash::weight(&text, "high")) << 64 | u128::from(low)
    }
}

/// Visits every state within `depth` steps; returns their number and that of applied entries.
fn search(depth: usize) -> Result<(usize, usize, usize), String> {
    let mut seen = HashSet::new();
    let mut frontier = vec![Group::new()];
    let mut with_leader = 0;
    let mut most_applied = 0;
    seen.insert(frontier[0].fingerprint());
    for _ in 0..depth {
        let mut next = Vec::new();
        for state in frontier {
            for state in state.next()? {
                if seen.insert(state.fingerprint()) {
                    with_leader += usize::from(!state.leaders.is_empty());
                    most_applied = most_applied.max(state.applied.len());
                    next.push(state);
                }
            }
        }
        frontier = next;
    }
    Ok((seen.len(), with_leader, most_applied))
}

/// Guards against an order of events, however unlikely, that elects two leaders in a term or makes
/// two replicas apply different entries at one index.
#[test]
fn search_small_group() {
    let depth = std::env::var("ARBUTUSLANE_DEPTH").ok().and_then(|depth| depth.parse().ok());
    let depth = depth.unwrap_or(6);
    let (states, with_leader, most_applied) = search(depth).unwrap();
    println!("depth={depth} states={states} with_leader={with_leader} most_applied={most_applied}");
    assert!(with_leader > 0);
}
