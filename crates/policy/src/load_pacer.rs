//! Paces loads to what the weight store and the engines serve at full speed.
//!
//! Algorithm: a token bucket for the store's rate, which holds no more than its
//! ceiling allows beyond the rate, and for models and for adapters each a bound
//! on loads in flight: a load past the store's parallelism, or past the knee of
//! the adapters' curve, would only make all others slower.

use std::time::{Duration, Instant};

/// Limits of loads.
#[derive(Debug, Clone, PartialEq)]
pub struct PacerSettings {
    /// Loads of models that the store allows in a minute.
    pub store_loads_per_minute: u64,
    /// Loads of models that may start at the same moment.
    pub store_burst: u32,
    /// Loads of models at once that the store serves at full speed.
    pub store_parallel: u32,
    /// Adapter loads at once up to which each takes its shortest time.
    pub adapter_parallel: u32,
}

impl Default for PacerSettings {
    fn default() -> Self {
        PacerSettings {
            store_loads_per_minute: 90,
            store_burst: 4,
            store_parallel: 4,
            adapter_parallel: 30,
        }
    }
}

const MINUTE: Duration = Duration::from_secs(60);

/// Gives permits for loads.
#[derive(Debug)]
pub struct LoadPacer {
    settings: PacerSettings,
    /// Loads that may start now; at most `store_burst`.
    credit: f64,
    refilled: Instant,
    /// Model loads in flight, at most `store_parallel` after a permit.
    models: u32,
    /// Adapter loads in flight, at most `adapter_parallel` after a permit.
    adapters: u32,
}

impl LoadPacer {
    /// Creates a pacer with no credit, as an earlier leader may have used it.
    pub fn new(settings: PacerSettings, now: Instant) -> Self {
        LoadPacer {
            settings,
            credit: 0.0,
            refilled: now,
            models: 0,
            adapters: 0,
        }
    }

    /// Replaces the limits; what was started under the old ones stays counted.
    pub fn set_settings(&mut self, settings: PacerSettings) {
        self.settings = settings;
    }

    /// Returns how many loads the store allows in a second, rounded up.
    pub fn loads_per_second(&self) -> u32 {
        let loads = self
            .settings
            .store_loads_per_minute
            .div_ceil(MINUTE.as_secs());
        u32::try_from(loads).unwrap_or(u32::MAX)
    }

    /// Starts a plan with the loads that are in flight now.
    pub fn begin(&mut self, now: Instant, models: u32, adapters: u32) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let rate = self.settings.store_loads_per_minute as f64;
        let gained = rate * elapsed.as_secs_f64() / MINUTE.as_secs_f64();
        let most = f64::from(self.settings.store_burst).max(1.0);
        self.credit = (self.credit + gained).min(most);
        self.refilled = now;
        self.models = models;
        self.adapters = adapters;
    }

    /// Tells whether a load could start.
    pub fn has_permit(&self, adapter: bool) -> bool {
        if adapter {
            return self.adapters < self.settings.adapter_parallel;
        }
        self.credit >= 1.0 && self.models < self.settings.store_parallel
    }

    /// Takes a permit; tells whether there was one.
    pub fn take_permit(&mut self, adapter: bool) -> bool {
        if !self.has_permit(adapter) {
            return false;
        }
        if adapter {
            self.adapters += 1;
        } else {
            self.credit -= 1.0;
            self.models += 1;
        }
        true
    }
}
