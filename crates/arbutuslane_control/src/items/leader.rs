//! Decides on changes: orders them while this instance leads, and sends them to the one that leads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arbutuslane_item::border;
use arbutuslane_item::border::agreement::{self, Kind, Request, Response};
use arbutuslane_item::election::Proposal;
use arbutuslane_item::prelude::{Ballot, Candidate, Item, Leader, Update, Voter};
use arbutuslane_item::replication::{Refusal, Status};
use arbutuslane_item::voter;
use futures_util::future::{self, Either, LocalBoxFuture};
use ntex::client::Client;
use ntex::time::sleep;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::agreement::{collect, collect_statuses, fetch, request, request_status};
use super::core::Core;
use super::push::{self, PEER_TIMEOUT};
use super::voters;

/// The longest wait for the leader's decision. Operators' clients try another instance after about a
/// second, and this one then leads itself.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest pause before a change is tried again; random, so that instances that try to lead at
/// the same time do not do so again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(120);

/// How often a state is sent to an instance that has another one than expected.
const MAX_SENDS: u32 = 3;

/// The fate of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Decision {
    /// The change is accepted.
    Accepted,
    /// The change is invalid, for this reason.
    Invalid(String),
    /// The change may be accepted later or not.
    Unavailable,
}

/// A change for the leader task. Without items, it confirms that the newest state is accepted.
pub(super) struct Order {
    pub(super) items: Vec<Arc<Item>>,
    pub(super) reply: oneshot::Sender<Decision>,
}

/// Has a change decided by the instance that leads, within `timeout`. This instance leads itself if
/// that one does not respond.
pub(super) async fn decide(
    core: &Arc<Core>,
    client: &Client,
    items: &[Arc<Item>],
    timeout: Duration,
) -> Decision {
    let started_at = Instant::now();
    let mut unresponsive: Option<Ballot> = None;
    loop {
        let leader = leader_of(core).filter(|(ballot, _)| unresponsive.as_ref() != Some(ballot));
        let decision = match &leader {
            Some((_, address)) => forward(core, client, address, items).await,
            None => {
                let left = timeout.saturating_sub(started_at.elapsed());
                let decided = ntex::time::timeout(left, core.order(items.to_vec())).await;
                decided.unwrap_or(Decision::Unavailable)
            }
        };
        if decision != Decision::Unavailable {
            return decision;
        }
        unresponsive = leader.map(|(ballot, _)| ballot).or(unresponsive);
        let pause = core.jitter(MAX_RETRY_PAUSE);
        if started_at.elapsed() + pause >= timeout {
            return Decision::Unavailable;
        }
        sleep(pause).await;
    }
}

/// Returns the ballot and the address of another instance that leads.
fn leader_of(core: &Core) -> Option<(Ballot, String)> {
    let ballot = {
        let replication = core.replication();
        let is_other = replication.is_complete() && !replication.leads();
        is_other.then(|| replication.promised().clone())?
    };
    // Gossip lists only the instances that it considers alive.
    let address = core.members().control.remove(&ballot.instance)?;
    Some((ballot, address))
}

async fn forward(core: &Core, client: &Client, address: &str, items: &[Arc<Item>]) -> Decision {
    let change = Request::Change(border::encode(items));
    let response = request(core, client, address, &change);
    match ntex::time::timeout(FORWARD_TIMEOUT, response).await {
        Ok(Some(Response::Accepted)) => Decision::Accepted,
        Ok(Some(Response::Invalid(reason))) => Decision::Invalid(reason),
        _ => Decision::Unavailable,
    }
}

/// Serves orders until the instance stops. Orders that arrive while a state is being stored go into
/// the next one together.
pub(super) async fn run(core: Arc<Core>, mut orders: UnboundedReceiver<Order>) {
    let client = Client::new().await;
    let mut leader = None;
    while let Some(first) = orders.recv().await {
        let mut batch = vec![first];
        while let Ok(order) = orders.try_recv() {
            batch.push(order);
        }
        let changes: Vec<Vec<Arc<Item>>> = batch.iter().map(|order| order.items.clone()).collect();
        let decisions = lead(&core, &client, &mut leader, &changes).await.unwrap_or_default();
        let decisions = decisions.into_iter().chain(std::iter::repeat(Decision::Unavailable));
        for (order, decision) in batch.into_iter().zip(decisions) {
            // The sender of the order may no longer wait for the reply.
            let _ = order.reply.send(decision);
        }
        // Instances that need a place among the voters send changes without items.
        let is_asked = changes.iter().any(Vec::is_empty);
        if is_asked || voters::lack_first_list(&core) {
            voters::update(&core, &client, &mut leader).await;
        }
    }
}

/// Applies changes as the leader, and returns the decisions on them once the result is accepted.
/// `leader` is what remains of an earlier election.
async fn lead(
    core: &Arc<Core>,
    client: &Client,
    leader: &mut Option<Leader>,
    changes: &[Vec<Arc<Item>>],
) -> Option<Vec<Decision>> {
    let mut current = match leader.take().filter(|leader| leader.is_current(&core.replication())) {
        Some(current) => current,
        None => elect(core, client).await?,
    };
    let (mut proposal, stored) = core.propose(&mut current, changes).ok()?;
    let outcome = store_everywhere(core, client, &mut proposal, stored).await;
    if !outcome.is_deposed {
        *leader = Some(current);
    }
    if !outcome.is_accepted {
        return None;
    }
    push::announce_accepted(core, client, &proposal.update.position);
    let decisions = proposal.verdicts.into_iter().map(|verdict| match verdict {
        Ok(()) => Decision::Accepted,
        Err(error) => Decision::Invalid(error.to_string()),
    });
    Some(decisions.collect())
}

/// Collects the promises of a quorum and adopts its newest state.
async fn elect(core: &Arc<Core>, client: &Client) -> Option<Leader> {
    // An instance that reaches no quorum must not raise the round, which would depose a leader that
    // does reach one.
    let statuses = collect_statuses(core, client).await;
    let mut candidate = {
        let mut replication = core.replication();
        for status in &statuses {
            replication.observe(&status.promised);
        }
        voter::is_quorum(&statuses, replication.quorum())
            .then(|| Candidate::begin(&mut replication, core.incarnation))?
    };
    let ballot = candidate.ballot().clone();
    let members = core.members().control;
    let message = Request::Promise(agreement::Ballot::from(&ballot));
    let mut promises: Vec<LocalBoxFuture<'_, Option<Status>>> = Vec::new();
    promises.push(Box::pin(async { Some(core.promise(&ballot).await) }));
    for address in members.values() {
        let message = &message;
        promises.push(Box::pin(request_status(core, client, address, message)));
    }
    let is_promised = collect(promises, PEER_TIMEOUT.into(), |status| {
        core.replication().observe(&status.promised);
        candidate.record_promise(status)
    });
    if !is_promised.await {
        return None;
    }
    for source in candidate.sources() {
        if *source.instance() == core.settings.name {
            continue;
        }
        let address = members.get(source.instance())?;
        let update = fetch(core, client, address, Kind::Stored).await?;
        if !core.adopt(&candidate, source, &update).await {
            return None;
        }
    }
    let leader = candidate.elect(&mut core.replication()).ok()?;
    tracing::info!(event = "leading", round = ballot.round);
    Some(leader)
}

/// What became of a proposal.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) is_accepted: bool,
    /// Whether an instance has promised to follow a higher ballot.
    pub(super) is_deposed: bool,
}

/// The response of an instance to a proposal.
enum Reply {
    Stored(Voter),
    Deposed(Ballot),
}

/// Sends a proposal to all instances, and waits until a quorum has stored it.
pub(super) async fn store_everywhere(
    core: &Arc<Core>,
    client: &Client,
    proposal: &mut Proposal,
    stored: impl Future<Output = bool> + 'static,
) -> Outcome {
    let (replies, mut inbox) = tokio::sync::mpsc::unbounded_channel();
    for address in core.members().control.into_values() {
        let (core, client) = (Arc::clone(core), client.clone());
        let (update, replies) = (proposal.update.clone(), replies.clone());
        // An instance that responds late still gets the state.
        ntex::rt::spawn(async move {
            if let Some(reply) = store_at(&core, &client, &address, update).await {
                let _ = replies.send(reply);
            }
        });
    }
    let own = core.replication().own().clone();
    ntex::rt::spawn(async move {
        if stored.await {
            let _ = replies.send(Reply::Stored(own));
        }
    });
    let mut outcome = Outcome::default();
    let mut deadline = std::pin::pin!(sleep(PEER_TIMEOUT));
    loop {
        let next = std::pin::pin!(inbox.recv());
        match future::select(next, deadline.as_mut()).await {
            Either::Left((Some(Reply::Stored(instance)), _)) => {
                outcome.is_accepted = proposal.record_stored(&instance);
                if outcome.is_accepted {
                    return outcome;
                }
            }
            Either::Left((Some(Reply::Deposed(ballot)), _)) => {
                core.replication().observe(&ballot);
                outcome.is_deposed = true;
            }
            Either::Left((None, _)) | Either::Right(_) => return outcome,
        }
    }
}

/// Has the instance at `address` store a state. One that has another state than expected gets all
/// that differs.
async fn store_at(
    core: &Core,
    client: &Client,
    address: &str,
    mut update: Update,
) -> Option<Reply> {
    for _ in 0..MAX_SENDS {
        let message = Request::Store(agreement::Update::from(&update));
        let refusal = match request(core, client, address, &message).await? {
            Response::StoredBy(voter) => return Some(Reply::Stored(voter.into())),
            Response::Stored(instance) => {
                let disk = voter::UNKNOWN_DISK;
                return Some(Reply::Stored(Voter { instance, disk }));
            }
            Response::Refused(refusal) => Refusal::from(refusal),
            _ => return None,
        };
        match refusal {
            Refusal::Promised(ballot) => return Some(Reply::Deposed(ballot)),
            Refusal::Behind(buckets) => {
                let replication = core.replication();
                if replication.stored().position != update.position {
                    return None;
                }
                update = replication.stored().update_for(&buckets);
            }
            Refusal::Overtaken | Refusal::Recovering => return None,
        }
    }
    None
}
