//! Evacuations of availability zones, in the replicated state.
//!
//! Guarantees: a change applies only if its zone wasn't changed by an entry later than the
//! one that its call was based on, so that a call which is delayed in transit undoes
//! nothing. Ended evacuations are kept for a time, so that gateways learn of the end.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_consensus::LogIndex;
use mulberrywell_wire::serving::{EvacuationRecord, SetEvacuation};

use crate::command_outcome::EditConflict;

/// Maximum number of zones with a record.
const ZONES_MAX: usize = 1_024;

/// Time in milliseconds for which an ended evacuation is kept at least; several times the
/// interval of the endpoints' heartbeats.
const ENDED_KEPT_MS: u64 = 60_000;

/// All evacuations that are in force or ended a while ago, by zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EvacuationTable {
    records: BTreeMap<Bytes, EvacuationRecord>,
}

impl EvacuationTable {
    /// Restores a table from a snapshot.
    pub fn from_records(records: Vec<EvacuationRecord>) -> Self {
        let records = records.into_iter();
        EvacuationTable {
            records: records.map(|item| (item.zone.clone(), item)).collect(),
        }
    }

    /// Returns the records for a snapshot.
    pub fn to_records(&self) -> Vec<EvacuationRecord> {
        self.records.values().cloned().collect()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &Bytes) -> bool {
        let record = self.records.get(zone);
        record.is_some_and(|record| record.ended_ms.is_none())
    }

    /// Returns the record of a zone.
    pub fn get(&self, zone: &Bytes) -> Option<&EvacuationRecord> {
        self.records.get(zone)
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.records.values()
    }

    /// Applies a change at a log index; returns whether it changed anything.
    ///
    /// # Errors
    /// Fails if a later entry than the change's base changed the zone to the contrary, or
    /// if there are too many zones.
    pub fn apply_change(
        &mut self,
        index: LogIndex,
        clock_ms: u64,
        set: &SetEvacuation,
    ) -> Result<bool, EditConflict> {
        if self.contains(&set.zone) == set.evacuated {
            return Ok(false);
        }
        let known = self.records.get(&set.zone);
        if let Some(known) = known.filter(|known| known.index > set.base) {
            return Err(EditConflict::BaseMismatch {
                version: known.index,
                winner: Bytes::new(),
            });
        }
        self.records.retain(|zone, record| {
            let is_recent = |ended: u64| ended.saturating_add(ENDED_KEPT_MS) > clock_ms;
            *zone == set.zone || record.ended_ms.is_none_or(is_recent)
        });
        let is_new = !self.records.contains_key(&set.zone);
        if is_new && self.records.len() >= ZONES_MAX {
            return Err(EditConflict::Full);
        }
        let record = self.records.entry(set.zone.clone()).or_default();
        record.zone = set.zone.clone();
        record.index = index;
        if set.evacuated {
            record.since_ms = clock_ms;
            record.ended_ms = None;
        } else {
            record.ended_ms = Some(clock_ms);
        }
        Ok(true)
    }
}
