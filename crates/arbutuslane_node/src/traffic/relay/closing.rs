//! Closes the connection of a body that was cut.

use std::time::Duration;

use ntex::io::IoRef;

use arbutuslane_limit::body_watch::READ_TIMEOUT;

/// How often the bytes that are still to be sent are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Closes a connection when its reader has taken what was sent before, or takes nothing of it for
/// [`READ_TIMEOUT`].
///
/// The bytes may belong to an earlier response of a pipelining caller, which is complete.
pub(super) async fn close_when_sent(io: IoRef) {
    let mut left = unsent_bytes(&io);
    let mut unchanged = Duration::ZERO;
    while left > 0 && unchanged < READ_TIMEOUT && !io.is_closed() {
        ntex::time::sleep(CHECK_INTERVAL).await;
        let now_left = unsent_bytes(&io);
        unchanged = if now_left < left { Duration::ZERO } else { unchanged + CHECK_INTERVAL };
        left = now_left;
    }
    io.terminate();
}

fn unsent_bytes(io: &IoRef) -> usize {
    io.with_write_dst_buf(|buffer| buffer.len())
}
