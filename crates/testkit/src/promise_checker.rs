//! Checks the system's guarantees against the records of callers and fakes.
//!
//! Purpose: one function for each guarantee, which returns every breach that the
//! records prove. Used after test runs with real processes.
//!
//! Guarantees: a breach is reported only if the records leave no other
//! explanation; times are compared only where their order is certain.
//!
//! Calls and runs are matched by their request bodies, so the body of each call
//! must be unique within a run.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use crate::fake_engine::token_text;
use crate::fake_records::RunRecord;

/// Whether the request ran, as stated by the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RanClaim {
    /// The response states "no".
    No,
    /// The response states "yes".
    Yes,
    /// The response states "unknown", or there was no response.
    Unknown,
}

impl RanClaim {
    /// Parses the value of the header.
    pub fn parse(value: &str) -> Self {
        match value {
            "no" => RanClaim::No,
            "yes" => RanClaim::Yes,
            _ => RanClaim::Unknown,
        }
    }
}

/// Kind of request that a call sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A streamed completion of this many tokens.
    Stream(u64),
    /// A completion of this many tokens in one response.
    Plain(u64),
    /// A request to a plain service.
    Service,
}

/// A call as observed by its caller.
#[derive(Debug, Clone)]
pub struct ObservedCall {
    /// Client account.
    pub account: String,
    /// Kind of request.
    pub kind: CallKind,
    /// Body of the request, unique among all calls.
    pub body: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// HTTP status; 0 if none was received.
    pub status: u16,
    /// Whether the request ran, as stated by the response.
    pub ran: RanClaim,
    /// Whether the response was received completely.
    pub complete: bool,
    /// Body of the response as far as it was received.
    pub response: String,
}

/// Rate limit of an account.
#[derive(Debug, Clone)]
pub struct AccountAllowance {
    /// Client account.
    pub account: String,
    /// Tokens per second.
    pub rate: f64,
    /// Burst size in tokens.
    pub burst: f64,
}

/// Memory use of an engine in MiB.
#[derive(Debug, Clone, Copy)]
pub struct MemoryPeak {
    /// Highest use observed.
    pub peak: u64,
    /// Memory available.
    pub capacity: u64,
}

/// Records of one test run.
#[derive(Debug, Clone, Default)]
pub struct RunEvidence {
    /// Calls of all callers.
    pub calls: Vec<ObservedCall>,
    /// Requests that the fakes ran.
    pub runs: Vec<RunRecord>,
    /// Keys that no endpoint may receive.
    pub keys: Vec<String>,
    /// Accounts with a rate limit.
    pub allowances: Vec<AccountAllowance>,
    /// Memory use of all engines.
    pub memory: Vec<MemoryPeak>,
}

/// Guarantees that are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A non-idempotent request runs at most once.
    SingleRun,
    /// A request that is reported as not run did not run.
    NotRun,
    /// A request that is reported as run did run.
    Ran,
    /// A response belongs to its request and is neither truncated nor duplicated.
    OwnResponse,
    /// No endpoint receives an API key.
    HiddenKey,
    /// No account exceeds its rate and burst.
    Rate,
    /// Memory use never exceeds the capacity.
    Memory,
}

/// A breach that the records prove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseBreach {
    /// Violated guarantee.
    pub promise: Promise,
    /// Records that prove the breach.
    pub detail: String,
}

/// Checks all guarantees.
pub fn check_promises(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    [
        check_single_runs(evidence),
        check_not_run(evidence),
        check_ran(evidence),
        check_responses(evidence),
        check_keys(evidence),
        check_rates(evidence),
        check_memory(evidence),
    ]
    .concat()
}

/// Finds non-idempotent calls that ran more than once.
pub fn check_single_runs(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let runs = RunIndex::new(evidence);
    let calls = evidence.calls.iter().filter(|call| !call.idempotent);
    calls
        .filter(|call| runs.count(call) > 1)
        .map(|call| breach(Promise::SingleRun, call, "ran more than once"))
        .collect()
}

/// Finds calls that ran although their response states that they did not.
pub fn check_not_run(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let runs = RunIndex::new(evidence);
    let calls = evidence
        .calls
        .iter()
        .filter(|call| call.ran == RanClaim::No);
    calls
        .filter(|call| runs.count(call) > 0)
        .map(|call| breach(Promise::NotRun, call, "ran"))
        .collect()
}

/// Finds calls that did not run although their response states that they did.
pub fn check_ran(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let runs = RunIndex::new(evidence);
    let calls = evidence
        .calls
        .iter()
        .filter(|call| call.ran == RanClaim::Yes);
    calls
        .filter(|call| runs.count(call) == 0)
        .map(|call| breach(Promise::Ran, call, "did not run"))
        .collect()
}

/// Finds responses that belong to another call or are truncated or duplicated.
pub fn check_responses(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let calls = evidence.calls.iter();
    calls
        .filter(|call| (200..300).contains(&call.status) && !is_expected_response(call))
        .map(|call| breach(Promise::OwnResponse, call, &call.response))
        .collect()
}

/// Finds runs whose request contained a key.
pub fn check_keys(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let contains_key = |run: &RunRecord, key: &str| {
        run.target.contains(key)
            || run.body.contains(key)
            || run.headers.iter().any(|header| header.contains(key))
    };
    let runs = evidence.runs.iter();
    runs.filter(|run| evidence.keys.iter().any(|key| contains_key(run, key)))
        .map(|run| PromiseBreach {
            promise: Promise::HiddenKey,
            detail: format!("{} {}", run.request_id, run.target),
        })
        .collect()
}

/// Finds the first window of each account in which it exceeded its rate and
/// burst.
///
/// A window begins when a call is sent and ends when a run starts. A request that
/// was sent and started running within the window was admitted within it.
pub fn check_rates(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let index = RunIndex::new(evidence);
    let allowances = evidence.allowances.iter();
    allowances
        .filter_map(|allowance| {
            let uses = index.token_uses(evidence, &allowance.account);
            let mut starts = uses.iter().map(|token_use| token_use.sent);
            starts.find_map(|from| find_rate_excess(&uses, from, allowance))
        })
        .collect()
}

/// Finds engines whose memory use exceeded their capacity.
pub fn check_memory(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let engines = evidence.memory.iter();
    engines
        .filter(|memory| memory.peak > memory.capacity)
        .map(|memory| PromiseBreach {
            promise: Promise::Memory,
            detail: format!("{memory:?}"),
        })
        .collect()
}

/// Tokens that one run used of an account's quota.
struct TokenUse {
    sent: Instant,
    started: Instant,
    tokens: u64,
}

/// Runs, indexed by their request body.
struct RunIndex<'a>(BTreeMap<&'a str, Vec<&'a RunRecord>>);

impl<'a> RunIndex<'a> {
    fn new(evidence: &'a RunEvidence) -> Self {
        let mut by_body: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for run in &evidence.runs {
            by_body.entry(&run.body).or_default().push(run);
        }
        RunIndex(by_body)
    }

    fn runs(&self, call: &ObservedCall) -> &[&'a RunRecord] {
        self.0.get(call.body.as_str()).map_or(&[], Vec::as_slice)
    }

    fn count(&self, call: &ObservedCall) -> usize {
        self.runs(call).len()
    }

    /// Returns an account's token uses in the order in which the runs started.
    fn token_uses(&self, evidence: &RunEvidence, account: &str) -> Vec<TokenUse> {
        let calls = evidence.calls.iter().filter(|call| call.account == account);
        let mut uses: Vec<TokenUse> = calls
            .flat_map(|call| {
                self.runs(call).iter().map(|run| TokenUse {
                    sent: call.sent,
                    started: run.started,
                    tokens: run.tokens,
                })
            })
            .collect();
        uses.sort_by_key(|token_use| token_use.started);
        uses
    }
}

/// Finds the first window that begins at `from` and exceeds the allowance.
fn find_rate_excess(
    uses: &[TokenUse],
    from: Instant,
    allowance: &AccountAllowance,
) -> Option<PromiseBreach> {
    let mut used = 0;
    for token_use in uses.iter().filter(|token_use| token_use.sent >= from) {
        used += token_use.tokens;
        let window = token_use.started.saturating_duration_since(from);
        let allowed = allowance.burst + allowance.rate * window.as_secs_f64();
        if used as f64 > allowed {
            return Some(PromiseBreach {
                promise: Promise::Rate,
                detail: format!(
                    "{} used {used} tokens in {window:?}, allowed {allowed:.1}",
                    allowance.account
                ),
            });
        }
    }
    None
}

/// Returns whether a response is the expected one for its request. A response
/// that the caller observed as truncated may lack its end.
fn is_expected_response(call: &ObservedCall) -> bool {
    match call.kind {
        CallKind::Stream(tokens) => {
            let expected = expected_text(&call.body, tokens);
            let got = joined_content(&call.response, "delta");
            let done = call.response.trim_end().ends_with("data: [DONE]");
            if call.complete {
                got == expected && done
            } else {
                expected.starts_with(&got)
            }
        }
        CallKind::Plain(tokens) => {
            let value: Value = serde_json::from_str(&call.response).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            !call.complete || text == Some(&expected_text(&call.body, tokens))
        }
        CallKind::Service => {
            let value: Value = serde_json::from_str(&call.response).unwrap_or_default();
            !call.complete || value["echo"].as_str() == Some(&call.body)
        }
    }
}

fn expected_text(body: &str, tokens: u64) -> String {
    (0..tokens).map(|idx| token_text(body, idx)).collect()
}

/// Concatenates the content of all complete events.
fn joined_content(response: &str, part: &str) -> String {
    let events = response
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let texts = events.filter_map(|event| {
        let value: Value = serde_json::from_str(event).ok()?;
        Some(value["choices"][0][part]["content"].as_str()?.to_owned())
    });
    texts.collect()
}

fn breach(promise: Promise, call: &ObservedCall, detail: &str) -> PromiseBreach {
    let detail = format!("{} {:?} {}: {detail}", call.account, call.kind, call.body);
    PromiseBreach { promise, detail }
}
