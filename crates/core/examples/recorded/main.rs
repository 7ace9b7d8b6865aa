//! Feeds a fixed stream of events to the balancer and prints each event with the resulting actions. Two
//! versions that make the same decisions print the same bytes, whatever their types and fields are called.
//! The test `recorded` checks the hash of these bytes.

mod script;
mod simulations;

fn main() {
    for script in simulations::run_all() {
        print!("{script}");
    }
}
