//! `oakport-testbed scale`: measures the cost of each role of a process by the size of the fleet
//! (`docs/CAPACITY.md`).

pub mod calls;
pub mod decisions;
pub mod fit;
pub mod list;
pub mod page;
pub mod peers;
pub mod point;
pub mod report;
pub mod results;
pub mod settings;

use crate::fleet::{write, Programs, RunError};
use clap::{Args, ValueEnum};
use comfy_table::{presets, CellAlignment, Table};
use page::format_short;
use point::{MeasureError, Point, RoleSpec, PLANNED_SIZE};
use results::{figure_names, fit_figure, ResultsBySize, SizeResult};
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Above this exponent, a cost is reported as growing faster than the size.
const MAX_LINEAR_EXPONENT: f64 = 1.1;

/// Measures the cost of each role by the size of the fleet.
#[derive(Debug, Args)]
#[command(
    after_help = "Each role is measured at each size with each seed; the slope of a figure is that of a straight line \
                  fitted to the logarithms of size and figure.\n\
                  Exit status: 0 expectations held, 1 an expectation did not hold, 2 a role cannot be measured. A size \
                  that exceeds its time limit is reported as not run, which breaks no expectation."
)]
pub struct Scale {
    /// Roles to measure [default: all]
    #[arg(value_enum)]
    roles: Vec<Role>,
    /// Sizes to measure [default: those of the role]
    #[arg(long, value_name = "N,N", value_delimiter = ',', value_parser = size)]
    sizes: Vec<usize>,
    /// Number of seeds for each size
    #[arg(long, default_value_t = 3, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=100))]
    seeds: u64,
    /// Time limit for each size with all its seeds, in seconds; unused time is added to the limit of the next
    /// size
    #[arg(long, default_value_t = 60, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    limit: u64,
    /// Give the members of `peers` one scope for each zone instead of one for the whole fleet
    #[arg(long)]
    scopes: bool,
    #[command(flatten)]
    programs: Programs,
    /// Write all figures to this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with plots of all figures that have a budget into this folder
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Measure nothing, but regenerate the tables of this page from the JSON files that it names
    #[arg(long, value_name = "FILE", conflicts_with_all = ["roles", "sizes", "scopes", "json", "report"])]
    page: Option<PathBuf>,
}

fn size(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(size @ 1..=100_000) => Ok(size),
        _ => Err("size must be a whole number from 1 to 100000".to_owned()),
    }
}

/// A function of a client proxy whose cost grows with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Role {
    /// Membership: knowing which processes are present
    Peers,
    /// Holding the endpoint list
    List,
    /// Applying new settings
    Settings,
    /// Forwarding calls
    Calls,
    /// Choosing endpoints for calls
    Decisions,
}

impl Role {
    /// How the role is measured, with or without scopes.
    pub fn spec(self, scopes: bool) -> RoleSpec {
        match self {
            Role::Peers if scopes => peers::ROLE_WITH_SCOPES,
            Role::Peers => peers::ROLE,
            Role::List => list::ROLE,
            Role::Settings => settings::ROLE,
            Role::Calls => calls::ROLE,
            Role::Decisions => decisions::ROLE,
        }
    }
}

impl Scale {
    /// Measures the roles and prints their tables. Returns true if all expectations held.
    ///
    /// # Errors
    /// A role cannot be measured.
    pub fn run(&self) -> Result<bool, RunError> {
        if let Some(page) = &self.page {
            return regenerate_tables(page)
                .map(|()| true)
                .map_err(|e| RunError::Failed(format!("{}: {e}", page.display())));
        }
        let [program, _] = self.programs.resolve()?;
        let roles = if self.roles.is_empty() { Role::value_variants() } else { &self.roles };
        let mut expectations_held = true;
        let mut all = Map::new();
        let mut measured_roles = Vec::new();
        for spec in roles.iter().map(|role| role.spec(self.scopes)) {
            let sizes = if self.sizes.is_empty() { spec.sizes } else { &self.sizes };
            let mut results = ResultsBySize::new();
            let mut deadline = Instant::now();
            for size in sizes {
                eprintln!("{} at {size} {} ...", spec.name, spec.size_unit);
                deadline += Duration::from_secs(self.limit);
                let point = Point { size: *size, seed: 1, deadline, program: program.clone() };
                results.insert(*size, self.measure(spec, &point)?);
            }
            let table = table(spec, &results);
            println!("{table}");
            let exceeded = exceeded_bounds(spec, &results);
            exceeded.iter().for_each(|(message, _)| println!("{message}"));
            expectations_held &= !exceeded.iter().any(|(_, is_enforced)| *is_enforced);
            all.insert(spec.name.to_owned(), in_json(&results));
            measured_roles.push((spec, results, table));
        }
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({ "roles": all }));
            write(path, &text)?;
        }
        if let Some(folder) = &self.report {
            std::fs::create_dir_all(folder)
                .map_err(|e| RunError::Failed(format!("{}: {e}", folder.display())))?;
            write(&folder.join("scale.html"), &report::html(&measured_roles).map_err(RunError::Failed)?)?;
        }
        Ok(expectations_held)
    }

    /// Measures a size with each seed, as far as its time limit allows.
    fn measure(&self, spec: RoleSpec, point: &Point) -> Result<SizeResult, RunError> {
        let mut results = SizeResult::default();
        for seed in 1..=self.seeds {
            let start = Instant::now();
            let error = match (spec.measure)(&Point { seed, ..point.clone() }) {
                Ok(figures) => {
                    results.seeds.push(figures);
                    let took = start.elapsed();
                    let left = point.deadline.saturating_duration_since(Instant::now());
                    if seed < self.seeds && took > left {
                        let reason = format!(
                            "seed {seed} of {} took {took:.0?}, and only {left:.0?} are left for the next",
                            self.seeds
                        );
                        results.not_run = Some(reason);
                        break;
                    }
                    continue;
                }
                Err(error) => error,
            };
            let reason = match error {
                MeasureError::Failed(e) => return Err(RunError::Failed(format!("{}: {e}", spec.name))),
                MeasureError::NotRun(reason) => reason,
                MeasureError::Partial(figures, reason) => {
                    // Partial figures of one seed are not mixed with the complete figures of others: a figure
                    // with fewer values would be taken for a median over all seeds.
                    if results.seeds.is_empty() {
                        results.seeds.push(figures);
                    }
                    reason
                }
            };
            results.not_run = Some(format!("seed {seed} of {}: {reason}", self.seeds));
            break;
        }
        Ok(results)
    }
}

/// Regenerates the tables of a page.
fn regenerate_tables(page: &Path) -> Result<(), String> {
    let specs: Vec<RoleSpec> = Role::value_variants().iter().map(|role| role.spec(false)).collect();
    let text = std::fs::read_to_string(page).map_err(|e| e.to_string())?;
    let folder = page.parent().unwrap_or_else(|| Path::new("."));
    std::fs::write(page, page::regenerate(&text, folder, &specs)?).map_err(|e| e.to_string())
}

fn table(spec: RoleSpec, results: &ResultsBySize) -> String {
    let mut table = Table::new();
    let sizes = results.keys().map(|size| format!("{size}"));
    let head = [format!("{}, by {}", spec.name, spec.size_unit)].into_iter().chain(sizes);
    let fit = ["exponent", "residual", "at 6300"].map(str::to_owned);
    table.load_preset(presets::NOTHING).set_header(head.chain(fit));
    for figure in figure_names(results) {
        let mut row = vec![figure.clone()];
        for results in results.values() {
            row.push(match results.spread(figure) {
                Some([median, min, max]) if min < max => {
                    format!("{} ({} to {})", format_short(median), format_short(min), format_short(max))
                }
                Some([median, ..]) => format_short(median),
                None if results.not_run.is_some() => "not run".to_owned(),
                None => "-".to_owned(),
            });
        }
        row.extend(match fit_figure(results, figure) {
            Some(fit) => {
                let note = if fit.exponent > MAX_LINEAR_EXPONENT { " faster than the size" } else { "" };
                let planned = format_short(fit.at(PLANNED_SIZE as f64));
                [format!("{:.2}{note}", fit.exponent), format!("{:.0}%", fit.residual * 100.0), planned]
            }
            None => ["-", "-", "-"].map(str::to_owned),
        });
        table.add_row(row);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    let mut text: String = table.lines().map(|line| format!("{}\n", line.trim_end())).collect();
    for (size, results) in results {
        if let Some(reason) = &results.not_run {
            text.push_str(&format!("{} at {size}: not run: {reason}\n", spec.name));
        }
    }
    text
}

/// A message for each exceeded bound, and whether the bound is enforced.
fn exceeded_bounds(spec: RoleSpec, results: &ResultsBySize) -> Vec<(String, bool)> {
    let mut messages = Vec::new();
    for bound in spec.bounds {
        for (size, results) in results.range(bound.min_size..) {
            let Some([_, _, max]) = results.spread(bound.figure) else { continue };
            if max > bound.max {
                let kind = if bound.is_enforced { "expected" } else { "budget" };
                let role = spec.name;
                let figure = bound.figure;
                let text = format!(
                    "{role} at {size}: {figure} is {}, {kind} at most {}",
                    format_short(max),
                    format_short(bound.max)
                );
                messages.push((text, bound.is_enforced));
            }
        }
    }
    messages
}

/// `"6300": {"figure": median, ...}`; a size that was not run, or only partly, has the reason in it.
fn in_json(results: &ResultsBySize) -> Value {
    let size = |(size, results): (&usize, &SizeResult)| {
        let names = results.figure_names().into_iter();
        let spreads = names.filter_map(|figure| Some((figure, results.spread(figure)?)));
        let statistics = spreads.flat_map(|(figure, [median, min, max])| {
            let statistic = |suffix: &str, value| (format!("{figure}{suffix}"), json!(value));
            [statistic("", median), statistic(".least", min), statistic(".most", max)]
        });
        let name = if results.seeds.is_empty() { "not_run" } else { "partly" };
        let not_run = results.not_run.iter().map(|reason| (name.to_owned(), json!(reason)));
        let seeds = ("seeds".to_owned(), json!(results.seeds.len()));
        let figures = statistics.chain(not_run).chain([seeds]).collect();
        (size.to_string(), Value::Object(figures))
    };
    Value::Object(results.iter().map(size).collect())
}
