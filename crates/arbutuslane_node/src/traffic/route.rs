//! Routes a caller's request and prepares it for forwarding.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HOST, HeaderName};
use ntex::http::{self, HeaderMap, Method, Payload, StatusCode, Uri};
use ntex::time::sleep;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_record::prelude::Identity;

use crate::configuration::{Configuration, Workspace};

use super::allowance;
use super::client::Request;
use super::deadline;
use super::fields;
use super::identity;
use super::intake;
use super::owner;
use super::refusal::Refusal;
use super::worker::Worker;
use super::workspace::{self, Importance};

/// The maximum wait of a request for the first configuration of a node that has just started.
///
/// A restarted node fetches the configuration from a peer within about 2 s. Without the wait, a
/// planned restart would refuse the requests that arrive in that time.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(4);

/// How often a waiting request checks whether the node has a configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A caller's request before routing.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) method: Method,
    /// The path and query, and the host if the request line contains it.
    pub(crate) uri: Uri,
    /// All header fields.
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
    /// The IP address of the caller.
    pub(crate) caller: Option<IpAddr>,
    /// The request on its connection.
    pub(crate) counted: Option<CountedRequest>,
    /// Whether the request is one of several streams on its connection.
    pub(crate) is_http2: bool,
}

impl From<&mut http::Request> for IncomingRequest {
    fn from(request: &mut http::Request) -> Self {
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            payload: request.take_payload(),
            caller: request.peer_addr().map(|caller| caller.ip()),
            counted: None,
            is_http2: false,
        }
    }
}

/// A caller's request after routing.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    /// The name of the route.
    pub(crate) route: String,
    /// The service that runs the request.
    pub(crate) service: String,
    pub(crate) class: Class,
    /// The importance of the request to those who wait for it.
    pub(crate) importance: Importance,
    /// Whether owners are told that a backend server sent the request while it ran another one.
    pub(crate) is_call: bool,
    /// The workspace whose API key the request carried.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// The time until which the response has its full value.
    pub(crate) due: Time,
    /// The time after which the response is useless.
    pub(crate) deadline: Deadline,
    /// The maximum number of servers that receive the request.
    pub(crate) attempts: usize,
    /// The id of the request that a backend server ran when it sent this one as a call.
    pub(crate) parent: Option<String>,
    /// The request with its end-to-end header fields.
    pub(crate) request: Request,
    /// Identifies the request among its resends and others.
    pub(crate) identity: Identity,
}

/// Returns the configuration in force; a node that has just started waits for its first one.
async fn wait_for_configuration(
    worker: &Worker,
    headers: &HeaderMap,
    arrived_at: Time,
) -> Result<Arc<Configuration>, Refusal> {
    let field = worker.shared.interface.dialect().deadline_ms;
    let limit = deadline::read_from(field, headers, FIRST_CONFIGURATION_TIMEOUT, arrived_at);
    let limit = limit.remaining(arrived_at) / 2;
    let limit = limit.min(FIRST_CONFIGURATION_TIMEOUT);
    loop {
        if worker.shared.is_configured() {
            return Ok(worker.shared.configuration());
        }
        if worker.shared.clock.now().saturating_sub(arrived_at) >= limit {
            return Err(Refusal::not_run("this node has no configuration yet"));
        }
        sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}

/// Logs what this node knew when it found no route, because it may have missed a change.
fn log_unknown_route(worker: &Worker, configuration: &Configuration) {
    let now = worker.shared.clock.now();
    let compared_ms_ago = worker.shared.completeness.time_since_comparison(now).as_millis();
    let digest = configuration.items().digest();
    tracing::info!(event = "route-unknown", compared_ms_ago, digest);
}

/// Routes a caller's request and buffers as much of its body as is needed.
///
/// Takes the body of `incoming` unless it refuses the request before.
pub(super) async fn route(
    worker: &Worker,
    incoming: &mut IncomingRequest,
) -> Result<RoutedRequest, Refusal> {
    let now = worker.shared.clock.now();
    let arrived_at = now;
    let configuration = wait_for_configuration(worker, &incoming.headers, now).await?;
    let host = incoming.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| incoming.uri.authority().map(|authority| authority.as_str()));
    let host = host.map(str::to_string);
    let Some(rule) = configuration.route(host.as_deref(), incoming.uri.path()) else {
        if worker.shared.completeness.is_provisional() {
            return Err(Refusal::not_run("this node may not know all routes yet"));
        }
        log_unknown_route(worker, &configuration);
        let remedy = "check host and path against the routes of the catalogue";
        return Err(Refusal::rejected(StatusCode::NOT_FOUND, "no service has this route", remedy));
    };
    let workspace = workspace::identify(&worker.shared, &configuration, rule, &incoming.headers)?;
    // The deadline starts when the request arrives, before the wait for a configuration.
    let dialect = worker.shared.interface.dialect();
    let deadline = deadline::read_from(dialect.deadline_ms, &incoming.headers, rule.timeout, now);
    let deadline = match rule.limits {
        Some(_) => deadline,
        // The operator's timeout limits the deadline that the caller requests.
        None => Deadline::after(now, deadline.remaining(now).min(rule.timeout)),
    };
    let now = worker.shared.clock.now();
    // A response that a stopping node would not pass on any more is of no use.
    let deadline = match worker.shared.stop.requests_end_at() {
        Some(end) => deadline.min(Deadline::after(end, Duration::ZERO)),
        None => deadline,
    };
    if deadline::has_passed(deadline, now) {
        return Err(Refusal::not_run("the deadline passed before the request arrived"));
    }
    let caller = incoming.caller;
    let service = worker.routes.borrow_mut().next_service(rule);
    if let Some(limits) = &rule.limits {
        let limiter = &worker.shared.limiter;
        limiter.take(&service, limits, &rule.prefix, caller, now).map_err(rate_limit_refusal)?;
    }
    if let Some(workspace) = &workspace {
        let id = owner::request_id(dialect, &incoming.headers);
        allowance::admit(worker, id, workspace, deadline).await?;
    }
    let now = worker.shared.clock.now();
    let length = fields::content_length(&incoming.headers);
    let payload = std::mem::take(&mut incoming.payload);
    let counted = incoming.counted.as_ref();
    let time = deadline.remaining(now);
    let bounds = intake::Bounds { limit: rule.body_bytes, length, time, counted };
    let upload = intake::read_upload(&worker.shared, payload, bounds).await?;
    intake::accept(counted)?;
    let target = incoming.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut headers = fields::end_to_end(&incoming.headers);
    if !headers.contains_key(HOST) {
        fields::set(&mut headers, "host", host.as_deref().unwrap_or("localhost"));
    }
    // The address that the caller states is not trustworthy, and servers must not receive it.
    headers.remove(HeaderName::from_static("x-forwarded-for"));
    if let Some(caller) = caller {
        fields::set(&mut headers, "x-forwarded-for", &caller.to_string());
    }
    workspace::set_fields(&worker.shared, &configuration, workspace.as_deref(), &mut headers);
    if let (Some(field), Some(service)) =
        (dialect.origin_service, &worker.shared.settings.origin_service)
    {
        fields::set(&mut headers, field, service);
    }
    let method = incoming.method.clone();
    let request = Request { method, target: target.to_string(), headers, upload };
    let identity = identity::of(&request, dialect);
    let parent = dialect.parent_id(owner::request_id(dialect, &request.headers));
    let parent = parent.map(str::to_string);
    let (importance, is_call) = workspace::importance(
        &worker.shared,
        &configuration,
        rule,
        workspace.as_deref(),
        parent.as_deref(),
    );
    let remaining = deadline.remaining(arrived_at);
    let due = arrived_at + if parent.is_some() { remaining } else { rule.objective.min(remaining) };
    let (route, class, attempts) = (rule.name.clone(), rule.class, rule.attempts);
    Ok(RoutedRequest {
        route,
        service,
        class,
        importance,
        is_call,
        workspace,
        due,
        deadline,
        attempts,
        parent,
        request,
        identity,
    })
}

/// Returns the refusal of a request that exceeds a rate limit and may be sent again after `wait`.
fn rate_limit_refusal(wait: Duration) -> Refusal {
    let seconds = u32::try_from(wait.as_secs()).unwrap_or(u32::MAX).saturating_add(1);
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        retry_after: Some(seconds.min(60)),
        try_other_server: false,
        ..Refusal::not_run("the rate limit of the caller, the route or the service is exceeded")
    }
}
