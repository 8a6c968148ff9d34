//! What a control instance tells gateways about evacuated zones.
//!
//! Algorithm: a list of zones is named by the cluster and by the log entry as of which it
//! holds, so that gateways, which hear from all control instances, take the latest. An
//! instance that restarts doesn't know yet which entries at the end of its log are
//! committed. Until it does, it also lists the zones whose evacuation these entries start,
//! as one of them may have been acknowledged, and doesn't follow those that end one. That
//! list counts as older than any list that is known to be committed.

use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_consensus::{LogIndex, RecoveredState, Term};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::LogCommand;
use mulberrywell_wire::serving::{EvacuationList, ZoneEvacuation};
use prost::Message;

use crate::cluster_state::ClusterState;

/// Time in milliseconds for which gateways are told that an evacuation has ended.
const ENDED_TOLD_MS: u64 = 10_000;

/// The entry as of which a list holds.
pub type ListPosition = (Term, LogIndex);

/// Evacuations that recovered entries start and that aren't known to be committed.
#[derive(Debug)]
struct UnconfirmedStarts {
    zones: BTreeSet<Bytes>,
    /// The last recovered entry that starts or ends an evacuation.
    last_index: LogIndex,
}

/// The position of the list, and what isn't confirmed yet.
#[derive(Debug, Default)]
pub struct EvacuationView {
    /// `None` if no zone was ever evacuated.
    position: Option<ListPosition>,
    unconfirmed: Option<UnconfirmedStarts>,
}

impl EvacuationView {
    /// Creates the view of an instance that starts with a recovered state.
    pub fn recover(recovered: &RecoveredState, state: &ClusterState) -> Self {
        let mut view = EvacuationView::default();
        if let Some(image) = &recovered.snapshot {
            view.restore(state, image.meta.term, image.meta.index);
        }
        let mut zones = BTreeSet::new();
        let mut last = None;
        for entry in &recovered.entries {
            let data = entry.command().filter(|_| entry.index > state.applied);
            let command = data.and_then(|data| LogCommand::decode(data.clone()).ok());
            let Some(Body::SetEvacuation(set)) = command.and_then(|it| it.body) else {
                continue;
            };
            if set.evacuated {
                zones.insert(set.zone);
            }
            last = Some((entry.term, entry.index));
        }
        if let Some((term, last_index)) = last {
            // One less than the entry itself, so that the committed list is later.
            let position = (term, last_index.saturating_sub(1));
            view.position = view.position.max(Some(position));
            view.unconfirmed = Some(UnconfirmedStarts { zones, last_index });
        }
        view
    }

    /// Takes over a state from a snapshot.
    pub fn restore(&mut self, state: &ClusterState, term: Term, index: LogIndex) {
        if self.position.is_some() || state.evacuations.records().next().is_some() {
            self.position = Some((term, index));
        }
        self.confirm(index);
    }

    /// Records that an entry was applied.
    pub fn record_applied(&mut self, term: Term, index: LogIndex, is_change: bool) {
        let is_confirmed = self.confirm(index);
        if is_change || is_confirmed {
            self.position = Some((term, index));
        }
    }

    /// Returns whether an index shows which of the recovered entries are committed.
    fn confirm(&mut self, index: LogIndex) -> bool {
        let is_decided = |starts: &UnconfirmedStarts| starts.last_index <= index;
        let is_confirmed = self.unconfirmed.as_ref().is_some_and(is_decided);
        if is_confirmed {
            self.unconfirmed = None;
        }
        is_confirmed
    }

    /// Returns the position of the list.
    pub fn position(&self) -> Option<ListPosition> {
        self.position
    }

    /// Returns the list, if any zone was ever evacuated.
    pub fn list(&self, state: &ClusterState, clock_ms: u64) -> Option<EvacuationList> {
        let (term, index) = self.position?;
        let mut zones: Vec<ZoneEvacuation> = Vec::new();
        let starts = self.unconfirmed.as_ref().map(|starts| &starts.zones);
        let is_unconfirmed = |zone: &Bytes| starts.is_some_and(|zones| zones.contains(zone));
        for record in state.evacuations.records() {
            let age = |at_ms: u64| clock_ms.saturating_sub(at_ms);
            let ended_age_ms = record.ended_ms.map(age);
            let ended_age_ms = ended_age_ms.filter(|_| !is_unconfirmed(&record.zone));
            if ended_age_ms.is_some_and(|age| age > ENDED_TOLD_MS) {
                continue;
            }
            zones.push(ZoneEvacuation {
                zone: record.zone.clone(),
                age_ms: age(record.since_ms),
                ended_age_ms,
            });
        }
        for zone in starts.into_iter().flatten() {
            if !zones.iter().any(|listed| listed.zone == *zone) {
                zones.push(ZoneEvacuation {
                    zone: zone.clone(),
                    // Nothing may reach the zone during the time for which gateways still
                    // send what is nowhere else.
                    age_ms: u64::MAX,
                    ended_age_ms: None,
                });
            }
        }
        Some(EvacuationList {
            cluster: state.cluster,
            term,
            index,
            zones,
        })
    }
}
