//! Requests that only the leader of the control instances accepts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use arbutuslane_wire::operator;
use ntex::time::{Millis, sleep};
use serde::Serialize;

use crate::client::{HttpClient, Response};
use crate::error::Error;
use crate::settings::Settings;

/// The pause between two rounds over all control instances; shorter than an election.
pub(crate) const ROUND_PAUSE: Millis = Millis(250);

/// Sends `body` until an instance accepts or rejects it, and returns the address of that instance
/// with its response. `body` is resent after a lost response, so it must contain `change_id`, which
/// makes the request idempotent.
pub(crate) async fn post<T: Serialize>(
    http: &HttpClient,
    settings: &Settings,
    path: &str,
    body: &T,
    change_id: &str,
    (started, timeout): (Instant, Duration),
) -> Result<(String, Response), Error> {
    if settings.controls.is_empty() {
        return Err(Error::MissingSetting { name: "control instance", key: "controls" });
    }
    loop {
        let mut attempts = Vec::new();
        let mut queue: VecDeque<String> = settings.controls.iter().cloned().collect();
        let mut followed_hint = false;
        while let Some(address) = queue.pop_front() {
            let response = match http.post(&address, path, body).await {
                Ok(response) => response,
                Err(error) => {
                    attempts.push(format!("{address}: {error}"));
                    continue;
                }
            };
            if matches!(response.status, 200 | 400..=499) {
                return Ok((address, response));
            }
            attempts.push(format!("{address}: status {}, not the leader", response.status));
            let hint = response.json_or_none::<operator::NotLeader>();
            let leader = hint.and_then(|not_leader| not_leader.leader);
            // Follows one hint per round, so that two instances that name each other cause no loop.
            if let Some(leader) = leader.filter(|_| !followed_hint) {
                followed_hint = true;
                queue.retain(|other| *other != leader);
                queue.push_front(leader);
            }
        }
        if started.elapsed() >= timeout {
            let change_id = change_id.to_string();
            return Err(Error::Unconfirmed { change_id, attempts: attempts.join("; ") });
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Returns the error for a response that rejects the request.
pub(crate) fn refusal_error(address: &str, response: &Response) -> Error {
    let refusal = response.json_or_none::<operator::Refusal>().unwrap_or(operator::Refusal {
        error: format!("status {}", response.status),
        remedy: "check that the token file holds the token of an operator".to_string(),
    });
    Error::Refused { address: address.to_string(), problem: refusal.error, remedy: refusal.remedy }
}
