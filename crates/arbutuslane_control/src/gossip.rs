//! Takes part in the gossip of the nodes, as a member without servers.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_catalogue::group::Candidate;
use arbutuslane_core::hash;
use arbutuslane_core::id::Incarnation;
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Clock;
use arbutuslane_event::kind::Kind;
use arbutuslane_member::configuration::Position;
use arbutuslane_member::effect::{CallId, Effect, RequestId};
use arbutuslane_member::gossip::Gossip;
use arbutuslane_member::message::Response as GossipResponse;
use arbutuslane_member::record::{Record, Standing};
use arbutuslane_member::table::Table;
use arbutuslane_wire::peer::{self, gossip as wire};
use arbutuslane_wire::{codec, header};
use ntex::client::Client;
use ntex::time::Millis;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::engine::Handle;
use crate::token::Tokens;

/// The time between two ticks of the gossip.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout for handling a request of a peer, which may wait for the probe of a third node.
const PEER_REQUEST_TIMEOUT: Millis = Millis(2_000);

/// Connects the gossip to the state of its process.
pub(crate) trait GossipDelegate: Clone + Send + 'static {
    /// Returns whether the gossip must end.
    fn is_stopped(&self) -> bool;

    /// Hands newer configuration to the gossip, for the nodes.
    fn publish(&self, gossip: &mut Gossip);

    /// Handles a member that joined, is suspected, or is dead or has left.
    fn member_changed(&self, member: &MemberChange<'_>);

    /// Updates the list of live members.
    fn update_members(&self, table: &Table);
}

/// A member whose standing changed.
#[derive(Debug)]
pub(crate) struct MemberChange<'a> {
    /// The name of the member.
    pub(crate) node: &'a str,
    /// The incarnation of the member.
    pub(crate) incarnation: Incarnation,
    /// The new standing.
    pub(crate) standing: Standing,
    /// Whether the member is a control instance, which serves no callers.
    pub(crate) is_control: bool,
}

impl MemberChange<'_> {
    /// Returns the timeline event for the new standing.
    pub(crate) fn to_event(&self) -> Kind {
        let (node, incarnation) = (self.node.to_string(), self.incarnation);
        match self.standing {
            Standing::Alive => Kind::NodeJoined { node, incarnation },
            Standing::Suspect => Kind::NodeSuspected { node },
            Standing::Dead | Standing::Left => Kind::NodeDead { node },
        }
    }
}

enum Event {
    Request(wire::Message, oneshot::Sender<wire::Answer>),
    Response(CallId, Option<wire::Answer>),
    Seeds(Vec<String>),
    Tick,
}

/// Sends events to the gossip task.
#[derive(Debug, Clone)]
pub(crate) struct GossipHandle {
    events: UnboundedSender<Event>,
}

impl std::fmt::Debug for Event {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Event")
    }
}

impl GossipHandle {
    /// Replaces the addresses at which the gossip looks for peers while it knows none.
    pub(crate) fn set_seeds(&self, seeds: Vec<String>) {
        // Sending fails only when the task has ended with the process.
        let _ = self.events.send(Event::Seeds(seeds));
    }

    /// Handles a request of a peer; returns `None` after a timeout or when the task has ended.
    pub(crate) async fn handle_request(&self, message: wire::Message) -> Option<wire::Answer> {
        let (reply, answer) = oneshot::channel();
        self.events.send(Event::Request(message, reply)).ok()?;
        ntex::time::timeout(PEER_REQUEST_TIMEOUT, answer).await.ok()?.ok()
    }
}

/// Creates the handle and the inbox of a task that is started later.
pub(crate) fn channel() -> (GossipHandle, Inbox) {
    let (events, inbox) = unbounded_channel();
    (GossipHandle { events: events.clone() }, Inbox { events, inbox })
}

/// The task's end of a [`GossipHandle`].
pub(crate) struct Inbox {
    events: UnboundedSender<Event>,
    inbox: UnboundedReceiver<Event>,
}

/// Starts the gossip thread of the process that `record` describes.
pub(crate) fn start<H: GossipDelegate>(
    record: Record,
    seeds: Vec<String>,
    delegate: H,
    token: Arc<Tokens>,
    inbox: Inbox,
) {
    let Inbox { events, inbox } = inbox;
    thread::spawn(move || {
        let clock = Clock::start();
        let seed = hash::of_bytes(format!("{} {}", record.node, record.incarnation).as_bytes());
        let mut task = Task {
            gossip: Gossip::new(clock.now(), record, seeds),
            rng: rng::seeded(seed),
            clock,
            delegate,
            token,
            events,
            replies_by_request: BTreeMap::new(),
            next_request: 0,
        };
        let system = arbutuslane_event::runtime::system("gossip");
        system.block_on(async move { task.run(inbox).await });
    });
}

struct Task<H> {
    gossip: Gossip,
    rng: Rng,
    clock: Clock,
    delegate: H,
    token: Arc<Tokens>,
    events: UnboundedSender<Event>,
    replies_by_request: BTreeMap<RequestId, oneshot::Sender<wire::Answer>>,
    next_request: RequestId,
}

impl<H: GossipDelegate> Task<H> {
    async fn run(&mut self, mut inbox: UnboundedReceiver<Event>) {
        let client = Client::new().await;
        let ticks = self.events.clone();
        let delegate = self.delegate.clone();
        ntex::rt::spawn(async move {
            while !delegate.is_stopped() && ticks.send(Event::Tick).is_ok() {
                ntex::time::sleep(TICK_INTERVAL).await;
            }
            ticks.send(Event::Tick)
        });
        while let Some(event) = inbox.recv().await {
            if self.delegate.is_stopped() {
                return;
            }
            let now = self.clock.now();
            let effects = match event {
                Event::Seeds(seeds) => {
                    self.gossip.set_seeds(seeds);
                    Vec::new()
                }
                Event::Tick => {
                    self.delegate.publish(&mut self.gossip);
                    self.gossip.tick(now, &mut self.rng)
                }
                Event::Request(message, reply) => {
                    self.next_request += 1;
                    self.replies_by_request.retain(|_, reply| !reply.is_closed());
                    self.replies_by_request.insert(self.next_request, reply);
                    self.gossip.handle(now, self.next_request, message.into())
                }
                Event::Response(call, answer) => {
                    self.gossip.handle_response(now, &mut self.rng, call, answer.map(Into::into))
                }
            };
            for effect in effects {
                self.execute(&client, effect);
            }
            self.delegate.update_members(self.gossip.table());
        }
    }

    /// Executes an effect of the gossip state machine.
    fn execute(&mut self, client: &Client, effect: Effect) {
        match effect {
            Effect::Call { call, address, message, timeout } => {
                let message = peer::Message::Gossip(message.into());
                let Ok(body) = codec::encode(&message) else { return };
                let secret = self.token.own_secret().unwrap_or_default();
                let url = format!("http://{address}/v1/peer");
                let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
                let request = client.post(url).header(header::TOKEN, secret);
                let request = request.timeout(Millis(millis));
                let events = self.events.clone();
                ntex::rt::spawn(async move {
                    let answer = match request.send_body(body).await {
                        Ok(response) => response.body().limit(64 << 20).await.ok(),
                        Err(_) => None,
                    };
                    let answer = answer.and_then(|bytes| codec::decode(&bytes).ok());
                    let answer = match answer {
                        Some(peer::Answer::Gossip(answer)) => Some(answer),
                        _ => None,
                    };
                    let _ = events.send(Event::Response(call, answer));
                });
            }
            Effect::Respond { request, response: answer } => {
                if let Some(reply) = self.replies_by_request.remove(&request) {
                    let answer: GossipResponse = answer;
                    let _ = reply.send(answer.into());
                }
            }
            // A control instance gets its state only from the replicated log.
            Effect::Apply(_) => {}
            Effect::StandingChanged { node, incarnation, standing } => {
                let known = self.gossip.table().get(&node);
                let is_control = known.is_none_or(|known| known.record.callers.is_empty());
                self.delegate.member_changed(&MemberChange {
                    node: &node,
                    incarnation,
                    standing,
                    is_control,
                });
            }
        }
    }
}

impl GossipDelegate for Handle {
    fn is_stopped(&self) -> bool {
        Handle::is_stopped(self)
    }

    /// Hands the applied state to the gossip when it is newer than the state handed over last.
    fn publish(&self, gossip: &mut Gossip) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let position = Position { revision: state.revision, groups: state.group_version };
        if position <= gossip.position() {
            return;
        }
        let snapshot = Snapshot::from(&*state);
        drop(state);
        if let Ok(bytes) = codec::encode(&snapshot) {
            // Only deltas between the last published state and this one are useful to nodes.
            let from = gossip.position();
            let deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
            let deltas = deltas.iter().skip_while(|delta| delta.base < from);
            let deltas = deltas.take_while(|delta| delta.position <= position).cloned().collect();
            gossip.install(position, deltas, bytes.into());
        }
    }

    fn member_changed(&self, member: &MemberChange<'_>) {
        // Control instances exchange hellos directly and record events about each other from these.
        if member.is_control {
            return;
        }
        self.events.record(member.to_event());
    }

    fn update_members(&self, table: &Table) {
        let mut alive = Vec::new();
        for known in table.members() {
            let record = &known.record;
            // Control instances serve no callers.
            if record.callers.is_empty() {
                continue;
            }
            alive.push(Candidate {
                node: record.node.clone(),
                incarnation: record.incarnation,
                domain: record.domain.clone(),
            });
        }
        *self.alive_nodes.write().unwrap_or_else(PoisonError::into_inner) = alive;
    }
}
