//! Straight lines through measured points.

/// A line with its largest deviation from the points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub base: f64,
    /// The increase per unit.
    pub slope: f64,
    /// The largest distance of a point from the line, relative to the point.
    pub error: f64,
}

impl Line {
    /// Returns the line with the least squared distances from `points`.
    ///
    /// ```
    /// use arbutuslane_bench::spread::fit::Line;
    ///
    /// let line = Line::through(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
    /// assert!((line.slope - 2.0).abs() < 1e-9 && line.error < 1e-9);
    /// ```
    pub fn through(points: &[(f64, f64)]) -> Self {
        let mut sums = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (x, y) in points {
            sums = (sums.0 + 1.0, sums.1 + x, sums.2 + y, sums.3 + x * x, sums.4 + x * y);
        }
        let (count, x, y, xx, xy) = sums;
        let spread = count * xx - x * x;
        let slope = if spread == 0.0 { 0.0 } else { (count * xy - x * y) / spread };
        let base = (y - slope * x) / count;
        let mut error: f64 = 0.0;
        for (x, y) in points {
            error = error.max(((base + slope * x - y) / y).abs());
        }
        Self { base, slope, error }
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
