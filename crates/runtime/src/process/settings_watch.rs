//! Notices that the settings file has changed while the process runs.
//!
//! Algorithm: the file is read at an interval, as it may change without a
//! signal. Seeds take effect at once; other settings at the next start.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_settings::ServeSettings;

/// Interval at which the file is read.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The settings in force.
pub struct SettingsWatch {
    path: String,
    settings: ServeSettings,
    /// Text that was read last.
    source: String,
    next_read: Option<Instant>,
}

impl SettingsWatch {
    /// Watches the file that the settings came from.
    pub fn open(path: &str, settings: &ServeSettings) -> Self {
        SettingsWatch {
            path: path.to_owned(),
            settings: settings.clone(),
            source: String::new(),
            next_read: None,
        }
    }

    /// Returns the seeds when they have changed.
    pub fn check(&mut self, now: Instant) -> Option<Vec<SocketAddr>> {
        if self.next_read.is_some_and(|at| now < at) {
            return None;
        }
        self.next_read = Some(now + READ_INTERVAL);
        let source = match fs::read_to_string(&self.path) {
            Ok(source) => source,
            Err(err) => {
                spdlog::warn!("settings: can't read {}: {}", self.path, err);
                return None;
            }
        };
        if source == self.source {
            return None;
        }
        self.source = source;
        self.apply()
    }

    fn apply(&mut self) -> Option<Vec<SocketAddr>> {
        let new_settings = match ServeSettings::parse(&self.path, &self.source) {
            Ok(new_settings) => new_settings,
            Err(findings) => {
                // The file may have been read while it was written.
                for finding in findings {
                    spdlog::warn!("settings: not applied: {}", finding);
                }
                return None;
            }
        };
        if new_settings == self.settings {
            return None;
        }
        let changed = new_settings.instance.seeds != self.settings.instance.seeds;
        spdlog::info!("settings: reloaded; seeds changed: {}", changed);
        self.settings = new_settings;
        changed.then(|| self.settings.instance.seeds.clone())
    }
}
