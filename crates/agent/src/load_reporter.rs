//! Sends load reports to the entry instances that have a link here.
//!
//! A report is a hint: it is sent at an interval and when the endpoint begins
//! or stops taking work, is never confirmed, and names only models that have
//! requests.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::request::{LoadReport, ModelLoad};
use mulberrywell_wire::FrameBody;

use crate::attempt_gate::AttemptGate;

/// Prefix digests in one report.
const PREFIXES_MAX: usize = 64;

/// What a report says besides the gate's figures.
#[derive(Debug, Clone, Copy)]
pub struct ReportContext<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a Bytes,
    /// Start of the agent.
    pub incarnation: u64,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Digests of prefixes that the engine has cached.
    pub prefixes: &'a [u64],
    /// The endpoint takes no new work.
    pub leaving: bool,
}

/// The entry links and when they get the next report.
#[derive(Debug)]
pub struct LoadReporter {
    interval: Duration,
    links: BTreeSet<LinkId>,
    next: Instant,
    sequence: u64,
}

impl LoadReporter {
    /// Creates a reporter without links.
    pub fn new(interval: Duration, now: Instant) -> Self {
        LoadReporter {
            interval,
            links: BTreeSet::new(),
            next: now,
            sequence: 0,
        }
    }

    /// Adds the link of an entry instance; it gets a report at once.
    pub fn link_opened(&mut self, now: Instant, link: LinkId) {
        self.links.insert(link);
        self.changed(now);
    }

    /// Forgets a link.
    pub fn link_closed(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Makes a report due.
    pub fn changed(&mut self, now: Instant) {
        self.next = now;
    }

    /// Returns when the next report is due, if anyone is to have it.
    pub fn deadline(&self) -> Option<Instant> {
        (!self.links.is_empty()).then_some(self.next)
    }

    /// Appends the reports that are due.
    pub fn report(
        &mut self,
        now: Instant,
        gate: &AttemptGate,
        context: ReportContext<'_>,
        commands: &mut Vec<LinkCommand>,
    ) {
        if self.next > now || self.links.is_empty() {
            return;
        }
        self.next = now + self.interval;
        self.sequence += 1;
        let report = self.build(gate, context);
        commands.extend(self.links.iter().map(|link| LinkCommand::Send {
            link: *link,
            body: FrameBody::LoadReport(report.clone()),
        }));
    }

    fn build(&self, gate: &AttemptGate, context: ReportContext<'_>) -> LoadReport {
        let wait_ms = u64::try_from(gate.new_wait().as_millis()).unwrap_or(u64::MAX);
        let models = gate.model_use().into_iter().map(|(model, used)| ModelLoad {
            model,
            running: used.running,
            queued: used.waiting,
            wait_ms,
        });
        let prefixes = context.prefixes.iter().take(PREFIXES_MAX);
        LoadReport {
            endpoint: context.endpoint.clone(),
            incarnation: context.incarnation,
            sequence: self.sequence,
            running: narrow(gate.running_len()),
            queued: narrow(gate.waiting_len()),
            slots: context.slots,
            tokens_per_second: gate.tokens_per_second(),
            models: models.collect(),
            prefixes: prefixes.copied().collect(),
            leaving: context.leaving,
            queue_limit: narrow(gate.queue_limit()),
        }
    }
}

fn narrow(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
