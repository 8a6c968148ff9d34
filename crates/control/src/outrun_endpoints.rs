//! Endpoints whose record has a higher sequence than they send.
//!
//! Algorithm: a sequence that another writer stated may be higher than an endpoint ever
//! reaches, so that its record would stay as that writer left it. If all that an instance
//! hears of a start for some time has sequences below the record's, and they rise while
//! the record's doesn't, the endpoint itself is heard; its heartbeats then get the
//! record's sequence, so that all instances and gateways take them for newer. A heartbeat
//! that is late begins no such run, as the next one in time ends it. Of an endpoint that
//! drained the record in the log counts as well.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::EndpointStatus;

/// Heartbeats of one start below the record's sequence.
#[derive(Debug)]
struct OutrunStart {
    born_ms: u64,
    /// Sequence of the record.
    known: u64,
    /// Sequence of the latest heartbeat.
    latest: u64,
    since: Instant,
}

/// Endpoints that send lower sequences than their records have.
#[derive(Debug, Default)]
pub(crate) struct OutrunEndpoints {
    starts: BTreeMap<EndpointId, OutrunStart>,
}

impl OutrunEndpoints {
    /// Gives a status the sequence of its start's record, `known`, if the endpoint has sent
    /// lower ones for `run_time`.
    pub(crate) fn adjust(
        &mut self,
        now: Instant,
        known: Option<u64>,
        status: &mut EndpointStatus,
        run_time: Duration,
    ) {
        let Some(known) = known.filter(|known| *known > status.sequence) else {
            self.starts.remove(&status.id);
            return;
        };
        let run = self.starts.entry(status.id.clone());
        let run = run.or_insert(OutrunStart {
            born_ms: status.born_ms,
            known,
            latest: status.sequence,
            since: now,
        });
        if (run.born_ms, run.known) != (status.born_ms, known) {
            run.born_ms = status.born_ms;
            run.known = known;
            run.since = now;
        } else if status.sequence < run.latest {
            return;
        }
        run.latest = status.sequence;
        if now.saturating_duration_since(run.since) >= run_time {
            status.sequence = known;
        }
    }

    /// Removes the endpoints that are not `present`.
    pub(crate) fn retain(&mut self, is_present: impl Fn(&EndpointId) -> bool) {
        self.starts.retain(|id, _| is_present(id));
    }
}
