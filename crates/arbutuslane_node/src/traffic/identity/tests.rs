//! Tests of the identity of requests.

use ntex::http::Method;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::util::Bytes;

use super::*;

/// The dialect of a fleet in which callers and attempts are named in header fields.
const DIALECT: Dialect = Dialect {
    response_matching: ResponseMatching::EndToEnd("attempt"),
    origin_service: Some("origin"),
    ..Dialect::NATIVE
};

fn request(method: Method, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Identity {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::try_from(*name).unwrap();
        map.append(name, HeaderValue::from_str(value).unwrap());
    }
    let upload = Upload::from(Bytes::copy_from_slice(body));
    of(&Request { method, target: target.to_string(), headers: map, upload }, &DIALECT)
}

fn get(target: &str, headers: &[(&str, &str)]) -> Identity {
    request(Method::GET, target, headers, b"")
}

/// Guards against two requests that share their strikes because they differ in one thing alone (review/12).
#[test]
fn of_one_difference() {
    let base = get("/a?x=1", &[("host", "a.example"), ("origin", "desk")]);
    let large = vec![b'x'; 40_000];
    let post = |body: &[u8]| request(Method::POST, "/a", &[("host", "a.example")], body);
    for (name, left, right) in [
        ("host", base, get("/a?x=1", &[("host", "b.example"), ("origin", "desk")])),
        ("caller", base, get("/a?x=1", &[("host", "a.example"), ("origin", "agenda")])),
        ("query", base, get("/a?x=2", &[("host", "a.example"), ("origin", "desk")])),
        ("path", base, get("/b?x=1", &[("host", "a.example"), ("origin", "desk")])),
        ("workspace", base, {
            let workspace = (DIALECT.workspace, "w");
            get("/a?x=1", &[("host", "a.example"), ("origin", "desk"), workspace])
        }),
        ("method", post(b""), request(Method::GET, "/a", &[("host", "a.example")], b"")),
        ("body", post(b"1"), post(b"2")),
    ] {
        assert_ne!(left.request, right.request, "{name}");
    }
    let mut other = large.clone();
    other[39_999] = b'y';
    let (large, other) = (post(&large), post(&other));
    assert_eq!(large.request, other.request);
    assert_ne!(large.variant, other.variant, "end of the body");
    let field = get("/a?x=1", &[("host", "a.example"), ("origin", "desk"), ("accept", "text/csv")]);
    assert_eq!(base.request, field.request);
    assert_ne!(base.variant, field.variant, "header field");
}

/// Guards against a resend that is taken for another request.
#[test]
fn of_resend() {
    let send = |attempt: &str, deadline: &str, host: &str| {
        let fields = [
            ("attempt", attempt),
            (DIALECT.deadline_ms, deadline),
            ("host", host),
            ("accept", "*"),
        ];
        request(Method::POST, "/a", &fields, b"body")
    };
    assert_eq!(send("1", "4000", "a.example"), send("2", "3500", "A.example:8080"));
}

/// Guards against an unsorted list, in which the binary search would miss fields.
#[test]
fn attempt_fields_sorted() {
    assert!(ATTEMPT_FIELDS.is_sorted());
}
