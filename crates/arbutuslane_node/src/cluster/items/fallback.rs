//! What a node uses that has just started while too few control instances are left to tell what is
//! accepted. Without it, nothing would be served until an operator has restored them.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_item::border;
use arbutuslane_item::border::agreement;
use arbutuslane_item::prelude::{Position, Table};
use arbutuslane_item::transfer::{MAX_COMPARED_ITEMS, Pull};
use arbutuslane_item::view::View;
use arbutuslane_wire::{codec, peer};

use super::Updater;

/// The longest time that a node takes to fetch the states of the control instances before it uses
/// those that it has.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The state that a control instance has stored, as far as this node has fetched it.
#[derive(Debug)]
pub(super) struct StoredState {
    address: SocketAddr,
    position: Position,
    table: Table,
}

impl Updater {
    /// Uses the newest accepted state that a control instance remembers. Only where none remembers one,
    /// it uses the newest state that one has stored.
    pub(super) async fn use_fallback(&mut self, control: &[SocketAddr]) {
        for address in control {
            self.compare_with(*address).await;
            if self.shared.completeness.has_all() {
                return;
            }
        }
        let was_provisional = self.shared.completeness.is_provisional();
        let is_accepted = self.shared.update_view(View::use_accepted);
        if !is_accepted {
            self.use_stored(control).await;
        }
        if !was_provisional && self.shared.completeness.is_provisional() {
            let items = self.shared.configuration().items().len();
            let accepted = is_accepted;
            tracing::warn!(event = "configuration-provisional", items, accepted);
        }
    }

    async fn use_stored(&mut self, control: &[SocketAddr]) {
        let deadline = self.shared.clock.now() + FETCH_TIMEOUT;
        for address in control {
            let Some(index) = self.fetch_stored(*address, deadline).await else { continue };
            let state = &self.stored[index];
            self.shared.use_stored(state.position.clone(), &state.table);
        }
    }

    /// Fetches the state that the control instance at `address` has stored; returns its index once this
    /// node has all of it. What has arrived by `deadline` is kept for the next time.
    async fn fetch_stored(&mut self, address: SocketAddr, deadline: Time) -> Option<usize> {
        let index = self.stored.iter().position(|state| state.address == address);
        let index = index.unwrap_or(self.stored.len());
        if index == self.stored.len() {
            let (position, table) = (Position::default(), Table::default());
            self.stored.push(StoredState { address, position, table });
        }
        while self.shared.clock.now() < deadline {
            let message = peer::Message::SyncItems {
                buckets: self.stored[index].table.buckets().to_vec(),
                unaccepted: true,
                max_items: Some(MAX_COMPARED_ITEMS),
            };
            let answer = self.send(address, &message).await.ok()?;
            let peer::Answer::Items { items, hashes, position, .. } = answer else { return None };
            let position = position.and_then(|bytes| codec::decode(&bytes).ok());
            let position = position.map(agreement::Position::into).unwrap_or_default();
            let state = &mut self.stored[index];
            if state.position != position {
                // What was fetched so far belongs to another state.
                *state = StoredState { position, table: Table::default(), ..*state };
                continue;
            }
            let items = border::decode(codec::decode(&items).ok()?);
            if items.is_empty() && hashes.is_empty() {
                return Some(index);
            }
            state.table.set_all(items);
            self.fetch_stored_parts(index, &hashes, deadline).await?;
        }
        None
    }

    /// Fetches the items with `hashes` of a stored state; returns `None` if a request fails.
    async fn fetch_stored_parts(
        &mut self,
        index: usize,
        hashes: &[u64],
        deadline: Time,
    ) -> Option<()> {
        let mut pull = Pull::default();
        pull.want(&self.stored[index].table, hashes);
        while !pull.is_done() && self.shared.clock.now() < deadline {
            let started_at = self.shared.clock.now();
            let part = pull.next_part();
            let message = peer::Message::FetchItems { hashes: part.clone(), unaccepted: true };
            let answer = self.send(self.stored[index].address, &message).await.ok()?;
            let peer::Answer::Fetched(bytes) = answer else { return None };
            let items = border::decode(codec::decode(&bytes).ok()?);
            let received: Vec<u64> = items.iter().map(|item| item.hash()).collect();
            self.stored[index].table.set_all(items);
            pull.record_part(&part, &received, self.shared.clock.now() - started_at);
        }
        Some(())
    }
}
