//! Checks what the system promises against what callers and fakes recorded.
//!
//! Purpose: one function for each promise, each of which returns every breach
//! that the records prove. Used after any run with real processes.
//!
//! Guarantees: a breach is reported only where the records leave no other
//! explanation; times are compared only where their order is certain.
//!
//! Calls and runs are matched by their bodies, so each call of a run needs a
//! body of its own.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use crate::fake_engine::token_text;
use crate::fake_records::RunRecord;

/// What an answer said of the request's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RanClaim {
    /// "no"
    No,
    /// "yes"
    Yes,
    /// "unknown", or no answer.
    Unknown,
}

impl RanClaim {
    /// Reads the header's value.
    pub fn parse(value: &str) -> Self {
        match value {
            "no" => RanClaim::No,
            "yes" => RanClaim::Yes,
            _ => RanClaim::Unknown,
        }
    }
}

/// What a call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A streamed completion of this many tokens.
    Stream(u64),
    /// A completion of this many tokens at once.
    Plain(u64),
    /// A call of a plain service.
    Service,
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct ObservedCall {
    /// Client account.
    pub account: String,
    /// What was asked for.
    pub kind: CallKind,
    /// Body of the request, unlike that of any other call.
    pub body: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// HTTP status; 0 when none came.
    pub status: u16,
    /// What the answer said of the run.
    pub ran: RanClaim,
    /// Whether the answer ended as an answer does.
    pub whole: bool,
    /// Body of the answer as far as it came.
    pub answer: String,
}

/// What an account may use.
#[derive(Debug, Clone)]
pub struct AccountAllowance {
    /// Client account.
    pub account: String,
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
}

/// Memory of one engine in MiB.
#[derive(Debug, Clone, Copy)]
pub struct MemoryPeak {
    /// Most that was ever held.
    pub peak: u64,
    /// What there is.
    pub capacity: u64,
}

/// The records of one run.
#[derive(Debug, Clone, Default)]
pub struct RunEvidence {
    /// Calls of all callers.
    pub calls: Vec<ObservedCall>,
    /// Runs of all fakes.
    pub runs: Vec<RunRecord>,
    /// Keys that no endpoint may see.
    pub keys: Vec<String>,
    /// Accounts with a rate.
    pub allowances: Vec<AccountAllowance>,
    /// Engines.
    pub memory: Vec<MemoryPeak>,
}

/// Names of the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A non-idempotent request runs at most once.
    SingleRun,
    /// A request that "did not run" did not.
    NotRun,
    /// A request that "ran" did.
    Ran,
    /// An answer is the request's own and neither short nor doubled.
    OwnAnswer,
    /// No endpoint sees a key.
    HiddenKey,
    /// No account gets more than its rate and burst.
    Rate,
    /// Memory is never over the capacity.
    Memory,
}

/// A proved breach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseBreach {
    /// What was promised.
    pub promise: Promise,
    /// The records that prove it.
    pub detail: String,
}

/// Checks all promises.
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

/// Finds calls whose refusal says "not run" although they ran.
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

/// Finds calls whose answer says "run" although they did not.
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

/// Finds answers that are another's, short or doubled.
pub fn check_responses(evidence: &RunEvidence) -> Vec<PromiseBreach> {
    let calls = evidence.calls.iter();
    calls
        .filter(|call| (200..300).contains(&call.status) && !is_expected_response(call))
        .map(|call| breach(Promise::OwnAnswer, call, &call.answer))
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

/// Finds the first window of each account in which it got more than burst and
/// rate.
///
/// A window runs from the sending of one call to the start of a run. Calls
/// that were sent and runs that started inside it were admitted inside it.
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

/// Finds engines that held more memory than there is.
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

/// Tokens that an account used with one run.
struct TokenUse {
    sent: Instant,
    started: Instant,
    tokens: u64,
}

/// Runs by the body of their request.
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

    /// Returns an account's uses in the order of their runs' starts.
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

/// Finds the first window from `from` in which too much was used.
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

/// Tells whether an answer is what its own request must get; one that the
/// caller saw cut may lack its end.
fn is_expected_response(call: &ObservedCall) -> bool {
    match call.kind {
        CallKind::Stream(tokens) => {
            let expected = expected_text(&call.body, tokens);
            let got = joined_content(&call.answer, "delta");
            let done = call.answer.trim_end().ends_with("data: [DONE]");
            if call.whole {
                got == expected && done
            } else {
                expected.starts_with(&got)
            }
        }
        CallKind::Plain(tokens) => {
            let value: Value = serde_json::from_str(&call.answer).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            !call.whole || text == Some(&expected_text(&call.body, tokens))
        }
        CallKind::Service => {
            let value: Value = serde_json::from_str(&call.answer).unwrap_or_default();
            !call.whole || value["echo"].as_str() == Some(&call.body)
        }
    }
}

fn expected_text(body: &str, tokens: u64) -> String {
    (0..tokens).map(|idx| token_text(body, idx)).collect()
}

/// Joins the text of the events that came whole.
fn joined_content(answer: &str, part: &str) -> String {
    let events = answer
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
