//! Combines the speeds of engines that entries have measured.
//!
//! The reports are soft state: they lose weight with age, a link's are removed when it
//! closes, and an instance that begins to collect them has none until the next ones
//! arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{combined_speed, SlownessReport, SpeedReport};
use mulberrywell_role::LinkId;
use mulberrywell_wire::serving::EndpointSpeed;

/// Interval at which combined speeds are sent.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(500);

/// Age from which a report counts no more; it then has an eighth of its weight.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);

/// Reports of one start of an endpoint by entry.
#[derive(Debug, Default)]
struct EndpointReports {
    born_ms: u64,
    reports: BTreeMap<LinkId, (SpeedReport, Instant)>,
}

/// Speed reports of all entries.
#[derive(Debug, Default)]
pub struct SpeedTracker {
    endpoints: BTreeMap<Bytes, EndpointReports>,
    /// Endpoints with reports since the last broadcast.
    changed: BTreeSet<Bytes>,
    last_broadcast: Option<Instant>,
}

impl SpeedTracker {
    /// Records an entry's report; reports of an earlier start are ignored.
    pub fn record_report(
        &mut self,
        now: Instant,
        link: LinkId,
        endpoint: Bytes,
        speed: &EndpointSpeed,
    ) {
        let known = self.endpoints.entry(endpoint.clone()).or_default();
        if speed.born_ms < known.born_ms {
            return;
        }
        if speed.born_ms > known.born_ms {
            *known = EndpointReports {
                born_ms: speed.born_ms,
                ..EndpointReports::default()
            };
        }
        known.reports.insert(link, (read_speed(speed), now));
        self.changed.insert(endpoint);
    }

    /// Removes an entry's reports.
    pub fn remove(&mut self, link: LinkId) {
        for known in self.endpoints.values_mut() {
            known.reports.remove(&link);
        }
    }

    /// Returns the combined speeds that are to be sent now.
    pub fn take_due(&mut self, now: Instant) -> BTreeMap<Bytes, EndpointSpeed> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .last_broadcast
            .is_some_and(|at| since(at) < BROADCAST_INTERVAL)
        {
            return BTreeMap::new();
        }
        self.last_broadcast = Some(now);
        self.endpoints.retain(|_, known| {
            known
                .reports
                .retain(|_, (_, at)| since(*at) < REPORT_LIFETIME);
            !known.reports.is_empty()
        });
        let changed = std::mem::take(&mut self.changed).into_iter();
        let due = changed.filter_map(|endpoint| {
            let known = self.endpoints.get(&endpoint)?;
            let reports = known.reports.values();
            let aged: Vec<SpeedReport> = reports
                .map(|(report, at)| report.aged(since(*at)))
                .collect();
            let speed = speed_message(known.born_ms, &combined_speed(&aged));
            Some((endpoint, speed))
        });
        due.collect()
    }
}

fn read_speed(speed: &EndpointSpeed) -> SpeedReport {
    SpeedReport {
        step: SlownessReport::of_milli(speed.step_milli, speed.step_weight_milli),
        prefill: SlownessReport::of_milli(speed.prefill_milli, speed.prefill_weight_milli),
    }
}

fn speed_message(born_ms: u64, report: &SpeedReport) -> EndpointSpeed {
    let (step_milli, step_weight_milli) = report.step.to_milli();
    let (prefill_milli, prefill_weight_milli) = report.prefill.to_milli();
    EndpointSpeed {
        born_ms,
        step_milli,
        step_weight_milli,
        prefill_milli,
        prefill_weight_milli,
    }
}
