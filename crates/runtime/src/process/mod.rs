//! Runs a process: its roles, its event loop and its graceful shutdown.

mod agent_process;
mod control_process;
mod entry_process;
mod gateway_process;
mod serving_interface;
mod settings_watch;

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use mulberrywell_role::RoleMachine;
use mulberrywell_settings::{AgentSettings, InstanceSettings, ServeSettings};
use mulberrywell_wire::{PeerIdentity, PeerRole};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{actor, call, ret_shutdown, ActorOwn, Fwd, Stakker, StopCause};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::MioPoll;

pub use self::serving_interface::ServingInterface;
use self::settings_watch::SettingsWatch;
use crate::caller_budget::{CallerBudget, CallerLimits};
use crate::descriptor_limit::raise_descriptor_limit;
use crate::link_table::LinkCredentials;
use crate::metric_output::MetricOutput;
use crate::role_host::{ActionHandler, HostParts, RoleHost};

/// Longest wait of the event loop.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Shortest cluster secret in bytes.
const SECRET_MIN: usize = 16;

/// Runs `mulberrywell serve` until a signal requests its shutdown.
///
/// # Errors
/// Fails when an address, file or folder can't be used.
pub fn serve<I: ServingInterface>(
    path: &str,
    settings: &ServeSettings,
    interface: &I,
) -> Result<()> {
    let mut process = ProcessLoop::open()?;
    let secret = read_secret(settings.instance.secret_file.as_deref())?;
    let metrics = MetricOutput::open(&settings.metrics)?;
    let limits = CallerLimits::from_settings(&settings.callers, raise_descriptor_limit());
    let budget = CallerBudget::open(limits);
    // One listener serves the metrics of all roles.
    let mut metric_listen = settings.metrics.listen;
    let gateway = match &settings.gateway {
        Some(gateway) => {
            let credentials = credentials(&settings.instance, PeerRole::Entry, &secret);
            let listen = metric_listen.take();
            let metrics = metrics.clone();
            let instance = &settings.instance;
            let parts = ProcessParts {
                instance,
                credentials,
                metrics,
                budget: budget.clone(),
                status_memory: settings.callers.status_memory,
            };
            let codec = interface.codec();
            Some(process.spawn_gateway(parts, gateway, listen, codec)?)
        }
        None => None,
    };
    let control = match &settings.control {
        Some(control) => {
            let credentials = credentials(&settings.instance, PeerRole::Control, &secret);
            let metrics = metrics.clone();
            let listen = metric_listen.take();
            let instance = &settings.instance;
            let parts = ProcessParts {
                instance,
                credentials,
                metrics,
                budget: budget.clone(),
                status_memory: settings.callers.status_memory,
            };
            let wrap = |role| interface.wrap_control(role);
            Some(process.spawn_control(parts, control, listen, wrap)?)
        }
        None => None,
    };
    let entry = match &settings.entry {
        Some(entry) => {
            let credentials = credentials(&settings.instance, PeerRole::Entry, &secret);
            let parts = ProcessParts {
                instance: &settings.instance,
                credentials,
                metrics,
                budget,
                status_memory: settings.callers.status_memory,
            };
            Some(process.spawn_entry(parts, entry)?)
        }
        None => None,
    };
    // Roles shut down in this order: requests of callers complete before the
    // control role stops.
    let roles: Vec<RunningRole> = [gateway, entry, control].into_iter().flatten().collect();
    process.run(&roles, Some(SettingsWatch::open(path, settings)))
}

/// Runs `mulberrywell-agent` until a signal requests its shutdown.
///
/// # Errors
/// Fails when an address or file can't be used.
pub fn serve_agent(settings: &AgentSettings) -> Result<()> {
    let mut process = ProcessLoop::open()?;
    let secret = read_secret(settings.instance.secret_file.as_deref())?;
    let metrics = MetricOutput::open(&settings.metrics)?;
    let credentials = credentials(&settings.instance, PeerRole::Agent, &secret);
    let role = process.spawn_agent(settings, credentials, metrics)?;
    process.run(&[role], None)
}

/// What the roles of a process share.
pub(crate) struct ProcessParts<'a> {
    /// Settings of the instance.
    pub(crate) instance: &'a InstanceSettings,
    /// Credentials of the role on its links.
    pub(crate) credentials: LinkCredentials,
    /// Output of metrics.
    pub(crate) metrics: MetricOutput,
    /// Account of what is held for callers.
    pub(crate) budget: CallerBudget,
    /// Memory in bytes that the statuses of endpoints may take.
    pub(crate) status_memory: usize,
}

/// Starts a role's graceful shutdown; owns the role's actor.
type ShutdownCall = Box<dyn Fn()>;

/// Notifies a role of new seeds.
type SeedsCall = Box<dyn Fn(Vec<SocketAddr>)>;

/// A running role; dropping this ends it.
struct RunningRole {
    /// Starts the role's graceful shutdown.
    shutdown: ShutdownCall,
    /// Notifies the role of new seeds.
    set_seeds: SeedsCall,
}

/// Event loop of the process's stakker thread.
struct ProcessLoop {
    stakker: Stakker,
    poll: MioPoll,
    /// Set by a role whose graceful shutdown has completed.
    finished: Arc<AtomicBool>,
    /// Set once a signal has requested the process's shutdown.
    shutdown_requested: Arc<AtomicBool>,
}

impl ProcessLoop {
    /// Creates the loop and installs the signal handlers: SIGTERM and SIGINT
    /// request a graceful shutdown, and SIGHUP does not end the process.
    fn open() -> Result<Self> {
        let mut stakker = Stakker::new(Instant::now());
        let poll = MioPoll::new(&mut stakker, Poll::new()?, Events::with_capacity(1024), 10)?;
        let mut process = ProcessLoop {
            stakker,
            poll,
            finished: Arc::new(AtomicBool::new(false)),
            shutdown_requested: Arc::new(AtomicBool::new(false)),
        };
        process.watch_signals()?;
        Ok(process)
    }

    fn spawn<M, P>(&mut self, parts: HostParts<M, P>) -> RunningRole
    where
        M: RoleMachine + 'static,
        P: ActionHandler<M> + 'static,
    {
        let stakker = &mut self.stakker;
        let host: ActorOwn<RoleHost<M, P>> = actor!(
            stakker,
            <RoleHost<M, P>>::init(parts),
            ret_shutdown!(stakker)
        );
        let host = Rc::new(host);
        let seeds_host = host.clone();
        RunningRole {
            shutdown: Box::new(move || {
                call!([host], shut_down());
            }),
            set_seeds: Box::new(move |seeds| {
                call!([seeds_host], set_seeds(seeds));
            }),
        }
    }

    fn finished_fwd(&self) -> Fwd<()> {
        let finished = self.finished.clone();
        Fwd::new(move |()| finished.store(true, Ordering::Relaxed))
    }

    /// Runs until all roles have shut down, one after the other.
    fn run(mut self, roles: &[RunningRole], mut watch: Option<SettingsWatch>) -> Result<()> {
        // The actors live as long as `roles`.
        let mut remaining_roles = roles.iter();
        let mut stopping = false;
        let mut idle_pending = self.stakker.run(Instant::now(), false);
        while self.stakker.not_shutdown() {
            if !stopping && self.shutdown_requested.load(Ordering::Relaxed) {
                stopping = true;
                self.finished.store(true, Ordering::Relaxed);
            }
            if stopping && self.finished.swap(false, Ordering::Relaxed) {
                match remaining_roles.next() {
                    Some(role) => (role.shutdown)(),
                    None => return Ok(()),
                }
                idle_pending = self.stakker.run(Instant::now(), false);
                continue;
            }
            if let Some(seeds) = watch.as_mut().and_then(|watch| watch.check(Instant::now())) {
                for role in roles {
                    (role.set_seeds)(seeds.clone());
                }
                idle_pending = self.stakker.run(Instant::now(), false);
            }
            let wait = self
                .stakker
                .next_wait_max(Instant::now(), WAIT_MAX, idle_pending);
            let (activity, pending) = self.poll.poll(wait)?;
            idle_pending = self.stakker.run(Instant::now(), !activity) || pending;
        }
        match self.stakker.shutdown_reason() {
            Some(StopCause::Stopped) | None => Ok(()),
            Some(cause) => Err(anyhow!("a role stopped unexpectedly: {cause}")),
        }
    }

    fn watch_signals(&mut self) -> Result<()> {
        let shutdown_requested = self.shutdown_requested.clone();
        let waker = self.stakker.waker(|_, _| {});
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                for signal in signals.forever() {
                    if signal == SIGHUP {
                        // The loop also reads the settings at an interval,
                        // without a signal.
                        spdlog::info!("process: SIGHUP received; reading the settings again");
                        waker.wake();
                        continue;
                    }
                    shutdown_requested.store(true, Ordering::Relaxed);
                    waker.wake();
                    break;
                }
                // The waker must outlive the loop.
                loop {
                    std::thread::park();
                }
            })?;
        Ok(())
    }
}

fn bind_links(instance: &InstanceSettings) -> Result<TcpListener> {
    TcpListener::bind(instance.listen)
        .map_err(|err| anyhow!("can't listen on {}: {err}", instance.listen))
}

fn credentials(instance: &InstanceSettings, role: PeerRole, secret: &Bytes) -> LinkCredentials {
    LinkCredentials {
        identity: PeerIdentity {
            role,
            instance: instance.name.clone(),
            incarnation: incarnation(),
            zone: instance.zone.clone(),
        },
        secret: secret.clone(),
    }
}

/// Returns a number that increases with each start of the process.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Reads the cluster secret; it is empty on a trusted network.
fn read_secret(path: Option<&Path>) -> Result<Bytes> {
    let Some(path) = path else {
        return Ok(Bytes::new());
    };
    let content = fs::read(path)
        .with_context(|| format!("can't read the cluster secret {}", path.display()))?;
    let secret = content.trim_ascii();
    if secret.len() < SECRET_MIN {
        bail!(
            "the cluster secret {} has fewer than {SECRET_MIN} bytes",
            path.display()
        );
    }
    Ok(Bytes::copy_from_slice(secret))
}
