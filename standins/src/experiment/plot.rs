//! Draws harm against the batch share of idle capacity, one line a policy.

use std::{collections::BTreeMap, path::Path};

use anyhow::anyhow;
use plotters::prelude::*;

use super::{Report, Result};

/// Width and height of the drawing.
const SIZE: (u32, u32) = (800, 600);
const MARGIN: i32 = 40;
const POINT_RADIUS: i32 = 4;
/// The harm that is still accepted.
const TARGET: f64 = 1.05;

/// Writes the drawing as SVG. Text is left to the reader's table, so that no font is needed.
pub(super) fn draw(report: &Report, path: &Path) -> Result<()> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for row in report.trials.iter().skip(2) {
        lines.entry(row.policy).or_default().push((row.batch_share_of_idle, row.harm_ratio));
    }
    let points = lines.values().flatten();
    let share = points.clone().map(|point| point.0).fold(1.0, f64::max);
    let harm = points.map(|point| point.1).fold(1.2, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .build_cartesian_2d(0.0..share, 0.9..harm * 1.02)
        .map_err(failed)?;
    let target = [(0.0, TARGET), (share, TARGET)];
    chart.draw_series(LineSeries::new(target, BLACK.mix(0.4))).map_err(failed)?;
    for (policy, mut line) in lines {
        line.sort_by(|a, b| a.0.total_cmp(&b.0));
        let colour = colour(policy);
        chart.draw_series(LineSeries::new(line.clone(), colour)).map_err(failed)?;
        let dots = line.into_iter().map(|point| Circle::new(point, POINT_RADIUS, colour.filled()));
        chart.draw_series(dots).map_err(failed)?;
    }
    area.present().map_err(failed)?;
    Ok(())
}

fn colour(policy: &str) -> RGBColor {
    match policy {
        "managed" => GREEN,
        "reserved" => BLUE,
        "unmanaged" => RED,
        _ => MAGENTA,
    }
}

fn failed(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("the plot can't be drawn: {error}")
}
