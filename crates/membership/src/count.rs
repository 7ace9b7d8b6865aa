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
pub struct LiveCount {
    /// What the configuration says.
    told: usize,
    count: usize,
    /// Members that fell silent of late, and when.
    silent: VecDeque<Micros>,
    /// Deaths that count as such from then on, if no cut shows before.
    deaths: VecDeque<Micros>,
    /// Departures by which the count may fall at once.
    departures: usize,
    /// Before this the count does not fall by what was neither said nor confirmed.
    held: Micros,
    fell: Micros,
    cut: bool,
}

impl LiveCount {
    /// Begins with what the configuration says.
    pub fn new(now: Micros, told: usize) -> Self {
        let told = told.max(1);
        let (silent, deaths) = (VecDeque::new(), VecDeque::new());
        LiveCount {
            told,
            count: told,
            silent,
            deaths,
            departures: 0,
            held: now + HOLD,
            fell: now,
            cut: false,
        }
    }

    /// How many are counted.
    pub fn get(&self) -> usize {
        self.count
    }

    /// So many fell silent together that it is taken for a cut.
    pub fn suspects_partition(&self) -> bool {
        self.cut
    }

    /// The configuration says another number.
    pub fn set_configured(&mut self, told: usize) {
        self.told = told.max(1);
    }

    /// A member fell silent.
    pub fn member_suspected(&mut self, now: Micros) {
        self.silent.push_back(now);
        while self.silent.front().is_some_and(|at| at + TOGETHER < now) {
            self.silent.pop_front();
        }
        if self.silent.len() as f64 >= self.count as f64 * CUT {
            (self.cut, self.held) = (true, now + HOLD);
            self.deaths.clear();
        }
    }

    /// A member left and said so, or is confirmed dead: then others may yet be silent with it.
    pub fn member_departed(&mut self, now: Micros, said: bool) {
        if said {
            self.departures += 1;
            return;
        }
        self.freeze(now);
        if !self.cut {
            self.deaths.push_back(now + TOGETHER);
        }
    }

    /// So many are gone, as was said or confirmed elsewhere.
    pub fn confirm_departures(&mut self, number: usize) {
        self.departures += number;
    }

    /// From now on the count stays for some time, but for what was said or confirmed.
    pub fn freeze(&mut self, now: Micros) {
        self.held = self.held.max(now + HOLD);
    }

    /// Looks at the view: so many are there, this process included, of whom so many are not suspected, and
    /// the others agree or not.
    pub fn update(&mut self, now: Micros, there: usize, sure: usize, agreed: bool) {
        // Alone it serves as a process without peers does.
        let there = if there <= 1 { self.told } else { there };
        while self.deaths.front().is_some_and(|at| *at <= now) {
            self.deaths.pop_front();
            self.departures += 1;
        }
        if !agreed {
            // Who disagrees may know of some that are not seen from here.
            self.freeze(now);
        }
        if there >= self.count {
            (self.count, self.departures) = (there, 0);
            self.cut &= sure < there;
            return;
        }
        let missing = self.count - there;
        self.departures = self.departures.min(missing);
        let may = if now >= self.held { missing } else { self.departures };
        if may > 0 && now >= self.fell + STEP {
            let step = ((self.count as f64 * FALL) as usize).max(1).min(may);
            (self.count, self.fell) = (self.count - step, now);
            self.departures = self.departures.saturating_sub(step);
            self.cut &= now < self.held;
        }
    }
}
