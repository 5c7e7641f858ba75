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
use arbutuslane_member::effect::{Call, Effect, Ticket};
use arbutuslane_member::gossip::Gossip;
use arbutuslane_member::message::Answer as GossipAnswer;
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
const TICK: Duration = Duration::from_millis(100);

/// The time after which a request of a peer is given up: it may wait for a probe of a third node.
const PATIENCE: Millis = Millis(2_000);

/// What a process does with what the gossip finds.
pub(crate) trait Host: Clone + Send + 'static {
    /// Returns whether the process ends.
    fn is_stopped(&self) -> bool;

    /// Offers newer configuration to the nodes.
    fn publish(&self, gossip: &mut Gossip);

    /// Takes note of a member that joined, is suspected or has gone.
    fn changed(&self, member: &Member<'_>);

    /// Takes note of the members that live.
    fn note_members(&self, table: &Table);
}

/// A member whose standing changed.
#[derive(Debug)]
pub(crate) struct Member<'a> {
    /// Its name.
    pub(crate) node: &'a str,
    /// Its incarnation.
    pub(crate) incarnation: Incarnation,
    /// Its standing.
    pub(crate) standing: Standing,
    /// Whether it is a control instance, which takes no callers.
    pub(crate) is_control: bool,
}

impl Member<'_> {
    /// Returns the event that tells of its standing.
    pub(crate) fn event(&self) -> Kind {
        let (node, incarnation) = (self.node.to_string(), self.incarnation);
        match self.standing {
            Standing::Alive => Kind::NodeJoined { node, incarnation },
            Standing::Suspect => Kind::NodeSuspected { node },
            Standing::Dead | Standing::Left => Kind::NodeDead { node },
        }
    }
}

enum Event {
    Asked(wire::Message, oneshot::Sender<wire::Answer>),
    Answered(Call, Option<wire::Answer>),
    Seeds(Vec<String>),
    Tick,
}

/// The way to the gossip's task.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    events: UnboundedSender<Event>,
}

impl std::fmt::Debug for Event {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Event")
    }
}

impl Exchange {
    /// Replaces the addresses at which peers are looked for while none is known.
    pub(crate) fn set_seeds(&self, seeds: Vec<String>) {
        // The task has ended only when the process ends.
        let _ = self.events.send(Event::Seeds(seeds));
    }

    /// Answers a request of a peer.
    pub(crate) async fn ask(&self, message: wire::Message) -> Option<wire::Answer> {
        let (reply, answer) = oneshot::channel();
        self.events.send(Event::Asked(message, reply)).ok()?;
        ntex::time::timeout(PATIENCE, answer).await.ok()?.ok()
    }
}

/// Creates the way to a task that is started later.
pub(crate) fn prepare() -> (Exchange, Inbox) {
    let (events, inbox) = unbounded_channel();
    (Exchange { events: events.clone() }, Inbox { events, inbox })
}

/// The task's end of an [`Exchange`].
pub(crate) struct Inbox {
    events: UnboundedSender<Event>,
    inbox: UnboundedReceiver<Event>,
}

/// Starts the gossip's thread for the process of `record`.
pub(crate) fn start<H: Host>(
    record: Record,
    seeds: Vec<String>,
    host: H,
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
            host,
            token,
            events,
            tickets: BTreeMap::new(),
            next_ticket: 0,
        };
        let system = ntex::rt::System::new("gossip", ntex::rt::DefaultRuntime);
        system.block_on(async move { task.run(inbox).await });
    });
}

struct Task<H> {
    gossip: Gossip,
    rng: Rng,
    clock: Clock,
    host: H,
    token: Arc<Tokens>,
    events: UnboundedSender<Event>,
    tickets: BTreeMap<Ticket, oneshot::Sender<wire::Answer>>,
    next_ticket: Ticket,
}

impl<H: Host> Task<H> {
    async fn run(&mut self, mut inbox: UnboundedReceiver<Event>) {
        let client = Client::new().await;
        let ticks = self.events.clone();
        let host = self.host.clone();
        ntex::rt::spawn(async move {
            while !host.is_stopped() && ticks.send(Event::Tick).is_ok() {
                ntex::time::sleep(TICK).await;
            }
            ticks.send(Event::Tick)
        });
        while let Some(event) = inbox.recv().await {
            if self.host.is_stopped() {
                return;
            }
            let now = self.clock.now();
            let effects = match event {
                Event::Seeds(seeds) => {
                    self.gossip.set_seeds(seeds);
                    Vec::new()
                }
                Event::Tick => {
                    self.host.publish(&mut self.gossip);
                    self.gossip.tick(now, &mut self.rng)
                }
                Event::Asked(message, reply) => {
                    self.next_ticket += 1;
                    self.tickets.retain(|_, reply| !reply.is_closed());
                    self.tickets.insert(self.next_ticket, reply);
                    self.gossip.handle(now, self.next_ticket, message.into())
                }
                Event::Answered(call, answer) => {
                    self.gossip.answered(now, &mut self.rng, call, answer.map(Into::into))
                }
            };
            for effect in effects {
                self.carry_out(&client, effect);
            }
            self.host.note_members(self.gossip.table());
        }
    }

    fn carry_out(&mut self, client: &Client, effect: Effect) {
        match effect {
            Effect::Call { call, address, message, timeout } => {
                let message = peer::Message::Gossip(message.into());
                let Ok(body) = codec::encode(&message) else { return };
                let secret = self.token.own().unwrap_or_default();
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
                    let _ = events.send(Event::Answered(call, answer));
                });
            }
            Effect::Reply { ticket, answer } => {
                if let Some(reply) = self.tickets.remove(&ticket) {
                    let answer: GossipAnswer = answer;
                    let _ = reply.send(answer.into());
                }
            }
            // The replicated log is the only source of the state here.
            Effect::Apply(_) => {}
            Effect::Changed { node, incarnation, standing } => {
                let known = self.gossip.table().get(&node);
                let is_control = known.is_none_or(|known| known.record.callers.is_empty());
                self.host.changed(&Member { node: &node, incarnation, standing, is_control });
            }
        }
    }
}

impl Host for Handle {
    fn is_stopped(&self) -> bool {
        Handle::is_stopped(self)
    }

    /// Offers the applied state to the nodes when it is newer than what they were offered.
    fn publish(&self, gossip: &mut Gossip) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let position = Position { revision: state.revision, groups: state.group_version };
        if position <= gossip.position() {
            return;
        }
        let snapshot = Snapshot::from(&*state);
        drop(state);
        if let Ok(bytes) = codec::encode(&snapshot) {
            // Steps that do not lead here from the last offer are of no use to anyone.
            let from = gossip.position();
            let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
            let steps = steps.iter().skip_while(|step| step.base < from);
            let steps = steps.take_while(|step| step.position <= position).cloned().collect();
            gossip.install(position, steps, bytes.into());
        }
    }

    fn changed(&self, member: &Member<'_>) {
        // Control instances exchange hellos directly and record their losses themselves.
        if member.is_control {
            return;
        }
        self.events.record(member.event());
    }

    fn note_members(&self, table: &Table) {
        let mut alive = Vec::new();
        for known in table.members() {
            let record = &known.record;
            // Control instances take no callers.
            if record.callers.is_empty() {
                continue;
            }
            alive.push(Candidate {
                node: record.node.clone(),
                incarnation: record.incarnation,
                domain: record.domain.clone(),
            });
        }
        *self.alive.write().unwrap_or_else(PoisonError::into_inner) = alive;
    }
}
