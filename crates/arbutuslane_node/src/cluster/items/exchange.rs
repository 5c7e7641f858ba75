//! Compares the items of this node with those of one process, and fetches what it lacks in parts.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use arbutuslane_item::border;
use arbutuslane_item::transfer::MAX_COMPARED_ITEMS;
use arbutuslane_item::view::View;
use arbutuslane_wire::{codec, peer};

use super::{Updater, adopt_encoded, late};

/// The number of failed requests in a row after which a transfer pauses until the next comparison.
const MAX_FAILURES: u32 = 3;

/// The result of a comparison with one process.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The process has all items, and now so does this node; `fetched` of them were missing here.
    Complete { fetched: usize },
    /// The process has all items, and some of them are still missing here.
    Behind { fetched: usize, missing: usize },
    /// The process may lack accepted items itself; `has_state` says whether this node has all of a state
    /// now that the process knows to be accepted.
    Incomplete { fetched: usize, has_state: bool },
    /// The response could not be decoded.
    Unreadable,
    /// There was no response.
    Failed { error: String },
}

impl Outcome {
    /// Returns the label of the outcome in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Behind { .. } => "behind",
            Self::Incomplete { .. } => "incomplete",
            Self::Unreadable => "unreadable",
            Self::Failed { .. } => "failed",
        }
    }

    /// Returns whether this node has all items of a process that has all.
    pub(super) fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }

    /// Returns whether the process has all items.
    pub(super) fn has_complete_peer(&self) -> bool {
        matches!(self, Self::Complete { .. } | Self::Behind { .. })
    }
}

impl Updater {
    /// Compares the items with those of the process at `address`, and fetches those that differ.
    pub(super) async fn compare_with(&mut self, address: SocketAddr) -> Outcome {
        let started_at = self.shared.clock.now();
        let outcome = self.exchange_with(address).await;
        self.shared.metrics.count_comparison(outcome.name());
        let ended_at = self.shared.clock.now();
        let took_ms = ended_at.saturating_sub(started_at).as_millis();
        let digest = self.shared.view().accepted().digest();
        tracing::info!(event = "compared", peer = %address, ?outcome, took_ms, digest);
        if outcome.is_complete() {
            self.shared.completeness.record_comparison(ended_at);
        }
        if outcome.is_complete() && !self.shared.completeness.has_all() {
            self.sources.record_compared(address);
            if self.may_rely_on_items() {
                self.shared.update_view(View::record_complete);
            }
        }
        if matches!(outcome, Outcome::Incomplete { has_state: true, .. }) {
            self.shared.update_view(View::record_accepted_state);
        }
        outcome
    }

    /// Fetches the accepted items that the process at `address` has and this node lacks.
    async fn exchange_with(&mut self, address: SocketAddr) -> Outcome {
        let mut fetched = 0;
        loop {
            let message = peer::Message::SyncItems {
                buckets: self.shared.view().accepted().buckets().to_vec(),
                unaccepted: false,
                max_items: Some(MAX_COMPARED_ITEMS),
            };
            let answer = self.send(address, &message).await;
            let (is_complete, items, hashes, more, has_state) = match answer {
                Ok(peer::Answer::Items { complete, items, hashes, more, position, .. }) => {
                    (complete, items, hashes, more, position.is_some())
                }
                Ok(_) => return Outcome::Unreadable,
                Err(error) => return Outcome::Failed { error },
            };
            // The items of an incomplete peer are valid, but it may lack some that were accepted
            // before it started.
            let Some(adopted) = adopt_encoded(&self.shared, &items) else {
                return Outcome::Unreadable;
            };
            self.pull.want(self.shared.view().accepted(), &hashes);
            let parts = self.fetch(&[address]).await;
            fetched += adopted + parts.fetched;
            // Without a new item, another comparison would name the same ones.
            if more && parts.fetched > 0 && parts.is_whole {
                continue;
            }
            let is_whole = parts.is_whole && !more;
            if !is_complete {
                return Outcome::Incomplete { fetched, has_state: has_state && is_whole };
            }
            return match is_whole {
                true => Outcome::Complete { fetched },
                false => Outcome::Behind { fetched, missing: self.pull.missing_count() },
            };
        }
    }

    /// Fetches the missing items from the processes at `addresses` in turn, and puts each part into
    /// force as it arrives.
    pub(super) async fn fetch(&mut self, addresses: &[SocketAddr]) -> Parts {
        let mut parts = Parts { fetched: 0, is_whole: true };
        let mut failures = 0;
        let mut turn = addresses.iter().cycle();
        loop {
            self.pull.drop_held(self.shared.view().accepted());
            if self.pull.is_done() {
                break;
            }
            let Some(address) = turn.next() else { break };
            match self.fetch_part(*address).await {
                Ok(part) => {
                    failures = 0;
                    parts.fetched += part.fetched;
                    parts.is_whole &= part.is_whole;
                }
                Err(error) => {
                    tracing::debug!(event = "part-failed", peer = %address, error);
                    self.pull.record_failure();
                    failures += 1;
                }
            }
            if failures >= MAX_FAILURES {
                break;
            }
        }
        parts.is_whole &= self.pull.is_done();
        parts
    }

    async fn fetch_part(&mut self, address: SocketAddr) -> Result<Parts, String> {
        let started_at = self.shared.clock.now();
        let part = self.pull.next_part();
        let message = peer::Message::FetchItems { hashes: part.clone(), unaccepted: false };
        let answer = self.send(address, &message).await?;
        let peer::Answer::Fetched(bytes) = answer else {
            return Err("the peer does not send items in parts".to_string());
        };
        let items = codec::decode(&bytes).map_err(|error| error.to_string())?;
        let items = border::decode(items);
        let received: Vec<u64> = items.iter().map(|item| item.hash()).collect();
        let elapsed = self.shared.clock.now().saturating_sub(started_at);
        self.pull.record_part(&part, &received, elapsed);
        self.shared.metrics.fetched_items.fetch_add(received.len() as u64, Ordering::Relaxed);
        let is_whole = received.len() == part.len();
        Ok(Parts { fetched: self.shared.adopt_items(items), is_whole })
    }

    /// Sends a message and waits for the response; one that arrives later still puts items into force.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        message: &peer::Message,
    ) -> Result<peer::Answer, String> {
        late::send(&self.shared, &self.pool, address, message.clone()).await
    }
}

/// What a number of requests for parts brought.
#[derive(Debug)]
pub(super) struct Parts {
    /// The number of items that are new here.
    pub(super) fetched: usize,
    /// Whether the peers had all items that were requested.
    pub(super) is_whole: bool,
}
