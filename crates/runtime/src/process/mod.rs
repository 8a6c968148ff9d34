//! Runs a process: its roles, its event loop and its graceful shutdown.

mod agent_process;
mod control_process;
mod entry_process;

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use mulberrywell_role::RoleMachine;
use mulberrywell_settings::{AgentSettings, InstanceSettings, ServeSettings};
use mulberrywell_wire::{PeerIdentity, PeerRole};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{actor, call, ret_shutdown, ActorOwn, Fwd, Stakker, StopCause};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::MioPoll;

use crate::link_table::LinkCredentials;
use crate::metric_output::MetricOutput;
use crate::role_host::{HostParts, RoleHost, RolePort};

/// Longest wait of the event loop.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Shortest cluster secret in bytes.
const SECRET_MIN: usize = 16;

/// Runs `mulberrywell serve` until it is told to end.
///
/// # Errors
/// Fails when an address, file or folder can't be used.
pub fn serve(settings: &ServeSettings) -> Result<()> {
    let mut process = ProcessLoop::open()?;
    let secret = read_secret(&settings.instance.secret_file)?;
    let metrics = MetricOutput::open(&settings.metrics)?;
    let control = match &settings.control {
        Some(control) => {
            let credentials = credentials(&settings.instance, PeerRole::Control, &secret);
            let metrics = metrics.clone();
            Some(process.spawn_control(&settings.instance, control, credentials, metrics)?)
        }
        None => None,
    };
    let entry = match &settings.entry {
        Some(entry) => {
            let credentials = credentials(&settings.instance, PeerRole::Entry, &secret);
            Some(process.spawn_entry(&settings.instance, entry, credentials, metrics)?)
        }
        None => None,
    };
    // Callers are served to their end before the control role stops.
    let stages = [
        entry.map(|role| role.shutdown),
        control.map(|role| role.shutdown),
    ];
    let stages: Vec<ShutdownCall> = stages.into_iter().flatten().collect();
    process.run(&stages)
}

/// Runs `mulberrywell-agent` until it is told to end.
///
/// # Errors
/// Fails when an address or file can't be used.
pub fn serve_agent(settings: &AgentSettings) -> Result<()> {
    let mut process = ProcessLoop::open()?;
    let secret = read_secret(&settings.instance.secret_file)?;
    let metrics = MetricOutput::open(&settings.metrics)?;
    let credentials = credentials(&settings.instance, PeerRole::Agent, &secret);
    let role = process.spawn_agent(settings, credentials, metrics)?;
    process.run(&[role.shutdown])
}

/// Begins a role's graceful shutdown; owns its actor.
type ShutdownCall = Box<dyn Fn()>;

/// A role that runs, for as long as this is kept.
struct RunningRole {
    /// Begins the role's graceful shutdown.
    shutdown: ShutdownCall,
}

/// The process's stakker thread.
struct ProcessLoop {
    stakker: Stakker,
    poll: MioPoll,
    /// Set by a role whose graceful shutdown has ended.
    finished: Arc<AtomicBool>,
}

impl ProcessLoop {
    fn open() -> Result<Self> {
        let mut stakker = Stakker::new(Instant::now());
        let poll = MioPoll::new(&mut stakker, Poll::new()?, Events::with_capacity(1024), 10)?;
        Ok(ProcessLoop {
            stakker,
            poll,
            finished: Arc::new(AtomicBool::new(false)),
        })
    }

    fn spawn<M, P>(&mut self, parts: HostParts<M, P>) -> RunningRole
    where
        M: RoleMachine + 'static,
        P: RolePort<M> + 'static,
    {
        let stakker = &mut self.stakker;
        let host: ActorOwn<RoleHost<M, P>> = actor!(
            stakker,
            <RoleHost<M, P>>::init(parts),
            ret_shutdown!(stakker)
        );
        let shutdown = Box::new(move || {
            call!([host], shut_down());
        });
        RunningRole { shutdown }
    }

    fn finished_fwd(&self) -> Fwd<()> {
        let finished = self.finished.clone();
        Fwd::new(move |()| finished.store(true, Ordering::Relaxed))
    }

    /// Runs until each stage in turn was shut down.
    fn run(mut self, stages: &[ShutdownCall]) -> Result<()> {
        let asked = Arc::new(AtomicBool::new(false));
        self.watch_signals(asked.clone())?;
        // The actors live as long as `stages`.
        let mut left = stages.iter();
        let mut stopping = false;
        let mut idle_pending = self.stakker.run(Instant::now(), false);
        while self.stakker.not_shutdown() {
            if !stopping && asked.load(Ordering::Relaxed) {
                stopping = true;
                self.finished.store(true, Ordering::Relaxed);
            }
            if stopping && self.finished.swap(false, Ordering::Relaxed) {
                match left.next() {
                    Some(shutdown) => shutdown(),
                    None => return Ok(()),
                }
                idle_pending = self.stakker.run(Instant::now(), false);
                continue;
            }
            let wait = self
                .stakker
                .next_wait_max(Instant::now(), WAIT_MAX, idle_pending);
            let (activity, pending) = self.poll.poll(wait)?;
            idle_pending = self.stakker.run(Instant::now(), !activity) || pending;
        }
        match self.stakker.shutdown_reason() {
            Some(StopCause::Stopped) | None => Ok(()),
            Some(cause) => Err(anyhow!("a role ended: {cause}")),
        }
    }

    fn watch_signals(&mut self, asked: Arc<AtomicBool>) -> Result<()> {
        let waker = self.stakker.waker(|_, _| {});
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                if signals.forever().next().is_some() {
                    asked.store(true, Ordering::Relaxed);
                    waker.wake();
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

/// Returns a number that rises from start to start of a process.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn read_secret(path: &Path) -> Result<Bytes> {
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
