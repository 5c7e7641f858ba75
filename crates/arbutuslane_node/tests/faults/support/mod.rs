//! A node as its own process, small stand-in servers and a raw caller for the fault tests.

pub(crate) mod caller;
pub(crate) mod node;
pub(crate) mod server;

pub(crate) use caller::{Response, call, open, request};
pub(crate) use node::Node;
pub(crate) use server::{Received, Server};
