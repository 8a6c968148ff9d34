//! A cluster of real processes on this machine.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

use crate::cluster_plan::{AgentPlan, BinaryPaths, ClusterPlan};
use crate::fault_proxy::FaultProxy;
use crate::free_address::free_port;
use crate::http_client::HttpCaller;

/// Longest wait for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Secret of each test cluster.
pub const CLUSTER_SECRET: &str = "a secret of the test cluster only";
/// Stands for every process that connects to an advertised address.
pub const ANY_PROCESS: &str = "any";

const OPERATOR_KEY: &str = "mwop-operator-key-of-the-test-cluster";

#[derive(Debug)]
struct ProcessSlot {
    child: Child,
    settings: PathBuf,
    binary: PathBuf,
}

/// Running processes with their files in a folder of their own.
#[derive(Debug)]
pub struct ProcessCluster {
    folder: TempDir,
    binaries: BinaryPaths,
    processes: BTreeMap<String, ProcessSlot>,
    /// Proxies by the names of the process that connects and its target.
    proxies: BTreeMap<(String, String), FaultProxy>,
    proxied: bool,
    log_level: String,
    /// Callers' addresses, in the order of the instances.
    pub callers: Vec<SocketAddr>,
    /// Operators' addresses, in the order of the control instances.
    pub operators: Vec<SocketAddr>,
    /// Link addresses of control instances.
    pub links: Vec<SocketAddr>,
    /// Link addresses of agents, in the order of their starts.
    pub agents: Vec<SocketAddr>,
}

impl ProcessCluster {
    /// Starts the processes of a plan.
    ///
    /// # Errors
    /// Fails when a process can't be started.
    pub fn spawn(binaries: &BinaryPaths, plan: &ClusterPlan) -> Result<Self> {
        let folder = TempDir::new()?;
        fs::write(folder.path().join("cluster.secret"), CLUSTER_SECRET)?;
        fs::write(folder.path().join("operator.key"), OPERATOR_KEY)?;
        let mut cluster = ProcessCluster {
            folder,
            binaries: binaries.clone(),
            processes: BTreeMap::new(),
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

    /// Returns the folder of settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn spawn_control(&mut self, idx: usize, plan: &ClusterPlan) -> Result<()> {
        let name = format!("control-{idx}");
        let operators = free_port()?;
        self.operators.push(operators);
        let mut text = self.instance_text(&name, self.links[idx], &format!("zone-{idx}"))?;
        if plan.entries == 0 && idx == 0 {
            text.push_str(&self.entry_text(plan)?);
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
        let mut text = self.instance_text(&name, free_port()?, &format!("zone-{idx}"))?;
        text.push_str(&self.entry_text(plan)?);
        self.start(&name, &text, true)
    }

    /// Starts one more agent.
    ///
    /// # Errors
    /// Fails when the process can't be started.
    pub fn spawn_agent(&mut self, plan: &AgentPlan) -> Result<()> {
        let name = format!("agent-{}", plan.name);
        let listen = free_port()?;
        self.agents.push(listen);
        let mut text = self.instance_text(&name, listen, &plan.zone)?;
        let kind = if plan.engine { "engine" } else { "service" };
        text.push_str(&format!(
            "[endpoint]\nname = \"{}\"\npool = \"{}\"\nkind = \"{kind}\"\naddress = \"{}\"\n{}\n",
            plan.name, plan.pool, plan.endpoint, plan.extra
        ));
        self.start(&name, &text, false)
    }

    fn entry_text(&mut self, plan: &ClusterPlan) -> Result<String> {
        let callers = free_port()?;
        self.callers.push(callers);
        Ok(format!(
            "[entry]\ncaller_listen = \"{callers}\"\n{}\n",
            plan.entry_extra
        ))
    }

    fn instance_text(&mut self, name: &str, listen: SocketAddr, zone: &str) -> Result<String> {
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

    /// Returns where a process reaches a control instance; itself directly.
    fn seed_address(&mut self, name: &str, control: usize) -> Result<SocketAddr> {
        let target = format!("control-{control}");
        let link = self.links[control];
        if target == name {
            return Ok(link);
        }
        self.proxy_address(name, &target, link)
    }

    /// Returns where `from` reaches `to`, through a new proxy where the plan
    /// asks for proxies.
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

    /// Returns the proxy between a process that connects and its target.
    ///
    /// Agents are reached through the proxy of [`ANY_PROCESS`].
    ///
    /// # Errors
    /// Fails when the plan asked for no proxies or the link does not exist.
    pub fn proxy(&self, from: &str, to: &str) -> Result<&FaultProxy> {
        let pair = (from.to_owned(), to.to_owned());
        self.proxies.get(&pair).context("no such proxy")
    }

    /// Returns all proxies before or behind a process.
    pub fn proxies_of(&self, name: &str) -> Vec<&FaultProxy> {
        self.proxies
            .iter()
            .filter(|((from, to), _)| from == name || to == name)
            .map(|(_, proxy)| proxy)
            .collect()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn start(&mut self, name: &str, settings: &str, serve: bool) -> Result<()> {
        let path = self.path(&format!("{name}.toml"));
        fs::write(&path, settings)?;
        let binary = if serve {
            self.binaries.serve.clone()
        } else {
            self.binaries.agent.clone()
        };
        let child = self.launch(name, &path, &binary)?;
        let slot = ProcessSlot {
            child,
            settings: path,
            binary,
        };
        self.processes.insert(name.to_owned(), slot);
        Ok(())
    }

    fn launch(&self, name: &str, settings: &Path, binary: &Path) -> Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))?;
        let mut command = Command::new(binary);
        if *binary == self.binaries.serve {
            command.arg("serve");
        }
        command
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {name}"))
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let slot = self.processes.get(name).context("no such process")?;
        kill(Pid::from_raw(i32::try_from(slot.child.id())?), signal)?;
        Ok(())
    }

    /// Kills a process without warning.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        self.wait(name)?;
        Ok(())
    }

    /// Stops a process without ending it, as a stalled machine does.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn freeze(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn thaw(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGCONT)
    }

    /// Deletes the data folder of a control instance, which must have ended.
    ///
    /// # Errors
    /// Fails when the process still runs or the folder can't be deleted.
    pub fn lose_data(&mut self, name: &str) -> Result<()> {
        if self.is_running(name) {
            bail!("{name} still runs");
        }
        fs::remove_dir_all(self.path(&format!("data-{name}")))?;
        Ok(())
    }

    /// Waits for a process to end; true when it ended well.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn wait(&mut self, name: &str) -> Result<bool> {
        let slot = self.processes.get_mut(name).context("no such process")?;
        Ok(slot.child.wait()?.success())
    }

    /// Tells whether a process still runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.processes
            .get_mut(name)
            .is_some_and(|slot| matches!(slot.child.try_wait(), Ok(None)))
    }

    /// Returns the process id.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(|slot| slot.child.id())
    }

    /// Returns the resident memory of a process in KiB.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn resident_kib(&self, name: &str) -> Result<u64> {
        let id = self.id(name).context("no such process")?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|rest| rest.split_whitespace().next());
        Ok(number.context("no resident memory is told")?.parse()?)
    }

    /// Starts an ended process again with its settings.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let slot = self.processes.get(name).context("no such process")?;
        let child = self.launch(name, &slot.settings, &slot.binary)?;
        if let Some(slot) = self.processes.get_mut(name) {
            slot.child = child;
        }
        Ok(())
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }

    /// Runs the operators' command line against all control instances.
    ///
    /// # Errors
    /// Fails when the command can't be run.
    pub fn operate(&self, args: &[&str]) -> Result<Output> {
        let control: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        let output = Command::new(&self.binaries.serve)
            .args(args)
            .env("MULBERRYWELL_CONTROL", control.join(","))
            .env("MULBERRYWELL_OPERATOR_KEY_FILE", self.path("operator.key"))
            .output()?;
        Ok(output)
    }

    /// Runs an operators' command that must end well; returns what it prints.
    ///
    /// # Errors
    /// Fails with what the command wrote when it did not end well.
    pub fn operate_well(&self, args: &[&str]) -> Result<String> {
        let output = self.operate(args)?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr);
            bail!("{args:?} ended with {:?}: {text}", output.status.code());
        }
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    }

    /// Puts both lists in force once the control instances answer.
    ///
    /// # Errors
    /// Fails when they are not taken in time.
    pub fn apply(&self, plans: &str, grants: &str) -> Result<()> {
        let plan_path = self.path("plans.toml");
        let grant_path = self.path("grants.toml");
        fs::write(&plan_path, plans)?;
        fs::write(&grant_path, grants)?;
        let (plan_text, grant_text) = (path_text(&plan_path), path_text(&grant_path));
        let args = ["apply", "--plans", &plan_text, "--grants", &grant_text];
        let mut last = String::new();
        wait_until("the lists are in force", || {
            match self.operate_well(&args) {
                Ok(_) => true,
                Err(err) => {
                    last = err.to_string();
                    false
                }
            }
        })
        .with_context(|| last.clone())
    }

    /// Waits until each entry is ready and knows a number of live endpoints.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub fn wait_ready(&self, endpoints: usize) -> Result<()> {
        wait_until("endpoints are live", || {
            let shown = self.operate_well(&["show", "endpoints", "--json"]);
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
        let shown = self.operate_well(&["show", "config", "--json"])?;
        let config: Value = serde_json::from_str(&shown)?;
        let version = config["version"].as_u64().unwrap_or(0);
        for address in &self.callers {
            let caller = HttpCaller::new(*address, None);
            wait_until("the entry is ready", || {
                let Ok(answer) = caller.call("GET", "/readyz", &[], "") else {
                    return false;
                };
                let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
                answer.status == 200 && value["version"].as_u64() >= Some(version)
            })?;
        }
        Ok(())
    }

    /// Gives a client account a key and returns it once it works everywhere.
    ///
    /// # Errors
    /// Fails when it is refused or takes too long.
    pub fn give_key(&self, account: &str, label: &str) -> Result<String> {
        let key = self.operate_well(&["key", "give", account, label])?;
        for address in &self.callers {
            let caller = HttpCaller::new(*address, Some(&key));
            wait_until("the key works", || {
                let answer = caller.call("GET", "/v1/models", &[], "");
                answer.is_ok_and(|answer| answer.status == 200)
            })?;
        }
        Ok(key)
    }
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        for slot in self.processes.values_mut() {
            // A process that has ended already can't be killed.
            let _ = slot.child.kill();
            let _ = slot.child.wait();
        }
        if std::thread::panicking() {
            for name in self.processes.keys() {
                let log = self.log(name);
                let start = log.len().saturating_sub(4_000);
                eprintln!("--- log of {name}\n{}", log.get(start..).unwrap_or(&log));
            }
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// Fails when that takes longer than [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + WAIT_LIMIT;
    while !holds() {
        if Instant::now() >= end {
            bail!("waited too long until {what}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn path_text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}
