//! Listeners whose connections stay within a budget of memory and descriptors.
//!
//! A [`Budget`](budget::Budget) holds what a process may use, and gives each listener a number of
//! connections by its [`Share`](budget::Share). [`socket::open`] opens a listener whose connections
//! hold few unread bytes, and [`server::start`] accepts and serves them. A [`Gate`](gate::Gate)
//! counts the connections of one listener in one thread, and closes the least useful one when
//! another one needs its place. The handler of a request tells the gate about it through
//! [`Connections`](connections::Connections).

pub mod bodies;
pub mod budget;
pub mod config;
pub mod connections;
pub mod gate;
pub mod receive;
pub mod server;
pub mod socket;
