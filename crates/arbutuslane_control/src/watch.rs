//! Who is alive among the control instances, as status and events show it.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::Duration;

use arbutuslane_consensus::prelude::{Id, Member, Node};
use arbutuslane_core::time::Time;
use arbutuslane_event::kind::Kind;
use arbutuslane_wire::operator::{Address, Instance, NodeRevision};

use crate::border::{self, Hello};
use crate::engine::Handle;
use crate::settings::Settings;

/// The time between two hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// The silence after which an instance counts as lost: four hellos.
const SILENCE: Duration = Duration::from_secs(2);

/// The time for which a node's report of its revision is shown.
const REPORT_KEPT: Duration = Duration::from_secs(600);

struct Heard {
    at: Time,
    hello: Hello,
}

/// The other instances as this one sees them.
pub(crate) struct Watch {
    own: String,
    settings: Vec<Address>,
    members: Vec<Member>,
    heard: BTreeMap<String, Heard>,
    lost: Vec<String>,
    handle: Handle,
    hello_after: Time,
    leader: Option<(u64, String)>,
    majority_at: Time,
    isolated: bool,
}

impl Watch {
    pub(crate) fn new(settings: &Settings, handle: Handle) -> Self {
        Self {
            own: settings.name.clone(),
            settings: settings.members.clone(),
            members: Vec::new(),
            heard: BTreeMap::new(),
            lost: Vec::new(),
            handle,
            hello_after: Time::ZERO,
            leader: None,
            majority_at: Time::ZERO,
            isolated: false,
        }
    }

    pub(crate) fn set_members(&mut self, members: &[Member]) {
        self.members = members.to_vec();
    }

    /// Returns the peers address of an instance, from the membership or else the settings.
    pub(crate) fn address(&self, name: &str) -> Option<String> {
        self.contact(name).map(|address| address.peers)
    }

    fn contact(&self, name: &str) -> Option<Address> {
        let member = self.members.iter().find(|member| member.id.name == name);
        if let Some((peers, rest)) = member.and_then(|member| member.contact.split_once(' ')) {
            let operators = rest.split(' ').next().unwrap_or_default();
            let (peers, operators) = (peers.to_string(), operators.to_string());
            return Some(Address { name: name.to_string(), peers, operators });
        }
        self.settings.iter().find(|address| address.name == name).cloned()
    }

    pub(crate) fn take_hello(&mut self, now: Time, hello: Hello) {
        self.heard.insert(hello.from.0.clone(), Heard { at: now, hello });
    }

    /// Returns the hellos that are due, with their addresses.
    pub(crate) fn hellos(&mut self, now: Time, node: &Node, empty: bool) -> Vec<(String, Hello)> {
        if now < self.hello_after {
            return Vec::new();
        }
        self.hello_after = now + HELLO_INTERVAL;
        let hello = Hello { from: border::id(node.id()), empty, hears: self.recent(now) };
        let others = self.others();
        let addresses = others.iter().filter_map(|name| self.address(name));
        addresses.map(|address| (address, hello.clone())).collect()
    }

    /// Returns the members of a new group, once every instance of the settings is there and empty.
    ///
    /// Only the first instance by name forms a group, so that there cannot be two.
    pub(crate) fn first_members(&self, now: Time, own: &Id) -> Option<Vec<Member>> {
        if !self.members.is_empty() || self.settings.iter().any(|other| other.name < own.name) {
            return None;
        }
        let mut members = Vec::new();
        for address in &self.settings {
            let id = match address.name == own.name {
                true => own.clone(),
                false => {
                    let heard = self.heard.get(&address.name)?;
                    if !heard.hello.empty || now > heard.at + SILENCE {
                        return None;
                    }
                    border::from_id(heard.hello.from.clone())
                }
            };
            members.push(Member {
                id,
                voter: true,
                replaces: None,
                contact: contact(address, None),
            });
        }
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        members.iter().any(|member| member.id == *own).then_some(members)
    }

    /// Updates the status and records what changed.
    pub(crate) fn publish(&mut self, now: Time, node: &Node) {
        self.note_leader(node);
        self.note_lost(now);
        self.note_isolation(now, node);
        let mut instances = Vec::new();
        for name in self.others().into_iter().chain([self.own.clone()]) {
            let member = self.members.iter().find(|member| member.id.name == name);
            let heard = self.heard.get(&name);
            let own = name == self.own;
            let silent = heard.map(|heard| now.saturating_sub(heard.at));
            instances.push(Instance {
                voter: member.is_some_and(|member| member.voter),
                reachable: own || self.hears(now, &name),
                silent_ms: if own { Some(0) } else { silent.map(millis) },
                matched: member.and_then(|member| node.matched(&member.id)),
                name,
            });
        }
        instances.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let leader = node.leader().map(|leader| leader.name.clone());
        let leader_address = leader.as_deref().and_then(|name| self.contact(name));
        let nodes = self.reports();
        let mut status = self.handle.status.write().unwrap_or_else(PoisonError::into_inner);
        status.role = node.role().to_string();
        status.term = node.term();
        status.leader = leader;
        status.leader_address = leader_address.map(|address| address.operators);
        status.applied = node.applied();
        status.isolated = self.isolated;
        status.instances = instances;
        status.nodes = nodes;
    }

    /// Shows that the replica stopped for good.
    pub(crate) fn failed(&self, reason: &str) {
        let mut status = self.handle.status.write().unwrap_or_else(PoisonError::into_inner);
        status.role = "stopped".to_string();
        status.leader = None;
        status.leader_address = None;
        status.failure = Some(reason.to_string());
    }

    fn reports(&self) -> Vec<NodeRevision> {
        let mut nodes = self.handle.nodes.write().unwrap_or_else(PoisonError::into_inner);
        nodes.retain(|_, report| report.at.elapsed() < REPORT_KEPT);
        let mut reports = Vec::new();
        for (node, report) in nodes.iter() {
            let (revision, age_ms) = (report.revision, millis(report.at.elapsed()));
            reports.push(NodeRevision { node: node.clone(), revision, age_ms });
        }
        reports
    }

    fn others(&self) -> Vec<String> {
        let members = self.members.iter().map(|member| member.id.name.clone());
        let settings = self.settings.iter().map(|address| address.name.clone());
        let mut names: Vec<String> = match self.members.is_empty() {
            true => settings.collect(),
            false => members.collect(),
        };
        names.retain(|name| *name != self.own);
        names
    }

    fn recent(&self, now: Time) -> Vec<String> {
        let recent = self.heard.iter().filter(|(_, heard)| now < heard.at + SILENCE);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether messages pass in both directions: an instance that is cut off in one
    /// direction only still sends hellos to the others, but does not list this one.
    fn hears(&self, now: Time, name: &str) -> bool {
        self.heard
            .get(name)
            .is_some_and(|heard| now < heard.at + SILENCE && heard.hello.hears.contains(&self.own))
    }

    fn note_leader(&mut self, node: &Node) {
        let Some(leader) = node.leader() else { return };
        let current = (node.term(), leader.name.clone());
        if self.leader.as_ref() != Some(&current) {
            let (term, leader) = current.clone();
            self.handle.events.record(Kind::LeaderChange { term, leader });
            self.leader = Some(current);
        }
    }

    fn note_lost(&mut self, now: Time) {
        for name in self.others() {
            let reachable = self.hears(now, &name);
            let was_lost = self.lost.contains(&name);
            if reachable && was_lost {
                self.lost.retain(|lost| *lost != name);
                self.handle.events.record(Kind::NodeRefuted { node: name });
            } else if !reachable && !was_lost && now > SILENCE {
                self.lost.push(name.clone());
                self.handle.events.record(Kind::NodeSuspected { node: name });
            }
        }
    }

    fn note_isolation(&mut self, now: Time, node: &Node) {
        let voters: Vec<&Member> = self.members.iter().filter(|member| member.voter).collect();
        let reached = voters
            .iter()
            .filter(|member| member.id == *node.id() || self.hears(now, &member.id.name));
        if voters.is_empty() || reached.count() * 2 > voters.len() {
            if self.isolated {
                let out_ms = millis(now.saturating_sub(self.majority_at));
                self.handle.events.record(Kind::ReplicaRejoined { out_ms });
            }
            self.isolated = false;
            self.majority_at = now;
        } else if !self.isolated && now > self.majority_at + SILENCE / 2 {
            self.isolated = true;
            let silent_ms = millis(now.saturating_sub(self.majority_at));
            self.handle.events.record(Kind::ReplicaIsolated { silent_ms });
        }
    }
}

/// Returns the form in which the membership keeps an instance's addresses and the id of the change
/// that added it. The id is thus in the same log entry as the change.
pub(crate) fn contact(address: &Address, change_id: Option<&str>) -> String {
    let contact = format!("{} {}", address.peers, address.operators);
    change_id.map_or_else(|| contact.clone(), |id| format!("{contact} {id}"))
}

/// Returns the id of the change that added the member with this contact, where it had one.
pub(crate) fn change_id(contact: &str) -> Option<&str> {
    contact.splitn(3, ' ').nth(2)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
