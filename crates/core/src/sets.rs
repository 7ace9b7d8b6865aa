//! Sets of servers, kept as the module judges each one. They file what they are told and decide nothing.

use crate::ids::Micros;
use crate::timetable::Timetable;
use crate::weighted::WeightedSet;
use std::collections::BTreeSet;

/// What holds of a server at a moment; the module judges it, and each figure names the set it puts the server in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Standing {
    pub(crate) listed: bool,
    /// Listed, and set aside.
    pub(crate) aside: bool,
    /// Set aside, and due for the one call that tries it.
    pub(crate) returning: bool,
    /// Listed, and not warm yet.
    pub(crate) cold: bool,
    /// Warm and usable.
    pub(crate) up: bool,
    /// ... and under its budget.
    pub(crate) room: bool,
    /// ... or at it, and due for a trial.
    pub(crate) trial: bool,
    /// In this balancer's own zone.
    pub(crate) near: bool,
    /// When time alone will change some of this.
    pub(crate) until: Option<Micros>,
}

/// A server's part in the sets that stays while its standing changes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Mark {
    pub(crate) size: f64,
    pub(crate) rank: u32,
    pub(crate) started: Micros,
}

/// The sets by place; a change of standing costs the logarithm of the places.
#[derive(Debug, Default)]
pub(crate) struct Sets {
    pub(crate) listed: WeightedSet,
    pub(crate) cold: WeightedSet,
    pub(crate) up: WeightedSet,
    pub(crate) room: WeightedSet,
    pub(crate) trials: WeightedSet,
    pub(crate) returning: BTreeSet<usize>,
    pub(crate) aside: usize,
    /// Those with room in the order of their ranks: all of them, and those near. Empty while no order is wanted.
    pub(crate) ranked: BTreeSet<(u32, usize)>,
    pub(crate) near: BTreeSet<(u32, usize)>,
    /// Classes that fail at a server, whatever it does with the others: class and place.
    pub(crate) failing: BTreeSet<(usize, usize)>,
    ordered: bool,
    moments: Timetable<usize>,
    standings: Vec<(Standing, Mark)>,
    /// Sum over the cold of size times start.
    cold_starts: f64,
    /// Starts count from here: the first of the cold since there were none.
    epoch: Micros,
}

impl Sets {
    /// Puts the server at this place where it stands now.
    pub(crate) fn put(&mut self, place: usize, standing: Standing, mark: Mark) {
        if place >= self.standings.len() {
            self.standings.resize(place + 1, Default::default());
        }
        let (old, was) = std::mem::replace(&mut self.standings[place], (standing, mark));
        if old.until != standing.until {
            self.moments.set(place, standing.until);
        }
        if (Standing { until: standing.until, ..old }, was) == (standing, mark) {
            return;
        }
        let weight = |member: bool| member.then_some(mark.size);
        self.listed.set(place, weight(standing.listed));
        self.cold.set(place, weight(standing.cold));
        self.up.set(place, weight(standing.up));
        self.room.set(place, weight(standing.room));
        self.trials.set(place, weight(standing.trial));
        self.aside = self.aside + usize::from(standing.aside) - usize::from(old.aside);
        if standing.returning {
            self.returning.insert(place);
        } else {
            self.returning.remove(&place);
        }
        if self.ordered {
            self.rank(place, (old, was), (standing, mark));
        }
        if old.cold {
            self.cold_starts -= was.size * self.after_epoch(was.started);
        }
        if standing.cold && !old.cold && self.cold.len() == 1 {
            // Nothing of earlier roundings stays.
            (self.epoch, self.cold_starts) = (mark.started, 0.0);
        }
        if standing.cold {
            self.cold_starts += mark.size * self.after_epoch(mark.started);
        }
    }

    /// Notes whether a class fails at a server.
    pub(crate) fn fails(&mut self, class_id: usize, place: usize, fails: bool) {
        if fails {
            self.failing.insert((class_id, place));
        } else {
            self.failing.remove(&(class_id, place));
        }
    }

    /// A new process is at this place, or none: no class fails there.
    pub(crate) fn well_again<'a>(&mut self, place: usize, classes: impl Iterator<Item = &'a usize>) {
        classes.for_each(|&class_id| self.fails(class_id, place, false));
    }

    /// Whether the order of ranks is wanted; an order that nobody reads would cost each change of room.
    pub(crate) fn order(&mut self, wanted: bool) {
        if self.ordered == wanted {
            return;
        }
        self.ordered = wanted;
        self.ranked.clear();
        self.near.clear();
        for place in 0..if wanted { self.standings.len() } else { 0 } {
            let now = self.standings[place];
            self.rank(place, (Standing::default(), now.1), now);
        }
    }

    fn rank(&mut self, place: usize, old: (Standing, Mark), new: (Standing, Mark)) {
        let all = (&mut self.ranked, old.0.room, new.0.room);
        let near = (&mut self.near, old.0.room && old.0.near, new.0.room && new.0.near);
        for (set, was, is) in [all, near] {
            if was {
                set.remove(&(old.1.rank, place));
            }
            if is {
                set.insert((new.1.rank, place));
            }
        }
    }

    /// Where a server was last said to stand.
    #[cfg(test)]
    pub(crate) fn standing(&self, place: usize) -> Standing {
        self.standings.get(place).map_or(Standing::default(), |s| s.0)
    }

    /// A server whose standing time alone has changed by now.
    pub(crate) fn due(&mut self, now: Micros) -> Option<usize> {
        let place = self.moments.pop(now)?;
        self.standings[place].0.until = None;
        Some(place)
    }

    /// When time alone next changes a standing.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.moments.next()
    }

    /// Sum over the cold of size times age.
    pub(crate) fn cold_ages(&self, now: Micros) -> f64 {
        (self.cold.total() * self.after_epoch(now) - self.cold_starts).max(0.0)
    }

    /// Exact for the spans that count here; below 0 for what was before.
    fn after_epoch(&self, at: Micros) -> f64 {
        at.wrapping_sub(self.epoch) as i64 as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg32;

    /// After any changes, each set holds what the last standing of each place says.
    #[test]
    fn each_set_holds_what_the_standings_say() {
        let mut random = Pcg32::seed_from_u64(5);
        for places in [2, 60] {
            changes(places, &mut random);
        }
    }

    fn changes(places: usize, random: &mut Pcg32) {
        let mut sets = Sets::default();
        let mut plain = vec![(Standing::default(), Mark::default()); places];
        for step in 0..20_000u64 {
            let place = random.gen_range(0..plain.len());
            let mut flag = || random.gen::<bool>();
            let (listed, up, room) = (flag(), flag(), flag());
            let standing = Standing {
                listed,
                aside: listed && flag(),
                returning: listed && flag(),
                cold: listed && !up,
                up: listed && up,
                room: listed && up && room,
                trial: listed && up && !room && flag(),
                near: flag(),
                until: flag().then_some(step + 50),
            };
            let started = step.saturating_sub(random.gen_range(0..1_000));
            let mark =
                Mark { size: f64::from(random.gen_range(1..4u8)), rank: random.gen_range(0..9), started };
            sets.put(place, standing, mark);
            plain[place] = (standing, mark);
            while let Some(place) = sets.due(step) {
                assert!(plain[place].0.until.take().is_some_and(|at| at <= step), "due in its time, once");
            }
            if step % 50 != 0 {
                continue;
            }
            sets.order(step % 1_000 >= 100);
            let all = |of: fn(&Standing) -> bool| -> Vec<usize> {
                (0..plain.len()).filter(|&p| of(&plain[p].0)).collect()
            };
            let ranked = |of: fn(&Standing) -> bool| -> BTreeSet<_> {
                let all = |of| if sets.ordered { all(of) } else { Vec::new() };
                all(of).into_iter().map(|p| (plain[p].1.rank, p)).collect()
            };
            assert_eq!(sets.listed.iter().collect::<Vec<_>>(), all(|s| s.listed));
            assert_eq!(sets.cold.iter().collect::<Vec<_>>(), all(|s| s.cold));
            assert_eq!(sets.up.iter().collect::<Vec<_>>(), all(|s| s.up));
            assert_eq!(sets.room.iter().collect::<Vec<_>>(), all(|s| s.room));
            assert_eq!(sets.trials.iter().collect::<Vec<_>>(), all(|s| s.trial));
            assert_eq!(sets.returning.iter().copied().collect::<Vec<_>>(), all(|s| s.returning));
            assert_eq!(sets.aside, all(|s| s.aside).len());
            assert_eq!((&sets.ranked, &sets.near), (&ranked(|s| s.room), &ranked(|s| s.room && s.near)));
            assert_eq!(sets.next(), plain.iter().filter_map(|(s, _)| s.until).min());
            let ages =
                |(s, m): &(Standing, Mark)| if s.cold { m.size * (step - m.started) as f64 } else { 0.0 };
            let ages = plain.iter().map(ages).sum::<f64>();
            assert!((sets.cold_ages(step) - ages).abs() < 1e-3, "{} {ages}", sets.cold_ages(step));
        }
    }
}
