//! Guards against changed decisions: renaming or moving code must not change any action on a fixed event
//! stream.

#[path = "../examples/recorded/script.rs"]
mod script;
#[path = "../examples/recorded/simulations.rs"]
mod simulations;

/// Hash of the output of the example `recorded`.
const RECORDED_HASH: u64 = 0x42362eb72eda2616;

#[test]
fn recorded_simulations_produce_the_same_actions() {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    simulations::run_all().for_each(|script| hasher.update(script.as_bytes()));
    assert_eq!(format!("{:016x}", hasher.digest()), format!("{RECORDED_HASH:016x}"));
}
