//! Which strikes stay when there are too many.
//!
//! All processes keep the same ones of the same strikes, so that their tables do not differ for good.

use super::table::Entry;
use super::{Crash, Fingerprint, MAX_REQUEST_STRIKES, MAX_STRIKES, Scope, Strike};

/// The importance of a strike: whether it counts, whether it is a part of a conviction, and when it was
/// recorded.
type Rank = (bool, bool, u64);

/// Removes the least important strikes against `request` and of all, as far as there are too many.
pub(super) fn apply(entries: &mut Vec<Entry>, request: Fingerprint) {
    let is_of_request = |entry: &Entry| entry.strike.request == request;
    while entries.iter().filter(|entry| is_of_request(entry)).count() > MAX_REQUEST_STRIKES {
        remove_least(entries, is_of_request);
    }
    while entries.len() > MAX_STRIKES {
        remove_least(entries, |_| true);
    }
}

fn remove_least(entries: &mut Vec<Entry>, is_candidate: impl Fn(&Entry) -> bool) {
    let mut known: Vec<(Fingerprint, &Crash)> = Vec::new();
    for Entry { strike, .. } in entries.iter() {
        known.extend(strike.known.iter().map(|crash| (strike.request, crash)));
    }
    known.sort_unstable();
    let rank = |strike: &Strike| -> Rank {
        let is_known = known.binary_search(&(strike.request, &strike.crash)).is_ok();
        let counts = strike.scope != Scope::Cleared;
        (counts, is_known || !strike.known.is_empty(), strike.at_ms)
    };
    let candidates = entries.iter().enumerate().filter(|(_, entry)| is_candidate(entry));
    let least = candidates
        .min_by_key(|(_, Entry { strike, .. })| (rank(strike), strike.request, &strike.crash))
        .map(|(index, _)| index);
    if let Some(index) = least {
        entries.remove(index);
    }
}
