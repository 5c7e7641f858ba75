//! Support code of the fault tests: node processes, scripted backend servers and a raw HTTP client.

pub(crate) mod caller;
pub(crate) mod node;
pub(crate) mod server;

pub(crate) use caller::{Response, call, open_connection, request_bytes};
pub(crate) use node::Node;
pub(crate) use server::{ReceivedRequest, Server};
