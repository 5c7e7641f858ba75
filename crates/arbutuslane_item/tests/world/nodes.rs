//! Nodes that take the items of the control instances over, and what must hold of them.

use arbutuslane_item::view::{Stage, View};

use super::*;

/// The number of nodes.
const NODES: usize = 3;

/// A node, which has no disk.
#[derive(Debug, Default)]
pub(super) struct Node {
    view: View,
}

impl World {
    /// Returns a world with nodes, whose control instances may also be killed together and come back one
    /// by one.
    pub(crate) fn with_nodes(seed: u64) -> Self {
        Self { nodes: (0..NODES).map(|_| Node::default()).collect(), ..Self::new(seed) }
    }

    /// Takes a random step of a node after one of the world, and checks all nodes.
    pub(crate) fn step_with_nodes(&mut self) {
        self.step();
        let index = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..60) {
            0 => self.nodes[index] = Node::default(),
            1..4 => self.use_fallback(index),
            4 => self.freeze_majority(),
            5..30 => self.compare_node(index),
            _ => {}
        }
        self.check_nodes();
    }

    /// Has all nodes compare with all instances, and checks that they use what the core reads back.
    pub(crate) fn check_nodes_at_end(&mut self) {
        for index in 0..NODES {
            for source in 0..self.instances.len() {
                self.compare_with(index, source);
            }
        }
        self.check_nodes();
        let seed = self.seed;
        let newest: Vec<_> = self.history.newest_table().items().cloned().collect();
        for node in &self.nodes {
            assert_eq!(node.view.stage(), Stage::Complete, "seed {seed}");
            let in_force: Vec<_> = node.view.in_force().items().cloned().collect();
            assert_eq!(in_force, newest, "seed {seed}: nodes use something else than is read back");
        }
    }

    /// Returns how many nodes use a state that no instance knew to be accepted.
    pub(crate) fn nodes_with_stored_state(&self) -> usize {
        let uses_stored = |node: &&Node| {
            let is_accepted = |item| self.history.has_accepted(item);
            !node.view.in_force().items().all(is_accepted)
        };
        self.nodes.iter().filter(uses_stored).count()
    }

    /// Freezes all instances but one or two, which have then been the only ones for a while.
    fn freeze_majority(&mut self) {
        for instance in &mut self.instances {
            instance.is_frozen = self.rng.random_range(0..3) > 0;
        }
    }

    /// Compares the items of a node with those of a random instance.
    fn compare_node(&mut self, index: usize) {
        let source = self.random_instance();
        if self.instances[source].is_running() {
            self.compare_with(index, source);
        }
    }

    fn compare_with(&mut self, index: usize, source: usize) {
        let replication = &self.instances[source].replication;
        let Some(accepted) = replication.accepted_state() else { return };
        let view = &mut self.nodes[index].view;
        view.merge_accepted(accepted.table.items().cloned().collect());
        match replication.knows_all_accepted() {
            true => view.record_complete(),
            false => view.record_accepted_state(),
        }
    }

    /// Has a node that is not complete use what the running instances hold, as it does when it has found
    /// no process for a while that has all items.
    fn use_fallback(&mut self, index: usize) {
        if self.nodes[index].view.stage() == Stage::Complete {
            return;
        }
        let running: Vec<usize> = (0..self.instances.len())
            .filter(|source| self.instances[*source].is_running())
            .collect();
        for source in &running {
            self.compare_with(index, *source);
        }
        if self.nodes[index].view.use_accepted() {
            let in_force: Vec<_> = self.nodes[index].view.in_force().items().cloned().collect();
            let is_accepted = in_force.iter().all(|item| self.history.has_accepted(item));
            assert!(is_accepted, "seed {}: an item was never accepted", self.seed);
            return;
        }
        for source in running {
            let replication = &self.instances[source].replication;
            assert!(replication.accepted().is_empty(), "seed {}", self.seed);
            let state = replication.fallback();
            self.nodes[index].view.use_stored(state.position.clone(), state.table.clone());
        }
    }

    fn check_nodes(&self) {
        for node in &self.nodes {
            let view = &node.view;
            for item in view.accepted().items() {
                let is_accepted = self.history.has_accepted(item);
                assert!(is_accepted, "seed {}: {item:?} was never accepted", self.seed);
            }
            if view.stage() == Stage::Complete {
                assert_eq!(view.in_force().digest(), view.accepted().digest());
            }
        }
    }
}
