//! The report of the scale test as one HTML file with, for each role, a plot of each figure that has a bound.

use super::fit::Fit;
use super::page::format_short;
use super::point::RoleSpec;
use super::results::{figure_names, fit_figure, ResultsBySize, SizeResult};
use askama::Template;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 300);
/// Colours of the measured values, their slope and the budget that colour-blind readers can tell apart (Okabe
/// and Ito).
const MEASURED: RGBColor = RGBColor(0, 114, 178);
const SLOPE: RGBColor = RGBColor(86, 180, 233);
const BUDGET: RGBColor = RGBColor(213, 94, 0);
/// Number of figures that are plotted for a role without bounds.
const MAX_UNBOUNDED_PLOTS: usize = 8;
/// The size at which a slope reaches its budget is reported only up to this size.
const MAX_EXTRAPOLATED_SIZE: f64 = 1e6;
/// Segments of the line that shows a slope.
const SLOPE_SEGMENTS: u32 = 24;

#[derive(Template)]
#[template(
    ext = "html",
    source = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>scale</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 900px; margin: 2em auto; padding: 0 1em; color: #222 }
svg { max-width: 100% } pre { font-size: 12px; overflow-x: auto }
.key { display: inline-block; width: 18px; height: 4px; margin: 0 4px 4px 12px }
</style></head><body>
<h1>Cost of each role by the size of the fleet</h1>
<p><span class="key" style="background: rgb(0, 114, 178)"></span>median of the seeds, with minimum and maximum
<span class="key" style="background: rgb(86, 180, 233)"></span>fitted slope
<span class="key" style="background: rgb(213, 94, 0)"></span>budget</p>
{% for role in roles %}<h2>{{ role.name }}, by {{ role.size_unit }}</h2>
{% for plot in role.plots %}<h3>{{ plot.figure }}</h3>
<p>{{ plot.caption }}</p>
{{ plot.svg|safe }}
{% endfor %}<pre>{{ role.table }}</pre>
{% endfor %}</body></html>
"#
)]
struct Page {
    roles: Vec<Role>,
}

struct Role {
    name: &'static str,
    size_unit: &'static str,
    plots: Vec<Plot>,
    table: String,
}

struct Plot {
    figure: String,
    caption: String,
    svg: String,
}

/// Renders the page for all measured roles, each with its results and its text table.
///
/// # Errors
/// A plot or the page could not be rendered.
pub fn html(results: &[(RoleSpec, ResultsBySize, String)]) -> Result<String, String> {
    let roles = results.iter().map(role).collect::<Result<_, String>>()?;
    Page { roles }.render().map_err(|e| format!("report: {e}"))
}

fn role((spec, sizes, table): &(RoleSpec, ResultsBySize, String)) -> Result<Role, String> {
    let all = figure_names(sizes);
    let bounds = spec.bounds.iter().map(|bound| (bound.figure.to_owned(), Some(bound.max)));
    let unbounded = all
        .iter()
        .filter(|_| spec.bounds.is_empty())
        .take(MAX_UNBOUNDED_PLOTS)
        .map(|name| ((*name).clone(), None));
    let mut plots = Vec::new();
    for (figure, bound) in bounds.chain(unbounded) {
        // A figure that is 0 at all sizes cannot be drawn on a logarithmic axis, and needs no plot.
        if sizes.values().any(|results| results.spread(&figure).is_some_and(|[median, ..]| median > 0.0)) {
            plots.push(plot(sizes, figure, bound)?);
        }
    }
    Ok(Role { name: spec.name, size_unit: spec.size_unit, plots, table: table.clone() })
}

fn plot(sizes: &ResultsBySize, figure: String, bound: Option<f64>) -> Result<Plot, String> {
    let fit = fit_figure(sizes, &figure);
    let slope = fit.map(|fit| {
        let reaches =
            bound.and_then(|bound| fit.reaches(bound)).filter(|size| *size <= MAX_EXTRAPOLATED_SIZE);
        let reaches = reaches.map_or(String::new(), |size| format!("; reaches the budget at {size:.0}"));
        format!(
            "Exponent {:.2}, deviation from the line at most {:.0}%{reaches}.",
            fit.exponent,
            fit.residual * 100.0
        )
    });
    let budget = bound.map(|bound| format!("Budget {}.", format_short(bound)));
    let caption = [slope, budget].into_iter().flatten().collect::<Vec<_>>().join(" ");
    let svg = draw(sizes, &figure, fit, bound)?;
    Ok(Plot { figure, caption, svg })
}

/// Draws medians with their spreads, the slope and the budget on logarithmic axes.
fn draw(sizes: &ResultsBySize, figure: &str, fit: Option<Fit>, bound: Option<f64>) -> Result<String, String> {
    let failed = |e: &dyn std::fmt::Display| format!("plot: {e}");
    let point = |(size, results): (&usize, &SizeResult)| {
        let [median, least, most] = results.spread(figure).filter(|[median, ..]| *median > 0.0)?;
        Some((*size as f64, median, least, most))
    };
    let points: Vec<(f64, f64, f64, f64)> = sizes.iter().filter_map(point).collect();
    let first = sizes.keys().next().copied().unwrap_or(1) as f64;
    let last = sizes.keys().next_back().copied().unwrap_or(1) as f64;
    let slope = |fit: Fit| {
        let step = |n: u32| first * (last / first).powf(f64::from(n) / f64::from(SLOPE_SEGMENTS));
        (0..=SLOPE_SEGMENTS).map(step).map(|size| (size, fit.at(size))).collect::<Vec<_>>()
    };
    let slope = fit.map(slope).unwrap_or_default();
    let values = || points.iter().flat_map(|p| [p.1, p.2, p.3]).chain(slope.iter().map(|p| p.1)).chain(bound);
    let values = || values().filter(|value| *value > 0.0);
    let bottom = values().fold(f64::MAX, f64::min) / 1.5;
    let top = values().fold(0.0, f64::max) * 1.5;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(70)
            .build_cartesian_2d((first / 1.2..last * 1.2).log_scale(), (bottom..top).log_scale())
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_label_formatter(&|size| format!("{size:.0}"))
            .y_label_formatter(&|value| format_short(*value))
            .draw()
            .map_err(|e| failed(&e))?;
        if let Some(bound) = bound.filter(|bound| *bound > 0.0) {
            let line = [(first / 1.2, bound), (last * 1.2, bound)];
            chart.draw_series(LineSeries::new(line, BUDGET.stroke_width(2))).map_err(|e| failed(&e))?;
        }
        chart.draw_series(LineSeries::new(slope, SLOPE.stroke_width(2))).map_err(|e| failed(&e))?;
        let spread = |p: &(f64, f64, f64, f64)| {
            PathElement::new([(p.0, p.2.max(bottom)), (p.0, p.3)], MEASURED.stroke_width(2))
        };
        chart.draw_series(points.iter().map(spread)).map_err(|e| failed(&e))?;
        let median = |p: &(f64, f64, f64, f64)| Circle::new((p.0, p.1), 4, MEASURED.filled());
        chart.draw_series(points.iter().map(median)).map_err(|e| failed(&e))?;
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
