//! Compares the weighted set with a plain list of weights under random changes.

use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Guards against members or sampling frequencies that deviate from the weights after changes.
#[test]
fn members_and_sampling_frequencies_match_the_weights() {
    let mut random = Pcg32::seed_from_u64(3);
    for run in 0..40 {
        let slot_count = 1 + random.gen_range(0..200);
        let mut set = WeightedSet::default();
        let mut weights = vec![0.0; slot_count];
        for _ in 0..4 * slot_count {
            let slot = random.gen_range(0..slot_count);
            let weight = [0.0, 1.0, 0.25, 7.0, 1e4][random.gen_range(0..5)];
            set.set(slot, (weight > 0.0).then_some(weight));
            weights[slot] = weight;
        }
        let members: Vec<usize> = (0..slot_count).filter(|&slot| weights[slot] > 0.0).collect();
        assert_eq!(set.iter().collect::<Vec<_>>(), members, "run {run}: members");
        assert_eq!(set.len(), members.len());
        assert!((set.total() - weights.iter().sum::<f64>()).abs() < 1e-6);
        let excluded = members.first().copied().filter(|_| run % 2 == 0);
        // In every third run few slots are accepted, so that the set is sampled by a scan.
        let acceptance = |slot: usize| match (run % 3, slot % 97) {
            (0, 1) => 1.0,
            (0, _) => 0.0,
            _ => 0.5,
        };
        let expected: Vec<f64> = (0..slot_count)
            .map(|slot| if Some(slot) == excluded { 0.0 } else { weights[slot] * acceptance(slot) })
            .collect();
        let total = expected.iter().sum::<f64>();
        let mut frequency = vec![0.0; slot_count];
        for _ in 0..4_000 {
            match set.sample(&mut random, excluded, acceptance) {
                Some(slot) => frequency[slot] += 1.0 / 4_000.0,
                None => assert_eq!(total, 0.0, "run {run}: no sample although a slot is eligible"),
            }
        }
        let difference = |slot: usize| {
            if total > 0.0 {
                (frequency[slot] - expected[slot] / total).abs()
            } else {
                frequency[slot]
            }
        };
        let distance = (0..slot_count).map(difference).sum::<f64>() / 2.0;
        assert!(distance < 0.12, "run {run}: total variation distance {distance}");
    }
}

#[test]
fn weights_outside_the_bounds_are_clamped() {
    let mut set = WeightedSet::default();
    for (slot, weight) in [f64::MIN_POSITIVE, 1e300, 1.0].into_iter().enumerate() {
        set.set(slot, Some(weight));
    }
    assert!((set.total() - MAX_WEIGHT - 1.0 - MIN_WEIGHT).abs() < 1e-9, "{}", set.total());
}
