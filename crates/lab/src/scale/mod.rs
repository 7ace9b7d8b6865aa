//! `oakport-lab scale`: what each role of a process costs by the size of the fleet (`docs/CAPACITY.md`).

pub mod calls;
pub mod decisions;
pub mod fit;
pub mod list;
pub mod page;
pub mod peers;
pub mod point;
pub mod settings;

use crate::fleet::{Programs, Stop};
use clap::{Args, ValueEnum};
use comfy_table::{presets, CellAlignment, Table};
use fit::Fit;
use page::short;
use point::{Figures, Part, Point, Stopped, PLANNED};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
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
    /// A size may take so many seconds, with all its seeds
    #[arg(long, default_value_t = 60, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    limit: u64,
    /// Of the members of `peers`, so many are real processes
    #[arg(long, value_name = "N", num_args = 0..=1, default_missing_value = "60", value_parser = clap::value_parser!(u16).range(1..=200))]
    sockets: Option<u16>,
    #[command(flatten)]
    programs: Programs,
    /// Write all figures there, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Play nothing, but draw the tables of this page anew from the JSON files it names
    #[arg(long, value_name = "FILE", conflicts_with_all = ["roles", "sizes", "sockets", "json"])]
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
    /// What is played of it.
    pub fn part(self) -> Part {
        match self {
            Role::Peers => peers::PART,
            Role::List => list::PART,
            Role::Settings => settings::PART,
            Role::Calls => calls::PART,
            Role::Decisions => decisions::PART,
        }
    }
}

/// What a size gave: the figures of each seed, or why there are none.
type Played = Result<Vec<Figures>, String>;

impl Scale {
    /// Plays the roles and prints their tables. True if all expectations held.
    ///
    /// # Errors
    /// A role cannot be played.
    pub fn run(&self) -> Result<bool, Stop> {
        if let Some(page) = &self.page {
            return drawn(page).map(|()| true).map_err(|odd| Stop::Bad(format!("{}: {odd}", page.display())));
        }
        let [program, _] = self.programs.found()?;
        let roles = if self.roles.is_empty() { Role::value_variants() } else { &self.roles };
        let (mut held, mut all) = (true, Map::new());
        for part in roles.iter().map(|role| role.part()) {
            let sizes = if self.sizes.is_empty() { part.sizes } else { &self.sizes };
            let mut played = BTreeMap::new();
            for size in sizes {
                eprintln!("{} at {size} {} ...", part.name, part.counts);
                let until = Instant::now() + Duration::from_secs(self.limit);
                let point = |seed| Point {
                    size: *size,
                    seed,
                    until,
                    program: program.clone(),
                    sockets: self.sockets.map(usize::from),
                };
                let figures: Result<Vec<_>, _> =
                    (1..=self.seeds).map(|seed| (part.play)(&point(seed))).collect();
                let figures = match figures {
                    Ok(figures) => Ok(figures),
                    Err(Stopped::NotRun(why)) => Err(why),
                    Err(Stopped::Odd(odd)) => return Err(Stop::Bad(format!("{}: {odd}", part.name))),
                };
                played.insert(*size, figures);
            }
            println!("{}", table(part, &played));
            let broken = broken(part, &played);
            broken.iter().for_each(|(told, _)| println!("{told}"));
            held &= !broken.iter().any(|(_, expected)| *expected);
            all.insert(part.name.to_owned(), in_json(&played));
        }
        if let Some(path) = &self.json {
            let text = format!("{:#}\n", json!({ "roles": all }));
            std::fs::write(path, text).map_err(|e| Stop::Bad(format!("{}: {e}", path.display())))?;
        }
        Ok(held)
    }
}

/// Draws a page's tables anew.
fn drawn(page: &Path) -> Result<(), String> {
    let parts: Vec<Part> = Role::value_variants().iter().map(|role| role.part()).collect();
    let text = std::fs::read_to_string(page).map_err(|e| e.to_string())?;
    let folder = page.parent().unwrap_or_else(|| Path::new("."));
    std::fs::write(page, page::draw(&text, folder, &parts)?).map_err(|e| e.to_string())
}

/// A figure's median over the seeds, with the least and the most.
fn spread(seeds: &[Figures], figure: &str) -> Option<[f64; 3]> {
    let mut all: Vec<f64> = seeds.iter().filter_map(|figures| figures.get(figure).copied()).collect();
    all.sort_by(f64::total_cmp);
    Some([*all.get(all.len() / 2)?, *all.first()?, *all.last()?])
}

/// The names of all figures that some size has.
fn names(played: &BTreeMap<usize, Played>) -> Vec<&String> {
    let seeds = played.values().filter_map(|played| played.as_ref().ok()).flatten();
    let mut names: Vec<&String> = seeds.flat_map(|figures| figures.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn fitted(played: &BTreeMap<usize, Played>, figure: &str) -> Option<Fit> {
    let point =
        |(size, played): (&usize, &Played)| Some((*size as f64, spread(played.as_ref().ok()?, figure)?[0]));
    Fit::of(&played.iter().filter_map(point).collect::<Vec<_>>())
}

fn table(part: Part, played: &BTreeMap<usize, Played>) -> String {
    let mut table = Table::new();
    let sizes = played.keys().map(|size| format!("{size}"));
    let head = [format!("{}, by {}", part.name, part.counts)].into_iter().chain(sizes);
    let fit = ["exponent", "residual", "at 6300"].map(str::to_owned);
    table.load_preset(presets::NOTHING).set_header(head.chain(fit));
    for figure in names(played) {
        let mut row = vec![figure.clone()];
        for played in played.values() {
            row.push(match played.as_ref().map(|seeds| spread(seeds, figure)) {
                Ok(Some([median, least, most])) if least < most => {
                    format!("{} ({} to {})", short(median), short(least), short(most))
                }
                Ok(Some([median, ..])) => short(median),
                Ok(None) => "-".to_owned(),
                Err(_) => "not run".to_owned(),
            });
        }
        row.extend(match fitted(played, figure) {
            Some(fit) => {
                let faster = if fit.exponent > FASTER { " faster than the size" } else { "" };
                let planned = short(fit.at(PLANNED as f64));
                [format!("{:.2}{faster}", fit.exponent), format!("{:.0}%", fit.residual * 100.0), planned]
            }
            None => ["-", "-", "-"].map(str::to_owned),
        });
        table.add_row(row);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    let mut text: String = table.lines().map(|line| format!("{}\n", line.trim_end())).collect();
    for (size, played) in played {
        if let Err(why) = played {
            text.push_str(&format!("{} at {size}: not run: {why}\n", part.name));
        }
    }
    text
}

/// Bounds that a size is over, and whether it was expected to keep them.
fn broken(part: Part, played: &BTreeMap<usize, Played>) -> Vec<(String, bool)> {
    let mut told = Vec::new();
    for bound in part.bounds {
        for (size, played) in played.range(bound.from..) {
            let Some([_, _, most]) = played.as_ref().ok().and_then(|seeds| spread(seeds, bound.figure))
            else {
                continue;
            };
            if most > bound.most {
                let how = if bound.expected { "expected" } else { "budget" };
                let (role, figure) = (part.name, bound.figure);
                let text = format!(
                    "{role} at {size}: {figure} is {}, {how} at most {}",
                    short(most),
                    short(bound.most)
                );
                told.push((text, bound.expected));
            }
        }
    }
    told
}

/// `"6300": {"figure": median, ...}`; what was not run has its reason in place of figures.
fn in_json(played: &BTreeMap<usize, Played>) -> Value {
    let size = |(size, played): (&usize, &Played)| {
        let figures = match played {
            Ok(seeds) => names_of(seeds)
                .filter_map(|figure| Some((figure.clone(), spread(seeds, figure)?)))
                .flat_map(|(figure, [median, least, most])| {
                    let part = |end: &str, value| (format!("{figure}{end}"), json!(value));
                    [part("", median), part(".least", least), part(".most", most)]
                })
                .collect(),
            Err(why) => Map::from_iter([("not_run".to_owned(), json!(why))]),
        };
        (size.to_string(), Value::Object(figures))
    };
    Value::Object(played.iter().map(size).collect())
}

fn names_of(seeds: &[Figures]) -> impl Iterator<Item = &String> {
    seeds.first().into_iter().flat_map(|figures| figures.keys())
}
