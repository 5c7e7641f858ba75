//! What each client of a crowd sends and reads.

use std::sync::Arc;

/// What one client sends, in which way, and what it does with the responses.
///
/// ```
/// use arbutuslane_soak::script::{Ending, Script};
///
/// let script = Script::new("GET / HTTP/1.1\r\nhost: a\r\n\r\n").ending(Ending::Reopen);
/// assert_eq!(script.volume(), 27);
/// ```
#[derive(Debug, Clone)]
pub struct Script {
    pub(crate) first: Arc<[u8]>,
    pub(crate) repeated: Arc<[u8]>,
    pub(crate) pace: Pace,
    pub(crate) reading: Reading,
    pub(crate) ending: Ending,
}

/// How fast a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the other side takes the bytes.
    Full,
    /// One byte at a time, with a pause after each.
    Bytewise,
}

/// What a client reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Whatever arrives.
    All,
    /// One byte at a time, with a pause after each.
    Bytewise,
    /// Nothing.
    Nothing,
}

/// What a client does once it has sent its first bytes, or its connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It keeps the connection, and opens no other one.
    Stay,
    /// It opens another connection as soon as this one was closed.
    Reopen,
    /// It resets the connection after its first bytes, and opens another one.
    Reset,
    /// It closes its direction of the connection after its first bytes.
    HalfClose,
}

impl Script {
    /// Returns the script of a client that sends `first`, reads everything and stays.
    pub fn new(first: impl AsRef<[u8]>) -> Self {
        Self {
            first: Arc::from(first.as_ref()),
            repeated: Arc::from(Vec::new()),
            pace: Pace::Full,
            reading: Reading::All,
            ending: Ending::Stay,
        }
    }

    /// Sends `bytes` again and again after the first ones, as long as the connection is open.
    pub fn repeating(self, bytes: impl AsRef<[u8]>) -> Self {
        Self { repeated: Arc::from(bytes.as_ref()), ..self }
    }

    /// Sends at `pace`.
    pub fn paced(self, pace: Pace) -> Self {
        Self { pace, ..self }
    }

    /// Reads as `reading` says.
    pub fn reading(self, reading: Reading) -> Self {
        Self { reading, ..self }
    }

    /// Ends as `ending` says.
    pub fn ending(self, ending: Ending) -> Self {
        Self { ending, ..self }
    }

    /// Returns the number of bytes that are sent once.
    pub fn volume(&self) -> usize {
        self.first.len()
    }

    /// Returns the bytes that follow after `sent` bytes.
    pub(crate) fn after(&self, sent: usize) -> &[u8] {
        match self.first.get(sent..) {
            Some(rest) if !rest.is_empty() => rest,
            _ if self.repeated.is_empty() => &[],
            _ => &self.repeated[(sent - self.first.len()) % self.repeated.len()..],
        }
    }
}
