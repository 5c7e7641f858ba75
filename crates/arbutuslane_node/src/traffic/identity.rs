//! Identifies requests, to recognise those that crash servers.

use ntex::http::HeaderMap;

use arbutuslane_core::hash;
use arbutuslane_record::strike::{Content, Identity, REQUEST_BODY_BYTES, Variant};
use arbutuslane_wire::dialect::{Dialect, ResponseMatching};
use arbutuslane_wire::header;

use super::client::{Request, Upload};
use super::fields;

/// The fields that differ in each attempt or trace it, in ascending order.
const ATTEMPT_FIELDS: [&str; 5] =
    [header::IDEMPOTENCY_KEY, "traceparent", "tracestate", "x-correlation-id", "x-request-id"];

/// Returns the identity of a request whose end-to-end fields are set.
pub(super) fn of(request: &Request, dialect: &Dialect) -> Identity {
    let text = |name: &str| fields::text(&request.headers, name).unwrap_or_default();
    let content = Content {
        method: request.method.as_str(),
        host: text("host"),
        target: &request.target,
        origin: dialect.origin_service.map_or("", text),
        workspace: text(dialect.workspace),
        body: request.upload.buffered_prefix(),
    };
    let rest = hash_rest(&request.upload);
    Identity::new(&content, variant(&request.headers, dialect, rest))
}

/// Returns the hash of the other fields that a resend mostly repeats, and of the rest of the body.
fn variant(headers: &HeaderMap, dialect: &Dialect, rest: u64) -> Variant {
    let id_field = match dialect.response_matching {
        ResponseMatching::EndToEnd(field) | ResponseMatching::PerHop(field) => field,
    };
    let mut selected: Vec<(&str, &[u8])> = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let is_of_request =
            name == "host" || name == dialect.workspace || Some(name) == dialect.origin_service;
        let is_of_attempt = name == id_field
            || name == dialect.deadline_ms
            || ATTEMPT_FIELDS.binary_search(&name).is_ok();
        if !is_of_request && !is_of_attempt {
            selected.push((name, value.as_bytes()));
        }
    }
    selected.sort_unstable();
    let mut bytes = rest.to_le_bytes().to_vec();
    for (name, value) in selected {
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(b':');
        bytes.extend_from_slice(value);
        bytes.push(b'\n');
    }
    hash::of_bytes(&bytes)
}

/// Returns the hash of what follows the start of a body; 0 if it is not held as a whole.
fn hash_rest(upload: &Upload) -> u64 {
    let Upload::Held(body) = upload else { return 0 };
    let mut combined = 0_u64;
    for index in 0.. {
        let Some(segment) = body.segment(index) else { break };
        let start = if index == 0 { segment.len().min(REQUEST_BODY_BYTES) } else { 0 };
        if start < segment.len() {
            let next = hash::of_bytes(&segment[start..]);
            combined = hash::of_bytes(&[combined.to_le_bytes(), next.to_le_bytes()].concat());
        }
    }
    combined
}

#[cfg(test)]
mod tests;
