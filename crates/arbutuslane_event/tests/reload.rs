//! Detection of changed settings while a process runs.

use arbutuslane_event::reload::WatchedFile;

/// Guards against a change that is reported twice or with the wrong keys, and against a file that
/// is reported as changed while it is missing because of its replacement.
#[test]
fn changed_keys() {
    let path = std::env::temp_dir().join(format!("arbutuslane-reload-{}", std::process::id()));
    std::fs::write(&path, r#"{"seeds": ["a"], "stop_ms": 1, "node": "n"}"#).unwrap();
    let mut watched = WatchedFile::new(path.clone());
    assert_eq!(watched.poll_change(), None);
    std::fs::write(&path, r#"{"seeds": ["b"], "node": "n", "lease_ms": 5}"#).unwrap();
    assert_eq!(watched.poll_change().unwrap().keys, ["lease_ms", "seeds", "stop_ms"]);
    assert_eq!(watched.poll_change(), None);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(watched.poll_change(), None);
}
