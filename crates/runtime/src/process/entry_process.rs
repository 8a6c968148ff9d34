//! The entry role in its process.

use std::time::Instant;

use anyhow::Result;
use mulberrywell_entry::{EntryAction, EntryConfig, EntryRole};
use mulberrywell_settings::{EntrySettings, InstanceSettings};

use super::{ProcessLoop, RunningRole};
use crate::http_gate::{bind_http, GateLimits, HttpGate};
use crate::link_table::LinkCredentials;
use crate::metric_output::MetricOutput;
use crate::role_host::{HostParts, RolePort};

/// Port of the entry role.
pub struct EntryPort {
    /// The callers' listener.
    pub gate: HttpGate,
}

impl RolePort<EntryRole> for EntryPort {
    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Answer(request, part) => self.gate.answer(request, part),
        }
    }
}

impl ProcessLoop {
    /// Starts the entry role.
    pub fn spawn_entry(
        &mut self,
        instance: &InstanceSettings,
        settings: &EntrySettings,
        credentials: LinkCredentials,
        metrics: MetricOutput,
    ) -> Result<RunningRole> {
        let listener = bind_http(settings.caller_listen)?;
        let limits = GateLimits {
            max_requests: settings.max_requests,
            max_body: settings.max_body,
        };
        let stall = settings.caller_stall;
        let config = EntryConfig {
            settings: settings.clone(),
            seeds: instance.seeds.clone(),
            incarnation: credentials.identity.incarnation,
            zone: instance.zone.clone(),
        };
        spdlog::info!("entry: listens for callers on {}", settings.caller_listen);
        let parts = HostParts {
            prefix: "entry",
            machine: EntryRole::new(config, Instant::now()),
            credentials,
            listener: None,
            http: Vec::new(),
            metric_listen: None,
            seeds_event: None,
            metrics,
            port: Box::new(move |events| EntryPort {
                gate: HttpGate::spawn_with_stall(listener, limits, stall, events, |event| event)
                    .expect("a bound listener can be served"),
            }),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}
