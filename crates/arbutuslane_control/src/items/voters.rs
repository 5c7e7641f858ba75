//! Changes the voters while this instance leads, and asks for a place among them.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::NodeId;
use arbutuslane_item::prelude::{Electorate, Leader, Voter};
use arbutuslane_item::replication::Status;
use arbutuslane_item::voter;
use ntex::client::Client;
use tokio::net::TcpStream;

use super::agreement::collect_all_statuses;
use super::core::Core;
use super::{leader, push};

/// The time between two requests of an instance for a place among the voters.
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// The longest wait for the leader's response to a request for a place.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an instance has after its start to learn of the voters.
const START_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time that a planned stop waits until another instance has the place of this one.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest wait for a connection to a voter that does not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest number of changes in a row; the instances that still lack a place ask again.
const MAX_CHANGES: usize = 4;

/// Gives places among the voters to instances that need one, as far as `leader` may.
pub(super) async fn update(core: &Arc<Core>, client: &Client, leader: &mut Option<Leader>) {
    for _ in 0..MAX_CHANGES {
        if leader.is_none() || core.is_stopping() {
            return;
        }
        let present = collect_all_statuses(core, client).await;
        let (electorate, quorum) = {
            let replication = core.replication();
            (replication.stored().electorate.clone(), replication.quorum())
        };
        let ended = ended_voters(core, &electorate, &present).await;
        let is_alive = |instance: &str| {
            let is_member = core.members().control.contains_key(instance);
            is_member && ended.iter().all(|other| other != instance)
        };
        let Some(next) = electorate.next(&present, quorum, is_alive) else { return };
        if !propose(core, client, leader, &next).await {
            return;
        }
        let (voters, replaced) = (names(&next.voters), names(&next.replaced));
        tracing::info!(event = "voters-changed", voters, replaced);
    }
}

/// Returns whether no state names voters yet, although all founders may be there.
pub(super) fn lack_first_list(core: &Core) -> bool {
    let replication = core.replication();
    let max = voter::max_voters(replication.quorum());
    replication.stored().electorate.is_empty() && core.members().control.len() + 1 >= max
}

/// Returns the voters that do not respond and whose processes have ended, which their machines tell before
/// gossip does.
async fn ended_voters(core: &Core, electorate: &Electorate, present: &[Status]) -> Vec<NodeId> {
    let mut ended = Vec::new();
    let members = core.members().control;
    for voter in &electorate.voters {
        if present.iter().any(|status| status.voter == *voter) {
            continue;
        }
        let Some(address) = members.get(&voter.instance) else { continue };
        let connected = ntex::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == ErrorKind::ConnectionRefused
        {
            ended.push(voter.instance.clone());
        }
    }
    ended
}

/// Gives the place of this instance among the voters to another one, if there is one without, before a
/// planned stop.
pub(super) async fn hand_over(core: &Arc<Core>) {
    core.replication().leave();
    if core.replication().own_quorum().is_none() {
        return;
    }
    let client = Client::new().await;
    leader::decide(core, &client, &[], HANDOVER_TIMEOUT).await;
}

/// Has another electorate accepted; returns whether it is.
async fn propose(
    core: &Arc<Core>,
    client: &Client,
    leader: &mut Option<Leader>,
    next: &Electorate,
) -> bool {
    let Some(mut current) = leader.take() else { return false };
    let Some((mut proposal, stored)) = core.propose_electorate(&mut current, next) else {
        *leader = Some(current);
        return false;
    };
    let outcome = leader::store_everywhere(core, client, &mut proposal, stored).await;
    if !outcome.is_deposed {
        *leader = Some(current);
    }
    if outcome.is_accepted {
        push::announce_accepted(core, client, &proposal.update.position);
    }
    outcome.is_accepted
}

/// Returns whether this instance should ask for another list of voters: for a place among them, or for the
/// first list, which the change that came before all founders were known could not bring.
pub(super) fn wants_change(core: &Core) -> bool {
    let leads = core.replication().leads();
    wants_place(core) || (leads && lack_first_list(core))
}

/// Returns whether this instance should ask for a place among the voters. Until it knows them, it first
/// has [`START_TIMEOUT`] to fetch the state of the others, because it would have to lead in order to ask.
fn wants_place(core: &Core) -> bool {
    let replication = core.replication();
    let knows_voters = replication.is_complete() || core.clock.now() >= START_TIMEOUT;
    knows_voters && replication.wants_place()
}

/// Asks the leader for a place among the voters.
pub(super) async fn request_place(core: &Arc<Core>, client: &Client) {
    leader::decide(core, client, &[], REQUEST_TIMEOUT).await;
}

fn names(voters: &[Voter]) -> String {
    let names: Vec<&str> = voters.iter().map(|voter| voter.instance.as_str()).collect();
    names.join(",")
}
