//! Opens listeners whose connections hold few unread bytes.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// The size of the send buffer of each connection in bytes, as it is set. A small one shows whether
/// the peer reads, and bounds what the system holds for a peer that does not.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Returns the most unread bytes that the system holds for a connection whose receive buffer was
/// set to `receive_buffer` bytes. The system doubles that to account for its own state, and tells
/// the sender about half of the result.
pub(crate) const fn unread_bytes(receive_buffer: usize) -> usize {
    2 * receive_buffer
}

/// Opens a listener on `address` with room for `backlog` connections that wait to be accepted, each
/// with a receive buffer of `receive_buffer` bytes.
///
/// # Errors
///
/// Returns the error of the system if the address is in use or does not belong to this host.
pub fn open(
    address: SocketAddr,
    backlog: i32,
    receive_buffer: usize,
) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit the sizes.
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}
