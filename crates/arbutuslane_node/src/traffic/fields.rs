//! Which header fields pass from one hop to the next.

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};

/// Fields that concern one connection only.
const HOP: [&str; 10] = [
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

/// The start of the fields that the fleet itself sets.
const OWN: &str = "arbutuslane-";

/// Returns the end-to-end fields of a message, without those that the fleet itself sets.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        let text = name.as_str();
        if HOP.binary_search(&text).is_ok() || text.starts_with(OWN) || named(headers, text) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Sets a field whose value was made by this process; an invalid value is left out.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the text of a field.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the stated length of a body.
pub(crate) fn length(headers: &HeaderMap) -> Option<u64> {
    text(headers, "content-length").and_then(|text| text.parse().ok())
}

/// Returns whether a comma-separated field lists `token`.
pub(crate) fn lists(headers: &HeaderMap, name: &str, token: &str) -> bool {
    headers.get_all(name).any(|value| {
        value.to_str().is_ok_and(|value| {
            value.split(',').any(|element| element.trim().eq_ignore_ascii_case(token))
        })
    })
}

/// Returns whether the `connection` field names `name` as concerning one connection only.
fn named(headers: &HeaderMap, name: &str) -> bool {
    headers.contains_key("connection") && lists(headers, "connection", name)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against fields of one connection, or forged fields of the fleet, that pass through.
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
        let kept = end_to_end(&headers);
        assert_eq!(kept.len(), 1);
        assert_eq!(text(&kept, "x-kept"), Some("2"));
    }

    #[test]
    fn hop_sorted() {
        assert!(HOP.is_sorted());
    }
}
