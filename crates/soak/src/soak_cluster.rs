//! The processes of a run, the proxies before them, and how faults act on both.

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

/// Service of the endpoints.
pub(crate) const SERVICE: &str = "s1";

/// Time that an endpoint takes for a plain request while it is slow.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// Usual time that an endpoint takes for a plain request.
const USUAL_ANSWER: Duration = Duration::from_millis(15);

/// Wait before each piece on a slow link.
const SLOW_LINK: Duration = Duration::from_millis(60);

/// Tokens that all gateways together may admit beyond a rate and burst.
pub(crate) const RATE_TOLERANCE: u64 = 4_000;

/// How many processes of each kind there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterSize {
    /// Control instances.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Endpoints, which are threads of the soak itself.
    pub endpoints: usize,
}

/// Where a gateway is reached.
#[derive(Debug, Clone)]
pub(crate) struct GatewayPlace {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    /// Grows with each start of the process, and once more when it is ended.
    pub(crate) incarnation: Arc<AtomicU64>,
}

/// Running processes behind proxies.
#[derive(Debug)]
pub struct SoakCluster {
    processes: ProcessSet,
    binary: PathBuf,
    /// Before the links of each control instance.
    links: Vec<FaultProxy>,
    /// Before each endpoint.
    endpoint_ways: Vec<FaultProxy>,
    pub(crate) endpoints: Vec<FakeWorker>,
    pub(crate) gateways: Vec<GatewayPlace>,
    pub(crate) operator: FakeOperator,
}

impl SoakCluster {
    /// Starts all processes.
    ///
    /// # Errors
    /// Fails when one can't be started.
    pub fn spawn(binary: &Path, size: ClusterSize, seed: u64) -> Result<Self> {
        let listens = free_ports(size.controls)?;
        let serving = free_ports(size.controls)?;
        let numbered = listens.iter().zip(0..);
        let links = numbered.map(|(listen, place)| FaultProxy::spawn_seeded(*listen, seed ^ place));
        let endpoints = (0..size.endpoints).map(|place| FakeWorker::spawn(&format!("w{place}")));
        let endpoints = endpoints.collect::<Result<Vec<_>>>()?;
        let ways = endpoints
            .iter()
            .map(|endpoint| FaultProxy::spawn(endpoint.address()));
        let mut cluster = SoakCluster {
            processes: ProcessSet::open()?,
            binary: binary.to_owned(),
            links: links.collect::<Result<_>>()?,
            endpoint_ways: ways.collect::<Result<_>>()?,
            endpoints,
            gateways: Vec::new(),
            operator: FakeOperator::new(serving.clone()),
        };
        for place in 0..size.controls {
            cluster.spawn_control(place, listens[place], serving[place])?;
        }
        for place in 0..size.gateways {
            cluster.spawn_gateway(place)?;
        }
        for endpoint in &cluster.endpoints {
            endpoint.set_delay(USUAL_ANSWER);
        }
        Ok(cluster)
    }

    fn spawn_control(
        &mut self,
        place: usize,
        listen: SocketAddr,
        serving: SocketAddr,
    ) -> Result<()> {
        let advertise = self.links[place].address();
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
        let [listen, callers, ready] = free_ports(3)?[..] else {
            anyhow::bail!("three ports were asked for");
        };
        let table = format!(
            "[gateway]\ncaller_listen = \"{callers}\"\nready_listen = \"{ready}\"\n\
             shutdown_grace_s = 8\nrate_tolerance_tokens = {RATE_TOLERANCE}\n"
        );
        self.start(&format!("gateway-{place}"), listen, &table)?;
        self.gateways.push(GatewayPlace {
            callers,
            ready,
            incarnation: Arc::default(),
        });
        Ok(())
    }

    fn start(&mut self, name: &str, listen: SocketAddr, tables: &str) -> Result<()> {
        let seeds: Vec<String> = self
            .links
            .iter()
            .map(|link| format!("\"{}\"", link.address()))
            .collect();
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\ntrusted_network = true\nseeds = [{}]\n{tables}",
            seeds.join(", ")
        );
        self.processes.start(name, &self.binary, &["serve"], &text)
    }

    pub(crate) fn control_count(&self) -> usize {
        self.links.len()
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
        let controls = (0..self.links.len()).map(|place| format!("control-{place}"));
        let gateways = (0..self.gateways.len()).map(|place| format!("gateway-{place}"));
        controls.chain(gateways).collect()
    }

    /// Returns the body of an endpoint's heartbeat, which names the way to it.
    pub(crate) fn heartbeat(&self, place: usize, sequence: u64) -> String {
        let address = self.endpoint_ways[place].address();
        self.endpoints[place].heartbeat_at(address, SERVICE, "ready", sequence)
    }

    /// Begins a fault.
    ///
    /// # Errors
    /// Fails when a process can't be signalled or its data not deleted.
    pub fn begin(&mut self, fault: &SoakFault) -> Result<()> {
        match fault {
            SoakFault::Kill(name) => self.kill(name)?,
            SoakFault::Terminate(name) => {
                self.note_start(name);
                self.processes.signal(name, Signal::SIGTERM)?;
            }
            SoakFault::Freeze(name) => self.processes.freeze(name)?,
            SoakFault::Hangup(name) => self.processes.signal(name, Signal::SIGHUP)?,
            SoakFault::LoseData(name) => {
                self.kill(name)?;
                let place = place_of(name)?;
                std::fs::remove_dir_all(self.data_path(place))?;
            }
            SoakFault::HideData(name) => {
                let data = self.data_path(place_of(name)?);
                std::fs::rename(&data, data.with_extension("hidden"))?;
            }
            SoakFault::KillControls => {
                for place in 0..self.links.len() {
                    self.kill(&format!("control-{place}"))?;
                }
            }
            SoakFault::Isolate(name) => {
                self.links[place_of(name)?].stall();
                for flow in [ProxyFlow::ToTarget, ProxyFlow::ToCaller] {
                    self.stall_named(name, flow);
                }
            }
            SoakFault::Mute(name) => self.stall_named(name, ProxyFlow::ToTarget),
            SoakFault::Deafen(name) => self.stall_named(name, ProxyFlow::ToCaller),
            SoakFault::Delay(name) => self.links[place_of(name)?].set_both(FlowFault {
                delay: SLOW_LINK,
                jitter: SLOW_LINK,
                ..FlowFault::default()
            }),
            SoakFault::Refuse(name) => {
                let link = &self.links[place_of(name)?];
                link.refuse(true);
                link.reset();
            }
            SoakFault::EndpointDown(place) => self.endpoints[*place].set_down(true),
            SoakFault::EndpointSheds(place) => self.endpoints[*place].set_sheds(true),
            SoakFault::EndpointLoses(place) => self.endpoints[*place].set_loses(true),
            SoakFault::EndpointSlow(place) => self.endpoints[*place].set_delay(SLOW_ANSWER),
            SoakFault::EndpointCut(place) => self.endpoint_ways[*place].stall(),
            SoakFault::EndpointReset(place) => self.endpoint_ways[*place].reset(),
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// Fails when a process can't be signalled or started again, or did not end
    /// well when it was asked to.
    pub fn end(&mut self, fault: &SoakFault) -> Result<()> {
        match fault {
            SoakFault::Kill(name) | SoakFault::LoseData(name) => self.restart(name)?,
            SoakFault::Terminate(name) => {
                let ended_well = self.processes.wait(name)?;
                anyhow::ensure!(ended_well, "{name} did not end well");
                self.restart(name)?;
            }
            SoakFault::HideData(name) => {
                let data = self.data_path(place_of(name)?);
                std::fs::rename(data.with_extension("hidden"), &data)?;
                // The platform starts a process again that has ended by itself.
                if !self.processes.is_running(name) {
                    self.restart(name)?;
                }
            }
            SoakFault::Freeze(name) => self.processes.thaw(name)?,
            SoakFault::Hangup(_) | SoakFault::EndpointReset(_) => {}
            SoakFault::KillControls => {
                for place in 0..self.links.len() {
                    self.restart(&format!("control-{place}"))?;
                }
            }
            SoakFault::Isolate(name) => {
                self.links[place_of(name)?].set_both(FlowFault::default());
                self.end_named(name);
            }
            SoakFault::Mute(name) | SoakFault::Deafen(name) => self.end_named(name),
            SoakFault::Delay(name) | SoakFault::Refuse(name) => {
                let link = &self.links[place_of(name)?];
                link.refuse(false);
                link.set_both(FlowFault::default());
            }
            SoakFault::EndpointDown(place) => self.endpoints[*place].set_down(false),
            SoakFault::EndpointSheds(place) => self.endpoints[*place].set_sheds(false),
            SoakFault::EndpointLoses(place) => self.endpoints[*place].set_loses(false),
            SoakFault::EndpointSlow(place) => self.endpoints[*place].set_delay(USUAL_ANSWER),
            SoakFault::EndpointCut(place) => self.endpoint_ways[*place].heal(),
        }
        Ok(())
    }

    fn stall_named(&self, name: &str, flow: ProxyFlow) {
        for link in &self.links {
            link.stall_named(name, flow);
        }
    }

    fn end_named(&self, name: &str) {
        for link in &self.links {
            link.heal_named(name);
        }
    }

    fn kill(&mut self, name: &str) -> Result<()> {
        self.note_start(name);
        self.processes.kill(name)
    }

    fn restart(&mut self, name: &str) -> Result<()> {
        // The deployment is no longer new.
        let started = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        self.processes.edit_settings(name, started)?;
        let len = self.processes.log(name).len();
        self.processes.restart(name)?;
        self.note_start(name);
        // A signal before the program itself runs ends any process.
        wait_until("the process has started", || {
            self.processes.log(name).len() > len
        })
    }

    /// Returns a process that has ended, which none does by itself.
    pub(crate) fn ended_process(&mut self) -> Option<String> {
        let mut names = self.names().into_iter();
        names.find(|name| !self.processes.is_running(name))
    }

    fn note_start(&self, name: &str) {
        let gateway = name.strip_prefix("gateway-");
        let place = gateway.and_then(|number| number.parse::<usize>().ok());
        if let Some(gateway) = place.and_then(|place| self.gateways.get(place)) {
            gateway.incarnation.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn free_ports(count: usize) -> Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_port()).collect()
}

fn place_of(name: &str) -> Result<usize> {
    let number = name.rsplit('-').next().context("a numbered name")?;
    Ok(number.parse()?)
}
