//! `oakport-testbed scale`: what each role of a process costs by the size of the fleet (`docs/CAPACITY.md`).

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
use page::short;
use point::{MeasureError, Point, RoleSpec, PLANNED_SIZE};
use results::{fitted, names, ResultsBySize, SizeResult};
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A cost that grows with a higher power of the size than this grows faster than the size.
const FASTER: f64 = 1.1;

/// What each role costs by the size of the fleet.
#[derive(Debug, Args)]
#[command(
    after_help = "Each role is played at each size with each seed; a figure's slope is a straight line through the \
                  logarithms of size and figure.\n\
                  Exit status: 0 expectations held, 1 not, 2 a role cannot be played. A size that does not end in its \
                  time is told as not run, which breaks nothing."
)]
pub struct Scale {
    /// Roles to play [default: all]
    #[arg(value_enum)]
    roles: Vec<Role>,
    /// Sizes, in place of a role's own
    #[arg(long, value_name = "N,N", value_delimiter = ',', value_parser = size)]
    sizes: Vec<usize>,
    /// Seeds each size is played with
    #[arg(long, default_value_t = 3, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=100))]
    seeds: u64,
    /// A size may take so many seconds with all its seeds, and what those before it left
    #[arg(long, default_value_t = 60, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    limit: u64,
    /// The members of `peers` have a scope for each zone, in place of one for all
    #[arg(long)]
    scopes: bool,
    #[command(flatten)]
    programs: Programs,
    /// Write all figures there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with plots of what has a budget into this folder
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Play nothing, but draw the tables of this page anew from the JSON files it names
    #[arg(long, value_name = "FILE", conflicts_with_all = ["roles", "sizes", "scopes", "json", "report"])]
    page: Option<PathBuf>,
}

fn size(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(size @ 1..=100_000) => Ok(size),
        _ => Err("a size is a whole number from 1 to 100000".to_owned()),
    }
}

/// A part that a process plays in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Role {
    /// Knowing who is present
    Peers,
    /// Holding the list of servers
    List,
    /// Taking new settings
    Settings,
    /// Passing calls on
    Calls,
    /// Deciding where calls go
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
    /// Plays the roles and prints their tables. True if all expectations held.
    ///
    /// # Errors
    /// A role cannot be played.
    pub fn run(&self) -> Result<bool, RunError> {
        if let Some(page) = &self.page {
            return drawn(page)
                .map(|()| true)
                .map_err(|odd| RunError::Failed(format!("{}: {odd}", page.display())));
        }
        let [program, _] = self.programs.resolve()?;
        let roles = if self.roles.is_empty() { Role::value_variants() } else { &self.roles };
        let (mut held, mut all, mut pages) = (true, Map::new(), Vec::new());
        for spec in roles.iter().map(|role| role.spec(self.scopes)) {
            let sizes = if self.sizes.is_empty() { spec.sizes } else { &self.sizes };
            let mut played = ResultsBySize::new();
            let mut deadline = Instant::now();
            for size in sizes {
                eprintln!("{} at {size} {} ...", spec.name, spec.size_unit);
                deadline += Duration::from_secs(self.limit);
                let point = Point { size: *size, seed: 1, deadline, program: program.clone() };
                played.insert(*size, self.measure(spec, &point)?);
            }
            let table = table(spec, &played);
            println!("{table}");
            let exceeded = exceeded_bounds(spec, &played);
            exceeded.iter().for_each(|(message, _)| println!("{message}"));
            held &= !exceeded.iter().any(|(_, is_enforced)| *is_enforced);
            all.insert(spec.name.to_owned(), in_json(&played));
            pages.push((spec, played, table));
        }
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({ "roles": all }));
            write(path, &text)?;
        }
        if let Some(folder) = &self.report {
            std::fs::create_dir_all(folder)
                .map_err(|e| RunError::Failed(format!("{}: {e}", folder.display())))?;
            write(&folder.join("scale.html"), &report::html(&pages).map_err(RunError::Failed)?)?;
        }
        Ok(held)
    }

    /// Plays a size with each seed, as far as its time allows.
    fn measure(&self, spec: RoleSpec, point: &Point) -> Result<SizeResult, RunError> {
        let mut played = SizeResult::default();
        for seed in 1..=self.seeds {
            let begin = Instant::now();
            let stopped = match (spec.measure)(&Point { seed, ..point.clone() }) {
                Ok(figures) => {
                    played.seeds.push(figures);
                    let (took, left) =
                        (begin.elapsed(), point.deadline.saturating_duration_since(Instant::now()));
                    if seed < self.seeds && took > left {
                        let why = format!(
                            "seed {seed} of {} took {took:.0?}, and {left:.0?} were left",
                            self.seeds
                        );
                        played.not_run = Some(why);
                        break;
                    }
                    continue;
                }
                Err(stopped) => stopped,
            };
            let why = match stopped {
                MeasureError::Failed(odd) => return Err(RunError::Failed(format!("{}: {odd}", spec.name))),
                MeasureError::NotRun(why) => why,
                MeasureError::Partial(figures, why) => {
                    // What one seed has more of than the others would pass for their median.
                    if played.seeds.is_empty() {
                        played.seeds.push(figures);
                    }
                    why
                }
            };
            played.not_run = Some(format!("seed {seed} of {}: {why}", self.seeds));
            break;
        }
        Ok(played)
    }
}

/// Draws a page's tables anew.
fn drawn(page: &Path) -> Result<(), String> {
    let specs: Vec<RoleSpec> = Role::value_variants().iter().map(|role| role.spec(false)).collect();
    let text = std::fs::read_to_string(page).map_err(|e| e.to_string())?;
    let folder = page.parent().unwrap_or_else(|| Path::new("."));
    std::fs::write(page, page::draw(&text, folder, &specs)?).map_err(|e| e.to_string())
}

fn table(spec: RoleSpec, played: &ResultsBySize) -> String {
    let mut table = Table::new();
    let sizes = played.keys().map(|size| format!("{size}"));
    let head = [format!("{}, by {}", spec.name, spec.size_unit)].into_iter().chain(sizes);
    let fit = ["exponent", "residual", "at 6300"].map(str::to_owned);
    table.load_preset(presets::NOTHING).set_header(head.chain(fit));
    for figure in names(played) {
        let mut row = vec![figure.clone()];
        for played in played.values() {
            row.push(match played.spread(figure) {
                Some([median, least, most]) if least < most => {
                    format!("{} ({} to {})", short(median), short(least), short(most))
                }
                Some([median, ..]) => short(median),
                None if played.not_run.is_some() => "not run".to_owned(),
                None => "-".to_owned(),
            });
        }
        row.extend(match fitted(played, figure) {
            Some(fit) => {
                let faster = if fit.exponent > FASTER { " faster than the size" } else { "" };
                let planned = short(fit.at(PLANNED_SIZE as f64));
                [format!("{:.2}{faster}", fit.exponent), format!("{:.0}%", fit.residual * 100.0), planned]
            }
            None => ["-", "-", "-"].map(str::to_owned),
        });
        table.add_row(row);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    let mut text: String = table.lines().map(|line| format!("{}\n", line.trim_end())).collect();
    for (size, played) in played {
        if let Some(why) = &played.not_run {
            text.push_str(&format!("{} at {size}: not run: {why}\n", spec.name));
        }
    }
    text
}

/// Bounds that a size is over, and whether it was expected to keep them.
fn exceeded_bounds(spec: RoleSpec, played: &ResultsBySize) -> Vec<(String, bool)> {
    let mut told = Vec::new();
    for bound in spec.bounds {
        for (size, played) in played.range(bound.min_size..) {
            let Some([_, _, most]) = played.spread(bound.figure) else { continue };
            if most > bound.max {
                let how = if bound.is_enforced { "expected" } else { "budget" };
                let (role, figure) = (spec.name, bound.figure);
                let text = format!(
                    "{role} at {size}: {figure} is {}, {how} at most {}",
                    short(most),
                    short(bound.max)
                );
                told.push((text, bound.is_enforced));
            }
        }
    }
    told
}

/// `"6300": {"figure": median, ...}`; what was not run, or not wholly, has its reason there.
fn in_json(played: &ResultsBySize) -> Value {
    let size = |(size, played): (&usize, &SizeResult)| {
        let names = played.names().into_iter();
        let spreads = names.filter_map(|figure| Some((figure, played.spread(figure)?)));
        let statistics = spreads.flat_map(|(figure, [median, least, most])| {
            let statistic = |suffix: &str, value| (format!("{figure}{suffix}"), json!(value));
            [statistic("", median), statistic(".least", least), statistic(".most", most)]
        });
        let name = if played.seeds.is_empty() { "not_run" } else { "partly" };
        let not_run = played.not_run.iter().map(|why| (name.to_owned(), json!(why)));
        let seeds = ("seeds".to_owned(), json!(played.seeds.len()));
        let figures = statistics.chain(not_run).chain([seeds]).collect();
        (size.to_string(), Value::Object(figures))
    };
    Value::Object(played.iter().map(size).collect())
}
