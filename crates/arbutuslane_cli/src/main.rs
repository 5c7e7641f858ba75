//! The `arbutuslane` program.

fn main() {}
