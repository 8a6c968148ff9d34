//! What the records of a run prove.
//!
//! Guarantees: each promise has one function, which returns every breach that
//! the records leave no other explanation for. Where a promise binds only while
//! nothing else goes wrong, the times of all faults are compared first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mulberrywell_platform_testkit::{stream_event, WorkerRun, EVENTS, PLAIN_TOKENS};

use crate::soak_cluster::RATE_TOLERANCE;
use crate::soak_plan::SoakFault;
use crate::soak_traffic::{CallKind, CallRecord, ReadRecord, VersionRecord, ACCOUNTS};

/// Statuses that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Hand-overs that each route allows.
const ATTEMPTS_MAX: usize = 2;

/// Time after an acknowledgement from which on no instance tells an older
/// version: the platform's `config_apply_ms`.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after the effect of a version from which on its gateway goes by no older
/// one: the platform's `rollback_slack_ms`.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Window of rates: the platform's `quota_window_s`.
const RATE_WINDOW: Duration = Duration::from_secs(8);

/// What an account may have beyond its rate and burst: the platform's
/// `quota_over`.
const RATE_OVER: f64 = 0.1;

/// Time before a request in which nothing may have gone wrong for a cut to
/// count: the platform's `contact_ms`.
const CALM_TIME: Duration = Duration::from_secs(3);

/// A proved breach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakBreach {
    /// What was promised, in a word.
    pub promise: &'static str,
    /// The records that prove it.
    pub detail: String,
}

/// A fault with the times at which it began and had ended.
#[derive(Debug, Clone)]
pub(crate) struct PlayedFault {
    pub(crate) begin: Instant,
    pub(crate) end: Instant,
    pub(crate) fault: SoakFault,
}

/// The records of one run.
#[derive(Debug, Clone, Default)]
pub struct SoakRecords {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Runs of all endpoints.
    pub runs: Vec<WorkerRun>,
    /// Versions that were sent.
    pub versions: Vec<VersionRecord>,
    /// Versions that were read back.
    pub reads: Vec<ReadRecord>,
    pub(crate) faults: Vec<PlayedFault>,
}

impl SoakRecords {
    fn runs_by_id(&self) -> BTreeMap<&str, Vec<&WorkerRun>> {
        let mut runs: BTreeMap<&str, Vec<&WorkerRun>> = BTreeMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        runs
    }

    /// Tells whether only planned work went on around a call.
    fn is_calm(&self, call: &CallRecord) -> bool {
        let near =
            |fault: &&PlayedFault| fault.begin <= call.ended && fault.end + CALM_TIME >= call.sent;
        let mut faults = self.faults.iter().filter(near);
        faults.all(|fault| fault.fault.is_planned())
    }
}

/// Checks all promises.
pub fn find_breaches(records: &SoakRecords) -> Vec<SoakBreach> {
    let runs = records.runs_by_id();
    [
        find_wrong_runs(records, &runs),
        find_wrong_answers(records),
        find_strange_runs(records),
        find_cut_calls(records, &runs),
        find_rate_excess(records),
        find_old_reads(records),
        find_regressions(records, &runs),
    ]
    .concat()
}

/// Finds calls that ran too often, or although it was said that they had not.
fn find_wrong_runs(
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
        if is_once && count > 0 && NOT_RUN.contains(&call.status) {
            breaches.push(breach("said not to have run", call, "it ran"));
        }
    }
    breaches
}

/// Finds answers that are another call's, short, doubled or out of order.
fn find_wrong_answers(records: &SoakRecords) -> Vec<SoakBreach> {
    let answered = records.calls.iter().filter(|call| call.status == 200);
    let wrong = answered.filter(|call| !is_own_answer(call));
    wrong
        .map(|call| breach("wrong answer", call, &format!("{:?}", call.answer)))
        .collect()
}

fn is_own_answer(call: &CallRecord) -> bool {
    let whole = match call.kind {
        CallKind::Stream => (1..=EVENTS)
            .map(|event| stream_event(&call.id, event))
            .collect(),
        kind => format!("{} {} {}", kind.path(), account_of(&call.key), call.id),
    };
    if call.is_whole {
        return call.answer == whole;
    }
    whole.starts_with(&call.answer)
}

/// Finds runs that no caller asked for, for another account, or with a key.
fn find_strange_runs(records: &SoakRecords) -> Vec<SoakBreach> {
    let calls = records.calls.iter().map(|call| (call.id.as_str(), call));
    let calls: BTreeMap<&str, &CallRecord> = calls.collect();
    let mut breaches = Vec::new();
    for run in &records.runs {
        let Some(call) = calls.get(run.id.as_str()) else {
            let detail = format!("{} at {:?}", run.id, run.began);
            let promise = "run that nobody asked for";
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

/// Finds calls that were cut although nothing but planned work went on.
fn find_cut_calls(
    records: &SoakRecords,
    runs: &BTreeMap<&str, Vec<&WorkerRun>>,
) -> Vec<SoakBreach> {
    let ran = |call: &&CallRecord| runs.contains_key(call.id.as_str());
    let cut = records
        .calls
        .iter()
        .filter(|call| call.status == 0 || !call.is_whole);
    cut.filter(ran)
        .filter(|call| records.is_calm(call))
        .map(|call| breach("cut", call, &format!("{:?}", call.answer)))
        .collect()
}

/// Finds the first window of each account in which it got more than it may.
fn find_rate_excess(records: &SoakRecords) -> Vec<SoakBreach> {
    let bounded = ACCOUNTS.iter().filter(|(_, rate, _)| *rate > 0);
    bounded
        .filter_map(|(name, rate, burst)| {
            let usual = *rate as f64 * RATE_WINDOW.as_secs_f64() + *burst as f64;
            let allowed = usual * (1.0 + RATE_OVER) + RATE_TOLERANCE as f64;
            over_rate(records, name, allowed)
        })
        .collect()
}

fn over_rate(records: &SoakRecords, account: &str, allowed: f64) -> Option<SoakBreach> {
    let sent: BTreeMap<&str, Instant> = records
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call.sent))
        .collect();
    let runs = records.runs.iter().filter(|run| run.account == account);
    let uses: Vec<(Instant, Instant)> = runs
        .filter_map(|run| Some((*sent.get(run.id.as_str())?, run.began)))
        .collect();
    let mut windows = uses.iter().map(|(from, _)| {
        let within = uses.iter().filter(|(sent, began)| {
            sent >= from && began.saturating_duration_since(*from) <= RATE_WINDOW
        });
        within.count() as u64 * PLAIN_TOKENS
    });
    let used = windows.find(|used| *used as f64 > allowed)?;
    Some(SoakBreach {
        promise: "over the rate",
        detail: format!("{account} used {used} tokens, allowed {allowed:.0}"),
    })
}

/// Finds reads that told an older version than one acknowledged long before.
fn find_old_reads(records: &SoakRecords) -> Vec<SoakBreach> {
    let mut breaches = Vec::new();
    for read in &records.reads {
        let known = records.versions.iter().filter(|version| {
            let acknowledged = version.acknowledged;
            acknowledged.is_some_and(|at| at + APPLY_TIME < read.sent)
        });
        let newest = known.map(|version| version.version).max().unwrap_or(0);
        if read.version < newest {
            let detail = format!("{read:?} after {newest} was acknowledged");
            let promise = "older version read back";
            breaches.push(SoakBreach { promise, detail });
        }
    }
    breaches
}

/// Finds gateways that went back to an older version within one start.
fn find_regressions(
    records: &SoakRecords,
    runs: &BTreeMap<&str, Vec<&WorkerRun>>,
) -> Vec<SoakBreach> {
    let mut effects = Vec::new();
    for call in &records.calls {
        let CallKind::OwnRoute(version) = call.kind else {
            continue;
        };
        let began = runs.get(call.id.as_str()).and_then(|runs| runs.first());
        if let Some(run) = began.filter(|_| call.incarnations.0 == call.incarnations.1) {
            effects.push((call, version, run.began));
        }
    }
    let mut breaches = Vec::new();
    let mut told = BTreeSet::new();
    for (call, version, _) in &effects {
        let newer = effects.iter().find(|(other, newer, began)| {
            let same = other.gateway == call.gateway && other.incarnations == call.incarnations;
            same && newer > version && *began + ROLLBACK_SLACK < call.sent
        });
        if let Some((_, newer, _)) = newer.filter(|_| told.insert(&call.id)) {
            breaches.push(breach("back to an older version", call, &newer.to_string()));
        }
    }
    breaches
}

/// Returns the account of a key, which is its second part.
fn account_of(key: &str) -> &str {
    key.split('-').nth(1).unwrap_or_default()
}

fn breach(promise: &'static str, call: &CallRecord, detail: &str) -> SoakBreach {
    let detail = format!(
        "{} gateway-{} {:?} status {} whole {}: {detail}",
        call.id, call.gateway, call.kind, call.status, call.is_whole
    );
    SoakBreach { promise, detail }
}
