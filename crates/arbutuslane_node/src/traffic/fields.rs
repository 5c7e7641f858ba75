//! Reads header fields and selects those that are forwarded to the next hop.

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};

/// Hop-by-hop fields, in ascending order.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The prefix of the fields that the fleet itself sets.
const FLEET_PREFIX: &str = "arbutuslane-";

/// Returns the end-to-end fields of a message, without those that the fleet itself sets.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        let text = name.as_str();
        if HOP_BY_HOP.binary_search(&text).is_ok()
            || text.starts_with(FLEET_PREFIX)
            || is_listed_hop_by_hop(headers, text)
        {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// Sets a field; ignores a value that is not valid in a header.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the text of a field.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the length of a body that `content-length` states.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    text(headers, "content-length").and_then(|text| text.parse().ok())
}

/// Returns whether a comma-separated field contains `token`.
pub(crate) fn contains_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    headers.get_all(name).any(|value| {
        value.to_str().is_ok_and(|value| {
            value.split(',').any(|element| element.trim().eq_ignore_ascii_case(token))
        })
    })
}

/// Returns whether the `connection` field lists `name` as hop-by-hop.
fn is_listed_hop_by_hop(headers: &HeaderMap, name: &str) -> bool {
    headers.contains_key("connection") && contains_token(headers, "connection", name)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against hop-by-hop fields, or forged fields of the fleet, that are forwarded.
    #[test]
    fn end_to_end_drops() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "close, x-private"),
            ("x-private", "1"),
            ("transfer-encoding", "chunked"),
            ("arbutuslane-outcome", "not-run"),
            ("x-kept", "2"),
        ] {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let forwarded = end_to_end(&headers);
        assert_eq!(forwarded.len(), 1);
        assert_eq!(text(&forwarded, "x-kept"), Some("2"));
    }

    /// Guards against an unsorted list, in which the binary search would miss fields.
    #[test]
    fn hop_sorted() {
        assert!(HOP_BY_HOP.is_sorted());
    }
}
