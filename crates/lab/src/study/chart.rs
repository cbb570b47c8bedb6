//! SVG charts of a comparison: figures with error bars, and time series by second.

use std::path::PathBuf;

use plotters::prelude::*;

use super::compare::{Comparison, Second};
use crate::LabError;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Colours of the arms, the baseline first; they repeat if there are more arms.
const COLOURS: [RGBColor; 6] = [
    RGBColor(40, 40, 40),
    RGBColor(200, 60, 40),
    RGBColor(40, 110, 180),
    RGBColor(60, 150, 70),
    RGBColor(150, 90, 170),
    RGBColor(200, 150, 30),
];

fn colour(ix: usize) -> RGBColor {
    COLOURS[ix % COLOURS.len()]
}

/// Converts an error of the chart library.
fn chart_error<E: std::fmt::Display>(name: &str) -> impl Fn(E) -> LabError + '_ {
    move |e| LabError::Chart { path: PathBuf::from(name), what: e.to_string() }
}

/// Chart of each candidate's differences from the baseline with their intervals: service, its parts, classes and
/// tenants.
pub fn figures(c: &Comparison) -> Result<String, LabError> {
    let name = "figures.svg";
    let Some(first) = c.candidates.first() else { return Ok(String::new()) };
    let short = |name: &str| name.trim_start_matches("class ").trim_start_matches("tenant ").to_owned();
    let names: Vec<String> = first.figures.iter().map(|f| short(&f.name)).collect();
    let arms: Vec<(String, Vec<_>)> = c
        .candidates
        .iter()
        .map(|a| (a.name.clone(), a.figures.iter().map(|f| f.difference).collect()))
        .collect();
    let all =
        arms.iter().flat_map(|(_, differences)| differences).map(|i| i.ends().unwrap_or((i.mean, i.mean)));
    let ends: Vec<f64> = all.flat_map(|(a, b)| [a, b]).collect();
    let low = ends.iter().copied().fold(0.0, f64::min) - 0.01;
    let high = ends.iter().copied().fold(0.0, f64::max) + 0.01;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(chart_error(name))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                format!(
                    "{}: difference from {}, paired by day, with 95% intervals over {} days",
                    c.scenario,
                    c.baseline,
                    c.seeds.len()
                ),
                ("sans-serif", 18),
            )
            .margin(10)
            .x_label_area_size(70)
            .y_label_area_size(50)
            .build_cartesian_2d(-0.5..names.len() as f64 - 0.5, low..high)
            .map_err(chart_error(name))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len() * 2 + 1)
            .x_label_formatter(&|x| {
                let nearest = x.round();
                let is_position = (x - nearest).abs() < 1e-6 && nearest >= 0.0;
                is_position.then(|| names.get(nearest as usize).cloned()).flatten().unwrap_or_default()
            })
            .x_label_style(("sans-serif", 11))
            .draw()
            .map_err(chart_error(name))?;
        chart
            .draw_series(LineSeries::new([(-0.5, 0.0), (names.len() as f64 - 0.5, 0.0)], colour(0)))
            .map_err(chart_error(name))?;
        let step = 0.6 / arms.len() as f64;
        for (ix, (arm, intervals)) in arms.iter().enumerate() {
            let shift = (ix as f64 - (arms.len() as f64 - 1.0) / 2.0) * step;
            let bars = intervals.iter().enumerate().map(|(x, i)| {
                let (low, high) = i.ends().unwrap_or((i.mean, i.mean));
                ErrorBar::new_vertical(x as f64 + shift, low, i.mean, high, colour(ix + 1).filled(), 6)
            });
            chart
                .draw_series(bars)
                .map_err(chart_error(name))?
                .label(arm.clone())
                .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour(ix + 1).filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::LowerLeft)
            .draw()
            .map_err(chart_error(name))?;
        root.present().map_err(chart_error(name))?;
    }
    Ok(svg)
}

/// Chart of one value by second, with a line for every arm and a band for its interval, if there is one.
fn series(
    c: &Comparison,
    name: &str,
    title: &str,
    value_of: impl Fn(&Second) -> (f64, Option<(f64, f64)>),
) -> Result<String, LabError> {
    let mut arms = vec![(c.baseline.as_str(), &c.baseline_seconds)];
    arms.extend(c.candidates.iter().map(|a| (a.name.as_str(), &a.seconds)));
    let seconds = arms.iter().map(|(_, s)| s.len()).max().unwrap_or(1).max(1);
    let means = arms.iter().flat_map(|(_, s)| s.iter()).map(|s| value_of(s).0);
    let top = means.fold(0.0, f64::max).max(1e-3) * 1.08;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(chart_error(name))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: {title}", c.scenario), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..top)
            .map_err(chart_error(name))?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(chart_error(name))?;
        for (ix, (arm, points)) in arms.iter().enumerate() {
            let band: Vec<(f64, (f64, f64))> = points
                .iter()
                .enumerate()
                .filter_map(|(s, x)| value_of(x).1.map(|ends| (s as f64 + 0.5, ends)))
                .collect();
            if band.len() > 1 {
                let upper = band.iter().map(|(x, (_, high))| (*x, high.min(top)));
                let lower = band.iter().rev().map(|(x, (low, _))| (*x, low.max(0.0)));
                let outline: Vec<(f64, f64)> = upper.chain(lower).collect();
                chart
                    .draw_series(std::iter::once(Polygon::new(outline, colour(ix).mix(0.12))))
                    .map_err(chart_error(name))?;
            }
            let line = points.iter().enumerate().map(|(s, x)| (s as f64 + 0.5, value_of(x).0));
            chart
                .draw_series(LineSeries::new(line, colour(ix).stroke_width(2)))
                .map_err(chart_error(name))?
                .label((*arm).to_owned())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour(ix).stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::LowerLeft)
            .draw()
            .map_err(chart_error(name))?;
        root.present().map_err(chart_error(name))?;
    }
    Ok(svg)
}

/// Draws all charts of a comparison; returns file names and SVG texts.
pub fn all(c: &Comparison) -> Result<Vec<(&'static str, String)>, LabError> {
    let service = |s: &Second| (s.service.mean, s.service.ends());
    Ok(vec![
        ("figures.svg", figures(c)?),
        (
            "service.svg",
            series(c, "service.svg", "service by second of the first try, mean and 95% interval", service)?,
        ),
        (
            "occupancy.svg",
            series(c, "occupancy.svg", "share of all circuits in use", |s| (s.occupancy, None))?,
        ),
        ("wait.svg", series(c, "wait.svg", "mean wait at the processors, seconds", |s| (s.wait, None))?),
        (
            "levels.svg",
            series(c, "levels.svg", "mean over the proxies of the highest far level", |s| {
                (s.far_level, None)
            })?,
        ),
    ])
}
