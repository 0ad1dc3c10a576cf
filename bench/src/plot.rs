//! Draws the curves of a report as SVG files, one per plot.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use crate::report::{Curve, Report};

const SIZE_PIXELS: (u32, u32) = (860, 420);

/// Writes a report's plots to a folder and returns their paths.
pub fn write(report: &Report, folder: &Path) -> eyre::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder)?;
    let mut plots = BTreeMap::<&str, Vec<&Curve>>::new();
    for curve in &report.curves {
        plots.entry(&curve.plot).or_default().push(curve);
    }
    let mut paths = Vec::new();
    for (plot, curves) in plots {
        let name = format!("{}-{}.svg", report.experiment, file_name(plot));
        let path = folder.join(name);
        draw(plot, &curves, &path)?;
        paths.push(path);
    }
    Ok(paths)
}

fn file_name(plot: &str) -> String {
    let replace_special = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    plot.to_ascii_lowercase()
        .chars()
        .map(replace_special)
        .collect()
}

fn draw(title: &str, curves: &[&Curve], path: &Path) -> eyre::Result<()> {
    let points = || curves.iter().flat_map(|curve| curve.points.iter().copied());
    let (x_min, x_max) = bounds(points().map(|(x, _)| x));
    let (_, y_max) = bounds(points().map(|(_, y)| y));
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(x_min..x_max, 0.0..y_max * 1.05)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                curve.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(&curve.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the minimum and maximum of the finite values, always two distinct numbers.
fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let finite = values.filter(|value| value.is_finite());
    let (min, max) = finite.fold((f64::MAX, f64::MIN), |(min, max), value| {
        (min.min(value), max.max(value))
    });
    if min < max {
        (min, max)
    } else if min == max {
        (min, min + 1.0)
    } else {
        (0.0, 1.0)
    }
}
