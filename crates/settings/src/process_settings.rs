//! Settings of the processes `mulberrywell serve` and `mulberrywell-agent`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;

use crate::{Finding, FindingList, TableReader};

const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
const LOG_LEVELS: [&str; 6] = ["trace", "debug", "info", "warn", "error", "critical"];

/// Settings that all processes have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance; unique in the cluster.
    pub name: Bytes,
    /// Availability zone.
    pub zone: Bytes,
    /// Region.
    pub region: Bytes,
    /// Address on which other processes of the system connect.
    pub listen: SocketAddr,
    /// Address that is announced to other processes; defaults to `listen`.
    pub advertise: SocketAddr,
    /// File with the cluster secret; `None` on a trusted network.
    pub secret_file: Option<PathBuf>,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum length of a request body in bytes.
    pub max_body: usize,
    /// Timeout for receiving the head of a request, and for a caller that makes
    /// no progress in sending a body or reading an answer.
    pub caller_stall_timeout: Duration,
    /// Maximum age of the last confirmation of the configuration at which keys are
    /// still accepted.
    pub config_max_age: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Time for which an instance that shuts down reports that it is not ready
    /// before it stops listening.
    pub shutdown_grace: Duration,
    /// Time after which a shutdown ends the remaining requests; none if nothing kills the
    /// process.
    pub shutdown_limit: Option<Duration>,
    /// Output tokens assumed for a request that sets no limit.
    pub default_output: u64,
}

/// Settings of the gateway role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready_listen: SocketAddr,
    /// Minimum duration of a shutdown.
    pub min_shutdown: Duration,
    /// Time after which a shutdown ends the remaining requests.
    pub shutdown_limit: Duration,
    /// Retries allowed for each hundred requests of a service.
    pub retry_percent: u32,
    /// Retries that all instances together may make beyond that share.
    pub retry_extra: u32,
    /// Tokens that all instances together may admit beyond an account's rate
    /// and burst.
    pub rate_tolerance: u64,
    /// Memory of the instance in MiB, for settings without `[callers] memory_mb`.
    pub memory_mb: Option<u64>,
}

/// Limits on what a process holds for callers of all its ports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Bytes that may be held; the rest of the machine's memory is left for the process
    /// itself and for responses that are buffered until they are complete.
    pub memory: usize,
    /// Descriptors that callers' connections may use, if the process has half as many more.
    pub descriptors: usize,
    /// Descriptors that neither callers' connections nor those that forward their requests
    /// use; none for a part of the process's.
    pub kept_descriptors: Option<usize>,
    /// Length in bytes up to which a request is small; a part of the memory is kept for
    /// small requests.
    pub small_request: usize,
    /// Bytes that are read behind a request in flight.
    pub read_ahead: usize,
    /// Size in bytes of the socket buffer for what a caller sends; the system doubles it.
    pub receive_buffer: usize,
    /// Bytes that may have arrived on all connections and are not read.
    pub arrived_memory: usize,
    /// Bytes that the statuses of endpoints may take, which anyone can send.
    pub status_memory: usize,
}

impl CallerSettings {
    /// Returns the defaults on a machine with so many MiB of memory.
    fn for_machine(memory_mb: u64) -> Self {
        let machine_memory = bytes_of_kib(memory_mb * 1024);
        let memory = machine_memory / HELD_DIVISOR;
        let rest = machine_memory - memory - memory / SPARE_DIVISOR;
        CallerSettings {
            memory,
            descriptors: 2_600,
            kept_descriptors: None,
            small_request: 64 * 1024,
            read_ahead: 16 * 1024,
            receive_buffer: 16 * 1024,
            arrived_memory: rest.saturating_sub(PROCESS_MEMORY),
            status_memory: machine_memory / STATUS_DIVISOR,
        }
    }
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self::for_machine(MEMORY_MB)
    }
}

/// Settings of the control role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Address on which operators connect; `None` if only the serving interface is
    /// used.
    pub operator_listen: Option<SocketAddr>,
    /// Address on which endpoints and the operator of the serving configuration
    /// connect.
    pub serving_listen: Option<SocketAddr>,
    /// Folder of the persistent state; `None` for an observer, which keeps its
    /// copy of the log in memory and never votes.
    pub data_folder: Option<PathBuf>,
    /// File with the first operator's key; read only when a new cluster is created.
    pub operator_key_file: Option<PathBuf>,
    /// Whether to create a new cluster if the data folder is empty.
    pub bootstrap: bool,
    /// All instances of a new cluster have `bootstrap` set, and only the first seed
    /// creates the cluster.
    pub first_seed_founds: bool,
    /// Any instance that connects may become a member, and replaces a lost member.
    pub open_membership: bool,
    /// Number of instances with a disk that may be lost for good at the same time. With an
    /// open membership the voters that are left bear this many losses wherever their
    /// number allows it.
    pub losses_max: u32,
    /// Time without a message after which an endpoint is suspect.
    pub suspect_after: Duration,
    /// Time without a message after which a suspect endpoint is gone.
    pub gone_after: Duration,
    /// Retention period of the claim of an idempotency key and its answer.
    pub claim_lifetime: Duration,
    /// Maximum number of loads per minute from the weight store.
    pub store_loads_per_minute: u64,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_parallel: u32,
    /// Concurrent adapter loads up to which each load takes its minimum time.
    pub adapter_parallel: u32,
}

/// Settings of the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// `trace`, `debug`, `info`, `warn`, `error` or `critical`.
    pub level: String,
    /// File to append to; standard output if `None`.
    pub file: Option<PathBuf>,
}

/// Settings of the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MetricSettings {
    /// Address of a statsd listener; no metrics are sent if `None`.
    pub statsd: Option<SocketAddr>,
    /// Address on which metrics are served as text.
    pub listen: Option<SocketAddr>,
}

/// Settings of `mulberrywell serve`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServeSettings {
    /// Settings that all processes have in common.
    pub instance: InstanceSettings,
    /// Limits on what is held for callers.
    pub callers: CallerSettings,
    /// Set when the instance has the entry role.
    pub entry: Option<EntrySettings>,
    /// Set when the instance has the gateway role.
    pub gateway: Option<GatewaySettings>,
    /// Set when the instance has the control role.
    pub control: Option<ControlSettings>,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
}

/// Kind of the endpoint behind an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine, which executes orders to load and unload models.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of the endpoint that an agent fronts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Name of the endpoint; unique in the cluster.
    pub name: Bytes,
    /// Pool of a model engine, or name of a plain service.
    pub pool: Bytes,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// The endpoint's HTTP address.
    pub address: SocketAddr,
    /// Accelerator memory in MiB; 0 for a plain service.
    pub memory_mib: u64,
    /// Part of the memory that is reserved for the KV cache of running requests;
    /// at most `memory_mib`.
    pub kv_reserve_mib: u64,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of requests queued for the endpoint.
    pub queue: u32,
    /// Number of accelerators of the endpoint.
    pub accelerators: u32,
    /// Version of the endpoint's software; empty if it isn't stated.
    pub software: Bytes,
    /// Whether the engine rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Longest time for which an order can still take effect at the engine.
    pub order_lifetime: Duration,
    /// Interval of load reports to entry instances.
    pub load_interval: Duration,
    /// Time that requests in flight have to finish when the agent shuts down.
    pub shutdown_grace: Duration,
}

/// Settings of `mulberrywell-agent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that all processes have in common.
    pub instance: InstanceSettings,
    /// The endpoint.
    pub endpoint: EndpointSettings,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
}

impl ServeSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Fails with all findings of the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let settings = {
            let mut root = TableReader::parse(source, &findings);
            let instance = read_instance(&mut root);
            let entry = root.table("entry").map(read_entry);
            let gateway = root.table("gateway").map(read_gateway);
            let control = root.table("control").map(read_control);
            let gateway_memory_mb = gateway.as_ref().and_then(|it| it.memory_mb);
            let callers = read_callers(root.table("callers"), gateway_memory_mb);
            if entry.is_none() && gateway.is_none() && control.is_none() {
                root.report("one of the tables `entry`, `gateway` and `control` must be there");
            }
            let (log, metrics) = read_telemetry(&mut root);
            root.report_unknown_fields();
            ServeSettings {
                instance,
                callers,
                entry,
                gateway,
                control,
                log,
                metrics,
            }
        };
        findings.into_inner().finish(settings)
    }
}

impl AgentSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Fails with all findings of the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let settings = {
            let mut root = TableReader::parse(source, &findings);
            let instance = read_instance(&mut root);
            let endpoint = read_endpoint(root.required_table("endpoint"));
            let (log, metrics) = read_telemetry(&mut root);
            root.report_unknown_fields();
            AgentSettings {
                instance,
                endpoint,
                log,
                metrics,
            }
        };
        findings.into_inner().finish(settings)
    }
}

fn read_instance(root: &mut TableReader<'_>) -> InstanceSettings {
    let mut table = root.required_table("instance");
    let listen = table.required_address("listen");
    let settings = InstanceSettings {
        name: table.required_name("name"),
        zone: table.required_name("zone"),
        region: table.required_name("region"),
        listen,
        advertise: table.address("advertise").unwrap_or(listen),
        secret_file: read_secret_file(&mut table),
        seeds: read_seeds(&mut table),
    };
    if settings.seeds.is_empty() {
        table.report("`seeds` needs the address of at least one control instance");
    }
    table.report_unknown_fields();
    settings
}

fn read_secret_file(table: &mut TableReader<'_>) -> Option<PathBuf> {
    if table.boolean("trusted_network").unwrap_or(false) {
        return None;
    }
    Some(PathBuf::from(table.required_string("secret_file")))
}

/// Reads the seeds; `seed_port`, if set, replaces the port of each.
fn read_seeds(table: &mut TableReader<'_>) -> Vec<SocketAddr> {
    let mut seeds = table.addresses("seeds");
    let port = table.number("seed_port", 1..=65_535);
    if let Some(port) = port.and_then(|port| u16::try_from(port).ok()) {
        for seed in &mut seeds {
            seed.set_port(port);
        }
    }
    seeds
}

/// Time between the end of a shutdown and the kill of the process; callers
/// receive their last answers in it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(200);

/// Time between the end of the last requests of an entry and the kill of its process; the
/// answers are written, and outcomes and tokens are returned in it.
const ENTRY_MARGIN: Duration = Duration::from_millis(1_000);

/// Default of `shutdown_grace_s`, the time until the process is killed, in
/// milliseconds.
const SHUTDOWN_GRACE_MS: u64 = 8_000;

fn read_shutdown_limit(table: &mut TableReader<'_>) -> Duration {
    let grace = table.thousandths("shutdown_grace_s", 500..=10 * MINUTE_MS);
    let grace = Duration::from_millis(grace.unwrap_or(SHUTDOWN_GRACE_MS));
    grace.saturating_sub(SHUTDOWN_MARGIN)
}

/// Memory in MiB of the machine of a process that is not told it.
const MEMORY_MB: u64 = 160;

/// Divisor of the machine's memory that gives the default of what is held for callers.
const HELD_DIVISOR: usize = 2;

/// Memory in bytes that is left for the process itself.
const PROCESS_MEMORY: usize = 24 * 1024 * 1024;

/// Divisor of what is held for callers that gives the memory which the allocator takes for
/// it beyond the buffers' own.
const SPARE_DIVISOR: usize = 8;

/// Divisor of the machine's memory that gives the default of what statuses of endpoints may
/// take.
const STATUS_DIVISOR: usize = 32;

/// Values of `memory_mb`.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 16..=1 << 24;

fn read_callers(table: Option<TableReader<'_>>, gateway_memory_mb: Option<u64>) -> CallerSettings {
    let gateway_memory_mb = gateway_memory_mb.unwrap_or(MEMORY_MB);
    let Some(mut table) = table else {
        return CallerSettings::for_machine(gateway_memory_mb);
    };
    let memory_mb = table.number("memory_mb", MEMORY_RANGE_MB);
    let default = CallerSettings::for_machine(memory_mb.unwrap_or(gateway_memory_mb));
    let mut kib = |name, range, default| table.number(name, range).map_or(default, bytes_of_kib);
    let memory = kib("held_kib", 8_192..=1 << 34, default.memory);
    let small_request = kib("small_request_kib", 16..=4_096, default.small_request);
    let read_ahead = kib("read_ahead_kib", 1..=4_096, default.read_ahead);
    let status_memory = kib("status_kib", 256..=1 << 34, default.status_memory);
    let receive_buffer = kib("receive_kib", 4..=4_096, default.receive_buffer);
    let descriptors = table.number("descriptors", 16..=1 << 24);
    let kept_descriptors = table.number("kept_descriptors", 16..=1 << 24);
    table.report_unknown_fields();
    CallerSettings {
        memory,
        descriptors: usize_or(descriptors, default.descriptors),
        kept_descriptors: kept_descriptors.and_then(|kept| usize::try_from(kept).ok()),
        small_request,
        read_ahead,
        receive_buffer,
        arrived_memory: (default.memory + default.arrived_memory).saturating_sub(memory),
        status_memory,
    }
}

fn bytes_of_kib(kib: u64) -> usize {
    usize::try_from(kib * 1024).unwrap_or(usize::MAX)
}

fn read_gateway(mut table: TableReader<'_>) -> GatewaySettings {
    let settings = GatewaySettings {
        caller_listen: table.required_address("caller_listen"),
        ready_listen: table.required_address("ready_listen"),
        min_shutdown: table.millis("shutdown_accept_ms", 0..=MINUTE_MS, 2_500),
        shutdown_limit: read_shutdown_limit(&mut table),
        retry_percent: u32_or(
            table
                .thousandths("retry_ratio", 0..=10_000)
                .map(|ratio| ratio / 10),
            20,
        ),
        retry_extra: u32_or(
            table
                .thousandths("retry_extra", 0..=1_000_000_000)
                .map(|retries| retries / 1_000),
            48,
        ),
        rate_tolerance: table
            .thousandths("rate_tolerance_tokens", 0..=1 << 50)
            .map_or(0, |tolerance| tolerance / 1_000),
        memory_mb: table.number("memory_mb", MEMORY_RANGE_MB),
    };
    table.report_unknown_fields();
    settings
}

fn read_entry(mut table: TableReader<'_>) -> EntrySettings {
    let settings = EntrySettings {
        caller_listen: table.required_address("caller_listen"),
        max_requests: usize_or(table.number("max_requests", 1..=65_536), 1_024),
        max_body: usize_or(table.number("max_body_kib", 1..=16_384), 4_096) * 1024,
        caller_stall_timeout: table.millis("caller_stall_ms", 100..=10 * MINUTE_MS, 10_000),
        config_max_age: table.millis("freshness_ms", 500..=MINUTE_MS, 5_000),
        default_deadline: table.millis("default_deadline_ms", 100..=60 * MINUTE_MS, 60_000),
        shutdown_grace: table.millis("shutdown_grace_ms", 0..=10 * MINUTE_MS, 2_000),
        shutdown_limit: table
            .number("shutdown_kill_ms", 2_000..=2 * 60 * MINUTE_MS)
            .map(|kill_ms| Duration::from_millis(kill_ms) - ENTRY_MARGIN),
        default_output: table.number("default_output", 1..=1_000_000).unwrap_or(256),
    };
    table.report_unknown_fields();
    settings
}

fn read_control(mut table: TableReader<'_>) -> ControlSettings {
    let serving_listen = table.address("serving_listen");
    let settings = ControlSettings {
        operator_listen: match serving_listen {
            Some(_) => table.address("operator_listen"),
            None => Some(table.required_address("operator_listen")),
        },
        serving_listen,
        data_folder: read_data_folder(&mut table),
        operator_key_file: match serving_listen {
            Some(_) => table.string("operator_key_file").map(|(file, _)| file),
            None => Some(table.required_string("operator_key_file")),
        }
        .map(PathBuf::from),
        bootstrap: table.boolean("bootstrap").unwrap_or(false),
        first_seed_founds: table.boolean("first_seed_founds").unwrap_or(false),
        open_membership: table.boolean("open_membership").unwrap_or(false),
        losses_max: u32_or(table.number("losses_max", 1..=100), 1),
        suspect_after: table.millis("suspect_after_ms", 100..=MINUTE_MS, 2_000),
        gone_after: table.millis("gone_after_ms", 1_000..=60 * MINUTE_MS, 30_000),
        claim_lifetime: table.millis("claim_lifetime_ms", 1_000..=DAY_MS, DAY_MS),
        store_loads_per_minute: table
            .number("store_loads_per_minute", 1..=100_000)
            .unwrap_or(90),
        store_parallel: u32_or(table.number("store_parallel", 1..=10_000), 4),
        adapter_parallel: u32_or(table.number("adapter_parallel", 1..=10_000), 30),
    };
    table.report_unknown_fields();
    settings
}

/// Reads the data folder, which every instance but an observer has.
fn read_data_folder(table: &mut TableReader<'_>) -> Option<PathBuf> {
    if table.boolean("observer").unwrap_or(false) {
        if table.string("data_folder").is_some() {
            table.report("an observer has no `data_folder`");
        }
        return None;
    }
    Some(PathBuf::from(table.required_string("data_folder")))
}

/// By default, the KV cache reserve is the memory divided by this number.
const KV_RESERVE_DIVISOR: u64 = 8;

fn read_endpoint(mut table: TableReader<'_>) -> EndpointSettings {
    let kind = match table.required_string("kind").as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        _ => {
            table.report("`kind` must be `engine` or `service`");
            EndpointKind::Service
        }
    };
    let memory_mib = table.number("memory_mib", 0..=1 << 32).unwrap_or(0);
    let kv_reserve_mib = table.number("kv_reserve_mib", 0..=1 << 32);
    let settings = EndpointSettings {
        name: table.required_name("name"),
        pool: table.required_name("pool"),
        kind,
        address: table.required_address("address"),
        memory_mib,
        kv_reserve_mib: kv_reserve_mib.unwrap_or(memory_mib / KV_RESERVE_DIVISOR),
        slots: u32_or(table.number("slots", 1..=65_536), 32),
        queue: u32_or(table.number("queue", 0..=65_536), 256),
        accelerators: u32_or(table.number("accelerators", 0..=1_024), 0),
        software: table.name("software").unwrap_or_default(),
        checks_fencing: table.boolean("checks_fencing").unwrap_or(false),
        order_lifetime: table.millis("order_lifetime_ms", 100..=10 * MINUTE_MS, 10_000),
        load_interval: table.millis("load_interval_ms", 20..=MINUTE_MS, 150),
        shutdown_grace: table.millis("shutdown_grace_ms", 0..=60 * MINUTE_MS, 60_000),
    };
    if kind == EndpointKind::Engine && settings.memory_mib == 0 {
        table.report("an engine needs `memory_mib`");
    }
    if settings.kv_reserve_mib > settings.memory_mib {
        table.report("`kv_reserve_mib` is more than `memory_mib`");
    }
    table.report_unknown_fields();
    settings
}

fn read_telemetry(root: &mut TableReader<'_>) -> (LogSettings, MetricSettings) {
    let mut log = LogSettings {
        level: "info".to_owned(),
        file: None,
    };
    if let Some(mut table) = root.table("log") {
        if let Some((level, span)) = table.string("level") {
            if !LOG_LEVELS.contains(&level.as_str()) {
                table.report_at(&span, format!("`level` must be one of {LOG_LEVELS:?}"));
            }
            log.level = level;
        }
        log.file = table.string("file").map(|(file, _)| PathBuf::from(file));
        table.report_unknown_fields();
    }
    let mut metrics = MetricSettings::default();
    if let Some(mut table) = root.table("metrics") {
        metrics.statsd = table.address("statsd");
        metrics.listen = table.address("listen");
        table.report_unknown_fields();
    }
    (log, metrics)
}

fn usize_or(number: Option<u64>, default: usize) -> usize {
    number
        .and_then(|number| usize::try_from(number).ok())
        .unwrap_or(default)
}

fn u32_or(number: Option<u64>, default: u32) -> u32 {
    number
        .and_then(|number| u32::try_from(number).ok())
        .unwrap_or(default)
}
