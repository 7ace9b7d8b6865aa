//! Plays a fixed stream of events to the balancer and prints each event with the actions that it brought. Two
//! versions that decide alike print the same bytes, whatever their types and fields are called. The test
//! `recorded` has the hash of these bytes.

mod script;
mod worlds;

fn main() {
    for script in worlds::play() {
        print!("{script}");
    }
}
