//! The tables of a page, drawn anew from what `scale --json` wrote.
//!
//! A line `<!-- scale FILE ROLE FIGURE ... -->` of a page stands before a table of that role's figures, and `<!-- scale
//! FILE order -->` before the order in which bounds are reached; each table ends with `<!-- end -->`. FILE lies beside
//! the page; several are written with commas between, and of a role that two have the last counts.

use super::fit::Fit;
use super::point::{RoleSpec, PLANNED_SIZE};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::path::Path;

/// Begins a table.
const BEGIN: &str = "<!-- scale ";
/// Ends one.
const END: &str = "<!-- end -->";

/// A size as it was written.
struct SizeResult {
    figures: BTreeMap<String, f64>,
    /// Why some of it was not run, or all.
    stopped: Option<String>,
}

/// A role's figures by size.
type ResultsBySize = BTreeMap<usize, SizeResult>;

/// The page with its tables drawn anew.
///
/// # Errors
/// A file, a role or a figure is not there, or a table has no end.
pub fn draw(page: &str, folder: &Path, specs: &[RoleSpec]) -> Result<String, String> {
    let mut drawn = String::new();
    let mut lines = page.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        drawn.push_str(line);
        drawn.push('\n');
        let Some(asked) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) else {
            continue;
        };
        let odd = |odd| format!("line {}: {odd}", number + 1);
        drawn.push('\n');
        drawn.push_str(&table(asked, folder, specs).map_err(odd)?);
        drawn.push('\n');
        let end = lines.find(|(_, line)| *line == END);
        end.ok_or_else(|| odd(format!("the table has no end: a line '{END}' ends it")))?;
        drawn.push_str(END);
        drawn.push('\n');
    }
    Ok(drawn)
}

fn table(asked: &str, folder: &Path, specs: &[RoleSpec]) -> Result<String, String> {
    let words: Vec<&str> = asked.split_whitespace().collect();
    let (file, role, figures) = match words.as_slice() {
        [file, role, figures @ ..] => (*file, *role, figures),
        _ => return Err("a table is asked for by a file, a role and figures".to_owned()),
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
    let spec = specs.iter().find(|spec| spec.name == role).ok_or_else(|| format!("no role is '{role}'"))?;
    let sizes = sizes(&roles, role);
    if sizes.is_empty() {
        return Err(format!("{file} has nothing of {role}"));
    }
    let mut text = format!("| {role}, by {} |", spec.size_unit);
    sizes.keys().for_each(|size| text.push_str(&format!(" {size} |")));
    text.push_str(&format!(" exponent | at {PLANNED_SIZE} | budget | reached at |\n| ---"));
    text.push_str(&" | ---:".repeat(sizes.len() + 4));
    text.push_str(" |\n");
    for figure in figures {
        let row = sizes.values().map(|played| match played.figures.get(*figure) {
            Some(value) => short(*value),
            None if played.stopped.is_some() => "not run".to_owned(),
            None => "-".to_owned(),
        });
        let row: Vec<String> = row.collect();
        if !sizes.values().any(|played| played.figures.contains_key(*figure)) {
            return Err(format!("{file} has no figure '{figure}' of {role}"));
        }
        let fit = fitted(&sizes, figure);
        let measured = sizes.get(&PLANNED_SIZE).and_then(|played| played.figures.get(*figure));
        let planned = match (measured, fit) {
            (Some(value), _) => short(*value),
            // What is counted by something else than processes has no value at so many of them.
            (None, Some(fit)) if sizes.keys().last().is_some_and(|most| *most > 1_000) => {
                format!("{} computed", short(fit.at(PLANNED_SIZE as f64)))
            }
            _ => "-".to_owned(),
        };
        let bound = spec.bounds.iter().find(|bound| bound.figure == *figure);
        let reached = bound.and_then(|bound| reached(&sizes, figure, bound.max));
        text.push_str(&format!(
            "| `{figure}` | {} | {} | {planned} | {} | {} |\n",
            row.join(" | "),
            fit.map_or("-".to_owned(), |fit| format!("{:.2}", fit.exponent)),
            bound.map_or("-".to_owned(), |bound| short(bound.max)),
            reached.map_or("-".to_owned(), |reached| reached.told()),
        ));
    }
    for (size, played) in &sizes {
        if let Some(why) = &played.stopped {
            let how = if played.figures.is_empty() { "Not run" } else { "Not run whole" };
            text.push_str(&format!("\n{how} at {size}: {why}.\n"));
        }
    }
    Ok(text)
}

/// Where a figure comes to its bound.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Reached {
    /// Between these sizes, as measured; the lesser is 0 if the least size is over the bound already.
    Measured(usize, usize),
    /// Beyond what was played, by the slope.
    Computed(f64),
}

impl Reached {
    /// The size.
    fn size(self) -> f64 {
        match self {
            Reached::Measured(_, over) => over as f64,
            Reached::Computed(size) => size,
        }
    }

    fn told(self) -> String {
        match self {
            Reached::Measured(0, over) => format!("{over} or less"),
            Reached::Measured(under, over) => format!("{under} to {over}"),
            Reached::Computed(size) => format!("{} computed", short(size)),
        }
    }
}

/// The first size over a bound; else where the slope leads there.
fn reached(sizes: &ResultsBySize, figure: &str, most: f64) -> Option<Reached> {
    let mut under = 0;
    for (size, played) in sizes {
        let Some(value) = played.figures.get(figure) else { continue };
        if *value > most {
            return Some(Reached::Measured(under, *size));
        }
        under = *size;
    }
    // A slope says little far beyond what was measured.
    const FAR: f64 = 1e6;
    let size = fitted(sizes, figure)?.reaches(most)?;
    (size > under as f64 && size <= FAR).then_some(Reached::Computed(size))
}

/// Bounds by the size at which they are reached.
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
        let (reached, size_unit, name) = (reached.told(), spec.size_unit, spec.name);
        text.push_str(&format!(
            "| {reached} {size_unit} | {name} | `{}` | {} |\n",
            bound.figure,
            short(bound.max)
        ));
    }
    text
}

fn sizes(roles: &Map<String, Value>, role: &str) -> ResultsBySize {
    let mut sizes = ResultsBySize::new();
    for (size, played) in roles.get(role).and_then(Value::as_object).into_iter().flatten() {
        let Ok(size) = size.parse() else { continue };
        let all = played.as_object().into_iter().flatten();
        let figures = all.filter_map(|(name, value)| Some((name.clone(), value.as_f64()?))).collect();
        let stopped = played["not_run"].as_str().or(played["partly"].as_str()).map(str::to_owned);
        let played = SizeResult { figures, stopped };
        sizes.insert(size, played);
    }
    sizes
}

fn fitted(sizes: &ResultsBySize, figure: &str) -> Option<Fit> {
    let points = sizes.iter().filter_map(|(size, played)| Some((*size as f64, *played.figures.get(figure)?)));
    Fit::of(&points.collect::<Vec<_>>())
}

/// Three digits that say something.
pub fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        100.0.. => format!("{value:.0}"),
        10.0.. => format!("{value:.1}"),
        1.0.. => format!("{value:.2}"),
        0.01.. => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
