//! The decisions on a fixed stream of events: renaming and moving code changes none of them.

#[path = "../examples/recorded/script.rs"]
mod script;
#[path = "../examples/recorded/worlds.rs"]
mod worlds;

/// Hash of what the example `recorded` prints.
const RECORDED_HASH: u64 = 0x42362eb72eda2616;

#[test]
fn recorded_worlds_bring_the_same_actions() {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    worlds::play().for_each(|script| hasher.update(script.as_bytes()));
    assert_eq!(format!("{:016x}", hasher.digest()), format!("{RECORDED_HASH:016x}"));
}
