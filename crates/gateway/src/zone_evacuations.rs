//! Evacuated availability zones as control instances tell of them.
//!
//! Algorithm: every control instance tells all evacuations as of an entry of its log; the
//! list of the latest entry holds, so a late message undoes nothing. For a short time after
//! its start, an evacuated zone still gets the requests for models that are resident
//! nowhere else, while control loads these elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::serving::EvacuationList;

/// Time from the start of an evacuation for which the zone gets requests for models that
/// are resident nowhere else. A zone must get no more requests 5 s after the start is
/// acknowledged; the rest is for messages in transit and for clocks that differ.
const HANDOVER_TIME: Duration = Duration::from_millis(2_500);

/// A change of a zone, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ZoneChange {
    pub zone: Bytes,
    pub is_evacuated: bool,
}

/// The zones that get no requests.
#[derive(Debug, Default)]
pub(crate) struct ZoneEvacuations {
    /// Cluster, and term and index of the entry as of which the zones are known.
    position: Option<(u64, u64, u64)>,
    /// Evacuated zones, with the end of their handover.
    zones: BTreeMap<Bytes, Instant>,
}

impl ZoneEvacuations {
    /// Applies a list, unless a later one of the same cluster is known; returns what it
    /// changed.
    pub fn apply(&mut self, now: Instant, list: &EvacuationList) -> Vec<ZoneChange> {
        let position = (list.cluster, list.term, list.index);
        let is_late = |known: (u64, u64, u64)| known.0 == position.0 && known >= position;
        if self.position.is_some_and(is_late) {
            return Vec::new();
        }
        self.position = Some(position);
        let mut before = std::mem::take(&mut self.zones);
        let mut changes = Vec::new();
        for item in &list.zones {
            if item.ended_age_ms.is_some() {
                continue;
            }
            let left = HANDOVER_TIME.saturating_sub(Duration::from_millis(item.age_ms));
            let known = before.remove(&item.zone);
            let handover_end = known.unwrap_or(now + left);
            self.zones.insert(item.zone.clone(), handover_end);
            if known.is_none() {
                changes.push(ZoneChange {
                    zone: item.zone.clone(),
                    is_evacuated: true,
                });
            }
        }
        for zone in before.into_keys() {
            changes.push(ZoneChange {
                zone,
                is_evacuated: false,
            });
        }
        changes
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &Bytes) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns whether a zone gets no request at all.
    pub fn is_closed(&self, now: Instant, zone: &Bytes) -> bool {
        self.zones.get(zone).is_some_and(|end| *end <= now)
    }

    /// Returns whether any zone is in its handover.
    pub fn has_handover(&self, now: Instant) -> bool {
        self.zones.values().any(|end| *end > now)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }
}
