//! Closes listeners without losing a connection that its caller considers open.
//!
//! The system completes the handshake of a connection before the process accepts it, and resets the
//! connections that the process has not accepted when the listener closes. A listener is therefore
//! closed in two steps: it ignores new handshakes first, and is closed when the process has accepted
//! the connections whose handshake was complete by then. A caller repeats an ignored handshake after
//! a second, when the address refuses it.

use std::net::TcpListener;

use socket2::{SockFilter, SockRef};

/// The offset of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;

/// The flags SYN and ACK of a TCP header.
const SYN_AND_ACK: u32 = 0x12;

/// The flag SYN of a TCP header. Without the flag ACK, it begins a handshake.
const SYN: u32 = 0x02;

/// The number of bytes that a filter accepts of a packet; larger than any packet.
const WHOLE_PACKET: u32 = u32::MAX;

/// The operation codes of the filter, as the system defines them.
mod code {
    /// Loads one byte of the packet.
    pub(super) const LOAD_BYTE: u16 = 0x30;
    /// Keeps the stated bits of the loaded value.
    pub(super) const AND: u16 = 0x54;
    /// Skips a number of instructions, which depends on whether the loaded value is the stated one.
    pub(super) const JUMP_IF_EQUAL: u16 = 0x15;
    /// Accepts the stated number of bytes of the packet; 0 discards it.
    pub(super) const RETURN: u16 = 0x06;
}

/// Second handles of the listeners of a node. A listener closes when all its handles are dropped.
#[derive(Debug, Default)]
pub(crate) struct ListenerHandles {
    listeners: Vec<TcpListener>,
}

impl ListenerHandles {
    /// Adds a handle of `listener`.
    pub(super) fn add(&mut self, listener: &TcpListener) -> std::io::Result<()> {
        self.listeners.push(listener.try_clone()?);
        Ok(())
    }

    /// Discards the first packet of each new handshake from now on; the listeners accept the
    /// connections whose handshake has begun.
    pub(crate) fn ignore_handshakes(&self) {
        let filter = [
            SockFilter::new(code::LOAD_BYTE, 0, 0, FLAGS_OFFSET),
            SockFilter::new(code::AND, 0, 0, SYN_AND_ACK),
            SockFilter::new(code::JUMP_IF_EQUAL, 0, 1, SYN),
            SockFilter::new(code::RETURN, 0, 0, 0),
            SockFilter::new(code::RETURN, 0, 0, WHOLE_PACKET),
        ];
        for listener in &self.listeners {
            if let Err(error) = SockRef::from(listener).attach_filter(&filter) {
                // The listener closes all the same, and may reset connections that lie unaccepted.
                tracing::warn!(event = "listener-filter-failed", %error);
            }
        }
    }
}
