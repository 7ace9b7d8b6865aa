//! A set of places with weights, drawn from in proportion to them. It settles chances and decides nothing.

use rand::seq::SliceRandom;
use rand::Rng;

/// Parts of a weight of 1. Whole numbers, so that sums stay exact however often members come and go.
const PARTS: f64 = (1u64 << 20) as f64;
/// Weights beyond these count as the nearest of them.
const LEAST: f64 = 1.0 / PARTS;
const MOST: f64 = PARTS;
/// Draws that may miss what is wanted before all members are looked at.
const TRIES: usize = 32;

/// Places, each with a weight above 0, in a Fenwick tree: a change and a draw cost the logarithm of the places.
#[derive(Debug, Default)]
pub(crate) struct WeightedSet {
    /// By place; 0: no member.
    weights: Vec<u64>,
    /// Sums over ranges of `weights`, as long as these; a power of two.
    tree: Vec<u64>,
    total: u64,
    len: usize,
}

impl WeightedSet {
    /// Makes a place a member with this weight, or none.
    pub(crate) fn set(&mut self, place: usize, weight: Option<f64>) {
        let parts = weight.map_or(0, |w| (w.clamp(LEAST, MOST) * PARTS) as u64);
        if place >= self.weights.len() {
            if parts == 0 {
                return;
            }
            self.grow(place + 1);
        }
        let old = std::mem::replace(&mut self.weights[place], parts);
        if old == parts {
            return;
        }
        self.len = self.len + usize::from(parts > 0) - usize::from(old > 0);
        self.total = self.total - old + parts;
        let mut at = place + 1;
        while at <= self.tree.len() {
            self.tree[at - 1] = self.tree[at - 1] - old + parts;
            at += at & at.wrapping_neg();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn contains(&self, place: usize) -> bool {
        self.weights.get(place).is_some_and(|&w| w > 0)
    }

    /// Sum of all weights.
    pub(crate) fn total(&self) -> f64 {
        self.total as f64 / PARTS
    }

    /// All members, in the order of their places.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.weights.iter().enumerate().filter(|(_, &w)| w > 0).map(|(place, _)| place)
    }

    /// A member other than `but`, with a chance in proportion to its weight times `keep`, which is from 0 to 1.
    pub(crate) fn draw(
        &self,
        random: &mut impl Rng,
        but: Option<usize>,
        keep: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let (skip, from) = match but.filter(|&b| self.contains(b)) {
            Some(but) => (self.weights[but], self.before(but)),
            None => (0, self.total),
        };
        if self.total == skip {
            return None;
        }
        for _ in 0..TRIES {
            let mark = random.gen_range(0..self.total - skip);
            let place = self.at(if mark >= from { mark + skip } else { mark });
            let kept = keep(place);
            if kept >= 1.0 || kept > 0.0 && random.gen::<f64>() < kept {
                return Some(place);
            }
        }
        let wanted =
            |place: usize| if Some(place) == but { 0.0 } else { self.weights[place] as f64 * keep(place) };
        let mut mark = self.iter().map(wanted).sum::<f64>() * random.gen::<f64>();
        let mut last = None;
        for place in self.iter().filter(|&p| wanted(p) > 0.0) {
            last = Some(place);
            mark -= wanted(place);
            if mark < 0.0 {
                break;
            }
        }
        last
    }

    /// Two such members, or as many as there are; no place is drawn twice.
    pub(crate) fn draw_two(
        &self,
        random: &mut impl Rng,
        wanted: impl Fn(usize) -> bool,
    ) -> impl Iterator<Item = usize> {
        let keep = |place: usize| f64::from(u8::from(wanted(place)));
        let one = self.draw(random, None, keep);
        let other = one.and_then(|_| self.draw(random, one, keep));
        one.into_iter().chain(other)
    }

    fn grow(&mut self, places: usize) {
        let size = places.next_power_of_two();
        self.weights.resize(size, 0);
        let mut at = self.tree.len().max(1);
        self.tree.resize(size, 0);
        // All weights so far lie in the first half of each range that is new and begins at the first place.
        while at <= size {
            self.tree[at - 1] = self.total;
            at *= 2;
        }
    }

    /// Sum of the parts of all places before this one.
    fn before(&self, place: usize) -> u64 {
        let (mut at, mut sum) = (place, 0);
        while at > 0 {
            sum += self.tree[at - 1];
            at -= at & at.wrapping_neg();
        }
        sum
    }

    /// The member in whose parts this mark lies, all parts laid end to end.
    fn at(&self, mut mark: u64) -> usize {
        let (mut place, mut step) = (0, self.tree.len());
        while step > 0 {
            if let Some(&sum) = self.tree.get(place + step - 1).filter(|&&sum| sum <= mark) {
                mark -= sum;
                place += step;
            }
            step /= 2;
        }
        place
    }
}

/// Some of a few places, each with a chance in proportion to its weight.
pub(crate) fn draw_some(
    random: &mut impl Rng,
    among: &[usize],
    most: usize,
    weight: impl Fn(usize) -> f64,
) -> Vec<usize> {
    let drawn = among.choose_multiple_weighted(random, most, |&place| weight(place));
    drawn.map(|places| places.copied().collect()).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg32;

    /// After any changes, the set is what a plain list of weights says, and so is each share of its draws.
    #[test]
    fn it_does_as_a_plain_list_does() {
        let mut random = Pcg32::seed_from_u64(3);
        for world in 0..40 {
            let places = 1 + random.gen_range(0..200);
            let (mut set, mut plain) = (WeightedSet::default(), vec![0.0; places]);
            for _ in 0..4 * places {
                let place = random.gen_range(0..places);
                let weight = [0.0, 1.0, 0.25, 7.0, 1e4][random.gen_range(0..5)];
                set.set(place, (weight > 0.0).then_some(weight));
                plain[place] = weight;
            }
            let members: Vec<usize> = (0..places).filter(|&p| plain[p] > 0.0).collect();
            assert_eq!(set.iter().collect::<Vec<_>>(), members, "world {world}");
            assert_eq!(set.len(), members.len());
            assert!((set.total() - plain.iter().sum::<f64>()).abs() < 1e-6);
            let but = members.first().copied().filter(|_| world % 2 == 0);
            // Worlds that want few of many come to the walk.
            let keep = |p: usize| if world % 3 == 0 { f64::from(u8::from(p % 97 == 1)) } else { 0.5 };
            let chance: Vec<f64> =
                (0..places).map(|p| if Some(p) == but { 0.0 } else { plain[p] * keep(p) }).collect();
            let all = chance.iter().sum::<f64>();
            let mut drawn = vec![0.0; places];
            for _ in 0..4_000 {
                match set.draw(&mut random, but, keep) {
                    Some(place) => drawn[place] += 1.0 / 4_000.0,
                    None => assert_eq!(all, 0.0, "world {world}: something could be drawn"),
                }
            }
            let apart = |p: usize| if all > 0.0 { (drawn[p] - chance[p] / all).abs() } else { drawn[p] };
            let distance = (0..places).map(apart).sum::<f64>() / 2.0;
            assert!(distance < 0.12, "world {world}: total variation {distance}");
        }
    }

    #[test]
    fn weights_beyond_the_bounds_count_as_the_nearest() {
        let mut set = WeightedSet::default();
        for (place, weight) in [f64::MIN_POSITIVE, 1e300, 1.0].into_iter().enumerate() {
            set.set(place, Some(weight));
        }
        assert!((set.total() - MOST - 1.0 - LEAST).abs() < 1e-9, "{}", set.total());
    }
}
