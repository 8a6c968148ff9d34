//! Metrics and log lines of the budget of callers.

use std::time::{Duration, Instant};

use mulberrywell_role::MetricKind;

use crate::caller_budget::{RefusalCounts, RefusalKind};
use crate::http_driver::BudgetReport;
use crate::metric_output::MetricOutput;

/// Interval between log lines about what was refused or closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes held for callers and endpoints.
const HELD_BYTES: &str = "http.held_bytes";
/// Descriptors that callers' connections use.
const CALLER_DESCRIPTORS: &str = "http.caller_descriptors";
/// Responses that are not read from their endpoints, as their callers don't read.
const PAUSED_RESPONSES: &str = "http.paused_responses";
/// Counters of refusals.
const REFUSALS: [(RefusalKind, &str); 5] = [
    (RefusalKind::Request, "http.requests_refused"),
    (RefusalKind::Connection, "http.connections_refused"),
    (RefusalKind::Closed, "http.connections_closed"),
    (RefusalKind::Ended, "http.unread_ended"),
    (RefusalKind::AcceptFailure, "http.accept_failures"),
];

/// Reports what the budget has refused or closed.
#[derive(Debug, Default)]
pub struct BudgetLog {
    /// What was counted since the last line.
    counts: RefusalCounts,
    last_line: Option<Instant>,
}

impl BudgetLog {
    /// Sends the metrics of a report, and writes a line when something was refused or
    /// closed, at most one each [`LOG_INTERVAL`].
    pub fn report(&mut self, now: Instant, report: &BudgetReport, metrics: &MetricOutput) {
        let counts = report.counts;
        metrics.report(MetricKind::Gauge, HELD_BYTES, report.held);
        metrics.report(MetricKind::Gauge, CALLER_DESCRIPTORS, report.descriptors);
        metrics.report(MetricKind::Gauge, PAUSED_RESPONSES, report.paused);
        for (kind, name) in REFUSALS {
            metrics.report(MetricKind::Count, name, counts.get(kind));
        }
        self.counts.add(counts);
        let is_due = self.last_line.is_none_or(|at| now >= at + LOG_INTERVAL);
        if is_due && self.counts != RefusalCounts::default() {
            self.last_line = Some(now);
            self.write_line(report);
        }
    }

    fn write_line(&mut self, report: &BudgetReport) {
        let counts = std::mem::take(&mut self.counts);
        spdlog::warn!(
            "http: held={} descriptors={} requests_refused={} connections_refused={} \
             connections_closed={} unread_ended={} accept_failures={} \
             cause=\"limits on callers\"",
            report.held,
            report.descriptors,
            counts.get(RefusalKind::Request),
            counts.get(RefusalKind::Connection),
            counts.get(RefusalKind::Closed),
            counts.get(RefusalKind::Ended),
            counts.get(RefusalKind::AcceptFailure)
        );
    }
}
