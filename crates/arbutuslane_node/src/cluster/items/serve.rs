//! Responds to other nodes that compare their items with those of this one.

use std::sync::Arc;

use arbutuslane_item::border;
use arbutuslane_item::prelude::Item;
use arbutuslane_item::transfer::MAX_HASHES;
use arbutuslane_item::view::Stage;
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::Answer;

use crate::shared::Shared;

/// Returns the items of this node in the buckets whose hashes differ from `buckets`, those of a peer,
/// or their hashes when there are more than `max_items`.
pub(crate) fn differing_items(
    shared: &Shared,
    buckets: &[u64],
    max_items: Option<usize>,
) -> Answer {
    let view = shared.view();
    // Items that may not be accepted must not spread to others.
    let differing = view.accepted().difference(buckets);
    let (items, hashes) = match max_items.is_some_and(|max| differing.len() > max) {
        true => (encode([]), differing.first_hashes(MAX_HASHES)),
        false => (encode(differing.items()), Vec::new()),
    };
    Answer::Items {
        // The responder may also be a node.
        instance: shared.settings.node.clone(),
        complete: view.stage() == Stage::Complete,
        items,
        more: !hashes.is_empty() && hashes.len() < differing.len(),
        hashes,
        position: None,
    }
}

/// Returns the items with the hashes that a node requests.
pub(crate) fn requested_items(shared: &Shared, hashes: &[u64]) -> Answer {
    Answer::Fetched(encode(&shared.view().accepted().with_hashes(hashes)))
}

fn encode<'a>(items: impl IntoIterator<Item = &'a Arc<Item>>) -> Vec<u8> {
    codec::encode(&border::encode(items)).unwrap_or_default()
}
