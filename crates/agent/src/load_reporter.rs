//! Sends load reports to the entry instances that are connected to the agent.
//!
//! A report is a hint: it is sent periodically and when the endpoint starts or
//! stops accepting requests, is never acknowledged, and lists only models that
//! have requests.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::request::{LoadReport, ModelLoad};
use mulberrywell_wire::FrameBody;

use crate::attempt_scheduler::AttemptScheduler;

/// Maximum number of prefix digests in one report.
const PREFIXES_MAX: usize = 64;

/// Contents of a report besides the scheduler's counts.
#[derive(Debug, Clone, Copy)]
pub struct ReportContext<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a Bytes,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Digests of prefixes that the engine has cached.
    pub prefixes: &'a [u64],
    /// The endpoint accepts no new requests.
    pub leaving: bool,
}

/// The entry links and when the next report to them is due.
#[derive(Debug)]
pub struct LoadReporter {
    interval: Duration,
    links: BTreeSet<LinkId>,
    next_due: Instant,
    sequence: u64,
}

impl LoadReporter {
    /// Creates a reporter without links.
    pub fn new(interval: Duration, now: Instant) -> Self {
        LoadReporter {
            interval,
            links: BTreeSet::new(),
            next_due: now,
            sequence: 0,
        }
    }

    /// Adds the link of an entry instance and makes a report due at once.
    pub fn insert_link(&mut self, now: Instant, link: LinkId) {
        self.links.insert(link);
        self.schedule_now(now);
    }

    pub fn remove_link(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Makes a report due at once.
    pub fn schedule_now(&mut self, now: Instant) {
        self.next_due = now;
    }

    /// Returns when the next report is due; none without links.
    pub fn deadline(&self) -> Option<Instant> {
        (!self.links.is_empty()).then_some(self.next_due)
    }

    /// Appends the commands that send a report to each link, if one is due.
    pub fn report(
        &mut self,
        now: Instant,
        scheduler: &AttemptScheduler,
        context: ReportContext<'_>,
        commands: &mut Vec<LinkCommand>,
    ) {
        if self.next_due > now || self.links.is_empty() {
            return;
        }
        self.next_due = now + self.interval;
        self.sequence += 1;
        let report = self.build_report(scheduler, context);
        commands.extend(self.links.iter().map(|link| LinkCommand::Send {
            link: *link,
            body: FrameBody::LoadReport(report.clone()),
        }));
    }

    fn build_report(&self, scheduler: &AttemptScheduler, context: ReportContext<'_>) -> LoadReport {
        let wait_ms = u64::try_from(scheduler.new_account_wait().as_millis()).unwrap_or(u64::MAX);
        let models = scheduler
            .model_use()
            .into_iter()
            .map(|(model, used)| ModelLoad {
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
            running: saturate_u32(scheduler.running_len()),
            queued: saturate_u32(scheduler.waiting_len()),
            slots: context.slots,
            tokens_per_second: scheduler.tokens_per_second(),
            models: models.collect(),
            prefixes: prefixes.copied().collect(),
            leaving: context.leaving,
            queue_limit: saturate_u32(scheduler.queue_limit()),
        }
    }
}

fn saturate_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
