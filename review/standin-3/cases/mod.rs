//! The cases.

mod crashing_request;
mod refused_change;
mod same_content;
mod same_path;
mod silent_download;

use std::sync::Arc;

use crate::record::Record;

/// Plays a case with or without its disruption; returns whether the rule was broken.
pub type Case = fn(&Arc<Record>, bool) -> bool;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "refused-change" => Some(refused_change::play),
        "crashing-request" => Some(crashing_request::play),
        "same-path" => Some(same_path::play),
        "silent-download" => Some(silent_download::play),
        "same-content" => Some(same_content::play),
        _ => None,
    }
}

/// Returns the declaration of a service.
pub fn service(name: &str) -> String {
    format!(
        "\"{name}\":{{\"health_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"version\":\"r1\"}}"
    )
}

/// Returns the declaration of a route.
pub fn route(
    name: &str,
    path: &str,
    kind: &str,
    timeout_s: u32,
    service: &str,
    version: u32,
) -> String {
    format!(
        "\"{name}\":{{\"host\":\"{name}.example\",\"path_prefix\":\"{path}\",\"route_type\":\"{kind}\",\"timeout_s\":{timeout_s},\"target_latency_s\":1.5,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"version\":\"r{version}\"}}"
    )
}

/// Returns an order that sets services and routes.
pub fn upsert(services: &[String], routes: &[String], has_limits: bool) -> String {
    let limits = match has_limits {
        true => {
            ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15,\"version\":\"r1\"}"
        }
        false => "",
    };
    format!(
        "{{\"upsert\":{{\"routes\":{{{}}},\"services\":{{{}}}{limits}}},\"remove\":{{\"routes\":[]}}}}",
        routes.join(","),
        services.join(",")
    )
}
