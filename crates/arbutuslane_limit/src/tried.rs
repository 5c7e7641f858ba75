//! The servers that were tried for one request.

use std::time::Duration;

use arbutuslane_core::id::ServerId;

use crate::attempts::{AttemptFailure, Effort};

/// The servers that were tried for one request.
#[derive(Debug, Default)]
pub struct TriedServers {
    /// All selected servers; the last one is the one that responded, if any did.
    pub all: Vec<ServerId>,
    /// Servers that received the request or may have received it; attempts with [`Effort::Insist`]
    /// exclude them.
    may_have_received: Vec<ServerId>,
    /// Servers whose owner did not refuse the request because they fail most requests; attempts
    /// with [`Effort::Suspect`] exclude them.
    not_suspect: Vec<ServerId>,
    /// The busy servers, each with the predicted time until it has a slot for the request.
    waits: Vec<(Duration, ServerId)>,
}

impl TriedServers {
    /// Returns the servers that the next attempt must not use; the attempt adds the server that it
    /// selects.
    pub fn exclusions(&mut self, effort: Effort) -> &mut Vec<ServerId> {
        match effort {
            Effort::Ordinary | Effort::Last => &mut self.all,
            Effort::Insist => &mut self.may_have_received,
            Effort::Suspect => &mut self.not_suspect,
        }
    }

    /// Records that an attempt failed, or that its response can be passed on (`None`).
    pub fn record_failure(&mut self, effort: Effort, failure: Option<AttemptFailure>) {
        let Some(server) = self.exclusions(effort).last().cloned() else { return };
        if matches!(effort, Effort::Insist | Effort::Suspect) {
            self.all.push(server);
            return;
        }
        if matches!(failure, Some(AttemptFailure::Sent(_))) {
            self.may_have_received.push(server.clone());
        }
        if failure != Some(AttemptFailure::Suspect) {
            self.not_suspect.push(server);
        }
    }

    /// Records how long the request would have to wait at the last server, if that is known.
    pub fn record_wait(&mut self, failure: Option<AttemptFailure>, wait: Option<Duration>) {
        if failure == Some(AttemptFailure::Busy)
            && let Some(wait) = wait
            && let Some(server) = self.all.last()
        {
            self.waits.push((wait, server.clone()));
        }
    }

    /// Returns the server at which a request that may wait for a slot waits for the shortest time.
    pub fn shortest_wait(&self, effort: Effort) -> Option<ServerId> {
        let waits = self.waits.iter().filter(|_| effort == Effort::Insist);
        waits.min_by_key(|(wait, _)| *wait).map(|(_, server)| server.clone())
    }

    /// Returns all servers, with `server`, which responded, as the last one.
    pub fn with_last(mut self, server: ServerId) -> Vec<ServerId> {
        self.all.push(server);
        self.all
    }
}
