//! A proxy fleet for backend servers that fail partially or intermittently.
//!
//! This crate re-exports the parts of the fleet, each of which is a crate under `crates/`.

pub use arbutuslane_balance as balance;
pub use arbutuslane_bench as bench;
pub use arbutuslane_catalogue as catalogue;
pub use arbutuslane_consensus as consensus;
pub use arbutuslane_control as control;
pub use arbutuslane_core as core;
pub use arbutuslane_event as event;
pub use arbutuslane_health as health;
pub use arbutuslane_item as item;
pub use arbutuslane_limit as limit;
pub use arbutuslane_listen as listen;
pub use arbutuslane_member as member;
pub use arbutuslane_node as node;
pub use arbutuslane_record as record;
pub use arbutuslane_standin as standin;
pub use arbutuslane_storage as storage;
pub use arbutuslane_wire as wire;
