//! How long a connection to another node may take before another owner is tried.

use std::net::SocketAddr;
use std::time::Duration;

/// The timeout as a multiple of the usual time. A connection is established by the system of the other
/// machine, so that its time hardly varies with the load.
const USUAL_TIME_MULTIPLE: u32 = 8;

/// The shortest timeout, so that a short delay on a fast link does not count as a cut.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);

/// The longest timeout, and the one for an address without a known time: several round trips between
/// regions. Another owner is tried after it, which is faster than waiting for the retransmission of a lost
/// packet.
const MAX_TIMEOUT: Duration = Duration::from_millis(250);

/// The newest time has a weight of one divided by this number in the usual time.
const SMOOTHING_DIVISOR: u32 = 4;

/// The most addresses whose times are kept; beyond it, all are measured anew.
const MAX_ADDRESSES: usize = 4_096;

/// The usual times of one thread's connections, by address.
///
/// While a machine is cut off from several others, a request may meet one unreachable owner after another.
/// A timeout that follows the distance leaves time for the owners that can be reached.
#[derive(Debug, Default)]
pub struct ConnectTimes(Vec<(SocketAddr, Duration)>);

impl ConnectTimes {
    /// Records the time of an established connection.
    pub fn record(&mut self, address: SocketAddr, time: Duration) {
        match self.0.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) => {
                let usual = &mut self.0[index].1;
                *usual = (*usual * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR;
            }
            Err(_) if self.0.len() >= MAX_ADDRESSES => self.0 = vec![(address, time)],
            Err(index) => self.0.insert(index, (address, time)),
        }
    }

    /// Returns the timeout for a connection to `address`.
    pub fn timeout(&self, address: SocketAddr) -> Duration {
        match self.0.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) => (self.0[index].1 * USUAL_TIME_MULTIPLE).clamp(MIN_TIMEOUT, MAX_TIMEOUT),
            Err(_) => MAX_TIMEOUT,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a timeout that a near owner is given for a round trip between regions, and against
    /// one that is too short for a far owner.
    #[test]
    fn timeout_distance() {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let millis = Duration::from_millis;
        let mut times = ConnectTimes::default();
        assert_eq!(times.timeout(address(1)), MAX_TIMEOUT);
        times.record(address(1), millis(1));
        times.record(address(2), millis(20));
        times.record(address(3), millis(200));
        let timeouts = [1, 2, 3].map(|port| times.timeout(address(port)));
        assert_eq!(timeouts, [MIN_TIMEOUT, millis(160), MAX_TIMEOUT]);
    }
}
