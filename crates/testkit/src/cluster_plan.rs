//! What a test cluster consists of.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the binaries are.
#[derive(Debug, Clone)]
pub struct BinaryPaths {
    /// `mulberrywell`.
    pub serve: PathBuf,
    /// `mulberrywell-agent`.
    pub agent: PathBuf,
}

/// One agent and its endpoint.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// Name of the endpoint.
    pub name: String,
    /// Pool or service.
    pub pool: String,
    /// Whether the endpoint is a model engine.
    pub engine: bool,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Further lines of the `[endpoint]` table.
    pub extra: String,
}

impl AgentPlan {
    /// Plans an agent beside a model engine of 48,000 MiB.
    pub fn engine(name: &str, pool: &str, endpoint: SocketAddr) -> Self {
        AgentPlan {
            name: name.to_owned(),
            pool: pool.to_owned(),
            engine: true,
            endpoint,
            zone: "zone-a".to_owned(),
            extra: "memory_mib = 48000\naccelerators = 8\nchecks_fencing = true".to_owned(),
        }
    }

    /// Plans an agent beside a plain service.
    pub fn service(name: &str, endpoint: SocketAddr) -> Self {
        AgentPlan {
            name: format!("{name}-0"),
            pool: name.to_owned(),
            engine: false,
            endpoint,
            zone: "zone-a".to_owned(),
            extra: String::new(),
        }
    }
}

/// What a cluster consists of.
#[derive(Debug, Clone, Default)]
pub struct ClusterPlan {
    /// Number of control instances; the first also has the entry role when
    /// there is no entry instance.
    pub controls: usize,
    /// Number of instances with the entry role only.
    pub entries: usize,
    /// Agents.
    pub agents: Vec<AgentPlan>,
    /// Further lines of each `[entry]` table.
    pub entry_extra: String,
    /// Further lines of each `[control]` table.
    pub control_extra: String,
    /// Puts a fault-injecting proxy on each link between two processes.
    pub proxied: bool,
    /// Level of the logs; `debug` when empty.
    pub log_level: String,
}
