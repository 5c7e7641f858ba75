//! The limits that servers of other nodes state.
//!
//! The owner of a server keeps its limit. An entry remembers it only to tell an owner that has
//! restarted, and that would otherwise learn it from its first response.

use arbutuslane_core::id::ServerId;

/// The requests a second that servers accept, in ascending order of their names.
#[derive(Debug, Default)]
pub(super) struct KnownLimits(Vec<(ServerId, f64)>);

impl KnownLimits {
    /// Records the limit that an owner reports for its server, or that there is none.
    pub(super) fn set(&mut self, server: &str, per_second: Option<f64>) {
        match (self.find(server), per_second) {
            (Ok(index), Some(per_second)) => self.0[index].1 = per_second,
            (Ok(index), None) => drop(self.0.remove(index)),
            (Err(index), Some(per_second)) => {
                self.0.insert(index, (server.to_string(), per_second));
            }
            (Err(_), None) => {}
        }
    }

    /// Returns the limit of a server.
    pub(super) fn get(&self, server: &str) -> Option<f64> {
        self.find(server).ok().map(|index| self.0[index].1)
    }

    /// Forgets servers that are not in `servers`, which are in ascending order.
    pub(super) fn retain(&mut self, servers: &[ServerId]) {
        self.0.retain(|(server, _)| servers.binary_search(server).is_ok());
    }

    fn find(&self, server: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(known, _)| known.as_str().cmp(server))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a limit that is told to the owner after the server has lifted it, and against
    /// memory for servers that are gone.
    #[test]
    fn set_lifted() {
        let mut limits = KnownLimits::default();
        limits.set("b", Some(2.0));
        limits.set("a", Some(1.0));
        assert_eq!((limits.get("a"), limits.get("b")), (Some(1.0), Some(2.0)));
        limits.set("a", None);
        assert_eq!(limits.get("a"), None);
        limits.retain(&["c".to_string()]);
        assert_eq!(limits.get("b"), None);
    }
}
