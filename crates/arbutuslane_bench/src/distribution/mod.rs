//! How fast accepted items are in force at every node, and what it costs the control instances.
//!
//! [`fleet::run`] runs the decisions of `arbutuslane_item::distribution` for a whole fleet on one event
//! queue in virtual time. Messages take processor time at both ends, wait for the uplink of their
//! sender, and get lost; processes start, and the instance that pushes a change dies.

pub mod command;
pub mod fleet;
pub mod plan;
mod process;
