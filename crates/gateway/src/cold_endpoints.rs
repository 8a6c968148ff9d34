//! Endpoints that are cold, as this gateway knows them.
//!
//! Algorithm: control tells the time for which an endpoint is cold still. Beside that, an
//! endpoint at which a request failed may have restarted, and is taken for cold until its
//! first report would be here. What is sent to an endpoint in that time needs a permit
//! of the leader, as with a limit.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::EndpointStart;
use mulberrywell_role::{ExchangeEnd, LogLevel, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::{ColdChange, EndpointId};
use mulberrywell_wire::serving::{EndpointStatus, ServingConfig};

use crate::call_codec::{CallCodec, ResponseTerms};
use crate::caller_responses::{millis, text};
use crate::endpoint_table::EndpointTable;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

impl EndpointTable {
    /// Applies the cold times of the configuration in force.
    pub fn set_cold_config(&mut self, config: &ServingConfig) {
        self.cold.set_config(config);
    }

    /// Returns whether an endpoint is taken for cold now.
    pub fn is_cold(&self, now: Instant, id: &EndpointId) -> bool {
        let status = self.registry.get(id);
        status.is_some_and(|status| self.cold.rate(now, status).is_some())
    }

    /// Takes an endpoint at which a request failed for cold for a time.
    fn suspect_cold(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        has_control: bool,
    ) -> Option<ColdChange> {
        let status = self.start_status(start)?;
        self.cold.suspect(now, &status, has_control)
    }

    /// Records the cold time that a response of an endpoint names.
    fn record_cold_response(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        left: Duration,
    ) -> Option<ColdChange> {
        let status = self.start_status(start)?;
        self.cold.record_response(now, &status, left)
    }

    fn start_status(&self, start: &EndpointStart) -> Option<EndpointStatus> {
        let (id, born_ms) = start;
        let status = self.registry.get(id);
        let status = status.filter(|it| it.born_ms == *born_ms && self.cold.covers(&it.service));
        status.cloned()
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Takes the endpoints of a zone whose evacuation has ended for cold until their next
    /// report.
    pub fn expect_cold_zone(&mut self, now: Instant, zone: &Bytes) {
        let table = &mut self.endpoints;
        // Control instances see to it that the report is newer than the evacuation's end.
        table
            .cold
            .expect_zone(now, zone, &table.registry, Duration::ZERO);
    }

    /// Counts a request that is forwarded to a cold endpoint.
    pub(crate) fn count_cold_request(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        actions: &mut Actions,
    ) {
        if self.endpoints.is_cold(now, endpoint) {
            let metric = RoleAction::Metric(MetricKind::Count, metrics::COLD_REQUESTS, 1);
            actions.push(metric);
        }
    }

    /// Reports the number of cold endpoints, where there can be some.
    pub(crate) fn report_cold_count(&self, now: Instant, actions: &mut Actions) {
        if let Some(count) = self.endpoints.cold.count(now) {
            let metric = RoleAction::Metric(MetricKind::Gauge, metrics::COLD_ENDPOINTS, count);
            actions.push(metric);
        }
    }

    /// Records what a status from control says of an endpoint's cold time.
    pub(crate) fn record_cold_status(
        &mut self,
        now: Instant,
        status: &EndpointStatus,
        actions: &mut Actions,
    ) {
        let change = self.endpoints.cold.record_status(now, status);
        let start = (status.id.clone(), status.born_ms);
        log_change(&start, change, "report", actions);
    }

    /// Takes the endpoint of a call whose exchange failed for cold for a time: it may have
    /// restarted.
    pub(crate) fn suspect_cold(
        &mut self,
        now: Instant,
        request: RequestId,
        end: ExchangeEnd,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let has_control = self.links.leader_link().is_some();
        let may_have_restarted = match end {
            ExchangeEnd::Complete => false,
            // A kept connection that the endpoint has closed ends like this as well.
            ExchangeEnd::NotSent(_) => !has_control,
            ExchangeEnd::Refused(_) | ExchangeEnd::Broken(_) => true,
        };
        if !may_have_restarted {
            return;
        }
        let start = (call.endpoint.clone(), call.endpoint_born_ms);
        let change = self.endpoints.suspect_cold(now, &start, has_control);
        log_change(&start, change, "failed_request", actions);
    }

    /// Records the cold time that the response to a call names, if it does.
    pub(crate) fn record_call_cold(
        &mut self,
        now: Instant,
        request: RequestId,
        terms: ResponseTerms,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request).filter(|_| !terms.misdirected) else {
            return;
        };
        let start = (call.endpoint.clone(), call.endpoint_born_ms);
        self.record_cold_response(now, &start, terms.cold_left, actions);
    }

    /// Records the cold time that a response names, if it does.
    pub(crate) fn record_cold_response(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        left: Option<Duration>,
        actions: &mut Actions,
    ) {
        let Some(left) = left else {
            return;
        };
        let change = self.endpoints.record_cold_response(now, start, left);
        log_change(start, change, "response", actions);
    }
}

fn log_change(
    start: &EndpointStart,
    change: Option<ColdChange>,
    source: &str,
    actions: &mut Actions,
) {
    let outcome = match change {
        None => return,
        Some(ColdChange::Warm) => "outcome=warm".to_owned(),
        Some(ColdChange::Cold(left)) => format!("cold_ms={} outcome=cold", millis(left)),
    };
    let (id, born_ms) = start;
    let line = format!(
        "endpoint id={} born={born_ms} source={source} {outcome}",
        text(id)
    );
    actions.push(RoleAction::Log(LogLevel::Info, line));
}
