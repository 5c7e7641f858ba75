//! A fault scenario on real processes, called a night: its script, the records of a run and the
//! counts of broken guarantees.
//!
//! `tools/night.sh` starts and ends the processes and executes a [`script::Script`]. Callers, servers
//! and the script write records to a folder. [`evidence::Evidence`] reads them, and [`count::counts`]
//! compares them with the bounds of the design page.

pub mod command;
pub mod count;
pub mod evidence;
pub mod plot;
pub mod result;
pub mod script;
pub mod timeline;

mod detection;
mod floor;
