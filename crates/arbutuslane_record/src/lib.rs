//! Quorum registers for idempotency keys, ejection permits and quarantined requests.
