//! A night on real processes: its fault script, the evidence of a run and the counts.
//!
//! `tools/night.sh` starts and ends the processes and carries out a [`script::Script`]. Callers,
//! servers and the script leave records in a folder, which [`evidence::Evidence`] reads and
//! [`count::counts`] compares with the bounds of the design page.

pub mod command;
pub mod count;
pub mod evidence;
pub mod plot;
pub mod result;
pub mod script;
pub mod timeline;

mod detection;
mod floor;
