//! Processes, faulty links and the checks of a soak test with faults.
//!
//! A soak starts each [`process`](process::Process) of a fleet behind [proxies](proxy::Proxy),
//! draws its faults from a seed with [`fault::plan`], and records in a [`Ledger`](ledger::Ledger)
//! what callers sent, what servers ran and what callers received. The ledger decides which
//! guarantees were violated. The header names and formats of requests are up to the test that uses
//! this crate.
//!
//! A [`Crowd`](crowd::Crowd) of clients that don't keep to the protocol or to its limits sends what a
//! [`Script`](script::Script) says, while a [`Watch`](usage::Watch) records what a process holds.

pub mod crowd;
pub mod fault;
pub mod http;
pub mod http2;
pub mod ledger;
pub mod local;
pub mod process;
pub mod proxy;
pub mod script;
pub mod usage;
