//! Support code of the fault tests: node processes, scripted backend servers and a raw HTTP client.

pub(crate) mod caller;
pub(crate) mod node;
pub(crate) mod server;

pub(crate) use caller::{Response, call, encode_request, open_connection};
pub(crate) use node::Node;
pub(crate) use server::{ReceivedRequest, Server};
