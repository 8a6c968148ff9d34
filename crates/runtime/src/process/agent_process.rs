//! The agent role in its process.

use std::time::Instant;

use anyhow::Result;
use mulberrywell_agent::{AgentAction, AgentConfig, AgentRole};
use mulberrywell_settings::{AgentSettings, EndpointKind};

use super::{bind_links, ProcessLoop, RunningRole};
use crate::caller_budget::CallerBudget;
use crate::engine_client::{EndpointClient, HttpEndpoint};
use crate::link_table::LinkCredentials;
use crate::metric_output::MetricOutput;
use crate::role_host::{ActionHandler, HostParts};

/// Action handler of the agent role.
pub struct AgentHandler<C: EndpointClient> {
    /// Client of the endpoint.
    pub client: C,
}

impl<C: EndpointClient> ActionHandler<AgentRole> for AgentHandler<C> {
    fn perform(&mut self, action: AgentAction) {
        match action {
            AgentAction::Run { run, request } => self.client.run(run, request),
            AgentAction::Cancel { run } => self.client.cancel(run),
            AgentAction::ReadState => self.client.read_state(),
            AgentAction::Order(order) => self.client.send_order(order),
        }
    }
}

impl ProcessLoop {
    /// Starts the agent role.
    pub fn spawn_agent(
        &mut self,
        settings: &AgentSettings,
        credentials: LinkCredentials,
        metrics: MetricOutput,
    ) -> Result<RunningRole> {
        let links = bind_links(&settings.instance)?;
        let incarnation = credentials.identity.incarnation;
        let endpoint = settings.endpoint.clone();
        let config = AgentConfig {
            settings: endpoint.clone(),
            seeds: settings.instance.seeds.clone(),
            advertise: settings.instance.advertise,
            incarnation,
            zone: settings.instance.zone.clone(),
            region: settings.instance.region.clone(),
        };
        let parts = HostParts {
            // An agent has no callers; its links are those of other processes.
            budget: CallerBudget::default(),
            prefix: "agent",
            machine: AgentRole::new(config, Instant::now()),
            credentials,
            listener: Some(links),
            http: Vec::new(),
            metric_listen: None,
            seeds_event: None,
            metrics,
            handler: Box::new(move |events| AgentHandler {
                client: HttpEndpoint::open(
                    endpoint.address,
                    endpoint.kind == EndpointKind::Engine,
                    incarnation,
                    events,
                ),
            }),
            finished: self.finished_fwd(),
        };
        Ok(self.spawn(parts))
    }
}
