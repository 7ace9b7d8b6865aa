//! Whether the client of a request is still there.

use super::connection::ClientConnection;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Tells whether the client of a request is still connected, without keeping its connection open.
#[derive(Clone, Default)]
pub struct ClientPresence(Option<Weak<ClientConnection>>);

impl ClientPresence {
    pub fn of(connection: &Rc<ClientConnection>) -> Self {
        ClientPresence(Some(Rc::downgrade(connection)))
    }

    /// Whether the client has disconnected. False where no connection is known.
    pub fn is_disconnected(&self) -> bool {
        let Some(connection) = &self.0 else { return false };
        connection.upgrade().is_none_or(|connection| connection.has_client_closed())
    }

    /// How long ago the latest byte of the client arrived. Zero where no connection is known.
    pub fn time_since_last_byte(&self) -> Duration {
        let connection = self.0.as_ref().and_then(Weak::upgrade);
        connection.map_or(Duration::ZERO, |connection| {
            connection.observe_arrivals();
            connection.arrivals().latest().elapsed()
        })
    }
}
