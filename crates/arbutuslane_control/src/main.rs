//! The `arbutuslane-control` program.

fn main() {}
