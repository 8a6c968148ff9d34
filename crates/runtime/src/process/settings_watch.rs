//! Detects changes of the settings file while the process runs.
//!
//! Algorithm: the file is read at an interval, because it may change without a
//! signal. New seeds take effect at once, other settings at the next start.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_settings::ServeSettings;

/// Interval at which the file is read.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The settings file and its last valid content.
pub struct SettingsWatch {
    path: String,
    settings: ServeSettings,
    /// Text of the file as last read.
    source: String,
    next_read: Option<Instant>,
}

impl SettingsWatch {
    /// Starts watching the file from which the settings were read.
    pub fn open(path: &str, settings: &ServeSettings) -> Self {
        SettingsWatch {
            path: path.to_owned(),
            settings: settings.clone(),
            source: String::new(),
            next_read: None,
        }
    }

    /// Reads the file if the interval has passed, and returns the seeds if they
    /// have changed.
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
                // The file may have been read during a write.
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
