//! Entry instances of a run: routing, retries and the outcome for callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{mix_bits, ChoiceRequest, EndpointCandidate, EndpointChooser, LoadHint};
use mulberrywell_wire::request::{AttemptId, AttemptStart, LoadReport, Ran};
use mulberrywell_wire::FrameBody;

use crate::bench_matrix::{Deployment, RouteRule, Scenario, Variant};
use crate::request_stream::{account_weight, model_name, BenchRequest, HEAVY_ACCOUNT};
use crate::run_result::RunResult;

/// Maximum number of attempts per request.
const ATTEMPTS_MAX: usize = 3;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(10);

/// Latency targets: time to the first token, and mean time between tokens, in
/// microseconds.
const FIRST_TOKEN_TARGET_US: u64 = 720_000;
const TOKEN_INTERVAL_TARGET_US: f64 = 47_000.0;

/// Bound on the output tokens of a request.
const OUTPUT_BOUND: u64 = 256;

/// A frame from an entry to an agent.
pub struct SentFrame {
    pub entry: usize,
    pub agent: usize,
    pub body: FrameBody,
}

/// An endpoint in the directory of the entries.
#[derive(Debug, Clone, Default)]
pub struct DirectoryItem {
    pub resident: BTreeSet<Bytes>,
    pub incarnation: u64,
    pub live: bool,
}

/// State of one request.
#[derive(Debug, Clone, Default)]
struct CallState {
    tried: Vec<usize>,
    /// Agent of the attempt in flight.
    agent: Option<usize>,
    first_us: Option<u64>,
    end_us: Option<u64>,
    refused: bool,
}

/// All entry instances of a run.
pub struct BenchEntries<'a> {
    deployment: &'a Deployment,
    variant: &'a Variant,
    choosers: Vec<EndpointChooser>,
    /// Endpoints as the entries see them.
    pub directory: Vec<DirectoryItem>,
    names: Vec<Bytes>,
    zones: Vec<Bytes>,
    models: Vec<Bytes>,
    calls: Vec<CallState>,
    /// Attempts in flight by endpoint, for each entry.
    in_flight: Vec<Vec<u32>>,
    /// Tokens requested since the last plan, by model.
    pub demand: BTreeMap<usize, u64>,
    /// Models with late or refused requests since the last plan.
    pub late_or_refused: BTreeSet<usize>,
}

impl<'a> BenchEntries<'a> {
    /// Creates the entries of a deployment with an empty directory.
    pub fn new(deployment: &'a Deployment, variant: &'a Variant) -> Self {
        let zone = |idx: usize| Bytes::from(format!("zone-{}", idx % deployment.zones));
        let chooser = |entry: usize| {
            let name = Bytes::from(format!("entry-{entry}"));
            EndpointChooser::new(name, zone(entry), variant.choice.clone())
        };
        let all_models = deployment.models + deployment.adapters;
        BenchEntries {
            deployment,
            variant,
            choosers: (0..deployment.entries).map(chooser).collect(),
            directory: vec![DirectoryItem::default(); deployment.endpoints],
            names: (0..deployment.endpoints)
                .map(|idx| Bytes::from(format!("engine-{idx:04}")))
                .collect(),
            zones: (0..deployment.endpoints).map(zone).collect(),
            models: (0..all_models)
                .map(|idx| model_name(deployment, idx))
                .collect(),
            calls: Vec::new(),
            in_flight: vec![vec![0; deployment.endpoints]; deployment.entries],
            demand: BTreeMap::new(),
            late_or_refused: BTreeSet::new(),
        }
    }

    fn entry_of(&self, call: usize) -> usize {
        call % self.deployment.entries
    }

    /// Starts the first attempt of a new request.
    pub fn start_request(
        &mut self,
        now: Instant,
        call: usize,
        requests: &[BenchRequest],
    ) -> Vec<SentFrame> {
        self.calls.resize(requests.len(), CallState::default());
        self.start_next_attempt(now, call, requests)
            .into_iter()
            .collect()
    }

    fn start_next_attempt(
        &mut self,
        now: Instant,
        call: usize,
        requests: &[BenchRequest],
    ) -> Option<SentFrame> {
        let request = &requests[call];
        let entry = self.entry_of(call);
        let agent = (self.calls[call].tried.len() < ATTEMPTS_MAX)
            .then(|| self.choose(now, entry, call, request))
            .flatten();
        let Some(agent) = agent else {
            self.calls[call].refused = true;
            self.late_or_refused.insert(request.model);
            self.add_demand(request);
            return None;
        };
        self.calls[call].tried.push(agent);
        self.calls[call].agent = Some(agent);
        self.in_flight[entry][agent] += 1;
        let tokens = request.prompt + OUTPUT_BOUND;
        let prefix = self.prefix(request);
        self.choosers[entry].record_attempt_start(&self.names[agent], tokens, prefix);
        Some(SentFrame {
            entry,
            agent,
            body: FrameBody::AttemptStart(self.build_attempt(call, agent, request)),
        })
    }

    fn prefix(&self, request: &BenchRequest) -> u64 {
        if self.variant.prefixes {
            request.prefix
        } else {
            0
        }
    }

    fn build_attempt(&self, call: usize, agent: usize, request: &BenchRequest) -> AttemptStart {
        let account = if self.variant.fair {
            request.account
        } else {
            0
        };
        AttemptStart {
            id: Some(AttemptId {
                incarnation: 1,
                sequence: call as u64,
                attempt: self.calls[call].tried.len() as u32,
            }),
            endpoint: self.names[agent].clone(),
            endpoint_incarnation: self.directory[agent].incarnation,
            account: Bytes::from(format!("account-{account}")),
            model: self.models[request.model].clone(),
            body: Bytes::copy_from_slice(&(call as u64).to_le_bytes()),
            deadline_ms: DEADLINE.as_millis() as u64,
            weight: account_weight(self.deployment.accounts, account),
            prompt_tokens: request.prompt,
            output_tokens: OUTPUT_BOUND,
            idempotent: true,
            prefix: request.prefix,
            stream: true,
            ..AttemptStart::default()
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        entry: usize,
        call: usize,
        request: &BenchRequest,
    ) -> Option<usize> {
        let model = &self.models[request.model];
        let eligible: Vec<usize> = (0..self.directory.len())
            .filter(|idx| {
                let item = &self.directory[*idx];
                item.live && item.resident.contains(model) && !self.calls[call].tried.contains(idx)
            })
            .collect();
        let seed = mix_bits((call * 4 + self.calls[call].tried.len()) as u64);
        match self.variant.route {
            RouteRule::Random => eligible.get(seed as usize % eligible.len().max(1)).copied(),
            RouteRule::LeastInFlight => eligible
                .into_iter()
                .min_by_key(|idx| (self.in_flight[entry][*idx], mix_bits(seed ^ *idx as u64))),
            RouteRule::Chooser => {
                let candidates: Vec<EndpointCandidate<'_>> = eligible
                    .iter()
                    .map(|idx| EndpointCandidate {
                        name: &self.names[*idx],
                        zone: &self.zones[*idx],
                        incarnation: self.directory[*idx].incarnation,
                        ready_delay: Duration::ZERO,
                    })
                    .collect();
                let choice = ChoiceRequest {
                    model,
                    prompt_tokens: request.prompt,
                    total_tokens: request.prompt + OUTPUT_BOUND,
                    prefix: self.prefix(request),
                    time_left: DEADLINE,
                    seed,
                };
                let chosen = self.choosers[entry].choose(now, &choice, &candidates)?;
                Some(eligible[chosen.index])
            }
        }
    }

    /// Handles a frame from an agent; returns the frames to send.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        now_us: u64,
        entry: usize,
        agent: usize,
        body: FrameBody,
        requests: &[BenchRequest],
    ) -> Vec<SentFrame> {
        match body {
            FrameBody::LoadReport(report) => self.handle_load_report(now, entry, agent, &report),
            FrameBody::AttemptPart(part) => {
                if let Some(call) = self.current_call(part.id, agent) {
                    self.calls[call].first_us.get_or_insert(now_us);
                }
            }
            FrameBody::AttemptEnd(end) => {
                if let Some(call) = self.current_call(end.id, agent) {
                    self.end_attempt(call, &requests[call]);
                    self.calls[call].end_us = Some(now_us);
                    self.add_demand(&requests[call]);
                    let first = self.calls[call].first_us.unwrap_or(now_us);
                    if first - requests[call].at_us > FIRST_TOKEN_TARGET_US {
                        self.late_or_refused.insert(requests[call].model);
                    }
                }
            }
            FrameBody::AttemptRefused(refused) => {
                if let Some(call) = self.current_call(refused.id, agent) {
                    self.end_attempt(call, &requests[call]);
                    self.calls[call].first_us = None;
                    self.late_or_refused.insert(requests[call].model);
                    if refused.ran() != Ran::Unspecified {
                        return self
                            .start_next_attempt(now, call, requests)
                            .into_iter()
                            .collect();
                    }
                }
            }
            _ => {}
        }
        Vec::new()
    }

    fn handle_load_report(
        &mut self,
        now: Instant,
        entry: usize,
        agent: usize,
        report: &LoadReport,
    ) {
        if !self.variant.hints {
            return;
        }
        let waits = report.models.iter();
        let hint = LoadHint {
            incarnation: report.incarnation,
            sequence: report.sequence,
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            queue_limit: report.queue_limit,
            tokens_per_second: report.tokens_per_second,
            waits: waits
                .map(|item| (item.model.clone(), Duration::from_millis(item.wait_ms)))
                .collect(),
            prefixes: report.prefixes.clone(),
            leaving: report.leaving,
        };
        self.choosers[entry].handle_hint(now, &self.names[agent], hint);
    }

    fn current_call(&self, id: Option<AttemptId>, agent: usize) -> Option<usize> {
        let id = id?;
        let call = id.sequence as usize;
        let state = &self.calls[call];
        let is_current = state.agent == Some(agent) && state.tried.len() as u32 == id.attempt;
        is_current.then_some(call)
    }

    fn end_attempt(&mut self, call: usize, request: &BenchRequest) {
        let entry = self.entry_of(call);
        if let Some(agent) = self.calls[call].agent.take() {
            self.in_flight[entry][agent] -= 1;
            let tokens = request.prompt + OUTPUT_BOUND;
            self.choosers[entry].record_attempt_end(&self.names[agent], tokens);
        }
    }

    /// Counts the attempts in flight at an endpoint.
    pub fn attempts_at(&self, agent: usize) -> u32 {
        self.in_flight.iter().map(|entry| entry[agent]).sum()
    }

    fn add_demand(&mut self, request: &BenchRequest) {
        *self.demand.entry(request.model).or_insert(0) += request.prompt + request.output;
    }

    /// Retries the attempts at an agent whose links were lost.
    pub fn handle_link_loss(
        &mut self,
        now: Instant,
        agent: usize,
        requests: &[BenchRequest],
    ) -> Vec<SentFrame> {
        let lost: Vec<usize> = (0..self.calls.len())
            .filter(|call| self.calls[*call].agent == Some(agent))
            .collect();
        let mut sent = Vec::new();
        for call in lost {
            self.end_attempt(call, &requests[call]);
            self.calls[call].first_us = None;
            sent.extend(self.start_next_attempt(now, call, requests));
        }
        sent
    }

    /// Evaluates all requests at the end of a run.
    pub fn evaluate(&self, scenario: Scenario, requests: &[BenchRequest], result: &mut RunResult) {
        let heavy_account = (scenario == Scenario::HeavyAccount).then_some(HEAVY_ACCOUNT);
        let mut accounts = vec![(0_u64, 0_u64); self.deployment.accounts];
        for (request, call) in requests.iter().zip(&self.calls) {
            if Some(request.account) == heavy_account {
                continue;
            }
            let in_time = call.first_us.zip(call.end_us).is_some_and(|(first, end)| {
                let token_interval = (end - first) as f64 / request.output as f64;
                first - request.at_us <= FIRST_TOKEN_TARGET_US
                    && token_interval <= TOKEN_INTERVAL_TARGET_US
            });
            accounts[request.account].0 += u64::from(in_time);
            accounts[request.account].1 += 1;
            result.refused += u64::from(call.refused);
        }
        result.attained = accounts.iter().map(|account| account.0).sum();
        result.offered = accounts.iter().map(|account| account.1).sum();
        let shares: Vec<f64> = accounts
            .iter()
            .filter(|account| account.1 > 0)
            .map(|account| account.0 as f64 / account.1 as f64)
            .collect();
        result.worst_account = shares.iter().copied().fold(1.0, f64::min);
        result.mean_account = shares.iter().sum::<f64>() / shares.len() as f64;
    }
}
