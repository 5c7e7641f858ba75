//! Processes, faulty links and the checks of a fault soak.
//!
//! A soak starts each [`process`](process::Process) of a fleet behind [proxies](proxy::Proxy), draws
//! its faults from a seed by [`fault::plan`], and notes in a [`Ledger`](ledger::Ledger) what callers
//! sent, what servers ran and what callers got. The ledger decides which promise is broken. How
//! requests look on the wire is left to whoever uses it.

pub mod fault;
pub mod http;
pub mod ledger;
pub mod process;
pub mod proxy;
