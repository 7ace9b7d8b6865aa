//! Draws the large bodies of a plan: slow readers of large responses, slow uploads, and the planned end of
//! their proxies.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::ops::RangeInclusive;

/// Plans of lower seeds have no large bodies, so that their plans still match the results in existing
/// reports.
const FIRST_SEED: u64 = 101;
/// From `FIRST_SEED` on, one plan in this many has large bodies.
const ONE_PLAN_IN: u32 = 2;
/// Combined with the seed of a plan, so that large bodies are drawn independently of the rest of the plan.
const SEED_MASK: u64 = 0x6c61_7267_6562_6f64;
/// Requests a second of each class with large bodies, over all client proxies.
const REQUESTS_PER_SECOND: RangeInclusive<f64> = 1.0..=3.0;
/// From about the initial size of a connection's kernel buffers to more than they can hold.
const RESPONSE_BYTES: RangeInclusive<usize> = 2_500_000..=4_500_000;
const REQUEST_BYTES: RangeInclusive<usize> = 150_000..=700_000;
const RESPONSE_WRITE_BYTES_PER_SECOND: RangeInclusive<usize> = 1_000_000..=8_000_000;
const RESPONSE_READ_BYTES_PER_SECOND: RangeInclusive<usize> = 48_000..=96_000;
const REQUEST_WRITE_BYTES_PER_SECOND: RangeInclusive<usize> = 100_000..=250_000;
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: RangeInclusive<u64> = 1_500..=3_000;

/// The large bodies of a plan.
pub struct Transfers {
    random: Pcg64,
    /// The event that ends the processes of the client proxies.
    pub process_event: &'static str,
}

impl Transfers {
    /// Draws the large bodies of this seed, if its plan has any.
    pub fn draw(seed: u64) -> Option<Self> {
        let mut random = Pcg64::seed_from_u64(seed ^ SEED_MASK);
        if seed < FIRST_SEED || !random.gen_ratio(1, ONE_PLAN_IN) {
            return None;
        }
        let process_event = *["restart", "upgrade"].choose(&mut random)?;
        Some(Transfers { random, process_event })
    }

    /// The classes of requests with large bodies, as TOML, given the requests a second of each other class.
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

/// A class with large responses, as TOML that ends in its table of transfers.
fn class(name: &str, idempotency: &str, requests_per_second_of_class: f64, random: &mut Pcg64) -> String {
    let rate = random.gen_range(REQUESTS_PER_SECOND);
    let share = rate / requests_per_second_of_class;
    let deadline_ms = random.gen_range(DEADLINE_MS);
    let response_bytes = ordered(RESPONSE_BYTES, random);
    let response_write_rate = random.gen_range(RESPONSE_WRITE_BYTES_PER_SECOND);
    let request_write_rate = random.gen_range(REQUEST_WRITE_BYTES_PER_SECOND);
    let response_read_rate = random.gen_range(RESPONSE_READ_BYTES_PER_SECOND);
    format!(
        "\n[[class]]\nname = \"{name}\"\nshare = {share:.4}\nwork = \"5ms\"\naim = \"{OBJECTIVE_MS}ms\"\n\
         deadline = \"{deadline_ms}ms\"\nidempotency = \"{idempotency}\"\n\n[class.transfer]\n\
         response_bytes = {response_bytes:?}\ngive_rate = {response_write_rate}\nwrite_rate = {request_write_rate}\nread_rate = {response_read_rate}\n"
    )
}

/// Two draws, the smaller one first.
fn ordered(range: RangeInclusive<usize>, random: &mut Pcg64) -> [usize; 2] {
    let mut two = [random.gen_range(range.clone()), random.gen_range(range)];
    two.sort_unstable();
    two
}
