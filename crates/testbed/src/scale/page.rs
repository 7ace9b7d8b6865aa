//! Regenerates the tables of a Markdown page from files that `scale --json` wrote.
//!
//! - `<!-- scale FILE ROLE FIGURE ... -->` is the line before a table of that role's figures.
//! - `<!-- scale FILE order -->` is the line before a table of the bounds, in the order in which they are
//!   reached.
//! - `<!-- end -->` is the line after each table.
//!
//! FILE is relative to the folder of the page. Several files are separated by commas; if two contain the same
//! role, the last one counts.

use super::fit::Fit;
use super::point::{RoleSpec, PLANNED_SIZE};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::path::Path;

/// Prefix of the line before a table.
const BEGIN: &str = "<!-- scale ";
/// Line after a table.
const END: &str = "<!-- end -->";

/// The figures of one size, as read from a file.
struct SizeResult {
    figures: BTreeMap<String, f64>,
    /// Why the size was not run, or only partly.
    not_run_reason: Option<String>,
}

/// The results of a role by size.
type ResultsBySize = BTreeMap<usize, SizeResult>;

/// Returns the page with its tables regenerated.
///
/// # Errors
/// A file, a role or a figure is missing, or a table has no end line.
pub fn regenerate(page: &str, folder: &Path, specs: &[RoleSpec]) -> Result<String, String> {
    let mut regenerated = String::new();
    let mut lines = page.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        regenerated.push_str(line);
        regenerated.push('\n');
        let Some(request) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) else {
            continue;
        };
        let with_line = |e| format!("line {}: {e}", number + 1);
        regenerated.push('\n');
        regenerated.push_str(&table(request, folder, specs).map_err(with_line)?);
        regenerated.push('\n');
        let end = lines.find(|(_, line)| *line == END);
        end.ok_or_else(|| with_line(format!("the table has no end: no line '{END}' follows")))?;
        regenerated.push_str(END);
        regenerated.push('\n');
    }
    Ok(regenerated)
}

fn table(request: &str, folder: &Path, specs: &[RoleSpec]) -> Result<String, String> {
    let arguments: Vec<&str> = request.split_whitespace().collect();
    let (file, role, figures) = match arguments.as_slice() {
        [file, role, figures @ ..] => (*file, *role, figures),
        _ => return Err("expected a file, a role and figures".to_owned()),
    };
    let mut roles = Map::new();
    for file in file.split(',') {
        let text = std::fs::read_to_string(folder.join(file)).map_err(|e| format!("{file}: {e}"))?;
        let json: Value = serde_json::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
        roles.extend(json["roles"].as_object().cloned().unwrap_or_default());
    }
    if role == "order" {
        return Ok(order(&roles, specs));
    }
    let spec = specs.iter().find(|spec| spec.name == role).ok_or_else(|| format!("unknown role '{role}'"))?;
    let sizes = sizes(&roles, role);
    if sizes.is_empty() {
        return Err(format!("{file} has no results of {role}"));
    }
    let mut text = format!("| {role}, by {} |", spec.size_unit);
    sizes.keys().for_each(|size| text.push_str(&format!(" {size} |")));
    text.push_str(&format!(" exponent | at {PLANNED_SIZE} | budget | reached at |\n| ---"));
    text.push_str(&" | ---:".repeat(sizes.len() + 4));
    text.push_str(" |\n");
    for figure in figures {
        let row = sizes.values().map(|result| match result.figures.get(*figure) {
            Some(value) => format_short(*value),
            None if result.not_run_reason.is_some() => "not run".to_owned(),
            None => "-".to_owned(),
        });
        let row: Vec<String> = row.collect();
        if !sizes.values().any(|result| result.figures.contains_key(*figure)) {
            return Err(format!("{file} has no figure '{figure}' of {role}"));
        }
        let fit = fit_figure(&sizes, figure);
        let measured = sizes.get(&PLANNED_SIZE).and_then(|result| result.figures.get(*figure));
        let planned = match (measured, fit) {
            (Some(value), _) => format_short(*value),
            // A role whose sizes do not count processes has no value at this number of processes.
            (None, Some(fit)) if sizes.keys().last().is_some_and(|largest| *largest > 1_000) => {
                format!("{} computed", format_short(fit.at(PLANNED_SIZE as f64)))
            }
            _ => "-".to_owned(),
        };
        let bound = spec.bounds.iter().find(|bound| bound.figure == *figure);
        let reached = bound.and_then(|bound| reached(&sizes, figure, bound.max));
        text.push_str(&format!(
            "| `{figure}` | {} | {} | {planned} | {} | {} |\n",
            row.join(" | "),
            fit.map_or("-".to_owned(), |fit| format!("{:.2}", fit.exponent)),
            bound.map_or("-".to_owned(), |bound| format_short(bound.max)),
            reached.map_or("-".to_owned(), |reached| reached.describe()),
        ));
    }
    for (size, result) in &sizes {
        if let Some(reason) = &result.not_run_reason {
            let state = if result.figures.is_empty() { "Not run" } else { "Not run whole" };
            text.push_str(&format!("\n{state} at {size}: {reason}.\n"));
        }
    }
    Ok(text)
}

/// The size at which a figure reaches its bound.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Reached {
    /// Between these two measured sizes; the lower is 0 if the smallest size exceeds the bound already.
    Measured(usize, usize),
    /// Beyond the measured sizes, extrapolated with the fitted slope.
    Computed(f64),
}

impl Reached {
    /// The size above which the bound is exceeded.
    fn size(self) -> f64 {
        match self {
            Reached::Measured(_, over) => over as f64,
            Reached::Computed(size) => size,
        }
    }

    fn describe(self) -> String {
        match self {
            Reached::Measured(0, over) => format!("{over} or less"),
            Reached::Measured(below, over) => format!("{below} to {over}"),
            Reached::Computed(size) => format!("{} computed", format_short(size)),
        }
    }
}

/// The first measured size over a bound, or else the size extrapolated with the slope.
fn reached(sizes: &ResultsBySize, figure: &str, max: f64) -> Option<Reached> {
    let mut below = 0;
    for (size, result) in sizes {
        let Some(value) = result.figures.get(figure) else { continue };
        if *value > max {
            return Some(Reached::Measured(below, *size));
        }
        below = *size;
    }
    /// Extrapolation says little far beyond the measured sizes.
    const MAX_EXTRAPOLATED_SIZE: f64 = 1e6;
    let size = fit_figure(sizes, figure)?.reaches(max)?;
    (size > below as f64 && size <= MAX_EXTRAPOLATED_SIZE).then_some(Reached::Computed(size))
}

/// Table of the bounds, by the size at which they are reached.
fn order(roles: &Map<String, Value>, specs: &[RoleSpec]) -> String {
    let mut rows = Vec::new();
    for spec in specs {
        let sizes = sizes(roles, spec.name);
        for bound in spec.bounds {
            if let Some(reached) = reached(&sizes, bound.figure, bound.max) {
                rows.push((reached, spec, bound));
            }
        }
    }
    rows.sort_by(|a, b| a.0.size().total_cmp(&b.0.size()));
    let mut text = "| reached at | role | figure | bound |\n| ---: | --- | --- | ---: |\n".to_owned();
    for (reached, spec, bound) in rows {
        let reached = reached.describe();
        let size_unit = spec.size_unit;
        let name = spec.name;
        text.push_str(&format!(
            "| {reached} {size_unit} | {name} | `{}` | {} |\n",
            bound.figure,
            format_short(bound.max)
        ));
    }
    text
}

fn sizes(roles: &Map<String, Value>, role: &str) -> ResultsBySize {
    let mut sizes = ResultsBySize::new();
    for (size, result) in roles.get(role).and_then(Value::as_object).into_iter().flatten() {
        let Ok(size) = size.parse() else { continue };
        let all = result.as_object().into_iter().flatten();
        let figures = all.filter_map(|(name, value)| Some((name.clone(), value.as_f64()?))).collect();
        let not_run_reason = result["not_run"].as_str().or(result["partly"].as_str()).map(str::to_owned);
        let result = SizeResult { figures, not_run_reason };
        sizes.insert(size, result);
    }
    sizes
}

fn fit_figure(sizes: &ResultsBySize, figure: &str) -> Option<Fit> {
    let points = sizes.iter().filter_map(|(size, result)| Some((*size as f64, *result.figures.get(figure)?)));
    Fit::of(&points.collect::<Vec<_>>())
}

/// Formats a value with about three significant digits.
pub fn format_short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        100.0.. => format!("{value:.0}"),
        10.0.. => format!("{value:.1}"),
        1.0.. => format!("{value:.2}"),
        0.01.. => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
