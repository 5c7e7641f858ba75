//! Requests that only the leading control instance answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use arbutuslane_wire::operator;
use ntex::time::{Millis, sleep};
use serde::Serialize;

use crate::client::{Http, Reply};
use crate::error::Error;
use crate::settings::Settings;

/// The pause between two rounds over all control instances, below the time of an election.
pub(crate) const ROUND_PAUSE: Millis = Millis(250);

/// Sends `body`, which carries `change_id`, until an instance answers it, and returns the instance
/// with its response. The body is sent again after a lost response, so the change id must make that
/// harmless.
pub(crate) async fn post<T: Serialize>(
    http: &Http,
    settings: &Settings,
    path: &str,
    body: &T,
    change_id: &str,
    (started, timeout): (Instant, Duration),
) -> Result<(String, Reply), Error> {
    if settings.controls.is_empty() {
        return Err(Error::Missing { what: "control instance", key: "controls" });
    }
    loop {
        let mut tried = Vec::new();
        let mut queue: VecDeque<String> = settings.controls.iter().cloned().collect();
        let mut hinted = false;
        while let Some(address) = queue.pop_front() {
            let reply = match http.post(&address, path, body).await {
                Ok(reply) => reply,
                Err(fault) => {
                    tried.push(format!("{address}: {fault}"));
                    continue;
                }
            };
            if matches!(reply.status, 200 | 400..=499) {
                return Ok((address, reply));
            }
            tried.push(format!("{address}: status {}, not the leader", reply.status));
            let hint = reply.json_or_none::<operator::NotLeader>();
            let leader = hint.and_then(|not_leader| not_leader.leader);
            // One hint a round, so that two instances cannot send the command in a circle.
            if let Some(leader) = leader.filter(|_| !hinted) {
                hinted = true;
                queue.retain(|other| *other != leader);
                queue.push_front(leader);
            }
        }
        if started.elapsed() >= timeout {
            let change_id = change_id.to_string();
            return Err(Error::Unconfirmed { change_id, tried: tried.join("; ") });
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Returns the error for a response that refuses the request.
pub(crate) fn refused(address: &str, reply: &Reply) -> Error {
    let refusal = reply.json_or_none::<operator::Refusal>().unwrap_or(operator::Refusal {
        error: format!("status {}", reply.status),
        remedy: "check that the token file holds the token of an operator".to_string(),
    });
    Error::Refused { address: address.to_string(), problem: refusal.error, remedy: refusal.remedy }
}
