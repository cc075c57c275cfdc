//! Reloads the configuration on SIGHUP. Only the addresses of the platform's services can change
//! while a sidecar is running.

use super::{Service, TimerEvent};
use crate::config::{self, ConfigFileError, ProxyConfig, ServiceAddresses};
use crate::timeouts::reload_delay;
use limewing_net::timer_wheel::TimerKey;
use std::path::PathBuf;

/// The configuration file, and the state of retries.
pub(super) struct ConfigReload {
    file: PathBuf,
    /// The timer for reading an invalid configuration again.
    timer: Option<TimerKey>,
    /// Number of consecutive failures to use the file.
    failures: u32,
}

impl ConfigReload {
    pub(super) fn new(file: PathBuf) -> Self {
        Self {
            file,
            timer: None,
            failures: 0,
        }
    }
}

impl Service {
    /// Handles a replaced configuration, in which the services may have new addresses.
    pub(super) fn reload_config(&mut self) {
        if let Some(timer) = self.config_reload.timer.take() {
            self.timers.cancel(timer);
        }
        self.config_reload.failures = 0;
        self.apply_config_file();
    }

    /// Reads the file. An invalid one changes nothing; it may be only partly written, so reading it
    /// is retried a limited number of times.
    pub(super) fn apply_config_file(&mut self) {
        self.config_reload.timer = None;
        match config::read(&self.config_reload.file) {
            Ok(config) if config.name != self.settings.name => {
                let file = self.config_reload.file.display();
                let found = &config.name;
                let expected = &self.settings.name;
                tracing::warn!(%file, found, expected, "configuration names another sidecar, keeping the previous one");
            }
            Ok(config) => {
                self.warn_of_ignored_changes(&config);
                self.move_services(config.services);
            }
            Err(error) => self.retry_reload(&error),
        }
    }

    fn warn_of_ignored_changes(&self, config: &ProxyConfig) {
        let has_new_settings = config.settings_hash != self.settings.settings_hash;
        if config.listen == self.settings.listen && !has_new_settings {
            return;
        }
        tracing::warn!(
            listen = %self.settings.listen,
            found = %config.listen,
            settings = has_new_settings,
            "listen address and settings apply after a restart"
        );
    }

    fn retry_reload(&mut self, error: &ConfigFileError) {
        let retry_in = reload_delay(self.config_reload.failures);
        tracing::warn!(%error, ?retry_in, "configuration cannot be used, keeping the previous one");
        self.config_reload.failures += 1;
        self.config_reload.timer = retry_in.map(|delay| {
            self.timers
                .schedule(self.now + delay, TimerEvent::ReloadConfig)
        });
    }

    fn move_services(&mut self, services: ServiceAddresses) {
        tracing::info!(?services, "configuration reloaded");
        let former = std::mem::replace(&mut self.services, services);
        if former.discovery != services.discovery {
            self.move_watch();
        }
        if former.rollouts != services.rollouts {
            self.move_stage_stream();
        }
    }
}
