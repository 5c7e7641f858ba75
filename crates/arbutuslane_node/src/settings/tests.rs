//! Tests of the settings.

use super::*;

const COMPLETE: &str = r#"{"node": "a", "domain": "d", "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2", "admin": "127.0.0.1:3", "token_file": "t"}"#;

/// Guards against a misspelled key that is silently ignored.
#[test]
fn parse_unknown_key() {
    let text = COMPLETE.replace("\"node\"", "\"sedes\": [], \"node\"");
    let error = Settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("sedes"), "{error}");
}

/// Guards against an error message that does not name the invalid address among several.
#[test]
fn parse_bad_path() {
    let text = COMPLETE.replace("\"node\"", "\"seeds\": [\"127.0.0.1:1\", \"x\"], \"node\"");
    let error = Settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("seeds[1]"), "{error}");
}

/// Guards against times and limits that are no times or limits, and against a bound that a
/// deployment states as a fraction and a node refuses.
#[test]
fn parse_bounds() {
    let with = |field: &str| {
        let text = COMPLETE.replace("\"node\"", &format!("{field}, \"node\""));
        Settings::parse(&text)
    };
    for (key, field) in [
        ("grace_s", r#""grace_s": 0"#),
        ("heartbeat_s", r#""heartbeat_s": -1.5"#),
        ("memory_mb", r#""memory_mb": 0"#),
        ("server_body_mb", r#""server_body_mb": 0"#),
        ("descriptors", r#""descriptors": 63"#),
        ("retry_budget", r#""retry_budget": {"ratio": -0.1, "slack": 1, "window_s": 10}"#),
        ("retry_budget", r#""retry_budget": {"ratio": 0.1, "slack": 1, "window_s": 0}"#),
        ("allowance", r#""allowance": {"window_s": 5, "overshoot": 0, "slack": 20}"#),
        ("allowance", r#""allowance": {"window_s": 1e300, "overshoot": 0.1, "slack": 20}"#),
    ] {
        let error = with(field).unwrap_err().to_string();
        assert!(error.contains(key), "{field}: {error}");
    }
    let budget = r#""retry_budget": {"ratio": 0.2, "slack": 25.29, "window_s": 10}"#;
    assert!(with(budget).is_ok());
    let settings = with(r#""grace_s": 10, "heartbeat_s": 1.5, "memory_mb": 160"#).unwrap();
    assert_eq!(settings.stop_limit(), Duration::from_millis(9_600));
    assert_eq!(settings.lease(), Duration::from_secs(8));
    assert_eq!(settings.body_bytes(), 40 << 20);
    assert_eq!(Settings::parse(COMPLETE).unwrap().lease(), Duration::from_millis(2_500));
}

/// Guards against a node without traffic threads, which would accept callers and never respond,
/// and a node that accepts peers without a token by mistake.
#[test]
fn parse_no_threads() {
    let text = COMPLETE.replace("\"node\"", "\"traffic_threads\": 0, \"node\"");
    assert!(Settings::parse(&text).unwrap_err().to_string().contains("traffic_threads"));
    let text = COMPLETE.replace(", \"token_file\": \"t\"", "");
    assert!(Settings::parse(&text).unwrap_err().to_string().contains("token_file"));
    assert_eq!(Settings::parse(COMPLETE).unwrap().advertised().port(), 2);
}
