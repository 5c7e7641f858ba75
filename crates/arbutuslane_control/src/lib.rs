//! The control daemon: catalogue replicas and the operator API.
