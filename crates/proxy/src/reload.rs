//! Reloads the configuration file at each SIGHUP, completely or not at all. A file may name thousands of endpoints: it is
//! read and checked on a thread of its own, so that no call waits for that.

use crate::config::{Config, Diagnostics};
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, JoinError};
use tracing::{error, info};

/// Why a file was not reloaded.
#[derive(Debug, Error)]
enum ReloadError {
    /// The file is invalid.
    #[error(transparent)]
    Invalid(#[from] Diagnostics),
    /// The thread that reads it has died.
    #[error("the file could not be read: {0}")]
    Interrupted(#[from] JoinError),
}

/// What is notified of new settings.
pub struct Reloader {
    pub hangup: Signal,
    /// The configuration in force.
    pub config: Arc<Config>,
    pub dispatcher: Dispatcher,
    pub membership: Option<Rc<MembershipService>>,
    pub metrics: Rc<Metrics>,
    pub discovery_address: watch::Sender<SocketAddr>,
}

impl Reloader {
    /// Reloads at each signal. Ends when no more signals can arrive.
    pub async fn run(mut self) {
        while self.hangup.recv().await.is_some() {
            let reloaded = self.read_file().await;
            self.metrics.count_reload(reloaded.is_ok());
            match reloaded {
                Ok(config) => self.apply(config),
                Err(reason) => error!(%reason, "not reloaded, nothing changed"),
            }
        }
    }

    async fn read_file(&self) -> Result<Config, ReloadError> {
        let in_force = Arc::clone(&self.config);
        Ok(spawn_blocking(move || in_force.reload()).await??)
    }

    fn apply(&mut self, config: Config) {
        let previous = std::mem::replace(&mut self.config, Arc::new(config));
        // Not awaited: only the memory of a large file is freed there.
        drop(spawn_blocking(move || drop(previous)));
        let settings = &self.config.settings;
        let discovery = self.config.discovery;
        let classes = settings.class_names.join(" ");
        let attempts = settings.settings.limits.max_attempts;
        info!(%discovery, %classes, attempts, "reloaded");
        self.dispatcher.apply_settings(settings.clone());
        if let Some(membership) = &self.membership {
            membership.set_configured_count(settings.settings.proxy_count);
        }
        self.discovery_address.send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
    }
}
