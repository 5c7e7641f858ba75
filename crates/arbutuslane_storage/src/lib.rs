//! Durable segmented log and snapshots with checksums and a disk fake.
