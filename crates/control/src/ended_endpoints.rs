//! Endpoints that drain or have gone, in the replicated state.
//!
//! An instance that confirms to an endpoint that it drains or has left must still know so
//! when all instances have been killed: a heartbeat that was sent before may arrive
//! afterwards, and would count as the first word of a new endpoint. Such calls are
//! therefore confirmed once their record is committed.
//!
//! Records are ordered as statuses are: by the start, then by whether the endpoint has gone,
//! then by the sequence. A status with a lower order is late. The oldest records are dropped
//! where there are more than [`ENDED_MAX`]. A record whose sequence another writer stated is
//! withdrawn when the endpoint itself is heard (`outrun_endpoints`).

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::{EndedEndpoint, EndpointPhase, EndpointStatus};

/// Maximum number of records; late heartbeats of endpoints that ended longer ago aren't
/// recognized.
const ENDED_MAX: usize = 4_096;

/// Start, whether the endpoint has gone, and sequence.
type EndOrder = (u64, bool, u64);

/// An id and a service; no service if the endpoint has gone, whatever its service.
type EndedKey = (EndpointId, Bytes);

/// The records.
#[derive(Debug, Clone, Default)]
pub struct EndedEndpoints {
    /// Order of each record, with its position.
    records: BTreeMap<EndedKey, (EndOrder, u64)>,
    /// Key and position of each record, the oldest first.
    oldest: BTreeSet<(u64, EndedKey)>,
}

impl EndedEndpoints {
    /// Inserts a record, unless a later one of its endpoint is known.
    pub fn insert(&mut self, ended: &EndedEndpoint) {
        if self.contains(ended) {
            return;
        }
        let key = key_of(ended);
        let position = self.oldest.last().map_or(0, |(last, _)| last + 1);
        let before = self
            .records
            .insert(key.clone(), (order_of(ended), position));
        if let Some((_, before)) = before {
            self.oldest.remove(&(before, key.clone()));
        }
        self.oldest.insert((position, key));
        while self.records.len() > ENDED_MAX {
            let Some((_, key)) = self.oldest.pop_first() else {
                return;
            };
            self.records.remove(&key);
        }
    }

    /// Applies a change from the log.
    pub fn apply(&mut self, ended: &EndedEndpoint) {
        if !ended.withdrawn {
            self.insert(ended);
        } else if self.contains_withdrawn(ended) {
            let key = key_of(ended);
            if let Some((_, position)) = self.records.remove(&key) {
                self.oldest.remove(&(position, key));
            }
        }
    }

    /// Returns whether a change from the log would have no effect.
    pub fn is_applied(&self, ended: &EndedEndpoint) -> bool {
        match ended.withdrawn {
            true => !self.contains_withdrawn(ended),
            false => self.contains(ended),
        }
    }

    /// Returns the sequence by which an endpoint of the same id, service and start drains.
    pub fn draining_sequence(&self, status: &EndpointStatus) -> Option<u64> {
        let key = (status.id.clone(), status.service.clone());
        let ((born_ms, gone, sequence), _) = self.records.get(&key)?;
        (*born_ms == status.born_ms && !gone).then_some(*sequence)
    }

    /// Returns whether a record of an endpoint that drains is known, or of one that has gone.
    pub fn contains_id(&self, id: &EndpointId) -> bool {
        let from = (id.clone(), Bytes::new());
        let mut known = self.records.range(from..);
        known.next().is_some_and(|((known, _), _)| known == id)
    }

    /// Returns whether a record that is withdrawn is known as it was then.
    fn contains_withdrawn(&self, ended: &EndedEndpoint) -> bool {
        let known = self.records.get(&key_of(ended));
        known.is_some_and(|(order, _)| *order == order_of(ended))
    }

    /// Returns whether a record, or a later one of its endpoint, is known.
    pub fn contains(&self, ended: &EndedEndpoint) -> bool {
        let known = self.records.get(&key_of(ended));
        known.is_some_and(|(order, _)| *order >= order_of(ended))
    }

    /// Returns whether a record of the same start, or of a later one, is known.
    pub fn contains_start(&self, ended: &EndedEndpoint) -> bool {
        let known = self.records.get(&key_of(ended));
        known.is_some_and(|((born_ms, ..), _)| *born_ms >= ended.born_ms)
    }

    /// Returns whether a status was sent before its endpoint drained or left.
    pub fn is_late(&self, status: &EndpointStatus) -> bool {
        let is_gone = status.phase() == EndpointPhase::Gone;
        let order = (status.born_ms, is_gone, status.sequence);
        let services = [status.service.clone(), Bytes::new()];
        let mut keys = services
            .map(|service| (status.id.clone(), service))
            .into_iter();
        keys.any(|key| {
            self.records
                .get(&key)
                .is_some_and(|(known, _)| *known > order)
        })
    }

    /// Returns all records, the oldest first.
    pub fn to_records(&self) -> Vec<EndedEndpoint> {
        let known = self.oldest.iter().filter_map(|(_, key)| {
            let ((born_ms, gone, sequence), _) = self.records.get(key)?;
            Some(EndedEndpoint {
                id: key.0.clone(),
                service: key.1.clone(),
                born_ms: *born_ms,
                sequence: *sequence,
                gone: *gone,
                withdrawn: false,
            })
        });
        known.collect()
    }

    /// Restores the records from a snapshot.
    pub fn from_records(records: Vec<EndedEndpoint>) -> Self {
        let mut ended = EndedEndpoints::default();
        for record in records {
            // The snapshot's bytes may be shared with much else.
            ended.insert(&EndedEndpoint {
                id: Bytes::copy_from_slice(&record.id),
                service: Bytes::copy_from_slice(&record.service),
                ..record
            });
        }
        ended
    }
}

fn key_of(ended: &EndedEndpoint) -> EndedKey {
    (ended.id.clone(), ended.service.clone())
}

fn order_of(ended: &EndedEndpoint) -> EndOrder {
    (ended.born_ms, ended.gone, ended.sequence)
}

/// Returns the record of a status that drains or has gone; none of another one.
pub fn ended_by(status: &EndpointStatus) -> Option<EndedEndpoint> {
    let gone = match status.phase() {
        EndpointPhase::Gone => true,
        EndpointPhase::Draining => false,
        _ => return None,
    };
    Some(EndedEndpoint {
        id: status.id.clone(),
        service: match gone {
            true => Bytes::new(),
            false => status.service.clone(),
        },
        born_ms: status.born_ms,
        sequence: if gone { 0 } else { status.sequence },
        gone,
        withdrawn: false,
    })
}
