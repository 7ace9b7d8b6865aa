//! Reloads the configuration file at each SIGHUP, completely or not at all.

use crate::config::Config;
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{error, info};

/// What is notified of new settings.
pub struct Reloader {
    pub hangup: Signal,
    /// The configuration in force.
    pub config: Config,
    pub dispatcher: Dispatcher,
    pub membership: Option<Rc<MembershipService>>,
    pub metrics: Rc<Metrics>,
    pub discovery_address: watch::Sender<SocketAddr>,
}

impl Reloader {
    /// Reloads at each signal. Ends when no more signals can arrive.
    pub async fn run(mut self) {
        while self.hangup.recv().await.is_some() {
            let reloaded = self.config.reload();
            self.metrics.count_reload(reloaded.is_ok());
            match reloaded {
                Ok(config) => self.apply(config),
                Err(reason) => error!(%reason, "not reloaded, nothing changed"),
            }
        }
    }

    fn apply(&mut self, config: Config) {
        self.config = config;
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
