//! Responds to nodes that compare their items with those of this instance.

use std::sync::Arc;

use arbutuslane_item::border;
use arbutuslane_item::border::agreement::Position;
use arbutuslane_item::prelude::Item;
use arbutuslane_item::transfer::MAX_HASHES;
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::Answer;

use super::core::Core;

/// Returns the items that the requester lacks according to the hashes of its buckets, or their hashes
/// when there are more than `max_items`. With `unaccepted`, they are those of a state that may not be
/// accepted, which nodes use only when too few control instances are left.
pub(super) fn missing_items(
    core: &Core,
    buckets: &[u64],
    unaccepted: bool,
    max_items: Option<usize>,
) -> Answer {
    let replication = core.replication();
    let (state, complete) = match unaccepted {
        true => (Some(replication.fallback()), false),
        // A node applies only accepted items. After a restart or the loss of its disk, this
        // instance may not know all of them yet.
        false => (replication.accepted_state(), replication.knows_all_accepted()),
    };
    let position = state.map(|state| Position::from(&state.position));
    let position = position.and_then(|position| codec::encode(&position).ok());
    let differing = state.map(|state| state.table.difference(buckets)).unwrap_or_default();
    let instance = core.settings.name.clone();
    if max_items.is_none_or(|max| differing.len() <= max) {
        let items = encode(differing.items(), max_items.is_none());
        let (hashes, more) = (Vec::new(), false);
        return Answer::Items { instance, complete, items, hashes, more, position };
    }
    let hashes = differing.first_hashes(MAX_HASHES);
    let more = hashes.len() < differing.len();
    Answer::Items { instance, complete, items: encode([], true), hashes, more, position }
}

/// Returns the items with the hashes that a process requests.
pub(super) fn requested_items(core: &Core, hashes: &[u64], unaccepted: bool) -> Answer {
    let replication = core.replication();
    let table = match unaccepted {
        true => &replication.fallback().table,
        false => replication.accepted(),
    };
    Answer::Fetched(encode(&table.with_hashes(hashes), false))
}

/// Encodes items. Nodes do not need the texts of the declarations, but those of earlier releases, which
/// state no largest number of items, compute hashes from them.
fn encode<'a>(items: impl IntoIterator<Item = &'a Arc<Item>>, with_text: bool) -> Vec<u8> {
    let items = match with_text {
        true => border::encode(items),
        false => border::encode_without_text(items),
    };
    codec::encode(&items).unwrap_or_default()
}
