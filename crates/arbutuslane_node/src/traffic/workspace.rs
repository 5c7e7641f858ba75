//! Identifies the workspace of a request by its API key.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{AUTHORIZATION, HeaderName};
use ntex::http::{HeaderMap, StatusCode};

use arbutuslane_core::hash;

use crate::configuration::{Configuration, Rule, Workspace};
use crate::settings::Admission;
use crate::shared::Shared;

use super::fields;
use super::owner;
use super::refusal::Refusal;

/// The scheme of the credentials that hold an API key.
const SCHEME: &str = "bearer";

/// The time after the start of a node for which calls need no known parent. The server beside the node
/// may still run requests that the node dispatched before it restarted.
const UNKNOWN_PARENT_GRACE: Duration = Duration::from_secs(20);

/// The rank of calls of requests that this node does not know.
const CALL_RANK: u8 = 0;

/// The number of priorities that are told apart.
const PRIORITIES: u8 = 16;

/// Returns the workspace of a request, or `None` where it needs none.
pub(super) fn identify(
    shared: &Shared,
    configuration: &Configuration,
    rule: &Rule,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    if !shared.requires_keys(configuration) {
        return Ok(None);
    }
    let key = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let workspace = key.and_then(bearer_key).and_then(|key| configuration.workspace(key));
    if workspace.is_some() || rule.is_public || (key.is_none() && is_call(shared, headers)) {
        return Ok(workspace.cloned());
    }
    if shared.completeness.is_provisional() || shared.completeness.is_behind() {
        return Err(Refusal::not_run("this node may not know all API keys yet"));
    }
    let remedy = "send a valid API key as `authorization: Bearer KEY`";
    Err(Refusal::rejected(StatusCode::UNAUTHORIZED, "the API key is missing or unknown", remedy))
}

/// Replaces the fields that identify the workspace of a request by the name of `workspace`.
pub(super) fn set_fields(
    shared: &Shared,
    configuration: &Configuration,
    workspace: Option<&Workspace>,
    headers: &mut HeaderMap,
) {
    let field = shared.interface.dialect().workspace;
    headers.remove(HeaderName::from_static(field));
    if shared.requires_keys(configuration) {
        headers.remove(AUTHORIZATION);
    }
    if let Some(workspace) = workspace {
        fields::set(headers, field, &workspace.name);
    }
}

/// How important a request is to those who wait for it, which its calls inherit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Importance {
    /// The rank of the request; 0 has the highest priority.
    pub(crate) rank: u8,
    /// The hash of the name of its workspace, or 0 without one.
    pub(crate) workspace: u64,
}

/// Returns the importance of a request, and whether it counts as a call of the server beside this node.
///
/// In the least-cost order, a call is as important as the request that made it. Otherwise, and while
/// that request is unknown because this node has restarted, it has the highest rank, because the work
/// on that request is wasted if the call fails.
pub(super) fn importance(
    shared: &Shared,
    configuration: &Configuration,
    rule: &Rule,
    workspace: Option<&Workspace>,
    parent: Option<&str>,
) -> (Importance, bool) {
    let own = Importance {
        rank: rank(configuration, rule, workspace),
        workspace: workspace_hash(workspace.map(|workspace| workspace.name.as_str())),
    };
    let Some(parent) = parent else { return (own, false) };
    let unknown = Importance { rank: CALL_RANK, ..own };
    if shared.settings.admission != Admission::LeastCost {
        return (unknown, false);
    }
    // The id of a caller's request may look like that of a call; calls carry no key.
    match shared.dispatched_ids.get(parent) {
        _ if workspace.is_some() => (own, false),
        Some(parent) => (parent, true),
        None => (unknown, true),
    }
}

/// Returns the hash that stands for the workspace `name` at the owner of a server, or 0 without one.
pub(crate) fn workspace_hash(name: Option<&str>) -> u64 {
    name.map_or(0, |name| hash::of_bytes(name.as_bytes()).max(1))
}

/// Returns the rank of a request: the workspace's priority precedes that of the route.
fn rank(configuration: &Configuration, rule: &Rule, workspace: Option<&Workspace>) -> u8 {
    if !configuration.requires_keys() {
        return rule.rank;
    }
    let priority = workspace.and_then(|workspace| workspace.priority).unwrap_or(rule.rank);
    priority.min(PRIORITIES - 1) * PRIORITIES + rule.rank.min(PRIORITIES - 1)
}

/// Returns whether a request is a call that the server beside this node made.
fn is_call(shared: &Shared, headers: &HeaderMap) -> bool {
    let dialect = shared.interface.dialect();
    let parent = dialect.parent_id(owner::request_id(dialect, headers));
    parent.is_some_and(|parent| {
        shared.dispatched_ids.contains(parent) || shared.clock.now() < UNKNOWN_PARENT_GRACE
    })
}

fn bearer_key(credentials: &str) -> Option<&str> {
    let (scheme, key) = credentials.split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim())
}
