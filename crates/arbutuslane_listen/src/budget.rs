//! How many connections each listener of a process may have.

use arbutuslane_limit::memory::BYTES_PER_MEGABYTE;
use rustix::process::{Resource, getrlimit};

use crate::socket::unread_bytes;

/// The maximum size of a request head in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// The size of the read buffer of a connection in bytes.
pub const READ_BUFFER_BYTES: usize = 16 << 10;

/// What the tasks and the state of a connection need, in bytes.
const STATE_BYTES: usize = 16 << 10;

/// The fewest descriptors with which a process works.
pub const MIN_DESCRIPTORS: u32 = 64;

/// The fewest connections of a listener, however small the budget is.
const MIN_CONNECTIONS: usize = 8;

/// The most bytes that an HTTP/2 connection holds with all its streams.
const HTTP2_CONNECTION_BYTES: usize = 2 << 20;

/// The fewest HTTP/2 connections of a listener.
const MIN_HTTP2_CONNECTIONS: usize = 4;

/// The number of parts that shares are counted in.
const PARTS: usize = 64;

/// What a process may use.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// The memory in bytes.
    pub memory: usize,
    /// The number of descriptors.
    pub descriptors: usize,
}

/// The share of a listener, in parts of 64.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// The parts of the memory.
    pub memory: usize,
    /// The parts of the descriptors.
    pub descriptors: usize,
    /// The size of the receive buffer that is set for each connection, in bytes.
    pub receive_buffer: usize,
}

impl Share {
    /// Returns the most bytes that one connection holds before any of its requests was accepted:
    /// unread ones, a head, the part of the buffer after it, and the connection's own state.
    pub fn connection_bytes(&self) -> usize {
        unread_bytes(self.receive_buffer) + MAX_HEAD_BYTES + READ_BUFFER_BYTES + STATE_BYTES
    }
}

impl Budget {
    /// Returns the budget of a process with `memory_mb` megabytes of memory, which may open as many
    /// descriptors as the system allows, and at most `descriptors`.
    pub fn new(memory_mb: u32, descriptors: Option<u32>) -> Self {
        let stated = descriptors.map_or(usize::MAX, |stated| stated as usize);
        Self {
            memory: memory_mb as usize * BYTES_PER_MEGABYTE,
            descriptors: stated.min(descriptor_limit()),
        }
    }

    /// Logs what the process may use, of which a part follows from the system.
    pub fn log(&self) {
        let memory_mb = self.memory / BYTES_PER_MEGABYTE;
        tracing::info!(event = "limits", memory_mb, descriptors = self.descriptors);
    }

    /// Returns the number of connections that a listener with `share` may have.
    ///
    /// ```
    /// use arbutuslane_listen::budget::{Budget, Share};
    ///
    /// let share = Share { memory: 8, descriptors: 16, receive_buffer: 16 << 10 };
    /// let budget = Budget { memory: 6_400 * share.connection_bytes(), descriptors: 640 };
    /// assert_eq!(budget.connections(share), 160);
    /// ```
    pub fn connections(&self, share: Share) -> usize {
        let by_memory = self.memory / PARTS * share.memory / share.connection_bytes();
        let by_descriptors = self.descriptors * share.descriptors / PARTS;
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    /// Returns the number of HTTP/2 connections that a listener may have, whose share of the memory
    /// is `memory` parts of 64. Each of them has many streams, whose heads, windows and responses the
    /// library holds.
    pub fn http2_connections(&self, memory: usize) -> usize {
        (self.memory / PARTS * memory / HTTP2_CONNECTION_BYTES).max(MIN_HTTP2_CONNECTIONS)
    }

    /// Returns how many connections may wait to be accepted by a listener with room for
    /// `connections`.
    ///
    /// The process accepts them before it can close one that has to give way, so that they take
    /// descriptors beyond those of the listener.
    pub fn backlog(&self, connections: usize) -> i32 {
        const MIN_BACKLOG: usize = 16;
        const MAX_BACKLOG: usize = 1_024;
        let backlog = (connections / 4).clamp(MIN_BACKLOG, MAX_BACKLOG);
        i32::try_from(backlog).unwrap_or(i32::MAX)
    }
}

/// Returns the number of descriptors that the system allows this process.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    usize::try_from(limit).unwrap_or(usize::MAX).min(1 << 20)
}
