//! Counts the open client connections by activity, for the log and the admin endpoint.

#[cfg(test)]
mod tests;

use crate::metrics::OpenConnectionCounts;
use std::cell::Cell;
use std::rc::Rc;

/// The current activity on a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// There is no request with a complete head.
    NoRequest,
    /// A request's body has not arrived completely.
    IncompleteRequest,
    /// A request is complete, and its response has not begun.
    AwaitingResponse,
    /// A response has not been written completely.
    WritingResponse,
}

/// Counters of the open client connections.
#[derive(Debug, Default)]
pub struct OpenConnections {
    connections: Cell<usize>,
    incomplete_requests: Cell<usize>,
    awaiting_response: Cell<usize>,
    writing_response: Cell<usize>,
}

impl OpenConnections {
    /// Counts a connection until the returned value is dropped.
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection { counters: Rc::clone(self), activity: Cell::new(Activity::NoRequest) }
    }

    /// The current counts.
    pub fn counts(&self) -> OpenConnectionCounts {
        OpenConnectionCounts {
            connections: self.connections.get(),
            incomplete_requests: self.incomplete_requests.get(),
            awaiting_response: self.awaiting_response.get(),
            writing_response: self.writing_response.get(),
        }
    }

    fn counter(&self, activity: Activity) -> Option<&Cell<usize>> {
        match activity {
            Activity::NoRequest => None,
            Activity::IncompleteRequest => Some(&self.incomplete_requests),
            Activity::AwaitingResponse => Some(&self.awaiting_response),
            Activity::WritingResponse => Some(&self.writing_response),
        }
    }
}

/// One connection counted in [`OpenConnections`], until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    counters: Rc<OpenConnections>,
    activity: Cell<Activity>,
}

impl OpenConnection {
    /// Moves the connection to the count of this activity.
    pub fn set_activity(&self, activity: Activity) {
        let previous = self.activity.replace(activity);
        if let Some(counter) = self.counters.counter(previous) {
            counter.set(counter.get() - 1);
        }
        if let Some(counter) = self.counters.counter(activity) {
            counter.set(counter.get() + 1);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.set_activity(Activity::NoRequest);
        self.counters.connections.set(self.counters.connections.get() - 1);
    }
}
