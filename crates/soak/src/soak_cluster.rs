//! The processes of a run, the proxies in front of them, and fault injection into
//! both.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use mulberrywell_platform_testkit::{FakeOperator, FakeWorker};
use mulberrywell_testkit::{free_port, wait_until, FaultProxy, FlowFault, ProcessSet, ProxyFlow};
use nix::sys::signal::Signal;

use crate::soak_plan::SoakFault;

/// Service that all endpoints provide.
pub(crate) const SERVICE: &str = "s1";

/// Software version of every second endpoint.
pub(crate) const SECOND_VERSION: &str = "v2";

/// Zones of the endpoints. Each has endpoints of both software versions, and some that
/// name no limits.
pub(crate) const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Time that a slow endpoint takes for a plain request.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(700);

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

/// A cluster of running processes behind proxies.
#[derive(Debug)]
pub struct SoakCluster {
    processes: ProcessSet,
    binary: PathBuf,
    /// Proxies in front of the link address of each control instance.
    link_proxies: Vec<FaultProxy>,
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
        let listen_addresses = free_ports(size.controls)?;
        let serving = free_ports(size.controls)?;
        let numbered = listen_addresses.iter().zip(0..);
        let link_proxies =
            numbered.map(|(listen, place)| FaultProxy::spawn_seeded(*listen, seed ^ place));
        let endpoints = (0..size.endpoints).map(|place| FakeWorker::spawn(&format!("w{place}")));
        let endpoints = endpoints.collect::<Result<Vec<_>>>()?;
        let endpoint_proxies = endpoints
            .iter()
            .map(|endpoint| FaultProxy::spawn(endpoint.address()));
        let mut cluster = SoakCluster {
            processes: ProcessSet::open()?,
            binary: binary.to_owned(),
            link_proxies: link_proxies.collect::<Result<_>>()?,
            endpoint_proxies: endpoint_proxies.collect::<Result<_>>()?,
            endpoints,
            gateways: Vec::new(),
            operator: FakeOperator::new(serving.clone()),
        };
        for place in 0..size.controls {
            cluster.spawn_control(place, listen_addresses[place], serving[place])?;
        }
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

    fn spawn_control(
        &mut self,
        place: usize,
        listen: SocketAddr,
        serving: SocketAddr,
    ) -> Result<()> {
        let advertise = self.link_proxies[place].address();
        let table = format!(
            "advertise = \"{advertise}\"\n[control]\nserving_listen = \"{serving}\"\n\
             data_folder = \"{}\"\nbootstrap = true\nfirst_seed_founds = true\n\
             open_membership = true\n",
            self.data_path(place).display()
        );
        let name = format!("control-{place}");
        self.start(&name, listen, &table)
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
        let seeds: Vec<String> = self
            .link_proxies
            .iter()
            .map(|proxy| format!("\"{}\"", proxy.address()))
            .collect();
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\ntrusted_network = true\nseeds = [{}]\n{tables}",
            seeds.join(", ")
        );
        self.processes.start(name, &self.binary, &["serve"], &text)
    }

    pub(crate) fn control_count(&self) -> usize {
        self.link_proxies.len()
    }

    fn data_path(&self, place: usize) -> PathBuf {
        self.processes.path(&format!("data-{place}"))
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        self.processes.log(name)
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        let controls = (0..self.link_proxies.len()).map(|place| format!("control-{place}"));
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
                self.processes.signal(name, Signal::SIGTERM)?;
            }
            SoakFault::Freeze(name) => self.processes.suspend(name)?,
            SoakFault::Hangup(name) => self.processes.signal(name, Signal::SIGHUP)?,
            SoakFault::LoseData(name) => {
                self.kill(name)?;
                let place = parse_place(name)?;
                std::fs::remove_dir_all(self.data_path(place))?;
            }
            SoakFault::HideData(name) => {
                let data = self.data_path(parse_place(name)?);
                std::fs::rename(&data, data.with_extension("hidden"))?;
            }
            SoakFault::KillControls => {
                for place in 0..self.link_proxies.len() {
                    self.kill(&format!("control-{place}"))?;
                }
            }
            SoakFault::Isolate(name) => {
                self.link_proxies[parse_place(name)?].stall();
                for flow in [ProxyFlow::ToTarget, ProxyFlow::ToCaller] {
                    self.stall_process(name, flow);
                }
            }
            SoakFault::Mute(name) => self.stall_process(name, ProxyFlow::ToTarget),
            SoakFault::Deafen(name) => self.stall_process(name, ProxyFlow::ToCaller),
            SoakFault::Delay(name) => self.link_proxies[parse_place(name)?].set_both(FlowFault {
                delay: SLOW_LINK_DELAY,
                jitter: SLOW_LINK_DELAY,
                ..FlowFault::default()
            }),
            SoakFault::Refuse(name) => {
                let proxy = &self.link_proxies[parse_place(name)?];
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
        }
        Ok(())
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
                let exited_cleanly = self.processes.wait(name)?;
                anyhow::ensure!(exited_cleanly, "{name} did not exit cleanly after SIGTERM");
                self.restart(name)?;
            }
            SoakFault::HideData(name) => {
                let data = self.data_path(parse_place(name)?);
                std::fs::rename(data.with_extension("hidden"), &data)?;
                // The platform restarts processes that exit on their own.
                if !self.processes.is_running(name) {
                    self.restart(name)?;
                }
            }
            SoakFault::Freeze(name) => self.processes.resume(name)?,
            SoakFault::Hangup(_) | SoakFault::EndpointReset(_) => {}
            SoakFault::KillControls => {
                for place in 0..self.link_proxies.len() {
                    self.restart(&format!("control-{place}"))?;
                }
            }
            SoakFault::Isolate(name) => {
                self.link_proxies[parse_place(name)?].set_both(FlowFault::default());
                self.resume_process(name);
            }
            SoakFault::Mute(name) | SoakFault::Deafen(name) => self.resume_process(name),
            SoakFault::Delay(name) | SoakFault::Refuse(name) => {
                let proxy = &self.link_proxies[parse_place(name)?];
                proxy.refuse(false);
                proxy.set_both(FlowFault::default());
            }
            SoakFault::EndpointDown(place) => self.endpoints[*place].set_down(false),
            SoakFault::EndpointSheds(place) => self.endpoints[*place].set_shedding(false),
            SoakFault::EndpointLoses(place) => self.endpoints[*place].set_losing_responses(false),
            SoakFault::EndpointSlow(place) => self.endpoints[*place].set_delay(RESPONSE_DELAY),
            SoakFault::EndpointCut(place) => self.endpoint_proxies[*place].heal(),
            SoakFault::EndpointLimits(place, _) => self.endpoints[*place].set_rate_limit(None),
        }
        Ok(())
    }

    fn stall_process(&self, name: &str, flow: ProxyFlow) {
        for proxy in &self.link_proxies {
            proxy.stall_matching(name, flow);
        }
    }

    fn resume_process(&self, name: &str) {
        for proxy in &self.link_proxies {
            proxy.resume_matching(name);
        }
    }

    fn kill(&mut self, name: &str) -> Result<()> {
        self.advance_incarnation(name);
        self.processes.kill(name)
    }

    fn restart(&mut self, name: &str) -> Result<()> {
        // The deployment has been bootstrapped already.
        let disable_bootstrap = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        self.processes.edit_settings(name, disable_bootstrap)?;
        let len = self.processes.log(name).len();
        self.processes.restart(name)?;
        self.advance_incarnation(name);
        // Until the program runs, any signal has its default action and ends the
        // process, so the start is confirmed by the first log output.
        wait_until("the process has started", || {
            self.processes.log(name).len() > len
        })
    }

    /// Returns the name of a process that has exited; none does so without a fault.
    pub(crate) fn find_exited_process(&mut self) -> Option<String> {
        let mut names = self.names().into_iter();
        names.find(|name| !self.processes.is_running(name))
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

fn parse_place(name: &str) -> Result<usize> {
    let number = name
        .rsplit('-')
        .next()
        .context("process name has no number")?;
    Ok(number.parse()?)
}
