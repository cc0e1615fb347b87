//! Charts of load against cap over time, place by place, as SVG.

use std::path::Path;

use heatherknot_types::prelude::*;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::error::{Error, Result};
use crate::gauge::Second;
use crate::measure::Figures;

/// Charts in one row.
const COLUMNS: usize = 2;
/// The width of one chart, in pixels.
const WIDTH: u32 = 560;
/// The height of one chart, in pixels.
const HEIGHT: u32 = 220;
/// The height of the title, in pixels.
const TITLE: u32 = 48;
/// The room above the higher of load and cap.
const MARGIN: f64 = 1.15;
/// The most places that one file shows; the rest is said in the title.
const MAX_PLACES: usize = 24;

/// Draws load and cap of each place over time into an SVG file.
///
/// # Errors
///
/// Fails where the file can't be written.
pub fn draw(path: &Path, title: &str, figures: &Figures) -> Result<()> {
    let svg = render(title, figures).map_err(|cause| Error::Chart {
        path: path.into(),
        cause,
    })?;
    std::fs::write(path, svg).map_err(|source| Error::Write {
        path: path.into(),
        source,
    })
}

/// Renders load and cap of each place over time as SVG.
///
/// # Errors
///
/// Fails with the cause where the plotting library does.
pub fn render(title: &str, figures: &Figures) -> std::result::Result<String, String> {
    let places: Vec<(&PlaceName, &[Second])> = figures.places().collect();
    let shown = places.len().min(MAX_PLACES);
    let rows = shown.div_ceil(COLUMNS).max(1);
    let size = (WIDTH * COLUMNS as u32, HEIGHT * rows as u32 + TITLE);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        root.fill(&WHITE).map_err(|e| e.to_string())?;
        let left_out = places.len() - shown;
        let title = match left_out {
            0 => title.to_owned(),
            n => format!("{title} ({n} more places not shown)"),
        };
        let root = root
            .titled(&title, ("sans-serif", 22))
            .map_err(|e| e.to_string())?;
        let areas = root.split_evenly((rows, COLUMNS));
        for ((place, seconds), area) in places.iter().zip(&areas) {
            draw_place(area, place, seconds)?;
        }
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Plot<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn draw_place(
    area: &Area<'_>,
    place: &PlaceName,
    seconds: &[Second],
) -> std::result::Result<(), String> {
    let highest = seconds
        .iter()
        .map(|s| s.peak_rate.max(s.cap_rate))
        .max()
        .unwrap_or(1);
    let end = (seconds.len() as f64).max(1.0);
    let mut plot: Plot<'_, '_> = ChartBuilder::on(area)
        .caption(
            format!("{place}: load (blue) against cap (red)"),
            ("sans-serif", 15),
        )
        .margin(6)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(highest.max(1)) * MARGIN)
        .map_err(|e| e.to_string())?;
    plot.configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds")
        .y_desc("requests/s")
        .x_labels(8)
        .y_labels(5)
        .x_label_formatter(&|x| format!("{x:.0}"))
        .y_label_formatter(&|y| format!("{y:.0}"))
        .draw()
        .map_err(|e| e.to_string())?;
    draw_load(&mut plot, seconds).map_err(|e| e.to_string())
}

fn draw_load(
    plot: &mut Plot<'_, '_>,
    seconds: &[Second],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let points = |pick: fn(&Second) -> u32| {
        let all = seconds.iter().enumerate();
        all.map(move |(at, second)| (at as f64, f64::from(pick(second))))
    };
    let load = AreaSeries::new(points(|s| s.peak_rate), 0.0, BLUE.mix(0.25)).border_style(BLUE);
    plot.draw_series(load)?;
    let cap = LineSeries::new(points(|s| s.cap_rate), RED.stroke_width(2));
    plot.draw_series(cap)?;
    Ok(())
}
