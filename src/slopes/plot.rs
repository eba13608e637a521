//! Plots of slopes, as SVG.

use {
    super::series::Series,
    plotters::{
        chart::ChartBuilder,
        prelude::{
            Circle,
            IntoDrawingArea,
            LineSeries,
            SVGBackend, //
        },
        style::{
            Color,
            BLUE,
            RED,
            WHITE, //
        },
    },
    std::{
        error::Error,
        path::Path, //
    },
};

const SIZE: (u32, u32) = (560, 320);
/// Space above the highest point.
const HEADROOM: f64 = 1.15;

/// Writes the points of a series and the line through them.
pub(crate) fn plot(folder: &Path, s: &Series) -> Result<(), Box<dyn Error>> {
    let path = folder.join(format!("{}.svg", s.name));
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let line = s.line();
    let right = s.points.iter().map(|p| p.size).fold(s.target, f64::max);
    let costs = s.points.iter().map(|p| p.cost);
    let top = costs.fold(line.at(right), f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top.max(f64::MIN_POSITIVE))?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc(s.size)
        .y_desc(s.cost)
        .draw()?;
    let ends = [0.0, right].map(|x| (x, line.at(x).max(0.0)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    let dots = s
        .points
        .iter()
        .map(|p| Circle::new((p.size, p.cost), 3, RED.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
