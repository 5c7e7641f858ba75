//! Addresses, folders and waits of tests that start processes on this machine.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

/// How often a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How many times a condition is checked, so that a fault cannot hang a test.
const MAX_CHECKS: u32 = 2_000;

/// Returns an address of the loopback network that no other test process uses.
pub fn address(number: u8, port: u16) -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    SocketAddr::from(([127, process[2].max(1), process[3], number], port))
}

/// Returns an empty folder whose name ends with the process id.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("arbutuslane-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Waits until `condition` is true.
///
/// # Panics
///
/// Panics after 20 s.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if condition() {
            return;
        }
        sleep(CHECK_INTERVAL);
    }
    panic!("condition was not met within 20 s: {description}");
}
