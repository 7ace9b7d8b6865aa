//! Reloads the configuration file at each SIGHUP, completely or not at all. As a file may list thousands of endpoints,
//! it is read and validated on a separate thread, so that no call is delayed.

use crate::config::{Config, Diagnostics};
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::metrics::Metrics;
use crate::process_memory::return_free_memory;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, JoinError};
use tracing::{error, info};

/// Why a reload failed.
#[derive(Debug, Error)]
enum ReloadError {
    /// The file is invalid.
    #[error(transparent)]
    Invalid(#[from] Diagnostics),
    /// The thread that reads the file did not finish.
    #[error("reading the configuration file was interrupted: {0}")]
    Interrupted(#[from] JoinError),
}

/// Reloads the configuration and applies it to the parts of the process that depend on it.
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
    /// Reloads at each SIGHUP. Returns when no more signals can arrive.
    pub async fn run(mut self) {
        while self.hangup.recv().await.is_some() {
            let reloaded = self.read_file().await;
            self.metrics.count_reload(reloaded.is_ok());
            match reloaded {
                Ok(config) => self.apply(config),
                Err(reason) => error!(%reason, "reload failed, configuration unchanged"),
            }
        }
    }

    async fn read_file(&self) -> Result<Config, ReloadError> {
        let in_force = Arc::clone(&self.config);
        let reload = move || {
            let reloaded = in_force.reload();
            return_free_memory();
            reloaded
        };
        Ok(spawn_blocking(reload).await??)
    }

    fn apply(&mut self, config: Config) {
        let previous = std::mem::replace(&mut self.config, Arc::new(config));
        // Frees the memory of a possibly large file on another thread, without waiting for it.
        let free_previous = move || {
            drop(previous);
            return_free_memory();
        };
        drop(spawn_blocking(free_previous));
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
