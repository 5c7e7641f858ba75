//! Membership table, gossip, failure detection and revision spreading.
