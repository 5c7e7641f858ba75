//! The arbutuslane command line.
