//! Costs of membership, configuration spreading and quorum registers at several fleet sizes.
//!
//! [`fleet::run`] runs the real gossip code of every node on one event queue in virtual time and
//! counts its messages in their encoded form. [`register`] measures replicas and coordinators, and
//! [`fit`] fits the lines that `docs/CAPACITY.md` extrapolates from.

pub mod command;
pub mod fit;
pub mod fleet;
pub mod memory;
pub mod plan;
pub mod register;
