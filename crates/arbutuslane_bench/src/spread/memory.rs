//! The memory that this process occupies.

/// Returns the resident size of this process in bytes, or 0 where the system does not tell it.
pub fn resident() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/statm") else { return 0 };
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}
