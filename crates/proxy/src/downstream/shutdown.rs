//! What the client side knows of a graceful shutdown.

use tokio::sync::watch;
use tokio::time::Instant;

/// A graceful shutdown that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM came.
    pub began: Instant,
}

/// The graceful shutdown; None: none has begun.
pub type ShutdownSignal = watch::Receiver<Option<Shutdown>>;
