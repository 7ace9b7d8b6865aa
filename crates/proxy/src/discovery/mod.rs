//! Keeps the endpoint list up to date by watching discovery (`docs/discovery.md`).

mod deadlines;
mod list_update;
mod poll;
mod poll_schedule;
mod staleness;
mod watcher;

pub use watcher::EndpointWatcher;
