//! Plots of results as SVG.

use std::path::Path;

use miette::Diagnostic;
use plotters::prelude::*;
use thiserror::Error;

use crate::cost::Cost;
use crate::report::Report;

/// An error that prevented drawing a plot.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot draw the plot: {0}")]
#[diagnostic(help("check that the folder exists and is writable"))]
pub struct Error(String);

/// The width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 540);
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

impl Error {
    pub(crate) fn new(reason: String) -> Self {
        Self(reason)
    }
}

/// A line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

/// Plots the cost of decisions over the number of servers.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn cost(costs: &[Cost], path: &Path) -> Result<(), Error> {
    let line = |name: &str, figure: fn(&Cost) -> f64| {
        let points = costs.iter().map(|cost| (f64::from(cost.servers), figure(cost))).collect();
        (name.to_string(), points)
    };
    let lines = [
        line("choice of a server and its response", |cost| cost.pick_ns),
        line("admission and end at the gate", |cost| cost.gate_ns),
        line("detector", |cost| cost.detect_ns),
    ];
    draw("Cost of a decision", "servers", "nanoseconds", &lines, path)
}

/// Plots the 99th percentile of the detection time over the load for one scenario and policy, one
/// line per service.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn detection(report: &Report, scenario: &str, policy: &str, path: &Path) -> Result<(), Error> {
    let mut lines: Vec<Line> = Vec::new();
    for row in &report.rows {
        if row.scenario != scenario || row.policy != policy || !row.detection(0.99).is_finite() {
            continue;
        }
        let point = (f64::from(row.load_percent), row.detection(0.99));
        match lines.iter_mut().find(|(name, _)| *name == row.service) {
            Some((_, points)) => points.push(point),
            None => lines.push((row.service.clone(), vec![point])),
        }
    }
    let title = format!("Detection, {scenario}, {policy}, p99");
    draw(&title, "load in percent", "seconds", &lines, path)
}

/// Draws lines on two logarithmic axes.
fn draw(title: &str, x: &str, y: &str, lines: &[Line], path: &Path) -> Result<(), Error> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let (mut min_x, mut max_x) = (f64::INFINITY, 0.0_f64);
    let (mut min_y, mut max_y) = (f64::INFINITY, 0.0_f64);
    for (x, y) in points() {
        (min_x, max_x) = (min_x.min(*x), max_x.max(*x));
        (min_y, max_y) = (min_y.min(*y), max_y.max(*y));
    }
    if !min_x.is_finite() || min_x >= max_x {
        return Err(Error("fewer than two points".to_string()));
    }
    let to_error = |error: &dyn std::fmt::Display| Error(error.to_string());
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .build_cartesian_2d((min_x..max_x).log_scale(), (min_y * 0.8..max_y * 1.25).log_scale())
        .map_err(|error| to_error(&error))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw().map_err(|error| to_error(&error))?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = COLORS[index % COLORS.len()];
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
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
