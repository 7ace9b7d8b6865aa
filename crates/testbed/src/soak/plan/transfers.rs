//! Draws the large bodies of a plan: slow readers of large responses, slow uploads, and the planned end of their proxies.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;

/// Plans of earlier seeds have no large bodies: reports name what they broke and kept.
const FIRST_SEED: u64 = 101;
/// One plan in so many has them, from there on.
const ONE_PLAN_IN: u32 = 2;
/// Large bodies are drawn apart from the rest of a plan.
const SEED_MASK: u64 = 0x6c61_7267_6562_6f64;
/// Requests a second of each class with large bodies, over all client proxies.
const REQUESTS_PER_SECOND: RangeInclusive<f64> = 1.0..=3.0;
/// Around what the system's buffers of a connection hold before they grow, and more.
const RESPONSE_BYTES: RangeInclusive<usize> = 2_500_000..=4_500_000;
const REQUEST_BYTES: RangeInclusive<usize> = 150_000..=700_000;
const GIVE_BYTES_PER_SECOND: RangeInclusive<usize> = 1_000_000..=8_000_000;
const READ_BYTES_PER_SECOND: RangeInclusive<usize> = 48_000..=96_000;
const WRITE_BYTES_PER_SECOND: RangeInclusive<usize> = 100_000..=250_000;
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: RangeInclusive<u64> = 1_500..=3_000;

/// The large bodies of a plan.
pub struct Transfers {
    random: Pcg64,
    /// How the processes of the client proxies end.
    pub process_event: &'static str,
}

impl Transfers {
    /// Those of this seed, if it has any.
    pub fn draw(seed: u64) -> Option<Self> {
        let mut random = Pcg64::seed_from_u64(seed ^ SEED_MASK);
        if seed < FIRST_SEED || !random.gen_ratio(1, ONE_PLAN_IN) {
            return None;
        }
        let process_event = *["restart", "upgrade"].choose(&mut random)?;
        Some(Transfers { random, process_event })
    }

    /// The classes of requests with large bodies, as text, where each other class has so many requests a second.
    pub fn classes(&self, requests_per_second_of_class: f64) -> [String; 2] {
        let mut random = self.random.clone();
        let downloads = class("timetable-export", "free", requests_per_second_of_class, &mut random);
        let is_pipelined: bool = random.gen();
        let uploads = class("timetable-import", "single_shot", requests_per_second_of_class, &mut random);
        let request_bytes = ordered(REQUEST_BYTES, &mut random);
        [
            format!("{downloads}pipelined = {is_pipelined}"),
            format!("{uploads}request_bytes = {request_bytes:?}"),
        ]
    }
}

/// A class with large responses, as text that ends in its table of transfers.
fn class(name: &str, idempotency: &str, requests_per_second_of_class: f64, random: &mut Pcg64) -> String {
    let rate = random.gen_range(REQUESTS_PER_SECOND);
    let share = rate / requests_per_second_of_class;
    let deadline_ms = random.gen_range(DEADLINE_MS);
    let response_bytes = ordered(RESPONSE_BYTES, random);
    let give_rate = random.gen_range(GIVE_BYTES_PER_SECOND);
    let write_rate = random.gen_range(WRITE_BYTES_PER_SECOND);
    let read_rate = random.gen_range(READ_BYTES_PER_SECOND);
    format!(
        "\n[[class]]\nname = \"{name}\"\nshare = {share:.4}\nwork = \"5ms\"\naim = \"{OBJECTIVE_MS}ms\"\n\
         deadline = \"{deadline_ms}ms\"\nidempotency = \"{idempotency}\"\n\n[class.transfer]\n\
         response_bytes = {response_bytes:?}\ngive_rate = {give_rate}\nwrite_rate = {write_rate}\nread_rate = {read_rate}\n"
    )
}

/// Two draws, the smaller one first.
fn ordered(range: RangeInclusive<usize>, random: &mut Pcg64) -> [usize; 2] {
    let mut two = [random.gen_range(range.clone()), random.gen_range(range)];
    two.sort_unstable();
    two
}
