//! Keeps the endpoint list up to date with discovery (`docs/discovery.md`).

mod deadlines;
mod poll;
mod watcher;

pub use watcher::EndpointWatcher;
