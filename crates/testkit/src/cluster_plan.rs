//! Description of a test cluster.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Paths of the binaries under test.
#[derive(Debug, Clone)]
pub struct BinaryPaths {
    /// Path of `mulberrywell`.
    pub serve: PathBuf,
    /// Path of `mulberrywell-agent`.
    pub agent: PathBuf,
}

/// An agent and its endpoint.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// Name of the endpoint.
    pub name: String,
    /// Name of the pool or service.
    pub pool: String,
    /// Whether the endpoint is a model engine.
    pub engine: bool,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Additional lines of the `[endpoint]` table.
    pub extra: String,
}

impl AgentPlan {
    /// Describes an agent of a model engine with 48,000 MiB of memory.
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

    /// Describes an agent of a plain service.
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

/// Processes and settings of a cluster.
#[derive(Debug, Clone, Default)]
pub struct ClusterPlan {
    /// Number of control instances; the first also has the entry role if there is
    /// no entry instance.
    pub controls: usize,
    /// Number of instances with the entry role only.
    pub entries: usize,
    /// Agents and their endpoints.
    pub agents: Vec<AgentPlan>,
    /// Additional lines of each `[entry]` table.
    pub entry_extra: String,
    /// Additional lines of each `[control]` table.
    pub control_extra: String,
    /// Whether each link between two processes goes through a fault-injecting proxy.
    pub proxied: bool,
    /// Log level; `debug` if empty.
    pub log_level: String,
}
