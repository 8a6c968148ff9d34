//! A cluster of real processes on this machine.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

use crate::http_client::HttpCaller;

/// Longest wait for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

const SECRET: &str = "a secret of the test cluster only";
const OPERATOR_KEY: &str = "mwop-operator-key-of-the-test-cluster";

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
}

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
    /// Callers' addresses, in the order of the instances.
    pub callers: Vec<SocketAddr>,
    /// Operators' addresses, in the order of the control instances.
    pub operators: Vec<SocketAddr>,
    /// Link addresses of control instances.
    pub links: Vec<SocketAddr>,
}

impl ProcessCluster {
    /// Starts the processes of a plan.
    ///
    /// # Errors
    /// Fails when a process can't be started.
    pub fn spawn(binaries: &BinaryPaths, plan: &ClusterPlan) -> Result<Self> {
        let folder = TempDir::new()?;
        fs::write(folder.path().join("cluster.secret"), SECRET)?;
        fs::write(folder.path().join("operator.key"), OPERATOR_KEY)?;
        let mut cluster = ProcessCluster {
            folder,
            binaries: binaries.clone(),
            processes: BTreeMap::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            links: Vec::new(),
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
        let mut text = self.instance_text(&name, self.links[idx], &format!("zone-{idx}"));
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
        let mut text = self.instance_text(&name, free_port()?, &format!("zone-{idx}"));
        text.push_str(&self.entry_text(plan)?);
        self.start(&name, &text, true)
    }

    /// Starts one more agent.
    ///
    /// # Errors
    /// Fails when the process can't be started.
    pub fn spawn_agent(&mut self, plan: &AgentPlan) -> Result<()> {
        let name = format!("agent-{}", plan.name);
        let mut text = self.instance_text(&name, free_port()?, &plan.zone);
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

    fn instance_text(&self, name: &str, listen: SocketAddr, zone: &str) -> String {
        let seeds: Vec<String> = self
            .links
            .iter()
            .map(|link| format!("\"{link}\""))
            .collect();
        format!(
            "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\nsecret_file = \"{}\"\nseeds = [{}]\n\
             [log]\nlevel = \"debug\"\n",
            self.path("cluster.secret").display(),
            seeds.join(", "),
        )
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
            .stdout(Stdio::null())
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

/// Finds a port that is free now.
///
/// # Errors
/// Fails when the system has none.
pub fn free_port() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
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
