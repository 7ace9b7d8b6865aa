//! How many processes share the servers, for a process that cannot be sure.

use crate::Micros;
use std::collections::VecDeque;

/// Silence that begins within this span is one event.
const TOGETHER: Micros = 3_000_000;
/// A share of the count that falls silent together is taken for a cut.
const CUT: f64 = 1.0 / 3.0;
/// After a cut the count stays for so long, and a start with fewer than were told of as well.
const HOLD: Micros = 60_000_000;
/// The count falls by this share of itself at a time, and by one at the least, ...
const FALL: f64 = 0.1;
/// ... and no more often than this.
const STEP: Micros = 1_000_000;

/// The count in force.
#[derive(Clone, Debug)]
pub struct Count {
    /// What the configuration says.
    told: usize,
    count: usize,
    /// Members that fell silent of late, and when.
    silent: VecDeque<Micros>,
    /// The count does not fall before this.
    held: Micros,
    fell: Micros,
    cut: bool,
}

impl Count {
    /// Begins with what the configuration says.
    pub fn new(now: Micros, told: usize) -> Self {
        let told = told.max(1);
        Count { told, count: told, silent: VecDeque::new(), held: now + HOLD, fell: now, cut: false }
    }

    /// How many are counted.
    pub fn get(&self) -> usize {
        self.count
    }

    /// So many fell silent together that it is taken for a cut.
    pub fn is_cut(&self) -> bool {
        self.cut
    }

    /// The configuration says another number.
    pub fn retell(&mut self, told: usize) {
        self.told = told.max(1);
    }

    /// A member fell silent.
    pub fn fell_silent(&mut self, now: Micros) {
        self.silent.push_back(now);
        while self.silent.front().is_some_and(|at| at + TOGETHER < now) {
            self.silent.pop_front();
        }
        if self.silent.len() as f64 >= self.count as f64 * CUT {
            (self.cut, self.held) = (true, now + HOLD);
        }
    }

    /// Looks at the view: so many are there, this process included, of whom so many are not suspected, and the others
    /// agree or not.
    pub fn look(&mut self, now: Micros, there: usize, sure: usize, agreed: bool) {
        if there <= 1 {
            // Alone it serves as a process without peers does.
            self.count = self.count.max(self.told);
            return;
        }
        if there >= self.count {
            self.count = there;
            self.cut &= sure < there;
            return;
        }
        if !agreed && !self.cut {
            // Who disagrees may know of some that are not seen from here.
            self.held = self.held.max(now + STEP);
        }
        if now >= self.held && now >= self.fell + STEP {
            let step = ((self.count as f64 * FALL) as usize).max(1);
            (self.count, self.fell, self.cut) = (self.count.saturating_sub(step).max(there), now, false);
        }
    }

    /// A member left and said so, or is confirmed dead: then others may yet be silent with it.
    pub fn departed(&mut self, now: Micros, said: bool) {
        if !self.cut {
            self.held = if said { now } else { now + TOGETHER };
        }
    }
}
