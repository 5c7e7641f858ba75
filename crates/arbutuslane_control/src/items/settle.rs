//! Finds out which state is the newest accepted one, and repairs what lost messages left behind.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use arbutuslane_item::border::agreement::Kind;
use arbutuslane_item::replication::Settlement;
use ntex::client::Client;
use ntex::time::sleep;

use super::agreement::{collect_statuses, fetch};
use super::core::Core;
use super::{leader, push, voters};

/// The time between two repair rounds.
const REPAIR_INTERVAL: Duration = Duration::from_millis(300);

/// The time between two repair rounds until this instance knows the accepted state after its start.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// The number of repair rounds per comparison with the other instances while there is no sign of a
/// lost message.
const ROUNDS_PER_COMPARE: u32 = 3;

/// The longest wait for a state to be proposed again.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The largest number of steps that a read takes to find the newest accepted state.
const MAX_READ_STEPS: u32 = 4;

/// Makes [`accepted`](arbutuslane_item::replication::Replication::accepted) the newest accepted
/// state; returns whether it is.
pub(super) async fn settle(core: &Arc<Core>, client: &Client) -> bool {
    for _ in 0..MAX_READ_STEPS {
        match compare(core, client).await {
            Settlement::Settled => return true,
            Settlement::Wait => return false,
            Settlement::Propose => {
                leader::decide(core, client, &[], PROPOSE_TIMEOUT).await;
            }
            Settlement::Fetch(_) | Settlement::Learn(_) => {}
        }
    }
    false
}

/// Compares the states of a quorum, and takes over what is accepted. Returns what was to be done.
async fn compare(core: &Arc<Core>, client: &Client) -> Settlement {
    let statuses = collect_statuses(core, client).await;
    let settlement = core.replication().settle(&statuses);
    match &settlement {
        Settlement::Learn(position) => push::push_accepted(core, core.learn(position)),
        Settlement::Fetch(instance) => {
            if let Some(address) = core.members().control.get(instance)
                && let Some(update) = fetch(core, client, address, Kind::Accepted).await
            {
                core.install(&update).await;
                push::push_accepted(core, core.learn(&update.position));
            }
        }
        Settlement::Settled | Settlement::Propose | Settlement::Wait => {}
    }
    settlement
}

/// Runs repair rounds until a planned stop begins.
pub(super) async fn run_repair(core: Arc<Core>) {
    let client = Client::new().await;
    let mut round = 0_u32;
    let mut next_request_at = Instant::now();
    while !core.is_stopping() {
        let (is_settled, has_pending_state) = {
            let replication = core.replication();
            (replication.knows_all_accepted(), replication.has_pending_state())
        };
        sleep(if is_settled { REPAIR_INTERVAL } else { START_INTERVAL }).await;
        round = round.wrapping_add(1);
        if Instant::now() >= next_request_at && voters::wants_change(&core) {
            voters::request_place(&core, &client).await;
            next_request_at = Instant::now() + voters::REQUEST_INTERVAL;
        }
        let is_due = core.repair_soon.swap(false, Ordering::Relaxed)
            || !is_settled
            || has_pending_state
            || round.is_multiple_of(ROUNDS_PER_COMPARE);
        if !is_due || compare(&core, &client).await != Settlement::Propose {
            continue;
        }
        // All instances may come here at once after a restart; one of them is enough.
        sleep(core.jitter(REPAIR_INTERVAL)).await;
        if compare(&core, &client).await == Settlement::Propose {
            leader::decide(&core, &client, &[], PROPOSE_TIMEOUT).await;
        }
    }
}
