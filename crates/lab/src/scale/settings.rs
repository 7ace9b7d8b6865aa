//! Stands for the role until it is built.

use super::point::{Figures, Part, Point, Stopped};

/// The role.
pub const PART: Part =
    Part { name: "settings", counts: "processes", sizes: &[1, 60, 200], bounds: &[], play };

fn play(_point: &Point) -> Result<Figures, Stopped> {
    Err(Stopped::NotRun("not built yet".to_owned()))
}
