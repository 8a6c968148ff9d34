//! The processes of a run, the proxies in front of them, and fault injection into
//! both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use mulberrywell_platform_testkit::{FakeOperator, FakeWorker};
use mulberrywell_testkit::{free_port, wait_until, FaultProxy, FlowFault, ProcessSet, ProxyFlow};
use nix::sys::signal::Signal;

use crate::soak_plan::{losses_max, SoakFault};

/// Service that all endpoints provide.
pub(crate) const SERVICE: &str = "s1";

/// A service that no configuration names.
const FOREIGN_SERVICE: &str = "unheard_of";

/// Software version of every second endpoint.
pub(crate) const SECOND_VERSION: &str = "v2";

/// Zones of the endpoints. Each has endpoints of both software versions, and some that
/// name no limits.
pub(crate) const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Time that a slow endpoint takes for a plain request.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(700);

/// Time that a cold endpoint reports at first.
pub(crate) const COLD_TIME_MAX: Duration = Duration::from_secs(10);

/// Time that an endpoint normally takes for a plain request.
const RESPONSE_DELAY: Duration = Duration::from_millis(15);

/// Delay before each block that a slow link forwards.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Number of tokens that all gateways together may admit beyond an account's rate
/// and burst.
pub(crate) const RATE_TOLERANCE: u64 = 4_000;

/// Number of instances of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterSize {
    /// Number of control instances.
    pub controls: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of endpoints, which are threads of the soak process.
    pub endpoints: usize,
}

/// Addresses and incarnation of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct GatewayHandle {
    pub(crate) caller_address: SocketAddr,
    pub(crate) ready_address: SocketAddr,
    /// Incremented at each restart of the process, and also when it is killed or
    /// asked to terminate.
    pub(crate) incarnation: Arc<AtomicU64>,
}

/// The control instance at a place, which faults name `control-PLACE`, whichever
/// machine runs it.
#[derive(Debug)]
struct ControlHandle {
    /// Name of the process.
    process: String,
    /// Proxy in front of its link address.
    link_proxy: FaultProxy,
    serving: SocketAddr,
}

/// An endpoint that leaves.
#[derive(Debug, Clone)]
pub struct LeaveRecord {
    /// Index of the endpoint.
    pub place: usize,
    /// Time at which the leave call was acknowledged, if it was.
    pub confirmed: Option<Instant>,
    /// Time at which the endpoint started again, if it has.
    pub ended: Option<Instant>,
    /// Start of the endpoint that leaves.
    pub(crate) born_ms: usize,
    /// Its last heartbeat, which arrives late.
    pub(crate) late: String,
}

/// A cluster of running processes behind proxies.
#[derive(Debug)]
pub struct SoakCluster {
    processes: ProcessSet,
    binary: PathBuf,
    controls: Vec<ControlHandle>,
    /// Instances that run beside those that they will replace, by place.
    successors: BTreeMap<usize, ControlHandle>,
    /// Processes of instances that were replaced.
    replaced: Vec<String>,
    /// Link addresses of the control instances that newly started processes know.
    seeds: Vec<SocketAddr>,
    seed: u64,
    /// Control instances that may lose their data at once.
    losses_max: usize,
    /// Latest heartbeat of each endpoint.
    pub(crate) heartbeats: BTreeMap<usize, String>,
    /// Endpoints that have left so far.
    pub(crate) leaves: Vec<LeaveRecord>,
    /// Proxies in front of each endpoint.
    endpoint_proxies: Vec<FaultProxy>,
    pub(crate) endpoints: Vec<FakeWorker>,
    pub(crate) gateways: Vec<GatewayHandle>,
    pub(crate) operator: FakeOperator,
}

impl SoakCluster {
    /// Starts all processes.
    ///
    /// # Errors
    /// Fails if a process, an endpoint or a proxy can't be started.
    pub fn spawn(binary: &Path, size: ClusterSize, seed: u64) -> Result<Self> {
        let endpoints = (0..size.endpoints).map(|place| FakeWorker::spawn(&format!("w{place}")));
        let endpoints = endpoints.collect::<Result<Vec<_>>>()?;
        let endpoint_proxies = endpoints
            .iter()
            .map(|endpoint| FaultProxy::spawn(endpoint.address()));
        let mut cluster = SoakCluster {
            processes: ProcessSet::open()?,
            binary: binary.to_owned(),
            controls: Vec::new(),
            successors: BTreeMap::new(),
            replaced: Vec::new(),
            seeds: Vec::new(),
            seed,
            losses_max: losses_max(size.controls),
            heartbeats: BTreeMap::new(),
            leaves: Vec::new(),
            endpoint_proxies: endpoint_proxies.collect::<Result<_>>()?,
            endpoints,
            gateways: Vec::new(),
            operator: FakeOperator::new(Vec::new()),
        };
        let listen_addresses = free_ports(size.controls)?;
        for (place, listen) in listen_addresses.iter().enumerate() {
            let control = cluster.open_control(place, &format!("control-{place}"), *listen)?;
            cluster.seeds.push(control.link_proxy.address());
            cluster.controls.push(control);
        }
        let controls = std::mem::take(&mut cluster.controls);
        for (control, listen) in controls.iter().zip(listen_addresses) {
            cluster.start_control(control, listen, true)?;
        }
        cluster.controls = controls;
        cluster.update_operator();
        for place in 0..size.gateways {
            cluster.spawn_gateway(place)?;
        }
        for (place, endpoint) in cluster.endpoints.iter().enumerate() {
            endpoint.set_delay(RESPONSE_DELAY);
            endpoint.set_zone(zone_of(place));
            if place % 2 == 1 {
                endpoint.set_version(SECOND_VERSION);
            }
        }
        Ok(cluster)
    }

    /// Returns a control instance that listens at an address, without its process.
    fn open_control(
        &self,
        place: usize,
        process: &str,
        listen: SocketAddr,
    ) -> Result<ControlHandle> {
        let place = u64::try_from(place)?;
        Ok(ControlHandle {
            process: process.to_owned(),
            link_proxy: FaultProxy::spawn_seeded(listen, self.seed ^ place)?,
            serving: free_port()?,
        })
    }

    fn start_control(
        &mut self,
        control: &ControlHandle,
        listen: SocketAddr,
        bootstrap: bool,
    ) -> Result<()> {
        let table = format!(
            "advertise = \"{}\"\n[control]\nserving_listen = \"{}\"\n\
             data_folder = \"{}\"\nbootstrap = {bootstrap}\nfirst_seed_founds = true\n\
             open_membership = true\nlosses_max = {}\n",
            control.link_proxy.address(),
            control.serving,
            self.data_path(&control.process).display(),
            self.losses_max
        );
        self.start(&control.process, listen, &table)
    }

    fn update_operator(&mut self) {
        let serving = self.controls.iter().map(|control| control.serving);
        self.operator = FakeOperator::new(serving.collect());
    }

    /// Starts the instance that will replace the one at a place, on an empty disk and
    /// at another address.
    fn start_successor(&mut self, name: &str) -> Result<()> {
        let place = parse_place(name)?;
        let process = format!("control-{place}.{}", self.replaced.len() + 1);
        let listen = free_port()?;
        let control = self.open_control(place, &process, listen)?;
        self.start_control(&control, listen, false)?;
        self.successors.insert(place, control);
        Ok(())
    }

    /// Deletes the data of the instance at a place, which is killed or has terminated; its
    /// successor takes the place.
    fn finish_replacement(&mut self, name: &str, is_killed: bool) -> Result<()> {
        let old = self.take_place(name)?;
        if is_killed {
            self.processes.kill(&old)?;
        } else {
            let exited_cleanly = self.processes.wait(&old)?;
            anyhow::ensure!(exited_cleanly, "{old} did not exit cleanly");
        }
        std::fs::remove_dir_all(self.data_path(&old))?;
        Ok(())
    }

    /// Lets the successor take the place of an instance; returns this one's process.
    fn take_place(&mut self, name: &str) -> Result<String> {
        let place = parse_place(name)?;
        let successor = self.successors.remove(&place);
        let successor = successor.context("the instance has no successor")?;
        let seed = successor.link_proxy.address();
        let old = std::mem::replace(&mut self.controls[place], successor);
        // Seeds take effect at the next start or SIGHUP.
        let known = self.seeds[place].to_string();
        self.seeds[place] = seed;
        for process in self.names().iter().map(|name| self.process_of(name)) {
            let replaced = |text: &str| text.replace(&known, &seed.to_string());
            self.processes.edit_settings(&process, replaced)?;
        }
        self.replaced.push(old.process.clone());
        self.update_operator();
        Ok(old.process)
    }

    /// Returns whether an endpoint has left, or is about to.
    pub(crate) fn has_left(&self, place: usize) -> bool {
        let mut leaves = self.leaves.iter();
        leaves.any(|leave| leave.place == place && leave.ended.is_none())
    }

    fn begin_leave(&mut self, place: usize) {
        let late = self.heartbeats.get(&place);
        self.leaves.push(LeaveRecord {
            place,
            confirmed: None,
            ended: None,
            born_ms: self.endpoints[place].born_ms(),
            late: late.cloned().unwrap_or_default(),
        });
    }

    /// Starts an endpoint again that has left.
    fn end_leave(&mut self, place: usize) {
        let mut leaves = self.leaves.iter_mut();
        if let Some(leave) = leaves.rfind(|leave| leave.place == place) {
            leave.ended = Some(Instant::now());
        }
        self.endpoints[place].crash(Duration::ZERO);
    }

    /// Returns the body of a heartbeat of another writer, for a service that no
    /// configuration names, with the address of an endpoint.
    pub(crate) fn foreign_heartbeat(&self, place: usize, sequence: u64) -> String {
        let address = self.endpoint_proxies[place].address();
        self.endpoints[place].heartbeat_at(address, FOREIGN_SERVICE, "ready", sequence)
    }

    fn spawn_gateway(&mut self, place: usize) -> Result<()> {
        let [listen, caller_address, ready_address] = free_ports(3)?[..] else {
            anyhow::bail!("expected three free ports");
        };
        let table = format!(
            "[gateway]\ncaller_listen = \"{caller_address}\"\nready_listen = \"{ready_address}\"\n\
             shutdown_grace_s = 8\nrate_tolerance_tokens = {RATE_TOLERANCE}\n"
        );
        self.start(&format!("gateway-{place}"), listen, &table)?;
        self.gateways.push(GatewayHandle {
            caller_address,
            ready_address,
            incarnation: Arc::default(),
        });
        Ok(())
    }

    fn start(&mut self, name: &str, listen: SocketAddr, tables: &str) -> Result<()> {
        let seeds = self.seeds.iter().map(|seed| format!("\"{seed}\""));
        let seeds: Vec<String> = seeds.collect();
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\ntrusted_network = true\nseeds = [{}]\n{tables}",
            seeds.join(", ")
        );
        self.processes.start(name, &self.binary, &["serve"], &text)
    }

    pub(crate) fn control_count(&self) -> usize {
        self.controls.len()
    }

    fn data_path(&self, process: &str) -> PathBuf {
        self.processes.path(&format!("data-{process}"))
    }

    /// Returns the control instance that a fault names, if it names one.
    fn control(&self, name: &str) -> Option<&ControlHandle> {
        let place = name.strip_prefix("control-")?.parse::<usize>().ok()?;
        self.controls.get(place)
    }

    /// Returns the process that a fault names.
    fn process_of(&self, name: &str) -> String {
        let control = self.control(name);
        control.map_or_else(|| name.to_owned(), |it| it.process.clone())
    }

    fn link_proxy(&self, name: &str) -> Result<&FaultProxy> {
        let control = self.control(name);
        Ok(&control
            .context("no control instance with this name")?
            .link_proxy)
    }

    /// Returns the names of all processes and their logs, also of those that were
    /// replaced.
    pub fn logs(&self) -> Vec<(String, String)> {
        let names = self.names();
        let current = names.iter().map(|name| self.process_of(name));
        let processes = current.chain(self.replaced.iter().cloned());
        let logs = processes.map(|process| {
            let log = self.processes.log(&process);
            (process, log)
        });
        logs.collect()
    }

    /// Returns the names of all instances.
    pub fn names(&self) -> Vec<String> {
        let controls = (0..self.controls.len()).map(|place| format!("control-{place}"));
        let gateways = (0..self.gateways.len()).map(|place| format!("gateway-{place}"));
        controls.chain(gateways).collect()
    }

    /// Returns the body of an endpoint's heartbeat, which carries the address of the
    /// endpoint's proxy.
    pub(crate) fn heartbeat(&self, place: usize, sequence: u64) -> String {
        let address = self.endpoint_proxies[place].address();
        self.endpoints[place].heartbeat_at(address, SERVICE, "ready", sequence)
    }

    /// Injects a fault.
    ///
    /// # Errors
    /// Fails if a process can't be signalled or its data can't be deleted or moved.
    pub fn inject_fault(&mut self, fault: &SoakFault) -> Result<()> {
        match fault {
            SoakFault::Kill(name) => self.kill(name)?,
            SoakFault::Terminate(name) => {
                self.advance_incarnation(name);
                let process = self.process_of(name);
                self.processes.signal(&process, Signal::SIGTERM)?;
            }
            SoakFault::Freeze(name) => self.processes.suspend(&self.process_of(name))?,
            SoakFault::Hangup(name) => {
                let process = self.process_of(name);
                self.processes.signal(&process, Signal::SIGHUP)?;
            }
            SoakFault::LoseData(name) => {
                self.kill(name)?;
                std::fs::remove_dir_all(self.data_path(&self.process_of(name)))?;
            }
            SoakFault::Remove(name) => {
                self.kill(name)?;
                std::fs::remove_dir_all(self.data_path(&self.process_of(name)))?;
            }
            SoakFault::HideData(name) => {
                let data = self.data_path(&self.process_of(name));
                std::fs::rename(&data, hidden_path(&data))?;
            }
            SoakFault::KillControls => {
                for place in 0..self.controls.len() {
                    self.kill(&format!("control-{place}"))?;
                }
            }
            SoakFault::Replace(name) | SoakFault::ReplaceKilled(name) => {
                self.start_successor(name)?;
            }
            SoakFault::Isolate(name) => {
                self.link_proxy(name)?.stall();
                for flow in [ProxyFlow::ToTarget, ProxyFlow::ToCaller] {
                    self.stall_process(name, flow);
                }
            }
            SoakFault::Mute(name) => self.stall_process(name, ProxyFlow::ToTarget),
            SoakFault::Deafen(name) => self.stall_process(name, ProxyFlow::ToCaller),
            SoakFault::Delay(name) => self.link_proxy(name)?.set_both(FlowFault {
                delay: SLOW_LINK_DELAY,
                jitter: SLOW_LINK_DELAY,
                ..FlowFault::default()
            }),
            SoakFault::Refuse(name) => {
                let proxy = self.link_proxy(name)?;
                proxy.refuse(true);
                proxy.reset();
            }
            SoakFault::EndpointDown(place) => self.endpoints[*place].set_down(true),
            SoakFault::EndpointSheds(place) => self.endpoints[*place].set_shedding(true),
            SoakFault::EndpointLoses(place) => self.endpoints[*place].set_losing_responses(true),
            SoakFault::EndpointSlow(place) => self.endpoints[*place].set_delay(SLOW_RESPONSE_DELAY),
            SoakFault::EndpointCut(place) => self.endpoint_proxies[*place].stall(),
            SoakFault::EndpointReset(place) => self.endpoint_proxies[*place].reset(),
            SoakFault::EndpointLimits(place, limit) => {
                self.endpoints[*place].set_rate_limit(Some(limit));
            }
            SoakFault::EndpointCold(place) => self.endpoints[*place].set_cold(Some(COLD_TIME_MAX)),
            SoakFault::EndpointLeaves(place) => self.begin_leave(*place),
        }
        Ok(())
    }

    /// Asks the process to terminate that a fault ends with.
    ///
    /// # Errors
    /// Fails if the process can't be signalled.
    pub fn prepare_clear(&mut self, fault: &SoakFault) -> Result<()> {
        if let SoakFault::Replace(name) = fault {
            let process = self.process_of(name);
            self.processes.signal(&process, Signal::SIGTERM)?;
        }
        Ok(())
    }

    /// Returns whether the process has exited that was asked to terminate.
    pub fn can_clear(&mut self, fault: &SoakFault) -> bool {
        match fault {
            SoakFault::Terminate(name) | SoakFault::Replace(name) => {
                let process = self.process_of(name);
                !self.processes.is_running(&process)
            }
            _ => true,
        }
    }

    /// Clears a fault.
    ///
    /// # Errors
    /// Fails if a process can't be signalled or restarted, its data can't be moved
    /// back, or it did not exit cleanly after a request to terminate.
    pub fn clear_fault(&mut self, fault: &SoakFault) -> Result<()> {
        match fault {
            SoakFault::Kill(name) | SoakFault::LoseData(name) => self.restart(name)?,
            SoakFault::Terminate(name) => {
                let exited_cleanly = self.processes.wait(&self.process_of(name))?;
                anyhow::ensure!(exited_cleanly, "{name} did not exit cleanly after SIGTERM");
                self.restart(name)?;
            }
            SoakFault::HideData(name) => {
                let process = self.process_of(name);
                let data = self.data_path(&process);
                std::fs::rename(hidden_path(&data), &data)?;
                // The platform restarts processes that exit on their own.
                if !self.processes.is_running(&process) {
                    self.restart(name)?;
                }
            }
            SoakFault::Freeze(name) => self.processes.resume(&self.process_of(name))?,
            SoakFault::Replace(name) => self.finish_replacement(name, false)?,
            SoakFault::ReplaceKilled(name) => self.finish_replacement(name, true)?,
            SoakFault::Remove(name) => {
                self.start_successor(name)?;
                self.take_place(name)?;
            }
            SoakFault::Hangup(_) | SoakFault::EndpointReset(_) => {}
            SoakFault::KillControls => {
                for place in 0..self.controls.len() {
                    self.restart(&format!("control-{place}"))?;
                }
            }
            SoakFault::Isolate(name) => {
                self.link_proxy(name)?.set_both(FlowFault::default());
                self.resume_process(name);
            }
            SoakFault::Mute(name) | SoakFault::Deafen(name) => self.resume_process(name),
            SoakFault::Delay(name) | SoakFault::Refuse(name) => {
                let proxy = self.link_proxy(name)?;
                proxy.refuse(false);
                proxy.set_both(FlowFault::default());
            }
            SoakFault::EndpointDown(place) => self.endpoints[*place].set_down(false),
            SoakFault::EndpointSheds(place) => self.endpoints[*place].set_shedding(false),
            SoakFault::EndpointLoses(place) => self.endpoints[*place].set_losing_responses(false),
            SoakFault::EndpointSlow(place) => self.endpoints[*place].set_delay(RESPONSE_DELAY),
            SoakFault::EndpointCut(place) => self.endpoint_proxies[*place].heal(),
            SoakFault::EndpointLimits(place, _) => self.endpoints[*place].set_rate_limit(None),
            SoakFault::EndpointCold(place) => self.endpoints[*place].set_cold(None),
            SoakFault::EndpointLeaves(place) => self.end_leave(*place),
        }
        Ok(())
    }

    fn stall_process(&self, name: &str, flow: ProxyFlow) {
        let process = self.process_of(name);
        for control in &self.controls {
            control.link_proxy.stall_matching(&process, flow);
        }
    }

    fn resume_process(&self, name: &str) {
        let process = self.process_of(name);
        for control in &self.controls {
            control.link_proxy.resume_matching(&process);
        }
    }

    fn kill(&mut self, name: &str) -> Result<()> {
        self.advance_incarnation(name);
        let process = self.process_of(name);
        self.processes.kill(&process)
    }

    fn restart(&mut self, name: &str) -> Result<()> {
        // The deployment has been bootstrapped already.
        let disable_bootstrap = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        let process = self.process_of(name);
        self.processes.edit_settings(&process, disable_bootstrap)?;
        let len = self.processes.log(&process).len();
        self.processes.restart(&process)?;
        self.advance_incarnation(name);
        // Until the program runs, any signal has its default action and ends the
        // process, so the start is confirmed by the first log output.
        wait_until("the process has started", || {
            self.processes.log(&process).len() > len
        })
    }

    /// Returns the name of a process that has exited; none does so without a fault.
    pub(crate) fn find_exited_process(&mut self) -> Option<String> {
        let mut names = self.names().into_iter();
        names.find(|name| {
            let process = self.process_of(name);
            !self.processes.is_running(&process)
        })
    }

    fn advance_incarnation(&self, name: &str) {
        let gateway = name.strip_prefix("gateway-");
        let place = gateway.and_then(|number| number.parse::<usize>().ok());
        if let Some(gateway) = place.and_then(|place| self.gateways.get(place)) {
            gateway.incarnation.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Returns the zone of an endpoint.
pub(crate) fn zone_of(place: usize) -> &'static str {
    ZONES[place.div_ceil(2) % ZONES.len()]
}

fn free_ports(count: usize) -> Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_port()).collect()
}

fn hidden_path(data: &Path) -> PathBuf {
    let mut path = data.as_os_str().to_owned();
    path.push(".hidden");
    PathBuf::from(path)
}

fn parse_place(name: &str) -> Result<usize> {
    let number = name
        .rsplit('-')
        .next()
        .context("process name has no number")?;
    Ok(number.parse()?)
}
