//! A mix of calls by several accounts, drawn from a seed.
//!
//! Call number `n` of a seed is the same in each run: its account, kind and body
//! depend on the seed and the number only.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::http_client::{HttpCaller, HttpResponse};
use crate::promise_checker::{CallKind, ObservedCall, RanClaim};

/// Maximum number of tokens of a call.
const TOKENS_MAX: u64 = 30;

/// Header that carries the deadline of a call.
const DEADLINE_HEADER: &str = "Mulberrywell-Deadline-Ms";

/// An account in the mix.
#[derive(Debug, Clone)]
pub struct MixAccount {
    /// Client account.
    pub name: String,
    /// API key of the account.
    pub key: String,
    /// Whether the account's plan grants the service.
    pub uses_service: bool,
}

/// Time after its deadline at which a call times out on the caller's side.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Parameters of the mix.
#[derive(Debug, Clone)]
pub struct RequestMix {
    /// Seed of all calls.
    pub seed: u64,
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Accounts that make the calls.
    pub accounts: Vec<MixAccount>,
    /// Model that completions request.
    pub model: String,
    /// Path of requests to the service, which are not idempotent.
    pub service_path: String,
    /// Deadline of each call in milliseconds.
    pub deadline_ms: u64,
}

impl RequestMix {
    /// Makes one call and returns the observation of its caller.
    pub fn call(&self, number: u64) -> ObservedCall {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ (number << 20));
        let account = &self.accounts[rng.random_range(0..self.accounts.len())];
        let entry = self.entries[rng.random_range(0..self.entries.len())];
        let tokens = rng.random_range(1..=TOKENS_MAX);
        let kind = match rng.random_range(0..4) {
            0 if account.uses_service => CallKind::Service,
            0 | 1 => CallKind::Plain(tokens),
            _ => CallKind::Stream(tokens),
        };
        let (path, body) = self.request(kind, number);
        let deadline = self.deadline_ms.to_string();
        let headers = [
            ("Content-Type", "application/json"),
            (DEADLINE_HEADER, deadline.as_str()),
        ];
        let timeout = Duration::from_millis(self.deadline_ms) + TIMEOUT_MARGIN;
        let caller = HttpCaller::with_timeout(entry, Some(&account.key), timeout);
        let sent = Instant::now();
        // Without a response, the default value is recorded, which states that
        // it is unknown whether the request ran.
        let response = caller.call("POST", path, &headers, &body);
        let response = response.unwrap_or_default();
        observed_call(account, kind, body, sent, response)
    }

    fn request(&self, kind: CallKind, number: u64) -> (&str, String) {
        let (tokens, stream) = match kind {
            CallKind::Service => {
                let body = format!(r#"{{"order":"{}-{number}"}}"#, self.seed);
                return (&self.service_path, body);
            }
            CallKind::Plain(tokens) => (tokens, false),
            CallKind::Stream(tokens) => (tokens, true),
        };
        let body = serde_json::json!({
            "model": self.model,
            "prompt": format!("call {}-{number}", self.seed),
            "max_tokens": tokens,
            "stream": stream,
        });
        ("/v1/completions", body.to_string())
    }
}

fn observed_call(
    account: &MixAccount,
    kind: CallKind,
    body: String,
    sent: Instant,
    response: HttpResponse,
) -> ObservedCall {
    ObservedCall {
        account: account.name.clone(),
        kind,
        body,
        idempotent: kind != CallKind::Service,
        sent,
        status: response.status,
        ran: RanClaim::parse(response.header("Mulberrywell-Ran")),
        complete: response.complete,
        response: response.body,
    }
}
