//! What must hold of accepted states, checked without the code under test.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbutuslane_item::prelude::*;

/// Everything that was ever accepted.
pub(super) struct History {
    seed: u64,
    newest: Position,
    /// The electorate of the newest accepted state.
    electorate: Electorate,
    accepted_count: u64,
    /// The content of each version of each item.
    versions: BTreeMap<(Key, Version), Arc<Item>>,
    /// The digest of each accepted state that an instance reported.
    digests: BTreeMap<Position, u64>,
    /// The items of the newest accepted state that an instance reported.
    newest_table: State,
}

impl History {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            newest: Position::default(),
            electorate: Electorate::default(),
            accepted_count: 0,
            versions: BTreeMap::new(),
            digests: BTreeMap::new(),
            newest_table: State::default(),
        }
    }

    pub(super) fn accepted_count(&self) -> u64 {
        self.accepted_count
    }

    /// Returns the position of the newest accepted state.
    pub(super) fn newest(&self) -> Position {
        self.newest.clone()
    }

    /// Returns the electorate of the newest accepted state.
    pub(super) fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// Records that the state at `position`, with this electorate, is accepted.
    pub(super) fn record_accepted(&mut self, position: &Position, electorate: &Electorate) {
        if *position > self.newest {
            self.newest = position.clone();
            self.electorate = electorate.clone();
            self.accepted_count += 1;
        }
    }

    /// Checks a state that an instance considers accepted.
    pub(super) fn check_accepted(&mut self, state: &State) {
        let digest = state.table.digest();
        match self.digests.insert(state.position.clone(), digest) {
            Some(known) if known == digest => return,
            Some(_) => panic!("seed {}: two states at {:?}", self.seed, state.position),
            None => {}
        }
        self.check_versions(&state.table);
        self.check_references(&state.table);
        self.check_order(state);
    }

    /// Returns whether an item was a part of an accepted state.
    pub(super) fn has_accepted(&self, item: &Arc<Item>) -> bool {
        self.versions.get(&(item.key.clone(), item.version)) == Some(item)
    }

    /// Returns the items of the newest accepted state that an instance reported.
    pub(super) fn newest_table(&self) -> &Table {
        &self.newest_table.table
    }

    /// Checks that the content of a version never changes.
    fn check_versions(&mut self, table: &Table) {
        for item in table.items() {
            let known = self.versions.entry((item.key.clone(), item.version));
            let known = known.or_insert_with(|| Arc::clone(item));
            assert_eq!(known, item, "seed {}: the content of a version changed", self.seed);
        }
    }

    fn check_references(&self, table: &Table) {
        let mut owners = BTreeMap::new();
        for item in table.declared_items() {
            for target in item.route().into_iter().flat_map(|route| &route.targets) {
                let service = table.get(&Key::Service(target.service.clone()));
                let is_declared = service.is_some_and(|service| service.content.is_some());
                assert!(is_declared, "seed {}: {:?} has no service", self.seed, item.key);
            }
            for key in item.workspace().into_iter().flat_map(|workspace| &workspace.keys) {
                let other = owners.insert(key.clone(), item.key.clone());
                assert!(other.is_none(), "seed {}: {other:?} and {:?}", self.seed, item.key);
            }
        }
    }

    /// Checks that later states have the versions of earlier ones, or higher ones.
    fn check_order(&mut self, state: &State) {
        let (older, newer) = match state.position < self.newest_table.position {
            true => (state, &self.newest_table),
            false => (&self.newest_table, state),
        };
        for item in older.table.items() {
            let is_covered = newer.table.covers(item);
            assert!(is_covered, "seed {}: {:?} went back", self.seed, item.key);
        }
        if state.position > self.newest_table.position {
            self.newest_table = state.clone();
        }
    }
}
