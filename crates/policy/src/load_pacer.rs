//! Paces loads to the rate that the weight store and the engines serve at full
//! speed.
//!
//! Algorithm: a token bucket limits the store's rate, with a capacity that matches
//! the burst that the store allows on top of the rate. Models and adapters each
//! have a limit on loads in flight: a load beyond the store's parallelism, or
//! beyond the knee of the adapters' load curve, would only slow down all others.

use std::time::{Duration, Instant};

/// Limits of loads.
#[derive(Debug, Clone, PartialEq)]
pub struct PacerSettings {
    /// Model loads that the store allows per minute.
    pub store_loads_per_minute: u64,
    /// Model loads that may start at the same time.
    pub store_burst: u32,
    /// Concurrent model loads that the store serves at full speed.
    pub store_parallel: u32,
    /// Concurrent adapter loads up to which each takes its minimum time.
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

/// Loads that may start at once however low the rate is: what the store allows in
/// any window on top of its rate.
const STORE_BURST_MIN: u64 = 3;

/// Part of a second's loads that may start at once in addition. The store allows a
/// tenth of its window of five seconds; half of that covers the jitter of orders.
const STORE_BURST_DIVISOR: u64 = 4;

/// Returns the model loads that may start at the same time at a store that allows a
/// number of loads per minute.
pub fn store_burst(loads_per_minute: u64) -> u32 {
    let burst = STORE_BURST_MIN + loads_per_minute / MINUTE.as_secs() / STORE_BURST_DIVISOR;
    u32::try_from(burst).unwrap_or(u32::MAX)
}

/// Grants permits for loads.
#[derive(Debug)]
pub struct LoadPacer {
    settings: PacerSettings,
    /// Model loads that may start now; at most `store_burst`.
    credit: f64,
    refilled_at: Instant,
    /// Model loads in flight, at most `store_parallel` after a permit.
    models: u32,
    /// Adapter loads in flight, at most `adapter_parallel` after a permit.
    adapters: u32,
}

impl LoadPacer {
    /// Creates a pacer without credit, because an earlier leader may have spent it.
    pub fn new(settings: PacerSettings, now: Instant) -> Self {
        LoadPacer {
            settings,
            credit: 0.0,
            refilled_at: now,
            models: 0,
            adapters: 0,
        }
    }

    /// Replaces the limits; loads started under the old limits remain counted.
    pub fn set_settings(&mut self, settings: PacerSettings) {
        self.settings = settings;
    }

    /// Returns the loads per second that the store allows, rounded up.
    pub fn loads_per_second(&self) -> u32 {
        let loads = self
            .settings
            .store_loads_per_minute
            .div_ceil(MINUTE.as_secs());
        u32::try_from(loads).unwrap_or(u32::MAX)
    }

    /// Refills the credit and sets the loads in flight at the start of a plan.
    pub fn begin_plan(&mut self, now: Instant, models: u32, adapters: u32) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let rate = self.settings.store_loads_per_minute as f64;
        let refill = rate * elapsed.as_secs_f64() / MINUTE.as_secs_f64();
        let capacity = f64::from(self.settings.store_burst).max(1.0);
        self.credit = (self.credit + refill).min(capacity);
        self.refilled_at = now;
        self.models = models;
        self.adapters = adapters;
    }

    /// Returns whether a load could start.
    pub fn has_permit(&self, is_adapter: bool) -> bool {
        if is_adapter {
            return self.adapters < self.settings.adapter_parallel;
        }
        self.credit >= 1.0 && self.models < self.settings.store_parallel
    }

    /// Acquires a permit; returns whether one was available.
    pub fn acquire_permit(&mut self, is_adapter: bool) -> bool {
        if !self.has_permit(is_adapter) {
            return false;
        }
        if is_adapter {
            self.adapters += 1;
        } else {
            self.credit -= 1.0;
            self.models += 1;
        }
        true
    }
}
