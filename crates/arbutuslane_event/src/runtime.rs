//! The asynchronous runtime of a daemon's threads.

use ntex::rt::{DefaultRuntime, System, SystemRunner};

/// Returns the runtime of the thread `name`.
///
/// The library's check of worker threads is off. When a worker has not responded for a second, it
/// captures a stack trace and reads the debug information of the program to show it, which takes
/// more memory and processor time than a small machine has, at the moment when it has least.
pub fn system(name: &str) -> SystemRunner {
    const NO_CHECK: usize = 0;
    System::build().name(name).ping_interval(NO_CHECK).build(DefaultRuntime)
}
