//! The `arbutuslane-standin` program.

fn main() {}
