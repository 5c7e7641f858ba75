//! The `arbutuslane-node` program.

fn main() {}
