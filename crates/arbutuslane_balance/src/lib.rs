//! Server choice, subsets, ramp-up and per-peer load estimates.
