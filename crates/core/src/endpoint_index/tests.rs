//! Compares the endpoint index with a plain list of statuses under random changes.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Guards against sets that drift from the recorded statuses as statuses change, expire or get ranked.
#[test]
fn sets_match_the_last_status_of_each_slot() {
    let mut random = Pcg32::seed_from_u64(5);
    for slot_count in [2, 60] {
        apply_random_changes(slot_count, &mut random);
    }
}

fn apply_random_changes(slot_count: usize, random: &mut Pcg32) {
    let mut index = EndpointIndex::default();
    let mut expected = vec![IndexEntry::default(); slot_count];
    for step in 0..20_000u64 {
        let slot = random.gen_range(0..expected.len());
        let entry = random_entry(step, random);
        index.update(slot, entry.status, entry.key);
        expected[slot] = entry;
        while let Some(slot) = index.pop_expired_status(step) {
            let valid_until = expected[slot].status.valid_until.take();
            assert!(valid_until.is_some_and(|at| at <= step), "a status expires once, when it is due");
        }
        if step % 50 == 0 {
            index.enable_ranking(step % 1_000 >= 100);
            check(&index, &expected, step);
        }
    }
}

fn random_entry(step: u64, random: &mut Pcg32) -> IndexEntry {
    let mut flag = || random.gen::<bool>();
    let listed = flag();
    let available = flag();
    let has_capacity = flag();
    let status = EndpointStatus {
        listed,
        ejected: listed && flag(),
        readmission_due: listed && flag(),
        warming_up: listed && !available,
        available: listed && available,
        has_capacity: listed && available && has_capacity,
        growth_trial_due: listed && available && !has_capacity && flag(),
        same_zone: flag(),
        valid_until: flag().then_some(step + 50),
    };
    let started_at = step.saturating_sub(random.gen_range(0..1_000));
    let size = f64::from(random.gen_range(1..4u8));
    let rank = random.gen_range(0..9);
    IndexEntry { status, key: EndpointKey { size, rank, started_at } }
}

fn check(index: &EndpointIndex, expected: &[IndexEntry], step: u64) {
    let slots = |member: fn(&EndpointStatus) -> bool| -> Vec<usize> {
        (0..expected.len()).filter(|&slot| member(&expected[slot].status)).collect()
    };
    let ranked = |member: fn(&EndpointStatus) -> bool| -> BTreeSet<RankedSlot> {
        let members = if index.ranking_enabled { slots(member) } else { Vec::new() };
        members.into_iter().map(|slot| RankedSlot { rank: expected[slot].key.rank, slot }).collect()
    };
    assert_eq!(index.listed.iter().collect::<Vec<_>>(), slots(|s| s.listed));
    assert_eq!(index.warming_up.iter().collect::<Vec<_>>(), slots(|s| s.warming_up));
    assert_eq!(index.available.iter().collect::<Vec<_>>(), slots(|s| s.available));
    assert_eq!(index.with_capacity.iter().collect::<Vec<_>>(), slots(|s| s.has_capacity));
    assert_eq!(index.growth_trial_due.iter().collect::<Vec<_>>(), slots(|s| s.growth_trial_due));
    assert_eq!(index.readmission_due.iter().copied().collect::<Vec<_>>(), slots(|s| s.readmission_due));
    assert_eq!(index.ejected_count, slots(|s| s.ejected).len());
    assert_eq!(index.ranked, ranked(|s| s.has_capacity));
    assert_eq!(index.ranked_same_zone, ranked(|s| s.has_capacity && s.same_zone));
    let next_expiry = expected.iter().filter_map(|entry| entry.status.valid_until).min();
    assert_eq!(index.next_status_expiry(), next_expiry);
    let warming_up = expected.iter().filter(|entry| entry.status.warming_up);
    let age_sum: f64 = warming_up.map(|entry| entry.key.size * (step - entry.key.started_at) as f64).sum();
    let actual = index.warming_up_age_sum_us(step);
    assert!((actual - age_sum).abs() < 1e-3, "age sum {actual}, expected {age_sum}");
}
