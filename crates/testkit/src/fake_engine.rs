//! A fake model engine that implements the interface used by the agent.
//!
//! Responses are a function of the request body, so that a test can verify which
//! request a response belongs to, and a resumed stream continues the same text.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::{json, Value};

use crate::fake_records::{FakeRecords, RunRecord, RunState};
use crate::fake_server::{spawn_server, ResponseStream, ServerRequest};

/// Number of tokens of a response if the request sets no limit.
const DEFAULT_TOKENS: u64 = 8;

/// Last event of a stream.
const STREAM_END: &str = "data: [DONE]\n\n";

/// Interval at which a waiting run checks whether it was cancelled.
const CANCEL_POLL: Duration = Duration::from_millis(50);

/// A model in the engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FakeModel {
    /// Name of the model.
    pub model: String,
    /// Memory use in MiB.
    pub memory_mib: u64,
    /// Whether the model is loaded and accepts requests.
    pub ready: bool,
}

/// Behaviour of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Accelerator memory in MiB. A load that exceeds it is refused but counted in
    /// the peak.
    pub memory_mib: u64,
    /// Models that are resident initially.
    pub models: Vec<FakeModel>,
    /// Time before the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Time that loading a model takes.
    pub load_time: Duration,
    /// Whether orders with outdated fencing tokens are refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            memory_mib: 48_000,
            models: Vec::new(),
            first_token: Duration::from_millis(5),
            between_tokens: Duration::from_millis(2),
            load_time: Duration::from_millis(100),
            checks_fencing: true,
        }
    }
}

#[derive(Debug, Default)]
struct EngineMemory {
    models: BTreeMap<String, FakeModel>,
    fencing: u64,
    role: String,
    /// Highest total memory use of all models, including refused loads.
    peak_mib: u64,
    cancelled: BTreeSet<String>,
    /// Orders that passed the fencing check, oldest first.
    orders: Vec<String>,
}

/// A running fake engine.
#[derive(Clone)]
pub struct FakeEngine {
    address: SocketAddr,
    records: FakeRecords,
    memory: Arc<Mutex<EngineMemory>>,
    config: Arc<Mutex<EngineConfig>>,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn(config: EngineConfig) -> Result<Self> {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)), config)
    }

    /// Starts an engine on an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn spawn_at(address: SocketAddr, config: EngineConfig) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let models = config.models.iter();
        let memory = EngineMemory {
            models: models
                .map(|model| (model.model.clone(), model.clone()))
                .collect(),
            ..EngineMemory::default()
        };
        let engine = FakeEngine {
            address,
            records: FakeRecords::default(),
            memory: Arc::new(Mutex::new(memory)),
            config: Arc::new(Mutex::new(config)),
        };
        engine.record_peak();
        let worker = engine.clone();
        spawn_server(listener, move |request, stream| {
            worker.serve(&request, stream)
        });
        Ok(engine)
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the records of the requests that the engine ran.
    pub fn records(&self) -> &FakeRecords {
        &self.records
    }

    /// Returns the highest total memory use in MiB, including refused loads.
    pub fn peak_mib(&self) -> u64 {
        self.lock().peak_mib
    }

    /// Returns the resident models.
    pub fn models(&self) -> Vec<FakeModel> {
        self.lock().models.values().cloned().collect()
    }

    /// Returns the orders that passed the fencing check, oldest first.
    pub fn orders(&self) -> Vec<String> {
        self.lock().orders.clone()
    }

    /// Changes the configuration that applies to subsequent requests.
    pub fn configure(&self, change: impl FnOnce(&mut EngineConfig)) {
        change(&mut self.config.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn config(&self) -> EngineConfig {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn lock(&self) -> MutexGuard<'_, EngineMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_peak(&self) {
        let mut memory = self.lock();
        let sum = memory.models.values().map(|model| model.memory_mib).sum();
        memory.peak_mib = memory.peak_mib.max(sum);
    }

    /// Serves a request; returns whether the connection accepts another one.
    fn serve(&self, request: &ServerRequest, stream: &mut ResponseStream) -> bool {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/engine/state") => stream.respond(200, &self.state()),
            ("POST", "/engine/cancel") => {
                let value: Value = serde_json::from_str(&request.body).unwrap_or_default();
                let id = value["request"].as_str().unwrap_or_default().to_owned();
                self.lock().cancelled.insert(id);
                stream.respond(200, &json!({}))
            }
            ("POST", path @ ("/engine/load" | "/engine/unload" | "/engine/role")) => {
                let value: Value = serde_json::from_str(&request.body).unwrap_or_default();
                let status = self.handle_order(path, &value);
                stream.respond(status, &json!({ "status": status }))
            }
            ("POST", "/v1/chat/completions" | "/v1/completions") => self.complete(request, stream),
            _ => stream.respond(404, &json!({ "error": "no such path" })),
        }
    }

    fn state(&self) -> Value {
        let memory = self.lock();
        let models: Vec<Value> = memory
            .models
            .values()
            .map(|model| {
                json!({
                    "model": model.model,
                    "version": "",
                    "memory_mib": model.memory_mib,
                    "ready": model.ready,
                })
            })
            .collect();
        json!({
            "models": models,
            "fencing": memory.fencing,
            "role": memory.role,
            "prefixes": [],
        })
    }

    fn handle_order(&self, path: &str, order: &Value) -> u16 {
        let config = self.config();
        let fencing = order["fencing"].as_u64().unwrap_or(0);
        {
            let mut memory = self.lock();
            if config.checks_fencing && fencing < memory.fencing {
                return 409;
            }
            memory.fencing = memory.fencing.max(fencing);
            memory.orders.push(format!("{path} {order}"));
        }
        let name = order["model"].as_str().unwrap_or_default().to_owned();
        match path {
            "/engine/load" => self.load(&name, order["memory_mib"].as_u64().unwrap_or(0), &config),
            "/engine/unload" => {
                self.lock().models.remove(&name);
                200
            }
            _ => {
                self.lock().role = order["role"].as_str().unwrap_or_default().to_owned();
                200
            }
        }
    }

    fn load(&self, name: &str, memory_mib: u64, config: &EngineConfig) -> u16 {
        {
            let mut memory = self.lock();
            if memory.models.contains_key(name) {
                return 200;
            }
            let used_mib: u64 = memory.models.values().map(|model| model.memory_mib).sum();
            if used_mib + memory_mib > config.memory_mib {
                memory.peak_mib = memory.peak_mib.max(used_mib + memory_mib);
                return 507;
            }
            let model = FakeModel {
                model: name.to_owned(),
                memory_mib,
                ready: false,
            };
            memory.models.insert(name.to_owned(), model);
        }
        self.record_peak();
        thread::sleep(config.load_time);
        if let Some(model) = self.lock().models.get_mut(name) {
            model.ready = true;
        }
        200
    }

    fn complete(&self, request: &ServerRequest, stream: &mut ResponseStream) -> bool {
        let value: Value = serde_json::from_str(&request.body).unwrap_or_default();
        let model = value["model"].as_str().unwrap_or_default().to_owned();
        let ready = self.lock().models.get(&model).is_some_and(|m| m.ready);
        if !ready {
            return stream.respond(404, &json!({ "error": "model is not resident" }));
        }
        let run = EngineRun {
            engine: self,
            number: self.records.record_start(run_record(request)),
            id: request.header("X-Request-Id").to_owned(),
            body: &request.body,
            resume_from: request.header("X-Resume-Events").parse().unwrap_or(0),
            tokens: value["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
            config: self.config(),
        };
        let finished = run.wait_unless_cancelled(run.config.first_token)
            && match value["stream"].as_bool() {
                Some(true) => run.stream(stream),
                _ => run.write_completion(stream),
            };
        let state = if finished {
            RunState::Finished
        } else {
            RunState::Cancelled
        };
        self.records
            .update(run.number, |record| record.state = state);
        finished
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.lock().cancelled.contains(id)
    }
}

/// A request that the engine is running.
struct EngineRun<'a> {
    engine: &'a FakeEngine,
    /// Number of the run's record.
    number: u64,
    id: String,
    body: &'a str,
    /// Number of tokens that the caller has already received.
    resume_from: u64,
    tokens: u64,
    config: EngineConfig,
}

impl EngineRun<'_> {
    /// Streams the tokens; returns false if the run was cancelled or the connection
    /// closed.
    fn stream(&self, stream: &mut ResponseStream) -> bool {
        if !stream.begin_chunks("text/event-stream") {
            return false;
        }
        for idx in self.resume_from..self.tokens {
            if idx > self.resume_from {
                thread::sleep(self.config.between_tokens);
            }
            if self.engine.is_cancelled(&self.id) {
                return false;
            }
            if !stream.write_chunk(&token_event(self.body, idx)) {
                return false;
            }
            self.record_token();
        }
        stream.write_chunk(STREAM_END) && stream.write_chunk("")
    }

    /// Responds with all tokens at once; returns false if the run was cancelled or the
    /// connection closed.
    fn write_completion(&self, stream: &mut ResponseStream) -> bool {
        let mut text = String::new();
        for idx in 0..self.tokens {
            thread::sleep(self.config.between_tokens);
            if self.engine.is_cancelled(&self.id) {
                return false;
            }
            text.push_str(&token_text(self.body, idx));
            self.record_token();
        }
        let value = json!({
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
            "usage": { "completion_tokens": self.tokens },
        });
        stream.respond(200, &value)
    }

    /// Waits for `duration`; returns false as soon as the run is cancelled.
    fn wait_unless_cancelled(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        loop {
            if self.engine.is_cancelled(&self.id) {
                return false;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(CANCEL_POLL));
        }
    }

    fn record_token(&self) {
        self.engine
            .records
            .update(self.number, |record| record.tokens += 1);
    }
}

/// Returns the complete streamed response to a request body.
pub fn streamed_response(body: &str, tokens: u64) -> String {
    let events: String = (0..tokens).map(|idx| token_event(body, idx)).collect();
    events + STREAM_END
}

/// Returns the event of one token of a streamed response.
fn token_event(body: &str, idx: u64) -> String {
    let event = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": token_text(body, idx) } }],
    });
    format!("data: {event}\n\n")
}

/// Returns the text of one token of the response to a request body.
pub(crate) fn token_text(body: &str, idx: u64) -> String {
    let sum = body.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    format!("{sum:08x}.{idx} ")
}

/// Builds the record of a request that starts to run.
pub(crate) fn run_record(request: &ServerRequest) -> RunRecord {
    let headers = request.headers.iter();
    RunRecord {
        request_id: request.header("X-Request-Id").to_owned(),
        target: format!("{} {}", request.method, request.target),
        headers: headers
            .map(|(name, value)| format!("{name}: {value}"))
            .collect(),
        body: request.body.clone(),
        started: Instant::now(),
        state: RunState::Running,
        tokens: 0,
    }
}
