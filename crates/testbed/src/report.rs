//! The report of a run as one HTML file, with plots.

use crate::cluster::{Second, Verdict, RULES};
use askama::Template;
use oakport_simulator::scenario::Scenario;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 260);
/// Line colours that colour-blind readers can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
];

#[derive(Template)]
#[template(
    ext = "html",
    source = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ name }}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 900px; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse } td { padding: 2px 14px 2px 0 } td + td { text-align: right }
.bad { color: #b00020; font-weight: 600 } .well { color: #00663a; font-weight: 600 } svg { max-width: 100% }
.key { display: inline-block; width: 18px; height: 4px; margin: 0 4px 4px 12px }
</style></head><body>
<h1>{{ name }}</h1>
<p>{{ purpose }}. Seed {{ seed }}.</p>
<p class="{% if is_ok %}well{% else %}bad{% endif %}">{{ verdict }}</p>
{% for violation in violations %}<p class="bad">{{ violation }}</p>{% endfor %}
{% if !events.is_empty() %}<p>Shaded: {% for event in events %}{{ event }}{% if !loop.last %}; {% endif %}{% endfor %}.</p>{% endif %}
{% for plot in plots %}<h2>{{ plot.title }}</h2>
<p>{% for (line, colour) in plot.legend %}<span class="key" style="background: {{ colour }}"></span> {{ line }} {% endfor %}</p>
{{ plot.svg|safe }}
{% endfor %}
<h2>Figures</h2>
<table>{% for (figure, value) in figures %}<tr><td>{{ figure }}</td><td>{{ value }}</td></tr>
{% endfor %}</table>
</body></html>
"#
)]
struct Page<'a> {
    name: &'a str,
    purpose: &'a str,
    seed: u64,
    is_ok: bool,
    verdict: String,
    violations: &'a [String],
    events: Vec<String>,
    plots: Vec<Plot>,
    figures: Vec<(&'a String, String)>,
}

/// A plot and its legend.
struct Plot {
    title: &'static str,
    svg: String,
    /// Names and colours of the lines.
    legend: Vec<(String, String)>,
}

/// A line of a plot: its name, and a point for each second that has a value.
type Line = (String, Vec<(f64, f64)>);

/// The faults of a scenario: start and end in seconds, and a description with the place.
pub fn events(scenario: &Scenario) -> Vec<(f64, f64, String)> {
    let seconds = |at: u64| at as f64 / 1e6;
    let event = |e: &oakport_simulator::scenario::FaultSpec| {
        let place = match (&e.zone, e.link_groups.as_slice()) {
            (Some(zone), _) => format!(" in {zone}"),
            (None, []) => String::new(),
            (None, groups) => format!(" between {}", groups.join(" and ")),
        };
        let description = format!("{:?}{place}", e.kind).to_lowercase();
        (seconds(e.at), seconds(e.at + e.duration), description)
    };
    scenario.events.iter().map(event).collect()
}

/// Renders the report of a run.
///
/// # Errors
/// A plot or the page could not be rendered.
pub fn html(name: &str, scenario: &Scenario, seed: u64, verdict: &Verdict) -> Result<String, String> {
    let seconds = &verdict.seconds;
    let share = |part: [f64; 2]| if part[0] > 0.0 { Some(100.0 * part[1] / part[0]) } else { None };
    let mut served = vec![line("all", seconds, |s| share([s.requested_weight, s.served_weight]))];
    let mut traffic = Vec::new();
    for zone in &scenario.zones {
        served.push(line(zone, seconds, |s| share(s.by_zone.get(zone).copied().unwrap_or_default())));
        let attempts = |s: &Second| s.attempts.get(zone).copied().unwrap_or_default();
        traffic.push(line(zone, seconds, |s| Some(attempts(s).iter().sum::<u64>() as f64)));
        traffic.push(line(&format!("{zone}, from other zones"), seconds, |s| Some(attempts(s)[1] as f64)));
    }
    let latency = vec![
        line("median", seconds, |s| Some(s.latency_ms[1])),
        line("p99", seconds, |s| Some(s.latency_ms[2])),
    ];
    let faults = events(scenario);
    let plot = |title, lines: &[Line], unit, max| {
        let svg = draw(lines, &faults, unit, max)?;
        let colour = |c: &RGBColor| format!("rgb({}, {}, {})", c.0, c.1, c.2);
        let colours = COLOURS.iter().cycle().map(colour);
        Ok(Plot { title, svg, legend: lines.iter().map(|(name, _)| name.clone()).zip(colours).collect() })
    };
    let plots = [
        plot(
            "Requests served in time, weighted by priority, by the zone of the client",
            &served,
            "%",
            Some(100.0),
        ),
        plot("Latency from the intended start", &latency, "ms", None),
        plot("Attempts a second, by the zone of the server", &traffic, "/s", None),
    ];
    let plots = plots.into_iter().collect::<Result<Vec<_>, String>>()?;
    let broken: u64 = RULES.iter().filter_map(|rule| verdict.rules.get(rule)).sum();
    let failed_expectations = verdict.expect.iter().filter(|(_, held)| !held).count();
    let verdict_text = match (verdict.timers_too_late(), broken, failed_expectations) {
        (true, ..) => "Not judged: the test cluster itself was too late.".to_owned(),
        (_, 0, 0) => "All rules kept, all expectations held.".to_owned(),
        _ => format!("Rules broken {broken} times; {failed_expectations} expectations not held."),
    };
    let page = Page {
        name,
        purpose: &scenario.purpose,
        seed,
        is_ok: verdict.passed() && !verdict.timers_too_late(),
        verdict: verdict_text,
        violations: &verdict.violations,
        events: faults
            .iter()
            .map(|(from, to, description)| format!("{description}, {from:.0} s to {to:.0} s"))
            .collect(),
        plots,
        figures: verdict.figures.iter().map(|(figure, value)| (figure, format!("{value:.4}"))).collect(),
    };
    page.render().map_err(|e| format!("report: {e}"))
}

fn line(name: &str, seconds: &[Second], value: impl Fn(&Second) -> Option<f64>) -> Line {
    let points =
        seconds.iter().enumerate().filter_map(|(at, second)| Some((at as f64 + 0.5, value(second)?)));
    (name.to_owned(), points.collect())
}

/// Draws lines over the duration of the run, with the times of faults shaded.
fn draw(
    lines: &[Line],
    faults: &[(f64, f64, String)],
    unit: &str,
    max: Option<f64>,
) -> Result<String, String> {
    let failed = |e: &dyn std::fmt::Display| format!("plot: {e}");
    let points = || lines.iter().flat_map(|(_, points)| points);
    let end = points().map(|p| p.0).fold(1.0, f64::max) + 0.5;
    let top = max.unwrap_or_else(|| points().map(|p| p.1).fold(1.0, f64::max) * 1.08);
    // In most runs nearly all requests are served, so the axis starts just below the lowest value.
    let min = points().map(|p| p.1).fold(top, f64::min);
    let bottom = if max.is_some() { (min - 3.0).max(0.0).floor() } else { 0.0 };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, bottom..top)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("seconds")
            .y_desc(unit)
            .draw()
            .map_err(|e| failed(&e))?;
        let shaded_areas = faults.iter().map(|(from, to, _)| {
            Rectangle::new([(*from, bottom), (to.max(from + 0.25), top)], BLACK.mix(0.08).filled())
        });
        chart.draw_series(shaded_areas).map_err(|e| failed(&e))?;
        for ((_, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let style = colour.stroke_width(2);
            chart.draw_series(LineSeries::new(points.iter().copied(), style)).map_err(|e| failed(&e))?;
        }
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
