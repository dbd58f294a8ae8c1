//! Renders a report as an HTML page with plots.

use crate::report::{Error, Method, Report, Result, RunMetrics};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    Rectangle, SVGBackend, WHITE,
};
use std::fmt::Write;

/// Width and height of one plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 320);
/// Width of the area for axis labels in pixels.
const AXIS_LABEL_AREA_PX: u32 = 50;

/// Returns one metric of a run.
type Metric = fn(&RunMetrics) -> f64;

/// Renders a report as an HTML page.
///
/// # Errors
/// Returns an error if a plot can't be drawn.
pub fn render(report: &Report) -> Result<String> {
    let method = match report.method {
        Method::ReplayInVirtualTime => {
            "Replay: the placement decisions alone, driven by a trace in virtual time with the \
             load-time formula of the stand-ins. No processes, no network."
        }
        Method::RealProcesses => "Real processes of a fleet, in real time.",
    };
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0} {1}</title>\
         <body style=\"font-family:sans-serif\"><h1>{0}, shift {1}</h1><p>{method}</p>",
        report.profile, report.shift
    );
    let bar_plots: [(&str, Metric); 4] = [
        ("Urgent load stall, 95th percentile (ms)", |m| m.urgent.p95_ms),
        ("Share of urgent requests stalled", |m| m.urgent.share_stalled),
        ("Batch efficiency", |m| m.batch_efficiency),
        ("Loads a second", |m| m.loads_per_s),
    ];
    for (title, metric) in bar_plots {
        html.push_str(&draw_bars(report, title, metric)?);
    }
    html.push_str(&draw_lines(report)?);
    html.push_str(&table(report));
    Ok(html)
}

/// Returns the names of the policies in the order of their first run.
fn policies(report: &Report) -> Vec<&str> {
    let mut names: Vec<&str> = Vec::new();
    for run in &report.measures {
        if !names.contains(&run.policy.as_str()) {
            names.push(&run.policy);
        }
    }
    names
}

fn runs<'a>(report: &'a Report, policy: &'a str) -> impl Iterator<Item = &'a RunMetrics> {
    report.measures.iter().filter(move |m| m.policy == policy)
}

fn plot_error(error: impl std::error::Error) -> Error {
    Error::Plot(error.to_string())
}

/// Draws one bar for each policy and seed.
fn draw_bars(report: &Report, title: &str, metric: Metric) -> Result<String> {
    let mut svg = String::new();
    let top = report.measures.iter().map(metric).fold(0.0, f64::max).max(f64::EPSILON);
    let count = report.measures.len() as f64;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .y_label_area_size(AXIS_LABEL_AREA_PX)
            .margin(8)
            .build_cartesian_2d(0.0..count, 0.0..top * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().disable_x_mesh().disable_x_axis().draw().map_err(plot_error)?;
        let mut left = 0.0;
        for (index, policy) in policies(report).into_iter().enumerate() {
            let color = Palette99::pick(index);
            let values: Vec<f64> = runs(report, policy).map(metric).collect();
            let bars = values.into_iter().map(|value| {
                left += 1.0;
                Rectangle::new([(left - 0.9, 0.0), (left - 0.1, value)], color.filled())
            });
            let series = chart.draw_series(bars).map_err(plot_error)?;
            let legend =
                move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled());
            series.label(policy).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw().map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Draws the load stalls of urgent requests over time, averaged over the seeds of each policy.
fn draw_lines(report: &Report) -> Result<String> {
    let mut svg = String::new();
    let points = || report.measures.iter().flat_map(|m| &m.points);
    let end_s = points().map(|p| p.at_s).fold(1.0, f64::max);
    let top = points().map(|p| p.urgent_p95_ms).fold(1.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Urgent load stall over time, 95th percentile (ms)", ("sans-serif", 18))
            .x_label_area_size(AXIS_LABEL_AREA_PX / 2)
            .y_label_area_size(AXIS_LABEL_AREA_PX)
            .margin(8)
            .build_cartesian_2d(0.0..end_s, 0.0..top * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().x_desc("s").draw().map_err(plot_error)?;
        for (index, policy) in policies(report).into_iter().enumerate() {
            let color = Palette99::pick(index);
            let line = LineSeries::new(mean_line(report, policy), &color);
            let series = chart.draw_series(line).map_err(plot_error)?;
            let legend =
                move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], Palette99::pick(index));
            series.label(policy).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw().map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Averages the stalls of urgent requests over the seeds of a policy, for each time window.
fn mean_line(report: &Report, policy: &str) -> Vec<(f64, f64)> {
    let lines: Vec<_> = runs(report, policy).map(|m| &m.points).collect();
    let point_count = lines.iter().map(|line| line.len()).min().unwrap_or(0);
    let mean = |index: usize| {
        let sum: f64 = lines.iter().map(|line| line[index].urgent_p95_ms).sum();
        (lines[0][index].at_s, sum / lines.len() as f64)
    };
    (0..point_count).map(mean).collect()
}

/// Renders all runs as an HTML table.
fn table(report: &Report) -> String {
    let mut html = String::from(
        "<table border=1 cellpadding=4><tr><th>policy<th>seed<th>urgent p50/p95/p99 ms\
         <th>stalled<th>deferrable p95 ms<th>stalled<th>expired<th>batch efficiency\
         <th>loads/s<th>over rate<th>hit ratio<th>Belady",
    );
    for m in &report.measures {
        // Writing to a string does not fail.
        let _written = write!(
            html,
            "<tr><td>{}<td>{}<td>{:.0}/{:.0}/{:.0}<td>{:.3}<td>{:.0}<td>{:.3}<td>{}<td>{:.3}\
             <td>{:.2}<td>{}<td>{:.3}<td>{:.3}",
            m.policy,
            m.seed,
            m.urgent.p50_ms,
            m.urgent.p95_ms,
            m.urgent.p99_ms,
            m.urgent.share_stalled,
            m.deferrable.p95_ms,
            m.deferrable.share_stalled,
            m.urgent.expired + m.deferrable.expired,
            m.batch_efficiency,
            m.loads_per_s,
            m.over_rate,
            m.hit_ratio,
            m.belady_hit_ratio
        );
    }
    html + "</table>"
}
