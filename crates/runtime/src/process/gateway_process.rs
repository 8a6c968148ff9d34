//! The gateway role in its process.

use std::net::SocketAddr;
use std::time::Instant;

use anyhow::Result;
use mulberrywell_gateway::{
    CallCodec, GatewayConfig, GatewayEvent, GatewayRole, CALLER_LISTENER, READINESS_LISTENER,
};
use mulberrywell_settings::GatewaySettings;

use super::{ProcessLoop, ProcessParts, RunningRole};
use crate::caller_table::RequestUse;
use crate::http_server::bind_http;
use crate::role_host::{ActionHandler, HostParts};

/// Action handler of the gateway role, which has no actions of its own.
pub struct GatewayHandler;

impl<C: CallCodec> ActionHandler<GatewayRole<C>> for GatewayHandler {
    fn perform(&mut self, (): ()) {}
}

impl ProcessLoop {
    /// Starts the gateway role.
    pub(crate) fn spawn_gateway<C: CallCodec + 'static>(
        &mut self,
        process: ProcessParts<'_>,
        settings: &GatewaySettings,
        metric_listen: Option<SocketAddr>,
        codec: C,
    ) -> Result<RunningRole> {
        let instance = process.instance;
        let budget = process.budget.clone();
        let bind = |address| bind_http(address, &budget);
        let listeners = [
            (
                CALLER_LISTENER,
                RequestUse::Forwarded,
                settings.caller_listen,
            ),
            (
                READINESS_LISTENER,
                RequestUse::Answered,
                settings.ready_listen,
            ),
        ];
        let listeners = listeners
            .into_iter()
            .map(|(id, request_use, address)| Ok((id, request_use, bind(address)?)))
            .collect::<Result<Vec<_>>>()?;
        let config = GatewayConfig {
            zone: instance.zone.clone(),
            seeds: instance.seeds.clone(),
            retry_percent: settings.retry_percent,
            retry_extra: settings.retry_extra,
            rate_tolerance: settings.rate_tolerance,
            min_shutdown: settings.min_shutdown,
            shutdown_limit: settings.shutdown_limit,
        };
        spdlog::info!(
            "gateway: listening for callers on {}",
            settings.caller_listen
        );
        let mut machine = GatewayRole::new(config, codec, Instant::now());
        machine.set_status_memory(process.status_memory);
        let parts = HostParts {
            budget: process.budget,
            prefix: "gateway",
            machine,
            credentials: process.credentials,
            listener: None,
            http: listeners,
            metric_listen: metric_listen.map(bind).transpose()?,
            metrics: process.metrics,
            handler: Box::new(|_| GatewayHandler),
            seeds_event: Some(GatewayEvent::Seeds),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}
