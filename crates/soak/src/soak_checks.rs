//! Checks of the records of a run.
//!
//! Guarantees: each guarantee has one function, which returns every breach for
//! which the records leave no other explanation. If a guarantee holds only in the
//! absence of faults, the times of all faults are checked first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mulberrywell_platform_testkit::{
    versioned_event, WorkerRun, DEFAULT_REQUEST_TOKENS, FIRST_VERSION, STREAM_EVENTS,
};

use crate::soak_cluster::{zone_of, LeaveRecord, COLD_TIME_MAX, RATE_TOLERANCE, SECOND_VERSION};
use crate::soak_plan::SoakFault;
use crate::soak_traffic::{
    CallKind, CallRecord, EvacuationRecord, ReadRecord, VersionRecord, ACCOUNTS, COLD_PER_S,
};

/// Statuses that guarantee that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Maximum number of attempts that each route allows.
const ATTEMPTS_MAX: usize = 2;

/// Time after the acknowledgement of a version within which every instance must
/// return it or a newer one: the platform's `config_apply_ms`.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after the first effect of a version within which its gateway may still
/// apply an older one: the platform's `rollback_slack_ms`.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Window over which rates are checked: the platform's `quota_window_s`.
const RATE_WINDOW: Duration = Duration::from_secs(8);

/// Window over which limits of endpoints are checked: that of the platform's rule.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor by which a limit may be exceeded in a window, and requests beyond that.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_EXTRA: f64 = 5.0;

/// Time after the acknowledgement of an evacuation's start from which nothing may reach
/// the zone: the platform's `evac_ms`.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Time after the acknowledgement of a leave call from which nothing may reach the
/// endpoint: the platform's `drain_ms`.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Factor by which a cold endpoint's rate may be exceeded in a second, and requests beyond
/// that: the platform's `cold_over` and `cold_slack`.
const COLD_FACTOR: f64 = 1.5;
const COLD_EXTRA: f64 = 5.0;
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Time after which all know that an endpoint is cold: its heartbeat and a margin.
const COLD_TOLD_TIME: Duration = Duration::from_millis(1_200);

/// Share by which an account may exceed its rate and burst: the platform's
/// `quota_over`.
const RATE_OVERRUN: f64 = 0.1;

/// Time before a request without faults that is required for a truncated
/// response to count as a breach: the platform's `contact_ms`.
const FAULT_GAP: Duration = Duration::from_secs(3);

/// A breach that the records prove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakBreach {
    /// Short description of the violated guarantee.
    pub promise: &'static str,
    /// Records that prove the breach.
    pub detail: String,
}

/// An injected fault: when its injection started, and when it was cleared.
#[derive(Debug, Clone)]
pub(crate) struct TimedFault {
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
    pub(crate) fault: SoakFault,
}

/// The records of one run.
#[derive(Debug, Clone, Default)]
pub struct SoakRecords {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Requests that the endpoints ran.
    pub runs: Vec<WorkerRun>,
    /// Times of all requests that reached each endpoint, in order.
    pub arrivals: Vec<Vec<Instant>>,
    /// Configuration versions that operators sent.
    pub versions: Vec<VersionRecord>,
    /// Configuration versions that operators read back.
    pub reads: Vec<ReadRecord>,
    /// Evacuations whose start was acknowledged.
    pub evacuations: Vec<EvacuationRecord>,
    /// Endpoints that left.
    pub leaves: Vec<LeaveRecord>,
    pub(crate) faults: Vec<TimedFault>,
}

impl SoakRecords {
    fn runs_by_id(&self) -> BTreeMap<&str, Vec<&WorkerRun>> {
        let mut runs: BTreeMap<&str, Vec<&WorkerRun>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        runs
    }

    /// Returns whether no fault other than planned maintenance was active during
    /// a call or in [`FAULT_GAP`] before it.
    fn is_fault_free(&self, call: &CallRecord) -> bool {
        let near =
            |fault: &&TimedFault| fault.begin <= call.ended && fault.end + FAULT_GAP >= call.sent;
        let mut faults = self.faults.iter().filter(near);
        faults.all(|fault| fault.fault.is_maintenance())
    }

    /// Returns whether a gateway was suspended or out of contact with all control
    /// instances between two instants, or shortly before.
    fn has_lost_contact(&self, from: Instant, until: Instant) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| {
            let is_gateway = match &fault.fault {
                SoakFault::Freeze(name) | SoakFault::Mute(name) | SoakFault::Deafen(name) => {
                    name.starts_with("gateway")
                }
                _ => false,
            };
            is_gateway && fault.begin <= until && fault.end + FAULT_GAP >= from
        })
    }

    /// Returns whether connections to an endpoint were stalled in [`FAULT_GAP`] before an
    /// instant or in [`LIMIT_WINDOW`] after it, so that requests may arrive together.
    fn is_cut(&self, place: usize, from: Instant) -> bool {
        let mut cuts = self.faults.iter();
        cuts.any(|cut| {
            let is_same = cut.fault == SoakFault::EndpointCut(place);
            is_same && cut.begin <= from + LIMIT_WINDOW && cut.end + FAULT_GAP >= from
        })
    }

    /// Returns whether a gateway may not have been told of a report, in [`FAULT_GAP`]
    /// before or during a time.
    fn is_report_hidden(&self, from: Instant, until: Instant) -> bool {
        let near = |fault: &&TimedFault| fault.begin <= until && fault.end + FAULT_GAP >= from;
        let mut faults = self.faults.iter().filter(near);
        faults.any(|fault| fault.fault.hides_reports())
    }
}

/// Checks all guarantees.
pub fn find_breaches(records: &SoakRecords) -> Vec<SoakBreach> {
    let runs = records.runs_by_id();
    [
        find_excess_runs(records, &runs),
        find_wrong_responses(records),
        find_unexpected_runs(records),
        find_truncated_responses(records, &runs),
        find_rate_excess(records),
        find_limit_excess(records),
        find_evacuation_breaches(records),
        find_cold_excess(records),
        find_leave_breaches(records),
        find_stale_reads(records),
        find_config_rollbacks(records, &runs),
    ]
    .concat()
}

/// Finds calls that ran too often, or that ran although their status guarantees
/// that they did not.
fn find_excess_runs(
    records: &SoakRecords,
    runs: &BTreeMap<&str, Vec<&WorkerRun>>,
) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for call in &records.calls {
        let count = runs.get(call.id.as_str()).map_or(0, Vec::len);
        let is_once = call.kind == CallKind::Once;
        if count > if is_once { 1 } else { ATTEMPTS_MAX } {
            breaches.push(breach("ran too often", call, &format!("{count} runs")));
        }
        if is_once && count > 0 && NOT_RUN_STATUSES.contains(&call.status) {
            breaches.push(breach("ran despite refusal", call, "request ran"));
        }
    }
    breaches
}

/// Finds requests that reached an endpoint after its leave call was acknowledged.
fn find_leave_breaches(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for leave in &records.leaves {
        let (Some(confirmed), Some(arrivals)) =
            (leave.confirmed, records.arrivals.get(leave.place))
        else {
            continue;
        };
        let is_away = |at: &&Instant| leave.ended.is_none_or(|ended| **at < ended);
        let late = arrivals.iter().filter(is_away);
        let mut late = late.filter(|at| **at >= confirmed + DRAIN_TIME);
        let first = late.find(|at| !records.is_report_hidden(**at, **at));
        if let Some(at) = first {
            breaches.push(SoakBreach {
                promise: "request after a confirmed leave",
                detail: format!("w{}, {:?} after it", leave.place, *at - confirmed),
            });
        }
    }
    breaches
}

/// Finds responses that belong to another call or are truncated without notice,
/// duplicated, out of order or of two software versions.
fn find_wrong_responses(records: &SoakRecords) -> Vec<SoakBreach> {
    let succeeded = records.calls.iter().filter(|call| call.status == 200);
    let wrong = succeeded.filter(|call| !is_expected_response(call));
    wrong
        .map(|call| breach("wrong response", call, &format!("{:?}", call.response)))
        .collect()
}

fn is_expected_response(call: &CallRecord) -> bool {
    let stream = |after: u64, version: &str| {
        let events = after + 1..=STREAM_EVENTS;
        let events = events.map(|event| versioned_event(&call.id, event, version));
        events.collect::<String>()
    };
    let expected = match call.kind {
        // All events come from one version.
        CallKind::Stream => vec![stream(0, FIRST_VERSION), stream(0, SECOND_VERSION)],
        CallKind::TakenUp(after, version) => vec![stream(after, version)],
        kind => vec![format!(
            "{} {} {}",
            kind.path(),
            account_of(&call.key),
            call.id
        )],
    };
    expected.iter().any(|expected| match call.is_complete {
        true => call.response == *expected,
        false => expected.starts_with(&call.response),
    })
}

/// Finds runs that match no call, changed the request, were made for another
/// account, or exposed the caller's key.
fn find_unexpected_runs(records: &SoakRecords) -> Vec<SoakBreach> {
    let calls = records.calls.iter().map(|call| (call.id.as_str(), call));
    let calls: BTreeMap<&str, &CallRecord> = calls.collect();
    let mut breaches = Vec::new();
    for run in &records.runs {
        let Some(call) = calls.get(run.id.as_str()) else {
            let detail = format!("{} at {:?}", run.id, run.started_at);
            let promise = "run without a call";
            breaches.push(SoakBreach { promise, detail });
            continue;
        };
        let request = &run.request;
        if request.target != call.kind.path() || request.body != call.id {
            breaches.push(breach("changed request", call, &request.target));
        }
        if run.account != account_of(&call.key) {
            breaches.push(breach("run for another account", call, &run.account));
        }
        if request
            .headers
            .iter()
            .any(|(_, value)| value.contains(&call.key))
        {
            breaches.push(breach("key seen by an endpoint", call, ""));
        }
    }
    breaches
}

/// Finds calls that ran and whose response was truncated although no fault other
/// than planned maintenance was active.
fn find_truncated_responses(
    records: &SoakRecords,
    runs: &BTreeMap<&str, Vec<&WorkerRun>>,
) -> Vec<SoakBreach> {
    let ran = |call: &&CallRecord| runs.contains_key(call.id.as_str());
    let truncated = records
        .calls
        .iter()
        .filter(|call| call.status == 0 || !call.is_complete);
    truncated
        .filter(ran)
        .filter(|call| records.is_fault_free(call))
        .map(|call| breach("response truncated", call, &format!("{:?}", call.response)))
        .collect()
}

/// Finds the first window of each account in which it exceeded its quota.
fn find_rate_excess(records: &SoakRecords) -> Vec<SoakBreach> {
    let limited = ACCOUNTS.iter().filter(|(_, rate, _)| *rate > 0);
    limited
        .filter_map(|(name, rate, burst)| {
            let quota = *rate as f64 * RATE_WINDOW.as_secs_f64() + *burst as f64;
            let allowed = quota * (1.0 + RATE_OVERRUN) + RATE_TOLERANCE as f64;
            find_excess_window(records, name, allowed)
        })
        .collect()
}

fn find_excess_window(records: &SoakRecords, account: &str, allowed: f64) -> Option<SoakBreach> {
    let sent: BTreeMap<&str, Instant> = records
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call.sent))
        .collect();
    let runs = records.runs.iter().filter(|run| run.account == account);
    let uses: Vec<(Instant, Instant)> = runs
        .filter_map(|run| Some((*sent.get(run.id.as_str())?, run.started_at)))
        .collect();
    let mut windows = uses.iter().map(|(from, _)| {
        let within = uses.iter().filter(|(sent, started_at)| {
            sent >= from && started_at.saturating_duration_since(*from) <= RATE_WINDOW
        });
        within.count() as u64 * DEFAULT_REQUEST_TOKENS
    });
    let used = windows.find(|used| *used as f64 > allowed)?;
    Some(SoakBreach {
        promise: "rate exceeded",
        detail: format!("{account} used {used} tokens, allowed {allowed:.0}"),
    })
}

/// Finds limits that were exceeded, from [`FAULT_GAP`] after the endpoint first named
/// them on.
fn find_limit_excess(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for limited in &records.faults {
        let SoakFault::EndpointLimits(place, limit) = limited.fault else {
            continue;
        };
        let arrivals = records.arrivals.get(place).into_iter().flatten().copied();
        let within: Vec<Instant> = arrivals
            .filter(|at| (limited.begin..limited.end).contains(at))
            .collect();
        let Some(binding) = within.first().map(|named| *named + FAULT_GAP) else {
            continue;
        };
        let rate: f64 = limit.parse().unwrap_or_default();
        let allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXTRA;
        let bound: Vec<Instant> = within.into_iter().filter(|at| *at >= binding).collect();
        let windows = bound.iter().filter(|from| !records.is_cut(place, **from));
        let counts = windows.map(|from| {
            let counted = bound
                .iter()
                .filter(|at| (*from..*from + LIMIT_WINDOW).contains(at));
            counted.count()
        });
        let most = counts.max().unwrap_or(0);
        if most as f64 > allowed {
            breaches.push(SoakBreach {
                promise: "limit of an endpoint exceeded",
                detail: format!("w{place} got {most} requests at {limit}/s, allowed {allowed:.1}"),
            });
        }
    }
    breaches
}

/// Finds requests that reached an evacuated zone [`EVACUATION_TIME`] after the start was
/// acknowledged, unless a gateway was out of contact in between.
fn find_evacuation_breaches(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for evacuation in &records.evacuations {
        let bound_from = evacuation.started + EVACUATION_TIME;
        let arrivals = records.arrivals.iter().enumerate();
        for (place, arrivals) in arrivals.filter(|(place, _)| zone_of(*place) == evacuation.zone) {
            let breached = arrivals.iter().find(|at| {
                let is_bound = **at >= bound_from;
                is_bound
                    && evacuation.end_sent.is_none_or(|end| **at < end)
                    && !records.has_lost_contact(evacuation.started, **at)
                    && !records.is_cut(place, **at)
            });
            if let Some(at) = breached {
                let after = at.saturating_duration_since(evacuation.started);
                let zone = evacuation.zone;
                breaches.push(SoakBreach {
                    promise: "request in an evacuated zone",
                    detail: format!("w{place} in {zone}, {} ms after", after.as_millis()),
                });
            }
        }
    }
    breaches
}

/// Finds seconds in which a cold endpoint got too much, unless a gateway may not have been
/// told.
fn find_cold_excess(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for cold in &records.faults {
        let SoakFault::EndpointCold(place) = cold.fault else {
            continue;
        };
        let told = cold.begin + COLD_TOLD_TIME;
        // The fault is cleared late if an earlier step of the plan takes long.
        let end = cold.end.min(cold.begin + COLD_TIME_MAX);
        let arrivals = records.arrivals.get(place).into_iter().flatten();
        let bound: Vec<Instant> = arrivals
            .filter(|at| (told..end).contains(at))
            .copied()
            .collect();
        let windows = bound.iter().filter(|from| {
            let until = **from + COLD_WINDOW;
            !records.is_cut(place, **from) && !records.is_report_hidden(cold.begin, until)
        });
        let counts = windows.map(|from| {
            let counted = bound
                .iter()
                .filter(|at| (*from..*from + COLD_WINDOW).contains(at));
            counted.count()
        });
        let most = counts.max().unwrap_or(0);
        let allowed = COLD_FACTOR * COLD_PER_S + COLD_EXTRA;
        if most as f64 > allowed {
            breaches.push(SoakBreach {
                promise: "cold endpoint got too much",
                detail: format!("w{place} got {most} requests in a second, allowed {allowed:.0}"),
            });
        }
    }
    breaches
}

/// Finds reads that returned an older version than one acknowledged more than
/// [`CONFIG_APPLY_TIME`] earlier.
fn find_stale_reads(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for read in &records.reads {
        let applied = records.versions.iter().filter(|version| {
            let acknowledged = version.acknowledged;
            acknowledged.is_some_and(|at| at + CONFIG_APPLY_TIME < read.sent)
        });
        let newest = applied.map(|version| version.version).max().unwrap_or(0);
        if read.version < newest {
            let detail = format!("{read:?} after {newest} was acknowledged");
            let promise = "stale version read back";
            breaches.push(SoakBreach { promise, detail });
        }
    }
    breaches
}

/// Finds gateways that applied an older version after a newer one without a
/// restart in between.
fn find_config_rollbacks(
    records: &SoakRecords,
    runs: &BTreeMap<&str, Vec<&WorkerRun>>,
) -> Vec<SoakBreach> {
    let mut observations = Vec::new();
    for call in &records.calls {
        let CallKind::OwnRoute(version) = call.kind else {
            continue;
        };
        let first_run = runs.get(call.id.as_str()).and_then(|runs| runs.first());
        if let Some(run) = first_run.filter(|_| call.incarnations.0 == call.incarnations.1) {
            observations.push((call, version, run.started_at));
        }
    }
    let mut breaches = Vec::new();
    let mut reported = BTreeSet::new();
    for (call, version, _) in &observations {
        let newer = observations.iter().find(|(other, newer, started_at)| {
            let same = other.gateway == call.gateway && other.incarnations == call.incarnations;
            same && newer > version && *started_at + ROLLBACK_SLACK < call.sent
        });
        if let Some((_, newer, _)) = newer.filter(|_| reported.insert(&call.id)) {
            breaches.push(breach("version rolled back", call, &newer.to_string()));
        }
    }
    breaches
}

/// Returns the account of a key, which is the second part of the key's name.
fn account_of(key: &str) -> &str {
    key.split('-').nth(1).unwrap_or_default()
}

fn breach(promise: &'static str, call: &CallRecord, detail: &str) -> SoakBreach {
    let detail = format!(
        "{} gateway-{} {:?} status {} complete {}: {detail}",
        call.id, call.gateway, call.kind, call.status, call.is_complete
    );
    SoakBreach { promise, detail }
}
