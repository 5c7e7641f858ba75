//! The configuration that the connections of all listeners share.

use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;

use crate::budget::{MAX_HEAD_BYTES, READ_BUFFER_BYTES};

/// The size of the write buffer of a connection in bytes.
pub const WRITE_BUFFER_BYTES: usize = 32 << 10;

/// The size of the unused part below which a buffer grows, in bytes.
const LOW_BUFFER_BYTES: usize = 4 << 10;

/// The number of unused buffers that each thread keeps.
const KEPT_BUFFERS: usize = 32;

/// Returns the limits of a request head.
pub fn http() -> HttpServiceConfig {
    HttpServiceConfig::new().set_max_buf_size(MAX_HEAD_BYTES)
}

/// Returns the sizes of the buffers of a connection.
pub fn io() -> IoConfig {
    IoConfig::new().set_read_buf(READ_BUFFER_BYTES, LOW_BUFFER_BYTES, KEPT_BUFFERS).set_write_buf(
        WRITE_BUFFER_BYTES,
        LOW_BUFFER_BYTES,
        KEPT_BUFFERS,
    )
}
