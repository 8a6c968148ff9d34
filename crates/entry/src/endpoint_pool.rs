//! The endpoints as an entry sees them: load hints, own work and circuits.

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

/// Circuit of one start of an endpoint.
#[derive(Debug, Default)]
struct EndpointCircuit {
    incarnation: u64,
    breaker: CircuitBreaker,
}

/// What an attempt told of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// It answered.
    Good,
    /// It failed.
    Bad,
    /// Nothing.
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

    /// Takes in an agent's report.
    pub fn take_report(&mut self, now: Instant, report: LoadReport) {
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
        self.chooser.take_hint(now, &report.endpoint, hint);
    }

    /// Chooses a live endpoint that was not tried and whose circuit lets an
    /// attempt through.
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
                && self.allows(now, endpoint)
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

    /// Notes the start of an attempt.
    pub fn started(&mut self, now: Instant, endpoint: &EndpointItem, call: &CallRecord) {
        let tokens = call.total_tokens();
        self.chooser
            .attempt_started(&endpoint.name, tokens, call.prefix);
        let circuit = self.circuits.entry(endpoint.name.clone()).or_default();
        if circuit.incarnation != endpoint.incarnation {
            circuit.incarnation = endpoint.incarnation;
            circuit.breaker = CircuitBreaker::default();
        }
        circuit.breaker.note_attempt(now);
    }

    /// Notes the end of an attempt.
    pub fn ended(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        total_tokens: u64,
        verdict: AttemptVerdict,
    ) {
        self.chooser.attempt_ended(endpoint, total_tokens);
        if let Some(circuit) = self.circuits.get_mut(endpoint) {
            match verdict {
                AttemptVerdict::Good => circuit.breaker.note_success(),
                AttemptVerdict::Bad => circuit.breaker.note_failure(now),
                AttemptVerdict::Neutral => circuit.breaker.note_neutral(),
            }
        }
    }

    /// Forgets the endpoints that the directory no longer has.
    pub fn retain(&mut self, directory: &ConfigDirectory) {
        let chooser = &mut self.chooser;
        self.circuits.retain(|name, _| {
            let known = directory.endpoint(name).is_some();
            if !known {
                chooser.forget(name);
            }
            known
        });
    }

    fn allows(&self, now: Instant, endpoint: &EndpointItem) -> bool {
        self.circuits
            .get(&endpoint.name)
            .filter(|circuit| circuit.incarnation == endpoint.incarnation)
            .is_none_or(|circuit| circuit.breaker.allows(now))
    }
}
