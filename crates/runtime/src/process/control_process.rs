//! The control role in its process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{anyhow, Context, Result};
use bytes::Bytes;
use mulberrywell_consensus::{MemberId, RecoveredState};
use mulberrywell_control::{ControlAction, ControlConfig, ControlEvent, ControlRole};
use mulberrywell_role::{ListenerId, RoleMachine};
use mulberrywell_settings::ControlSettings;

use super::{bind_links, ProcessLoop, ProcessParts, RunningRole};
use crate::caller_budget::CallerBudget;
use crate::caller_table::RequestUse;
use crate::event_sender::EventSender;
use crate::http_server::{bind_http, HttpServer, ServerLimits};
use crate::log_writer::{LogFolder, LogSink};
use crate::role_host::{ActionHandler, HostParts};

/// Listener of endpoints and of the serving configuration's operator.
const SERVING_LISTENER: ListenerId = 0;

/// Maximum number of operators' requests in flight.
const OPERATOR_REQUESTS_MAX: usize = 64;

/// Maximum length in bytes of the body of an operator's request.
const OPERATOR_BODY_MAX: usize = 8 * 1024 * 1024;

/// Delay before a data folder that can't be opened is tried again.
const FOLDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Action handler of the control role.
pub struct ControlHandler {
    /// HTTP server for operators, if the settings specify one.
    pub server: Option<HttpServer>,
    /// Storage of the replicated log.
    pub log: LogSink,
}

impl<M> ActionHandler<M> for ControlHandler
where
    M: RoleMachine<Event = ControlEvent, Action = ControlAction>,
{
    fn perform(&mut self, action: ControlAction) {
        let written = match action {
            ControlAction::Respond(request, part) => {
                if let Some(server) = &self.server {
                    server.send_response_part(request, part);
                }
                Ok(())
            }
            // The wrapper of the role has already encoded these actions.
            ControlAction::Reply(..)
            | ControlAction::Order(_)
            | ControlAction::AbandonOrder(_)
            | ControlAction::QueryInventory(_) => Ok(()),
            ControlAction::Persist(batch) => self.log.persist(batch),
            ControlAction::SaveSnapshot(image) => self.log.save_snapshot(image),
        };
        if let Err(err) = written {
            spdlog::critical!("control: {}", err);
            std::process::abort();
        }
    }

    fn preceding_event(&mut self) -> Option<ControlEvent> {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let clock_ms = u64::try_from(elapsed.as_millis()).ok()?;
        Some(ControlEvent::Clock(clock_ms))
    }
}

impl ProcessLoop {
    /// Starts the control role.
    pub(crate) fn spawn_control<M>(
        &mut self,
        process: ProcessParts<'_>,
        settings: &ControlSettings,
        metric_listen: Option<SocketAddr>,
        wrap: impl FnOnce(ControlRole) -> M,
    ) -> Result<RunningRole>
    where
        M: RoleMachine<Event = ControlEvent, Action = ControlAction> + 'static,
    {
        let instance = process.instance;
        let budget = process.budget.clone();
        let bind = |address| bind_http(address, &budget);
        let operators = settings.operator_listen.map(bind).transpose()?;
        let serving = settings.serving_listen.map(bind).transpose()?;
        let links = bind_links(instance)?;
        let operator_key = match &settings.operator_key_file {
            Some(file) => fs::read(file)
                .with_context(|| format!("can't read the operator key {}", file.display()))?,
            None => Vec::new(),
        };
        let config = ControlConfig {
            settings: settings.clone(),
            instance: instance.name.clone(),
            zone: instance.zone.clone(),
            advertise: instance.advertise,
            listen: instance.listen,
            seeds: instance.seeds.clone(),
            new_cluster_id: rand::random::<u64>().max(1),
            operator_key: Bytes::copy_from_slice(operator_key.trim_ascii()),
        };
        let (log, recovered) = match &settings.data_folder {
            Some(folder) => {
                let (log, recovered) = open_log_folder(folder);
                (Some(log), recovered)
            }
            None => (None, new_observer()),
        };
        let mut machine =
            ControlRole::open(config, recovered, Instant::now()).map_err(|findings| {
                let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
                anyhow!("the control role can't start: {}", texts.join("; "))
            })?;
        machine.set_status_memory(process.status_memory);
        spdlog::info!(
            "control: listening for operators on {:?} and for endpoints on {:?}",
            settings.operator_listen,
            settings.serving_listen
        );
        let parts = HostParts {
            budget: process.budget,
            prefix: "control",
            machine: wrap(machine),
            credentials: process.credentials,
            listener: Some(links),
            http: serving
                .map(|it| (SERVING_LISTENER, RequestUse::Decoded, it))
                .into_iter()
                .collect(),
            metric_listen: metric_listen.map(bind).transpose()?,
            seeds_event: Some(ControlEvent::Seeds),
            metrics: process.metrics,
            handler: Box::new(move |events| {
                open_control_handler(log, operators, &budget, &events).unwrap_or_else(|err| {
                    spdlog::critical!("control: {:#}", err);
                    std::process::abort();
                })
            }),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}

/// Opens the data folder. One that can't be used, such as a full disk, is retried
/// with a pause, as a restart of the process would change nothing.
fn open_log_folder(folder: &Path) -> (LogFolder, RecoveredState) {
    loop {
        let opened = fs::create_dir_all(folder)
            .with_context(|| format!("can't create {}", folder.display()))
            .and_then(|()| LogFolder::open(folder));
        match opened {
            Ok(opened) => return opened,
            Err(err) => spdlog::error!(
                "control: {:#}; retrying in {} ms",
                err,
                FOLDER_RETRY_DELAY.as_millis()
            ),
        }
        std::thread::sleep(FOLDER_RETRY_DELAY);
    }
}

/// Returns the state of an observer, which has a new identity at each start.
fn new_observer() -> RecoveredState {
    RecoveredState {
        member: rand::random::<MemberId>().max(1),
        ..RecoveredState::default()
    }
}

fn open_control_handler(
    log: Option<LogFolder>,
    operators: Option<TcpListener>,
    budget: &CallerBudget,
    events: &EventSender<ControlEvent>,
) -> Result<ControlHandler> {
    let limits = ServerLimits {
        max_requests: OPERATOR_REQUESTS_MAX,
        max_body: OPERATOR_BODY_MAX,
        request_use: RequestUse::Decoded,
    };
    let log = match log {
        Some(folder) => LogSink::Disk(folder.spawn(events.clone())?),
        None => LogSink::Memory(events.clone()),
    };
    let server = operators.map(|listener| {
        let (budget, events) = (budget.clone(), events.clone());
        HttpServer::spawn(listener, limits, budget, events, ControlEvent::Http)
    });
    let server = server.transpose()?;
    Ok(ControlHandler { server, log })
}
