//! Counts the open client connections by what they carry, for the log and the admin endpoint.

#[cfg(test)]
mod tests;

use crate::metrics::OpenConnectionCounts;
use std::cell::Cell;
use std::rc::Rc;

/// What a client connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request whose head is complete.
    NoRequest,
    /// A request of whose body some has still to arrive.
    IncompleteRequest,
    /// A complete request whose response has not begun.
    AwaitingResponse,
    /// A response that is not yet written in full.
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
    /// Counts a connection, for as long as the returned value lives.
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection { counters: Rc::clone(self), activity: Cell::new(Activity::NoRequest) }
    }

    /// The counts at this moment.
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

/// One connection in the counts of [`OpenConnections`]; dropping it takes the connection out.
#[derive(Debug)]
pub struct OpenConnection {
    counters: Rc<OpenConnections>,
    activity: Cell<Activity>,
}

impl OpenConnection {
    /// Counts the connection under this activity from now on.
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
