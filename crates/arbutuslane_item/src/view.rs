//! The items that a node knows, and those of them that it uses.
//!
//! A node uses accepted items, once it has all of them. While too few control instances are left to tell
//! which state is the newest accepted one, a node that has just started would serve nothing. It then
//! uses the newest accepted state that an instance remembers, and only where none remembers one, the
//! newest state that one has stored. Such a fallback may have been refused since, under a version
//! that is higher than every accepted one. It is therefore kept apart from the accepted items, and is
//! dropped as a whole once an accepted state is known.

use std::sync::Arc;

use crate::ballot::Position;
use crate::item::Item;
use crate::table::Table;

/// What a node knows of the accepted items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// Single items, which must not be used: with those alone, requests on all other routes would be
    /// denied.
    #[default]
    Partial,
    /// A state that is used although a newer one may have been accepted.
    Provisional,
    /// All items that were accepted before the start.
    Complete,
}

/// A state that a control instance has stored and that may never have been accepted.
#[derive(Debug, Clone)]
struct Fallback {
    position: Position,
    table: Table,
}

/// The items that a node knows.
///
/// ```
/// use std::sync::Arc;
///
/// use arbutuslane_item::prelude::*;
/// use arbutuslane_item::view::View;
///
/// let removal = |version| Arc::new(Item::removal(Key::Route("r1".to_string()), version));
/// let (mut view, mut stored) = (View::default(), Table::default());
/// stored.merge_all(vec![removal(5)]);
/// view.use_stored(Position::default(), stored);
/// view.merge_accepted(vec![removal(1)]);
/// view.record_complete();
/// assert_eq!(view.in_force().items().next(), Some(&removal(1)));
/// ```
#[derive(Debug, Default)]
pub struct View {
    stage: Stage,
    accepted: Table,
    /// Whether `accepted` has all items of an accepted state, which may be outdated.
    has_accepted_state: bool,
    fallback: Option<Fallback>,
}

impl View {
    /// Returns what the node knows of the accepted items.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the accepted items that the node knows, the only ones that it may pass on.
    pub fn accepted(&self) -> &Table {
        &self.accepted
    }

    /// Returns the items that are in force unless the stage is [`Stage::Partial`].
    pub fn in_force(&self) -> &Table {
        self.fallback.as_ref().map_or(&self.accepted, |fallback| &fallback.table)
    }

    /// Merges accepted items; returns those that are new.
    pub fn merge_accepted(&mut self, items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        let merged = self.accepted.merge_all(items);
        if let Some(fallback) = &mut self.fallback {
            fallback.table.merge_accepted(merged.clone());
        }
        merged
    }

    /// Records that the node has all accepted items of a process that has all.
    pub fn record_complete(&mut self) {
        self.stage = Stage::Complete;
        self.has_accepted_state = true;
        self.fallback = None;
    }

    /// Records that the node has all items of a state that was accepted, and perhaps replaced since.
    pub fn record_accepted_state(&mut self) {
        if self.accepted.is_empty() {
            return;
        }
        self.has_accepted_state = true;
        self.fallback = None;
    }

    /// Uses the newest accepted state that is known, because no process has been found for a while that
    /// knows all accepted items; returns whether there is one.
    pub fn use_accepted(&mut self) -> bool {
        if self.has_accepted_state && self.stage == Stage::Partial {
            self.stage = Stage::Provisional;
        }
        self.has_accepted_state
    }

    /// Uses a state that a control instance has stored, unless an accepted state is known. Of several,
    /// the one with the highest position stays in force: the one that the instances would propose again
    /// if the others were lost for good. So all nodes that reach the same instances use the same.
    pub fn use_stored(&mut self, position: Position, mut table: Table) {
        let is_newer = self.fallback.as_ref().is_none_or(|known| known.position < position);
        if self.has_accepted_state || table.is_empty() || !is_newer {
            return;
        }
        table.merge_accepted(self.accepted.items().cloned().collect());
        self.fallback = Some(Fallback { position, table });
        self.stage = Stage::Provisional;
    }
}
