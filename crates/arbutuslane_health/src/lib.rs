//! Outlier detection against peers, ejection under permits, and return after trial requests.
//!
//! The owner of a backend server has a [`Detector`](detector::Detector) and a
//! [`Stage`](ejection::Stage) for it. Entries observe all servers of a service: each has a
//! [`Summarizer`](peers::Summarizer) and sends a [`Summary`](peers::Summary) with some of the
//! requests that it forwards; the owner merges the summaries in a [`Baseline`](peers::Baseline).
//! The module [`baseline`] has the three common rules that measurements compare the detector
//! against.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_catalogue::prelude::{Class, Preference};
//! use arbutuslane_health::prelude::*;
//!
//! let peers = Baseline::default();
//! let mut detector = Detector::new(Preference::FastDetection);
//! for id in 0..12 {
//!     let now = Duration::from_millis(id * 50);
//!     let start = Start { class: Class::Idempotent, route: id % 3, caller: id, at: now };
//!     detector.started(id, start);
//!     detector.finished(id, now + Duration::from_millis(5), false, &peers);
//! }
//! let suspicion = detector.suspicion(Duration::from_secs(1), &peers).unwrap();
//! assert_eq!(suspicion.kind, Kind::Failing);
//! ```

pub mod baseline;
pub mod detector;
pub mod ejection;
pub mod peers;
pub mod streak;
pub mod summarizer;
pub mod summary;

mod cusum;
mod evidence;
mod histogram;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::detector::{Detector, Kind, Observation, Start, Suspicion};
    pub use crate::ejection::{Ejection, Stage, StageEvent};
    pub use crate::peers::{Baseline, Peers, Summarizer, Summary};
    pub use crate::streak::Streak;
}
