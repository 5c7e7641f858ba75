//! Least-squares lines through measured points.

/// A line fitted to points, with its largest deviation from them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The increase per unit.
    pub slope: f64,
    /// The largest distance of a point from the line, relative to the point.
    pub max_error: f64,
}

impl Line {
    /// Returns the least-squares line through `points`.
    ///
    /// ```
    /// use arbutuslane_bench::spread::fit::Line;
    ///
    /// let line = Line::through(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]);
    /// assert!((line.slope - 2.0).abs() < 1e-9 && line.max_error < 1e-9);
    /// ```
    pub fn through(points: &[(f64, f64)]) -> Self {
        let mut sums = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (x, y) in points {
            sums = (sums.0 + 1.0, sums.1 + x, sums.2 + y, sums.3 + x * x, sums.4 + x * y);
        }
        let (count, x, y, xx, xy) = sums;
        let denominator = count * xx - x * x;
        let slope = if denominator == 0.0 { 0.0 } else { (count * xy - x * y) / denominator };
        let intercept = (y - slope * x) / count;
        let mut max_error: f64 = 0.0;
        for (x, y) in points {
            max_error = max_error.max(((intercept + slope * x - y) / y).abs());
        }
        Self { intercept, slope, max_error }
    }

    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
