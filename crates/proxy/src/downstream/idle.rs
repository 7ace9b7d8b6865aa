//! Client connections without an open request, and their eviction at capacity.

use crate::socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that has been idle for less time is not evicted: the request of a new one may be in transit.
/// Client and proxy share a machine, so the transit takes a small part of this time; a short time also lets
/// many idle connections be replaced quickly.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);

/// Identifies one idle period of a connection; ascending in the order in which the periods began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleKey(u64);

struct IdleConnection {
    since: Instant,
    evicted: Rc<Notify>,
    socket: Socket,
}

/// The idle connections, ordered by idle time, longest first. Evicting them at capacity lets other clients
/// connect even if some clients keep connections open without using them.
#[derive(Default)]
pub struct IdleConnections {
    by_age: RefCell<BTreeMap<IdleKey, IdleConnection>>,
    next_key: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that is idle from now on; `evicted` is notified when it must close.
    pub fn insert(&self, evicted: &Rc<Notify>, socket: &Socket) -> IdleKey {
        let key = IdleKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let connection =
            IdleConnection { since: Instant::now(), evicted: Rc::clone(evicted), socket: socket.clone() };
        self.by_age.borrow_mut().insert(key, connection);
        key
    }

    /// Removes a connection that is no longer idle. Does nothing if it was evicted or removed before.
    pub fn remove(&self, key: IdleKey) {
        self.by_age.borrow_mut().remove(&key);
    }

    /// Evicts the connection that has been idle longest among those whose clients have received their
    /// responses completely. False if none of these has been idle for long enough.
    pub fn evict_longest_idle(&self) -> bool {
        let mut by_age = self.by_age.borrow_mut();
        let longest_idle = by_age
            .iter()
            .take_while(|(_, connection)| connection.since.elapsed() >= MIN_IDLE_BEFORE_EVICTION)
            .find(|(_, connection)| connection.socket.unacknowledged_bytes() == 0)
            .map(|(&key, _)| key);
        let Some(evicted) = longest_idle.and_then(|key| by_age.remove(&key)) else { return false };
        evicted.evicted.notify_one();
        true
    }
}
