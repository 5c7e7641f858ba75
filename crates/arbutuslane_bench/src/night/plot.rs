//! The plot of a run: attempts per second by ending, and the ejected servers.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::plot::Error;
use crate::report::as_f64;

use super::evidence::Evidence;

/// The width and height of the plot in pixels.
const SIZE: (u32, u32) = (1_000, 520);
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
    RGBColor(44, 160, 44),
];

/// Plots the attempts per second by ending and the number of ejected servers over time.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn draw(evidence: &Evidence, path: &Path) -> Result<(), Error> {
    let to_error = |error: &dyn std::fmt::Display| Error::new(error.to_string());
    let start = evidence.start_ms();
    let mut lines: BTreeMap<String, BTreeMap<u64, u64>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        let second = (attempt.at_ms - start) / 1_000;
        *lines.entry(attempt.ending.clone()).or_default().entry(second).or_default() += 1;
    }
    let mut ejected_by_time: BTreeMap<u64, u64> = BTreeMap::new();
    for sample in &evidence.samples {
        let ejected = sample.status.servers.iter().filter(|server| server.ejected).count();
        *ejected_by_time.entry(sample.at_ms).or_default() +=
            u64::try_from(ejected).unwrap_or(u64::MAX);
    }
    let ejected = lines.entry("ejected servers".to_string()).or_default();
    for (at_ms, count) in ejected_by_time {
        ejected.insert(at_ms.saturating_sub(start) / 1_000, count);
    }
    let points = || lines.values().flatten();
    let last_second = points().map(|(second, _)| *second).max().unwrap_or(1).max(1);
    let max_count = points().map(|(_, count)| *count).max().unwrap_or(1).max(1);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("A night: attempts a second by ending", ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(70)
        // Plots each count plus one, because a logarithmic axis has no zero.
        .build_cartesian_2d(
            0.0..as_f64(last_second),
            (1.0..as_f64(max_count) * 1.3 + 1.0).log_scale(),
        )
        .map_err(|error| to_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds of the load")
        .y_desc("count a second + 1")
        .draw()
        .map_err(|error| to_error(&error))?;
    for (index, (name, counts)) in lines.iter().enumerate() {
        let color = COLORS[index % COLORS.len()];
        let count_at = |second| as_f64(counts.get(&second).copied().unwrap_or(0) + 1);
        let line = (0..=last_second).map(|second| (as_f64(second), count_at(second)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))
            .map_err(|error| to_error(&error))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| to_error(&error))?;
    area.present().map_err(|error| to_error(&error))
}
