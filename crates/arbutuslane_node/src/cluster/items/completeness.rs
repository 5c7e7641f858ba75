//! What a node knows of the completeness of its items.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arbutuslane_core::time::{Time, millis};
use arbutuslane_item::view::Stage;

/// What the traffic threads need to know of the [`View`](arbutuslane_item::view::View) of a node.
#[derive(Debug, Default)]
pub(crate) struct Completeness {
    /// Whether the node has adopted all items of another process.
    has_all: AtomicBool,
    /// Whether the node uses items of which some may be missing, outdated or not accepted.
    is_provisional: AtomicBool,
    /// Whether a workspace is missing, or older than it was before the start.
    is_behind: AtomicBool,
    /// The time of the last comparison after which the node had all items of another process, in
    /// milliseconds.
    compared_ms: AtomicU64,
}

impl Completeness {
    /// Returns the state after a start.
    pub(crate) fn new(is_behind: bool) -> Self {
        Self { is_behind: AtomicBool::new(is_behind), ..Self::default() }
    }

    /// Records a comparison after which the node has all items of another process.
    pub(crate) fn record_comparison(&self, now: Time) {
        self.compared_ms.store(millis(now), Ordering::Relaxed);
    }

    /// Returns the time since the last such comparison, or since the start.
    pub(crate) fn time_since_comparison(&self, now: Time) -> Duration {
        now.saturating_sub(Duration::from_millis(self.compared_ms.load(Ordering::Relaxed)))
    }

    /// Records what the node knows of the accepted items.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.has_all.store(stage == Stage::Complete, Ordering::Release);
        self.is_provisional.store(stage == Stage::Provisional, Ordering::Release);
    }

    /// Returns whether the node has adopted all items of another process.
    pub(crate) fn has_all(&self) -> bool {
        self.has_all.load(Ordering::Acquire)
    }

    /// Returns whether the node uses items although some may be missing, outdated or not accepted.
    pub(crate) fn is_provisional(&self) -> bool {
        self.is_provisional.load(Ordering::Acquire)
    }

    /// Returns whether the items may be used.
    ///
    /// A node that has just started may receive single items before it has fetched all of them.
    /// With those alone it would deny requests on every other route.
    pub(crate) fn may_be_used(&self) -> bool {
        self.has_all() || self.is_provisional()
    }

    /// Records whether the node lacks a workspace at the version that it knew before its start.
    pub(crate) fn set_behind(&self, is_behind: bool) {
        self.is_behind.store(is_behind, Ordering::Release);
    }

    /// Returns whether the node lacks a workspace at the version that it knew before its start, so
    /// that it may not know all API keys.
    pub(crate) fn is_behind(&self) -> bool {
        self.is_behind.load(Ordering::Acquire)
    }
}
