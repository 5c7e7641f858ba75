//! Processes, faulty links and the checks of a soak test with faults.
//!
//! A soak starts each [`process`](process::Process) of a fleet behind [proxies](proxy::Proxy),
//! draws its faults from a seed with [`fault::plan`], and records in a [`Ledger`](ledger::Ledger)
//! what callers sent, what servers ran and what callers received. The ledger decides which
//! guarantees were violated. The header names and formats of requests are up to the test that uses
//! this crate.

pub mod fault;
pub mod http;
pub mod ledger;
pub mod process;
pub mod proxy;
