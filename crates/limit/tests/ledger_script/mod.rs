//! A ledger of crashes in virtual time, and the parts and contents that its tests use.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{CrashLedger, PartId, PartSet, SuspectRequest};

pub const FIRST: PartId = 1;
pub const SUBJECT: PartId = 2;
pub const CULPRIT: PartId = 3;

/// Contents of requests that come again.
pub const REPEATED: PartId = 10;
pub const NEIGHBOUR: PartId = 11;

/// Contents above this one come once.
const OWN_CONTENTS: PartId = 1_000;

/// Longer than the time in which reports of one incident arrive.
pub const SETTLED: Duration = Duration::from_millis(300);

pub const RUNNING: Duration = Duration::from_millis(50);

/// A ledger and its virtual time.
pub struct LedgerScript {
    pub ledger: CrashLedger,
    pub now: Instant,
    pub crashes: u64,
    contents: u64,
}

impl LedgerScript {
    pub fn new() -> Self {
        LedgerScript {
            ledger: CrashLedger::default(),
            now: Instant::now(),
            crashes: 0,
            contents: 0,
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    /// Another endpoint crashes under a request forwarded `running` ago, which has a
    /// content of its own.
    pub fn crash(&mut self, parts: &[PartId], running: Duration) {
        self.contents += 1;
        self.crash_content(OWN_CONTENTS + self.contents, parts, running);
    }

    /// Another endpoint crashes under a request with a content.
    pub fn crash_content(&mut self, content: PartId, parts: &[PartId], running: Duration) {
        self.crashes += 1;
        let request = SuspectRequest {
            content,
            parts: parts.iter().copied().collect(),
            forwarded: self.now - running,
            is_trial: false,
        };
        let endpoint = Bytes::from(format!("e{}", self.crashes));
        self.ledger.record_crash(self.now, &endpoint, 1, request);
    }

    pub fn quarantined(&mut self) -> Vec<PartSet> {
        let found = self.ledger.tick(self.now);
        found.into_iter().map(|found| found.parts).collect()
    }

    /// Another endpoint crashes under a trial of a request with a content of its own.
    pub fn crash_trial(&mut self, parts: &[PartId], running: Duration) {
        self.crashes += 1;
        self.contents += 1;
        let request = SuspectRequest {
            content: OWN_CONTENTS + self.contents,
            parts: parts.iter().copied().collect(),
            forwarded: self.now - running,
            is_trial: true,
        };
        let endpoint = Bytes::from(format!("e{}", self.crashes));
        self.ledger.record_crash(self.now, &endpoint, 1, request);
    }

    pub fn restricted(&self) -> Vec<PartId> {
        self.ledger.restricted(self.now).into_iter().collect()
    }

    /// Lets what is quarantined be released.
    pub fn end_quarantine(&mut self, duration: Duration) {
        self.advance(duration);
        assert_eq!(self.quarantined(), []);
        assert_eq!(self.ledger.quarantines().iter().count(), 0);
    }
}
