//! A cluster of real processes on this machine.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use serde_json::Value;

use crate::cluster_plan::{AgentPlan, BinaryPaths, ClusterPlan};
use crate::fault_proxy::FaultProxy;
use crate::free_address::free_port;
use crate::http_client::HttpCaller;
use crate::process_set::ProcessSet;

/// Timeout of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Cluster secret of each test cluster.
pub const CLUSTER_SECRET: &str = "a secret of the test cluster only";

/// Stands for any process that connects to an advertised address.
pub const ANY_PROCESS: &str = "any";

const OPERATOR_KEY: &str = "mwop-operator-key-of-the-test-cluster";

/// A cluster of running processes with their files in a temporary folder.
#[derive(Debug)]
pub struct ProcessCluster {
    processes: ProcessSet,
    binaries: BinaryPaths,
    /// Proxies, keyed by the names of the connecting process and its target.
    proxies: BTreeMap<(String, String), FaultProxy>,
    proxied: bool,
    log_level: String,
    /// Addresses for callers, in the order of the instances.
    pub callers: Vec<SocketAddr>,
    /// Addresses for operators, in the order of the control instances.
    pub operators: Vec<SocketAddr>,
    /// Link addresses of the control instances.
    pub links: Vec<SocketAddr>,
    /// Link addresses of the agents, in the order in which they were started.
    pub agents: Vec<SocketAddr>,
}

impl ProcessCluster {
    /// Starts the processes of a plan.
    ///
    /// # Errors
    /// Fails if a process can't be started.
    pub fn spawn(binaries: &BinaryPaths, plan: &ClusterPlan) -> Result<Self> {
        let processes = ProcessSet::open()?;
        fs::write(processes.path("cluster.secret"), CLUSTER_SECRET)?;
        fs::write(processes.path("operator.key"), OPERATOR_KEY)?;
        let mut cluster = ProcessCluster {
            processes,
            binaries: binaries.clone(),
            proxies: BTreeMap::new(),
            proxied: plan.proxied,
            log_level: match plan.log_level.as_str() {
                "" => "debug".to_owned(),
                level => level.to_owned(),
            },
            callers: Vec::new(),
            operators: Vec::new(),
            links: Vec::new(),
            agents: Vec::new(),
        };
        for _ in 0..plan.controls {
            cluster.links.push(free_port()?);
        }
        for idx in 0..plan.controls {
            cluster.spawn_control(idx, plan)?;
        }
        for idx in 0..plan.entries {
            cluster.spawn_entry(idx, plan)?;
        }
        for agent in &plan.agents {
            cluster.spawn_agent(agent)?;
        }
        Ok(cluster)
    }

    fn spawn_control(&mut self, idx: usize, plan: &ClusterPlan) -> Result<()> {
        let name = format!("control-{idx}");
        let operators = free_port()?;
        self.operators.push(operators);
        let mut text = self.instance_tables(&name, self.links[idx], &format!("zone-{idx}"))?;
        if plan.entries == 0 && idx == 0 {
            text.push_str(&self.entry_table(plan)?);
        }
        text.push_str(&format!(
            "[control]\noperator_listen = \"{operators}\"\ndata_folder = \"{}\"\n\
             operator_key_file = \"{}\"\nbootstrap = {}\n{}\n",
            self.path(&format!("data-{name}")).display(),
            self.path("operator.key").display(),
            idx == 0,
            plan.control_extra,
        ));
        self.start(&name, &text, true)
    }

    fn spawn_entry(&mut self, idx: usize, plan: &ClusterPlan) -> Result<()> {
        let name = format!("entry-{idx}");
        let mut text = self.instance_tables(&name, free_port()?, &format!("zone-{idx}"))?;
        text.push_str(&self.entry_table(plan)?);
        self.start(&name, &text, true)
    }

    /// Starts an additional agent.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn spawn_agent(&mut self, plan: &AgentPlan) -> Result<()> {
        let name = format!("agent-{}", plan.name);
        let listen = free_port()?;
        self.agents.push(listen);
        let mut text = self.instance_tables(&name, listen, &plan.zone)?;
        let kind = if plan.engine { "engine" } else { "service" };
        text.push_str(&format!(
            "[endpoint]\nname = \"{}\"\npool = \"{}\"\nkind = \"{kind}\"\naddress = \"{}\"\n{}\n",
            plan.name, plan.pool, plan.endpoint, plan.extra
        ));
        self.start(&name, &text, false)
    }

    fn entry_table(&mut self, plan: &ClusterPlan) -> Result<String> {
        let callers = free_port()?;
        self.callers.push(callers);
        Ok(format!(
            "[entry]\ncaller_listen = \"{callers}\"\n{}\n",
            plan.entry_extra
        ))
    }

    fn instance_tables(&mut self, name: &str, listen: SocketAddr, zone: &str) -> Result<String> {
        let mut seeds = Vec::new();
        for idx in 0..self.links.len() {
            let address = self.seed_address(name, idx)?;
            seeds.push(format!("\"{address}\""));
        }
        let advertise = self.proxy_address(ANY_PROCESS, name, listen)?;
        Ok(format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\nadvertise = \"{advertise}\"\nsecret_file = \"{}\"\n\
             seeds = [{}]\n[log]\nlevel = \"{}\"\n",
            self.path("cluster.secret").display(),
            seeds.join(", "),
            self.log_level,
        ))
    }

    /// Returns the address at which a process reaches a control instance. A control
    /// instance reaches itself without a proxy.
    fn seed_address(&mut self, name: &str, control: usize) -> Result<SocketAddr> {
        let target = format!("control-{control}");
        let link = self.links[control];
        if target == name {
            return Ok(link);
        }
        self.proxy_address(name, &target, link)
    }

    /// Returns the address at which `from` reaches `to`: a new proxy in front of
    /// `link` if the cluster is proxied, else `link`.
    fn proxy_address(&mut self, from: &str, to: &str, link: SocketAddr) -> Result<SocketAddr> {
        if !self.proxied {
            return Ok(link);
        }
        let proxy = FaultProxy::spawn_seeded(link, self.proxies.len() as u64)?;
        let address = proxy.address();
        let pair = (from.to_owned(), to.to_owned());
        self.proxies.insert(pair, proxy);
        Ok(address)
    }

    /// Returns the proxy between a connecting process and its target.
    ///
    /// Agents are reached through the proxy of [`ANY_PROCESS`].
    ///
    /// # Errors
    /// Fails if the cluster is not proxied or the link does not exist.
    pub fn proxy(&self, from: &str, to: &str) -> Result<&FaultProxy> {
        let pair = (from.to_owned(), to.to_owned());
        self.proxies
            .get(&pair)
            .context("no proxy between these processes")
    }

    /// Returns all proxies of links from or to a process.
    pub fn proxies_of(&self, name: &str) -> Vec<&FaultProxy> {
        self.proxies
            .iter()
            .filter(|((from, to), _)| from == name || to == name)
            .map(|(_, proxy)| proxy)
            .collect()
    }

    fn start(&mut self, name: &str, settings: &str, serve: bool) -> Result<()> {
        let (binary, args): (_, &[&str]) = if serve {
            (self.binaries.serve.clone(), &["serve"])
        } else {
            (self.binaries.agent.clone(), &[])
        };
        self.processes.start(name, &binary, args, settings)
    }

    /// Deletes the data folder of a control instance, which must have exited.
    ///
    /// # Errors
    /// Fails if the process is still running or the folder can't be deleted.
    pub fn delete_data(&mut self, name: &str) -> Result<()> {
        if self.is_running(name) {
            bail!("{name} is still running");
        }
        fs::remove_dir_all(self.path(&format!("data-{name}")))?;
        Ok(())
    }

    /// Returns the resident memory of a process in KiB.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub fn resident_kib(&self, name: &str) -> Result<u64> {
        let id = self.id(name).context("no process with this name")?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|rest| rest.split_whitespace().next());
        Ok(number
            .context("no VmRSS line in the process status")?
            .parse()?)
    }

    /// Runs an operator command against all control instances.
    ///
    /// # Errors
    /// Fails if the command can't be run.
    pub fn operate(&self, args: &[&str]) -> Result<Output> {
        let control: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        let output = Command::new(&self.binaries.serve)
            .args(args)
            .env("MULBERRYWELL_CONTROL", control.join(","))
            .env("MULBERRYWELL_OPERATOR_KEY_FILE", self.path("operator.key"))
            .output()?;
        Ok(output)
    }

    /// Runs an operator command that must succeed; returns its standard output.
    ///
    /// # Errors
    /// Fails with the command's standard error if the command fails.
    pub fn operate_ok(&self, args: &[&str]) -> Result<String> {
        let output = self.operate(args)?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr);
            bail!(
                "{args:?} exited with code {:?}: {text}",
                output.status.code()
            );
        }
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    }

    /// Applies both lists, retrying until the control instances accept them.
    ///
    /// # Errors
    /// Fails if they are not accepted before the timeout.
    pub fn apply(&self, plans: &str, grants: &str) -> Result<()> {
        let plan_path = self.path("plans.toml");
        let grant_path = self.path("grants.toml");
        fs::write(&plan_path, plans)?;
        fs::write(&grant_path, grants)?;
        let (plan_text, grant_text) = (path_string(&plan_path), path_string(&grant_path));
        let args = ["apply", "--plans", &plan_text, "--grants", &grant_text];
        let mut last = String::new();
        wait_until("the plans and grants are applied", || {
            match self.operate_ok(&args) {
                Ok(_) => true,
                Err(err) => {
                    last = err.to_string();
                    false
                }
            }
        })
        .with_context(|| last.clone())
    }

    /// Waits until a number of endpoints are live and each entry is ready with the
    /// current configuration version.
    ///
    /// # Errors
    /// Fails if the wait times out.
    pub fn wait_ready(&self, endpoints: usize) -> Result<()> {
        wait_until("endpoints are live", || {
            let shown = self.operate_ok(&["show", "endpoints", "--json"]);
            let Ok(shown) = shown else {
                return false;
            };
            let value: Value = serde_json::from_str(&shown).unwrap_or_default();
            let listed = value["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
            let live = listed
                .iter()
                .filter(|item| item["state"] == "ENDPOINT_STATE_LIVE");
            live.count() >= endpoints
        })?;
        let shown = self.operate_ok(&["show", "config", "--json"])?;
        let config: Value = serde_json::from_str(&shown)?;
        let version = config["version"].as_u64().unwrap_or(0);
        for address in &self.callers {
            let caller = HttpCaller::new(*address, None);
            wait_until("the entry is ready", || {
                let Ok(response) = caller.call("GET", "/readyz", &[], "") else {
                    return false;
                };
                let value: Value = serde_json::from_str(&response.body).unwrap_or_default();
                response.status == 200 && value["version"].as_u64() >= Some(version)
            })?;
        }
        Ok(())
    }

    /// Creates a key for a client account and returns it once every entry accepts it.
    ///
    /// # Errors
    /// Fails if the command is refused or the wait times out.
    pub fn create_key(&self, account: &str, label: &str) -> Result<String> {
        let key = self.operate_ok(&["key", "give", account, label])?;
        for address in &self.callers {
            let caller = HttpCaller::new(*address, Some(&key));
            wait_until("the key is accepted", || {
                let response = caller.call("GET", "/v1/models", &[], "");
                response.is_ok_and(|response| response.status == 200)
            })?;
        }
        Ok(key)
    }
}

impl Deref for ProcessCluster {
    type Target = ProcessSet;

    fn deref(&self) -> &ProcessSet {
        &self.processes
    }
}

impl DerefMut for ProcessCluster {
    fn deref_mut(&mut self) -> &mut ProcessSet {
        &mut self.processes
    }
}

/// Polls until a condition holds.
///
/// # Errors
/// Fails if that takes longer than [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        if Instant::now() >= end {
            bail!("timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn path_string(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}
