//! Monitors which control instances are reachable, for the status and the events.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::Duration;

use arbutuslane_consensus::prelude::{Id, Member, Node};
use arbutuslane_core::time::{Time, millis};
use arbutuslane_event::kind::Kind;
use arbutuslane_wire::operator::{Address, Instance, NodeRevision};

use crate::border::{self, Hello};
use crate::engine::Handle;
use crate::settings::Settings;

/// The time between two hellos to the same instance.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a hello after which an instance counts as unreachable: four hello intervals.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The age up to which the status shows a node's report of its revision.
const REPORT_MAX_AGE: Duration = Duration::from_secs(600);

/// The last hello received from an instance.
struct ReceivedHello {
    at: Time,
    hello: Hello,
}

/// The state of the other control instances as observed by this one.
pub(crate) struct PeerMonitor {
    own_name: String,
    /// The first members of the control group, according to the settings.
    configured_members: Vec<Address>,
    /// The applied membership; empty before the control group is formed.
    members: Vec<Member>,
    /// The last hello of each instance, by instance name.
    last_hellos: BTreeMap<String, ReceivedHello>,
    /// The instances for which an event has reported the loss.
    unreachable: Vec<String>,
    handle: Handle,
    next_hello_at: Time,
    /// The term and the leader that the last event reported.
    leader: Option<(u64, String)>,
    /// When this instance last reached a majority of the voters.
    last_majority_at: Time,
    is_isolated: bool,
}

impl PeerMonitor {
    pub(crate) fn new(settings: &Settings, handle: Handle) -> Self {
        Self {
            own_name: settings.name.clone(),
            configured_members: settings.members.clone(),
            members: Vec::new(),
            last_hellos: BTreeMap::new(),
            unreachable: Vec::new(),
            handle,
            next_hello_at: Time::ZERO,
            leader: None,
            last_majority_at: Time::ZERO,
            is_isolated: false,
        }
    }

    pub(crate) fn set_members(&mut self, members: &[Member]) {
        self.members = members.to_vec();
    }

    /// Returns the peer address of an instance from the membership, or else from the settings.
    pub(crate) fn address(&self, name: &str) -> Option<String> {
        self.contact_address(name).map(|address| address.peers)
    }

    /// Returns the peer and operator addresses of an instance, as [`Self::address`] does.
    fn contact_address(&self, name: &str) -> Option<Address> {
        let member = self.members.iter().find(|member| member.id.name == name);
        if let Some((peers, rest)) = member.and_then(|member| member.addresses.split_once(' ')) {
            let operators = rest.split(' ').next().unwrap_or_default();
            let (peers, operators) = (peers.to_string(), operators.to_string());
            return Some(Address { name: name.to_string(), peers, operators });
        }
        self.configured_members.iter().find(|address| address.name == name).cloned()
    }

    pub(crate) fn record_hello(&mut self, now: Time, hello: Hello) {
        self.last_hellos.insert(hello.from.0.clone(), ReceivedHello { at: now, hello });
    }

    /// Returns the hellos that are due, with the addresses of their receivers.
    pub(crate) fn due_hellos(
        &mut self,
        now: Time,
        node: &Node,
        empty: bool,
    ) -> Vec<(String, Hello)> {
        if now < self.next_hello_at {
            return Vec::new();
        }
        self.next_hello_at = now + HELLO_INTERVAL;
        let hello =
            Hello { from: border::id_to_pair(node.id()), empty, hears: self.recently_heard(now) };
        let others = self.others();
        let addresses = others.iter().filter_map(|name| self.address(name));
        addresses.map(|address| (address, hello.clone())).collect()
    }

    /// Returns the members of a new control group once every instance of the settings is reachable
    /// and has an empty data folder.
    ///
    /// Only the instance with the smallest name forms a group, so that two groups cannot form.
    pub(crate) fn first_members(&self, now: Time, own: &Id) -> Option<Vec<Member>> {
        if !self.members.is_empty()
            || self.configured_members.iter().any(|other| other.name < own.name)
        {
            return None;
        }
        let mut members = Vec::new();
        for address in &self.configured_members {
            let id = match address.name == own.name {
                true => own.clone(),
                false => {
                    let received = self.last_hellos.get(&address.name)?;
                    if !received.hello.empty || now > received.at + SILENCE_TIMEOUT {
                        return None;
                    }
                    border::id_from_pair(received.hello.from.clone())
                }
            };
            members.push(Member {
                id,
                voter: true,
                replaces: None,
                addresses: format_addresses(address, None),
            });
        }
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        members.iter().any(|member| member.id == *own).then_some(members)
    }

    /// Updates the status and records events for the changes since the last call.
    pub(crate) fn publish(&mut self, now: Time, node: &Node) {
        self.update_leader(node);
        self.update_reachability(now);
        self.update_isolation(now, node);
        let mut instances = Vec::new();
        for name in self.others().into_iter().chain([self.own_name.clone()]) {
            let member = self.members.iter().find(|member| member.id.name == name);
            let received = self.last_hellos.get(&name);
            let is_own = name == self.own_name;
            let silence = received.map(|received| now.saturating_sub(received.at));
            instances.push(Instance {
                voter: member.is_some_and(|member| member.voter),
                reachable: is_own || self.is_reachable(now, &name),
                silent_ms: if is_own { Some(0) } else { silence.map(millis) },
                matched: member.and_then(|member| node.matched_index(&member.id)),
                name,
            });
        }
        instances.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let leader = node.leader().map(|leader| leader.name.clone());
        let leader_address = leader.as_deref().and_then(|name| self.contact_address(name));
        let nodes = self.reports();
        let mut status = self.handle.status.write().unwrap_or_else(PoisonError::into_inner);
        status.role = node.role().to_string();
        status.term = node.term();
        status.leader = leader;
        status.leader_address = leader_address.map(|address| address.operators);
        status.applied = node.applied_index();
        status.isolated = self.is_isolated;
        status.instances = instances;
        status.nodes = nodes;
    }

    /// Publishes in the status that the replica has stopped until a restart.
    pub(crate) fn publish_failure(&self, reason: &str) {
        let mut status = self.handle.status.write().unwrap_or_else(PoisonError::into_inner);
        status.role = "stopped".to_string();
        status.leader = None;
        status.leader_address = None;
        status.failure = Some(reason.to_string());
    }

    /// Drops reports older than [`REPORT_MAX_AGE`] and returns the others.
    fn reports(&self) -> Vec<NodeRevision> {
        let mut nodes = self.handle.node_reports.write().unwrap_or_else(PoisonError::into_inner);
        nodes.retain(|_, report| report.at.elapsed() < REPORT_MAX_AGE);
        let mut reports = Vec::new();
        for (node, report) in nodes.iter() {
            let (revision, age_ms) = (report.revision, millis(report.at.elapsed()));
            reports.push(NodeRevision { node: node.clone(), revision, age_ms });
        }
        reports
    }

    /// Returns the names of the other instances from the membership, or else from the settings.
    fn others(&self) -> Vec<String> {
        let members = self.members.iter().map(|member| member.id.name.clone());
        let configured = self.configured_members.iter().map(|address| address.name.clone());
        let mut names: Vec<String> = match self.members.is_empty() {
            true => configured.collect(),
            false => members.collect(),
        };
        names.retain(|name| *name != self.own_name);
        names
    }

    /// Returns the instances whose last hello is younger than [`SILENCE_TIMEOUT`].
    fn recently_heard(&self, now: Time) -> Vec<String> {
        let recent =
            self.last_hellos.iter().filter(|(_, received)| now < received.at + SILENCE_TIMEOUT);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether messages arrive in both directions. An instance that receives nothing from
    /// this one may still send hellos, but they do not list this instance.
    fn is_reachable(&self, now: Time, name: &str) -> bool {
        self.last_hellos.get(name).is_some_and(|received| {
            now < received.at + SILENCE_TIMEOUT && received.hello.hears.contains(&self.own_name)
        })
    }

    fn update_leader(&mut self, node: &Node) {
        let Some(leader) = node.leader() else { return };
        let current = (node.term(), leader.name.clone());
        if self.leader.as_ref() != Some(&current) {
            let (term, leader) = current.clone();
            self.handle.events.record(Kind::LeaderChange { term, leader });
            self.leader = Some(current);
        }
    }

    fn update_reachability(&mut self, now: Time) {
        for name in self.others() {
            let reachable = self.is_reachable(now, &name);
            let was_unreachable = self.unreachable.contains(&name);
            if reachable && was_unreachable {
                self.unreachable.retain(|unreachable| *unreachable != name);
                self.handle.events.record(Kind::NodeRefuted { node: name });
            } else if !reachable && !was_unreachable && now > SILENCE_TIMEOUT {
                self.unreachable.push(name.clone());
                self.handle.events.record(Kind::NodeSuspected { node: name });
            }
        }
    }

    /// Counts this instance as isolated after half of [`SILENCE_TIMEOUT`] without a reachable
    /// majority of the voters.
    fn update_isolation(&mut self, now: Time, node: &Node) {
        let voters: Vec<&Member> = self.members.iter().filter(|member| member.voter).collect();
        let reachable_voters = voters
            .iter()
            .filter(|member| member.id == *node.id() || self.is_reachable(now, &member.id.name));
        if voters.is_empty() || reachable_voters.count() * 2 > voters.len() {
            if self.is_isolated {
                let out_ms = millis(now.saturating_sub(self.last_majority_at));
                self.handle.events.record(Kind::ReplicaRejoined { out_ms });
            }
            self.is_isolated = false;
            self.last_majority_at = now;
        } else if !self.is_isolated && now > self.last_majority_at + SILENCE_TIMEOUT / 2 {
            self.is_isolated = true;
            let silent_ms = millis(now.saturating_sub(self.last_majority_at));
            self.handle.events.record(Kind::ReplicaIsolated { silent_ms });
        }
    }
}

/// Formats the addresses of an instance and the id of the change that added it for the membership.
/// The id is thus in the same log entry as the change.
pub(crate) fn format_addresses(address: &Address, change_id: Option<&str>) -> String {
    let addresses = format!("{} {}", address.peers, address.operators);
    change_id.map_or_else(|| addresses.clone(), |id| format!("{addresses} {id}"))
}

/// Returns the id of the change that added the member with `addresses`, if it had one.
pub(crate) fn change_id(addresses: &str) -> Option<&str> {
    addresses.splitn(3, ' ').nth(2)
}
