//! The gateway role in its process.

use std::net::SocketAddr;
use std::time::Instant;

use anyhow::Result;
use mulberrywell_gateway::{
    CallCodec, GatewayConfig, GatewayEvent, GatewayRole, CALLER_LISTENER, READINESS_LISTENER,
};
use mulberrywell_settings::{GatewaySettings, InstanceSettings};

use super::{ProcessLoop, RunningRole};
use crate::descriptor_limit::raise_descriptor_limit;
use crate::http_server::bind_http;
use crate::link_table::LinkCredentials;
use crate::metric_output::MetricOutput;
use crate::role_host::{ActionHandler, HostParts};

/// Divisor of an instance's memory that gives what may be held for callers and endpoints.
/// The rest is left for the process itself, spare capacity of buffers and responses that
/// are buffered until they are complete.
const BUFFER_DIVISOR: u64 = 2;

/// Action handler of the gateway role, which has no actions of its own.
pub struct GatewayHandler;

impl<C: CallCodec> ActionHandler<GatewayRole<C>> for GatewayHandler {
    fn perform(&mut self, (): ()) {}
}

impl ProcessLoop {
    /// Starts the gateway role.
    pub fn spawn_gateway<C: CallCodec + 'static>(
        &mut self,
        instance: &InstanceSettings,
        settings: &GatewaySettings,
        credentials: LinkCredentials,
        metrics: MetricOutput,
        metric_listen: Option<SocketAddr>,
        codec: C,
    ) -> Result<RunningRole> {
        raise_descriptor_limit();
        let listeners = vec![
            (CALLER_LISTENER, bind_http(settings.caller_listen)?),
            (READINESS_LISTENER, bind_http(settings.ready_listen)?),
        ];
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
        let parts = HostParts {
            memory_max: settings.memory_mb.map(buffer_max),
            prefix: "gateway",
            machine: GatewayRole::new(config, codec, Instant::now()),
            credentials,
            listener: None,
            http: listeners,
            metric_listen: metric_listen.map(bind_http).transpose()?,
            metrics,
            handler: Box::new(|_| GatewayHandler),
            seeds_event: Some(GatewayEvent::Seeds),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}

/// Returns the bytes that an instance with this memory may hold for callers and endpoints.
fn buffer_max(memory_mb: u64) -> usize {
    usize::try_from(memory_mb * 1024 * 1024 / BUFFER_DIVISOR).unwrap_or(usize::MAX)
}
