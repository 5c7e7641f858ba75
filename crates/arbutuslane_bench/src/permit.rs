//! Ejection permits of one service, without the quorum registers that grant them in the fleet.

/// Grants the ejection permits of one service, at most `live - floor` at a time. The simulation
/// delays each claim by one round trip.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    /// The server and severity of each permit.
    held: Vec<(usize, u32)>,
    /// The server and severity of each refused claim that its owner repeats.
    waiting: Vec<(usize, u32)>,
}

impl Permits {
    /// Grants a permit for `server` when fewer than `limit` are held, and returns whether it did.
    pub fn claim(&mut self, server: usize, severity: u32, limit: usize) -> bool {
        self.waiting.retain(|(waiting, _)| *waiting != server);
        if self.held.len() < limit {
            self.held.push((server, severity));
            return true;
        }
        self.waiting.push((server, severity));
        false
    }

    /// Removes the claim of a server that is no longer suspected.
    pub fn withdraw(&mut self, server: usize) {
        self.waiting.retain(|(waiting, _)| *waiting != server);
    }

    /// Releases the permit of `server`.
    pub fn release(&mut self, server: usize) {
        self.held.retain(|(held, _)| *held != server);
    }

    /// Renews the permits and returns the servers that lose theirs: the least severe ones above
    /// `limit`, and one whose severity is at most half of the highest waiting severity.
    pub fn renew(&mut self, limit: usize) -> Vec<usize> {
        self.held.sort_unstable_by_key(|(_, severity)| std::cmp::Reverse(*severity));
        let mut lost: Vec<usize> =
            self.held.iter().skip(limit).map(|(server, _)| *server).collect();
        self.held.truncate(limit);
        let highest = self.waiting.iter().map(|(_, severity)| *severity).max().unwrap_or(0);
        if let Some((server, severity)) = self.held.last().copied()
            && severity * 2 <= highest
        {
            lost.push(server);
            self.held.pop();
        }
        lost
    }

    /// Returns the number of permits held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }
}
