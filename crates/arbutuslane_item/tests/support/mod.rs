//! Names and numbers of the control instances in the tests.

/// The number of instances.
pub(crate) const INSTANCES: usize = 5;

/// The number of instances that must store a state.
pub(crate) const QUORUM: usize = 3;

/// Returns the name of an instance.
pub(crate) fn name(index: usize) -> String {
    format!("c{index}")
}

/// Returns the index of the instance with a name.
pub(crate) fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}
