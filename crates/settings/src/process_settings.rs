//! Settings of a process: `mulberrywell serve` and `mulberrywell-agent`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;

use crate::{Finding, FindingList, TableReader};

const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
const LEVELS: [&str; 6] = ["trace", "debug", "info", "warn", "error", "critical"];

/// What every process of the system has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Unique in the cluster.
    pub name: Bytes,
    /// Availability zone.
    pub zone: Bytes,
    /// Region.
    pub region: Bytes,
    /// Where other processes of the system connect.
    pub listen: SocketAddr,
    /// The address that others are told; `listen` when it is not set.
    pub advertise: SocketAddr,
    /// File that holds the cluster secret; none on a trusted network.
    pub secret_file: Option<PathBuf>,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Most requests in work at the same time.
    pub max_requests: usize,
    /// Longest request body in bytes.
    pub max_body: usize,
    /// Longest time for the head of a request, and for a caller to make no
    /// progress sending a body or reading an answer.
    pub caller_stall: Duration,
    /// Oldest confirmation of the configuration that still admits keys.
    pub freshness: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Time between readiness off and the end of listening.
    pub shutdown_grace: Duration,
    /// Output tokens assumed when the request bounds none.
    pub default_output: u64,
}

/// Settings of the gateway role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks whether callers are taken.
    pub ready_listen: SocketAddr,
    /// Time after the begin of a shutdown before which it does not end.
    pub shutdown_accept: Duration,
    /// Time after which a shutdown cuts the requests that are left.
    pub shutdown_limit: Duration,
    /// Second hand-overs for each hundred requests of a service.
    pub retry_percent: u32,
    /// Second hand-overs that all instances together may make beyond that share.
    pub retry_extra: u32,
    /// Tokens that all instances together may admit beyond an account's rate
    /// and burst.
    pub rate_tolerance: u64,
}

/// Settings of the control role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Where operators connect; none where only the serving interface is used.
    pub operator_listen: Option<SocketAddr>,
    /// Where endpoints and the serving configuration's operator connect.
    pub serving_listen: Option<SocketAddr>,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// File with the first operator's key, taken in by a new cluster only.
    pub operator_key_file: Option<PathBuf>,
    /// Starts a new cluster when the data folder is empty.
    pub bootstrap: bool,
    /// All instances of a new cluster have `bootstrap`; the first seed founds it.
    pub first_seed_founds: bool,
    /// Any instance that connects may become a member, and takes the place of
    /// one that is lost.
    pub open_membership: bool,
    /// How long an endpoint may be silent before it counts as suspect.
    pub suspect_after: Duration,
    /// How long a suspect endpoint may be silent before it is gone.
    pub gone_after: Duration,
    /// How long the claim of an idempotency key and its answer are kept.
    pub claim_lifetime: Duration,
    /// Loads a second that the weight store allows.
    pub store_loads_per_minute: u64,
    /// Loads at once that the weight store serves at full speed.
    pub store_parallel: u32,
    /// Adapter loads in flight up to which each takes its shortest time.
    pub adapter_parallel: u32,
}

/// Settings of the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// trace, debug, info, warn, error or critical.
    pub level: String,
    /// File to append to; standard output when it is not set.
    pub file: Option<PathBuf>,
}

/// Settings of the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MetricSettings {
    /// Address of a statsd listener; no metrics are sent without it.
    pub statsd: Option<SocketAddr>,
    /// Where metrics are read as text.
    pub listen: Option<SocketAddr>,
}

/// Settings of `mulberrywell serve`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServeSettings {
    /// Common settings.
    pub instance: InstanceSettings,
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

/// What stands behind an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine, which takes orders.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of the endpoint beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Unique in the cluster.
    pub name: Bytes,
    /// Pool of a model engine, name of a plain service.
    pub pool: Bytes,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// The endpoint's HTTP address.
    pub address: SocketAddr,
    /// Accelerator memory in MiB; 0 for a plain service.
    pub memory_mib: u64,
    /// Part of the memory that is kept for the KV cache of running requests;
    /// at most `memory_mib`.
    pub kv_reserve_mib: u64,
    /// Requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Requests that may wait before the endpoint.
    pub queue: u32,
    /// Accelerators of the endpoint.
    pub accelerators: u32,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Longest time after which an order can still take effect.
    pub order_lifetime: Duration,
    /// Interval of load reports to entry instances.
    pub load_interval: Duration,
    /// Time that requests in work get when the agent shuts down.
    pub shutdown_grace: Duration,
}

/// Settings of `mulberrywell-agent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Common settings.
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
    /// Fails with everything that is wrong in the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let settings = {
            let mut root = TableReader::parse(source, &findings);
            let instance = read_instance(&mut root);
            let entry = root.table("entry").map(read_entry);
            let gateway = root.table("gateway").map(read_gateway);
            let control = root.table("control").map(read_control);
            if entry.is_none() && gateway.is_none() && control.is_none() {
                root.report("one of the tables `entry`, `gateway` and `control` must be there");
            }
            let (log, metrics) = read_output(&mut root);
            root.end();
            ServeSettings {
                instance,
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
    /// Fails with everything that is wrong in the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let settings = {
            let mut root = TableReader::parse(source, &findings);
            let instance = read_instance(&mut root);
            let endpoint = read_endpoint(root.required_table("endpoint"));
            let (log, metrics) = read_output(&mut root);
            root.end();
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
    table.end();
    settings
}

fn read_secret_file(table: &mut TableReader<'_>) -> Option<PathBuf> {
    if table.flag("trusted_network").unwrap_or(false) {
        return None;
    }
    Some(PathBuf::from(table.required_text("secret_file")))
}

/// Reads the seeds; `seed_port` replaces the port of each.
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

/// Time before the process is killed at which a shutdown ends: its callers get
/// their last answers in it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(200);

/// Time until the process is killed where settings name none, in thousandths of
/// a second.
const SHUTDOWN_GRACE: u64 = 8_000;

fn read_shutdown_limit(table: &mut TableReader<'_>) -> Duration {
    let grace = table.thousandths("shutdown_grace_s", 500..=10 * MINUTE_MS);
    let grace = Duration::from_millis(grace.unwrap_or(SHUTDOWN_GRACE));
    grace.saturating_sub(SHUTDOWN_MARGIN)
}

fn read_gateway(mut table: TableReader<'_>) -> GatewaySettings {
    let settings = GatewaySettings {
        caller_listen: table.required_address("caller_listen"),
        ready_listen: table.required_address("ready_listen"),
        shutdown_accept: table.millis("shutdown_accept_ms", 0..=MINUTE_MS, 2_500),
        shutdown_limit: read_shutdown_limit(&mut table),
        retry_percent: narrow(
            table
                .thousandths("retry_ratio", 0..=10_000)
                .map(|ratio| ratio / 10),
            20,
        ),
        retry_extra: narrow(table.number("retry_extra", 0..=1_000_000), 48),
        rate_tolerance: table
            .thousandths("rate_tolerance_tokens", 0..=1 << 50)
            .map_or(0, |tolerance| tolerance / 1_000),
    };
    table.end();
    settings
}

fn read_entry(mut table: TableReader<'_>) -> EntrySettings {
    let settings = EntrySettings {
        caller_listen: table.required_address("caller_listen"),
        max_requests: size(table.number("max_requests", 1..=65_536), 1_024),
        max_body: size(table.number("max_body_kib", 1..=16_384), 4_096) * 1024,
        caller_stall: table.millis("caller_stall_ms", 100..=10 * MINUTE_MS, 10_000),
        freshness: table.millis("freshness_ms", 500..=MINUTE_MS, 5_000),
        default_deadline: table.millis("default_deadline_ms", 100..=60 * MINUTE_MS, 60_000),
        shutdown_grace: table.millis("shutdown_grace_ms", 0..=10 * MINUTE_MS, 2_000),
        default_output: table.number("default_output", 1..=1_000_000).unwrap_or(256),
    };
    table.end();
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
        data_folder: PathBuf::from(table.required_text("data_folder")),
        operator_key_file: match serving_listen {
            Some(_) => table.text("operator_key_file").map(|(file, _)| file),
            None => Some(table.required_text("operator_key_file")),
        }
        .map(PathBuf::from),
        bootstrap: table.flag("bootstrap").unwrap_or(false),
        first_seed_founds: table.flag("first_seed_founds").unwrap_or(false),
        open_membership: table.flag("open_membership").unwrap_or(false),
        suspect_after: table.millis("suspect_after_ms", 100..=MINUTE_MS, 2_000),
        gone_after: table.millis("gone_after_ms", 1_000..=60 * MINUTE_MS, 30_000),
        claim_lifetime: table.millis("claim_lifetime_ms", 1_000..=DAY_MS, DAY_MS),
        store_loads_per_minute: table
            .number("store_loads_per_minute", 1..=100_000)
            .unwrap_or(90),
        store_parallel: narrow(table.number("store_parallel", 1..=10_000), 4),
        adapter_parallel: narrow(table.number("adapter_parallel", 1..=10_000), 30),
    };
    table.end();
    settings
}

/// Part of the memory that is the KV reserve where settings name none.
const KV_RESERVE_SHARE: u64 = 8;

fn read_endpoint(mut table: TableReader<'_>) -> EndpointSettings {
    let kind = match table.required_text("kind").as_str() {
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
        kv_reserve_mib: kv_reserve_mib.unwrap_or(memory_mib / KV_RESERVE_SHARE),
        slots: narrow(table.number("slots", 1..=65_536), 32),
        queue: narrow(table.number("queue", 0..=65_536), 256),
        accelerators: narrow(table.number("accelerators", 0..=1_024), 0),
        checks_fencing: table.flag("checks_fencing").unwrap_or(false),
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
    table.end();
    settings
}

fn read_output(root: &mut TableReader<'_>) -> (LogSettings, MetricSettings) {
    let mut log = LogSettings {
        level: "info".to_owned(),
        file: None,
    };
    if let Some(mut table) = root.table("log") {
        if let Some((level, span)) = table.text("level") {
            if !LEVELS.contains(&level.as_str()) {
                table.report_at(&span, format!("`level` must be one of {LEVELS:?}"));
            }
            log.level = level;
        }
        log.file = table.text("file").map(|(file, _)| PathBuf::from(file));
        table.end();
    }
    let mut metrics = MetricSettings::default();
    if let Some(mut table) = root.table("metrics") {
        metrics.statsd = table.address("statsd");
        metrics.listen = table.address("listen");
        table.end();
    }
    (log, metrics)
}

fn size(number: Option<u64>, default: usize) -> usize {
    number
        .and_then(|number| usize::try_from(number).ok())
        .unwrap_or(default)
}

fn narrow(number: Option<u64>, default: u32) -> u32 {
    number
        .and_then(|number| u32::try_from(number).ok())
        .unwrap_or(default)
}
