//! Fakes of a model engine and of the weight store, based on service curves.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use mulberrywell_agent::{EngineOrder, EngineState, OrderKind, OrderOutcome, ResidentModel, RunId};

use crate::bench_matrix::Deployment;
use crate::request_stream::BenchRequest;

/// Requests that an engine runs concurrently.
pub const SLOTS: u32 = 16;

/// Accelerator memory of an engine in MiB.
pub const MEMORY_MIB: u64 = 80_000;

/// Accelerator memory reserved for the KV cache in MiB.
pub const KV_RESERVE_MIB: u64 = 10_000;

/// KV cache of a request in MiB.
pub const KV_MIB: u64 = 500;

/// Prompt tokens that an idle engine processes per second.
const PROMPT_RATE: f64 = 8_000.0;

/// Time between tokens on an idle engine, in microseconds.
const TOKEN_US: f64 = 18_000.0;

/// Share of a prompt that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.8;

/// Maximum number of prefixes that an engine caches.
const PREFIXES_MAX: usize = 24;

/// Time to load 14,000 MiB at full speed, in microseconds.
const LOAD_US: f64 = 4e6;

/// Times of an answer, in microseconds after the start of the request.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes {
    pub first_us: u64,
    pub end_us: u64,
}

/// A fake model engine.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Memory in MiB, the time from which the model serves requests, and its version.
    models: BTreeMap<Bytes, (u64, u64, Bytes)>,
    running: BTreeMap<RunId, ()>,
    fencing: u64,
    prefixes: VecDeque<u64>,
    pub peak_mib: u64,
}

impl FakeEngine {
    /// Loads a model into memory before the run.
    pub fn preload(&mut self, model: Bytes, memory_mib: u64) {
        let version = Bytes::from_static(b"1");
        self.models.insert(model, (memory_mib, 0, version));
    }

    pub fn is_ready(&self, model: &Bytes, now_us: u64) -> bool {
        self.models.get(model).is_some_and(|item| item.1 <= now_us)
    }

    pub fn state(&self, now_us: u64) -> EngineState {
        let models = self.models.iter().map(|(model, item)| ResidentModel {
            model: model.clone(),
            version: item.2.clone(),
            memory_mib: item.0,
            ready: item.1 <= now_us,
        });
        EngineState {
            models: models.collect(),
            fencing: self.fencing,
            role: Bytes::new(),
            prefixes: self.prefixes.iter().copied().collect(),
        }
    }

    /// Starts a request; its speed depends on the requests running at its start.
    pub fn start(&mut self, run: RunId, request: &BenchRequest) -> AnswerTimes {
        self.running.insert(run, ());
        self.record_peak();
        let slowdown = 1.0 + self.running.len() as f64 / f64::from(SLOTS);
        let is_cached = self.prefixes.contains(&request.prefix);
        self.prefixes.retain(|prefix| *prefix != request.prefix);
        self.prefixes.push_back(request.prefix);
        if self.prefixes.len() > PREFIXES_MAX {
            self.prefixes.pop_front();
        }
        let saved = if is_cached { PREFIX_SAVING } else { 0.0 };
        let prefill_us = request.prompt as f64 * (1.0 - saved) / PROMPT_RATE * 1e6;
        let first = prefill_us * slowdown + TOKEN_US;
        let end = first + request.output as f64 * TOKEN_US * slowdown;
        AnswerTimes {
            first_us: first as u64,
            end_us: end as u64,
        }
    }

    /// Ends a request; returns false if it is not running, as after a cancellation.
    pub fn finish(&mut self, run: RunId) -> bool {
        self.running.remove(&run).is_some()
    }

    /// Executes an order; returns the time at which it ends, and its outcome.
    pub fn handle_order(
        &mut self,
        now_us: u64,
        order: &EngineOrder,
        store: &mut FakeStore,
    ) -> (u64, OrderOutcome) {
        if order.fencing < self.fencing {
            return (now_us, OrderOutcome::Refused);
        }
        self.fencing = order.fencing;
        match &order.kind {
            OrderKind::Load {
                model,
                memory_mib,
                base,
                version,
            } => {
                let ready = store.load(now_us, *memory_mib, !base.is_empty());
                let item = self.models.entry(model.clone());
                let ready = item.or_insert((*memory_mib, ready, version.clone())).1;
                self.record_peak();
                (ready, OrderOutcome::Done)
            }
            OrderKind::Unload { model } => {
                self.models.remove(model);
                (now_us, OrderOutcome::Done)
            }
            OrderKind::ChangeRole { .. } => (now_us, OrderOutcome::Done),
        }
    }

    fn record_peak(&mut self) {
        let models: u64 = self.models.values().map(|item| item.0).sum();
        let kv = self.running.len() as u64 * KV_MIB;
        self.peak_mib = self.peak_mib.max(models + kv);
    }
}

/// A fake weight store.
#[derive(Debug)]
pub struct FakeStore {
    interval_us: f64,
    parallel: f64,
    adapter_us: f64,
    adapter_parallel: f64,
    next_us: f64,
    /// End times of the loads in flight.
    models: Vec<u64>,
    adapters: Vec<u64>,
    /// Number of model loads started.
    pub loads: u64,
}

impl FakeStore {
    pub fn new(deployment: &Deployment) -> Self {
        let pacer = &deployment.pacer;
        FakeStore {
            interval_us: 60e6 / pacer.store_loads_per_minute as f64,
            parallel: f64::from(pacer.store_parallel),
            adapter_us: deployment.adapter_load_us as f64,
            adapter_parallel: f64::from(pacer.adapter_parallel),
            next_us: 0.0,
            models: Vec::new(),
            adapters: Vec::new(),
            loads: 0,
        }
    }

    /// Returns the time at which a load that is ordered now ends.
    fn load(&mut self, now_us: u64, memory_mib: u64, is_adapter: bool) -> u64 {
        let now = now_us as f64;
        if is_adapter {
            self.adapters.retain(|end| *end > now_us);
            let slowdown = (1.0 + self.adapters.len() as f64) / self.adapter_parallel;
            let end = (now + self.adapter_us * slowdown.max(1.0)) as u64;
            self.adapters.push(end);
            return end;
        }
        self.loads += 1;
        self.models.retain(|end| *end > now_us);
        let slowdown = (1.0 + self.models.len() as f64) / self.parallel;
        let start = now.max(self.next_us);
        // The store allows as many loads to start at once as it serves in parallel.
        let floor = now - self.interval_us * self.parallel;
        self.next_us = self.next_us.max(floor) + self.interval_us;
        let time = LOAD_US * memory_mib as f64 / 14_000.0 * slowdown.max(1.0);
        let end = (start + time) as u64;
        self.models.push(end);
        end
    }
}
