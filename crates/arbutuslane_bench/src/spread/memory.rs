//! The memory use of this process.

/// Returns the resident set size of this process in bytes, or 0 when the system does not report it.
///
/// Assumes pages of 4,096 bytes.
pub fn resident_bytes() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/statm") else { return 0 };
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
