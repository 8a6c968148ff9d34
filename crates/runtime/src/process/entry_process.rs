//! The entry role in its process.

use std::time::Instant;

use anyhow::Result;
use mulberrywell_entry::{EntryAction, EntryConfig, EntryRole};
use mulberrywell_settings::EntrySettings;

use super::{ProcessLoop, ProcessParts, RunningRole};
use crate::caller_table::RequestUse;
use crate::http_server::{bind_http, HttpServer, ServerLimits};
use crate::role_host::{ActionHandler, HostParts};

/// Action handler of the entry role.
pub struct EntryHandler {
    /// HTTP server for callers.
    pub server: HttpServer,
}

impl ActionHandler<EntryRole> for EntryHandler {
    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Respond(request, part) => self.server.send_response_part(request, part),
            EntryAction::RefuseUnread => self.server.refuse_unread(),
        }
    }
}

impl ProcessLoop {
    /// Starts the entry role.
    pub(crate) fn spawn_entry(
        &mut self,
        process: ProcessParts<'_>,
        settings: &EntrySettings,
    ) -> Result<RunningRole> {
        let instance = process.instance;
        let budget = process.budget.clone();
        let listener = bind_http(settings.caller_listen, &budget)?;
        let limits = ServerLimits {
            max_requests: settings.max_requests,
            max_body: settings.max_body,
            request_use: RequestUse::Forwarded,
        };
        let stall_timeout = settings.caller_stall_timeout;
        let config = EntryConfig {
            settings: settings.clone(),
            seeds: instance.seeds.clone(),
            incarnation: process.credentials.identity.incarnation,
            zone: instance.zone.clone(),
        };
        spdlog::info!("entry: listening for callers on {}", settings.caller_listen);
        let parts = HostParts {
            budget: process.budget,
            prefix: "entry",
            machine: EntryRole::new(config, Instant::now()),
            credentials: process.credentials,
            listener: None,
            http: Vec::new(),
            metric_listen: None,
            seeds_event: None,
            metrics: process.metrics,
            handler: Box::new(move |events| EntryHandler {
                server: HttpServer::spawn_with_stall_timeout(
                    listener,
                    limits,
                    stall_timeout,
                    budget,
                    events,
                    |event| event,
                )
                .expect("a bound listener can be served"),
            }),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}
