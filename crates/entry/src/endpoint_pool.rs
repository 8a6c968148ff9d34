//! The endpoints from the entry's point of view: load hints, own attempts and
//! circuit breakers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::{ConfigDirectory, EndpointName};
use mulberrywell_limit::CircuitBreaker;
use mulberrywell_policy::{
    ChoiceRequest, ChoiceSettings, EndpointCandidate, EndpointChooser, LoadHint,
};
use mulberrywell_wire::config::{EndpointItem, EndpointState};
use mulberrywell_wire::request::LoadReport;

use crate::call_table::{CallRecord, CallTarget};

/// Circuit breaker of one incarnation of an endpoint.
#[derive(Debug, Default)]
struct EndpointCircuit {
    incarnation: u64,
    breaker: CircuitBreaker,
}

/// What an attempt indicates about its endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint responded.
    Success,
    /// The endpoint failed.
    Failure,
    /// No indication.
    Neutral,
}

/// Chooses endpoints for attempts.
#[derive(Debug)]
pub struct EndpointPool {
    chooser: EndpointChooser,
    circuits: BTreeMap<EndpointName, EndpointCircuit>,
}

impl EndpointPool {
    /// Creates a pool for an entry in `zone`.
    pub fn new(entry: Bytes, zone: Bytes) -> Self {
        EndpointPool {
            chooser: EndpointChooser::new(entry, zone, ChoiceSettings::default()),
            circuits: BTreeMap::new(),
        }
    }

    /// Applies an agent's load report.
    pub fn apply_load_report(&mut self, now: Instant, report: LoadReport) {
        let waits = report
            .models
            .into_iter()
            .map(|model| (model.model, Duration::from_millis(model.wait_ms)));
        let hint = LoadHint {
            incarnation: report.incarnation,
            sequence: report.sequence,
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            queue_limit: report.queue_limit,
            tokens_per_second: report.tokens_per_second,
            waits: waits.collect(),
            prefixes: report.prefixes,
            leaving: report.leaving,
        };
        self.chooser.handle_hint(now, &report.endpoint, hint);
    }

    /// Chooses a live endpoint that was not tried and whose circuit breaker
    /// admits an attempt.
    pub fn choose(
        &mut self,
        now: Instant,
        directory: &ConfigDirectory,
        call: &CallRecord,
        seed: u64,
    ) -> Option<EndpointItem> {
        let mut items: Vec<&EndpointItem> = match &call.target {
            CallTarget::Model(model) => directory.endpoints_of_model(model).collect(),
            CallTarget::Service(name) => directory.endpoints_of_service(name).collect(),
        };
        items.retain(|endpoint| {
            endpoint.state() == EndpointState::Live
                && !call.tried.contains(&endpoint.name)
                && call
                    .software
                    .as_ref()
                    .is_none_or(|it| endpoint.software == *it)
                && self.circuit_allows(now, endpoint)
        });
        let candidates: Vec<EndpointCandidate<'_>> = items
            .iter()
            .map(|item| EndpointCandidate {
                name: &item.name,
                zone: &item.zone,
                incarnation: item.incarnation,
                ready_delay: Duration::ZERO,
            })
            .collect();
        let model = match &call.target {
            CallTarget::Model(model) => model.clone(),
            CallTarget::Service(_) => Bytes::new(),
        };
        let request = ChoiceRequest {
            model: &model,
            prompt_tokens: call.prompt_tokens,
            total_tokens: call.total_tokens(),
            prefix: call.prefix,
            time_left: call.deadline.saturating_duration_since(now),
            seed,
        };
        let chosen = self.chooser.choose(now, &request, &candidates)?;
        items.get(chosen.index).map(|item| (*item).clone())
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Instant, endpoint: &EndpointItem, call: &CallRecord) {
        let tokens = call.total_tokens();
        self.chooser
            .record_attempt_start(&endpoint.name, tokens, call.prefix);
        let circuit = self.circuits.entry(endpoint.name.clone()).or_default();
        if circuit.incarnation != endpoint.incarnation {
            circuit.incarnation = endpoint.incarnation;
            circuit.breaker = CircuitBreaker::default();
        }
        circuit.breaker.record_attempt(now);
    }

    /// Records the end of an attempt.
    pub fn record_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        total_tokens: u64,
        outcome: AttemptOutcome,
    ) {
        self.chooser.record_attempt_end(endpoint, total_tokens);
        if let Some(circuit) = self.circuits.get_mut(endpoint) {
            match outcome {
                AttemptOutcome::Success => circuit.breaker.record_success(),
                AttemptOutcome::Failure => circuit.breaker.record_failure(now),
                AttemptOutcome::Neutral => circuit.breaker.record_neutral(),
            }
        }
    }

    /// Removes the endpoints that are no longer in the directory.
    pub fn retain(&mut self, directory: &ConfigDirectory) {
        let chooser = &mut self.chooser;
        self.circuits.retain(|name, _| {
            let exists = directory.endpoint(name).is_some();
            if !exists {
                chooser.remove_idle_endpoint(name);
            }
            exists
        });
    }

    fn circuit_allows(&self, now: Instant, endpoint: &EndpointItem) -> bool {
        self.circuits
            .get(&endpoint.name)
            .filter(|circuit| circuit.incarnation == endpoint.incarnation)
            .is_none_or(|circuit| circuit.breaker.allows(now))
    }
}
