//! Limits that endpoints name, and permits for requests to such endpoints and to cold
//! ones.
//!
//! Every instance records the limits that entries report, and tells them to all others.
//! Only the leader grants permits, and only while its lease excludes any other leader.

use std::time::Instant;

use mulberrywell_limit::MilliRate;
use mulberrywell_role::{LinkId, LogLevel, RoleAction};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::{LimitedEndpoint, PermitGrant, PermitRequest};
use mulberrywell_wire::FrameBody;

use crate::control_role::{send, Actions, ControlRole};
use crate::state_summary::text;

impl ControlRole {
    /// Records the limit that an endpoint named in a response.
    pub(crate) fn record_limit(&mut self, endpoint: &LimitedEndpoint, actions: &mut Actions) {
        if !self.serving.record_limit(endpoint) {
            return;
        }
        let limit = endpoint.limit.unwrap_or_default();
        let line = format!(
            "endpoint id={} born={} limit_milli={:?} revision={} outcome=limit_recorded",
            text(&endpoint.id),
            endpoint.born_ms,
            limit.milli_per_s,
            limit.revision
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
    }

    /// Answers an entry's request for permits.
    pub(crate) fn handle_permit_request(
        &mut self,
        now: Instant,
        link: LinkId,
        request: &PermitRequest,
        actions: &mut Actions,
    ) {
        if let Some(endpoint) = &request.endpoint {
            self.record_limit(endpoint, actions);
        }
        let grant = self.grant_permits(now, request).unwrap_or(PermitGrant {
            sequence: request.sequence,
            unavailable: true,
            ..PermitGrant::default()
        });
        send(link, FrameBody::PermitGrant(grant), actions);
    }

    /// Returns the permits granted for a request; `None` if this instance can't grant
    /// any.
    fn grant_permits(&mut self, now: Instant, request: &PermitRequest) -> Option<PermitGrant> {
        let endpoint = request.endpoint.as_ref()?;
        if !self.is_leader() || !self.has_lease(now) {
            return None;
        }
        let start = (endpoint.id.clone(), endpoint.born_ms);
        let recorded = self.serving.limit(&endpoint.id, endpoint.born_ms);
        let cold = self.serving.cold_rate(now, &start, request.cold);
        let limit = recorded.or(endpoint.limit);
        // Without the endpoint or its service's cold rate, nothing may be granted.
        if cold.is_none() && (request.cold || limit.is_none()) {
            return None;
        }
        let rate = lower_rate(limit.and_then(|limit| limit.milli_per_s), cold);
        let mut grant = PermitGrant {
            sequence: request.sequence,
            permits: request.permits,
            ..PermitGrant::default()
        };
        // The limit may have ended.
        if let Some(rate) = rate {
            let start = self.serving.permit_start(&start);
            let decision = self.permits.grant(now, &start, rate, request.permits)?;
            let retry_after_ms = decision.retry_after.as_millis();
            grant.permits = decision.granted;
            grant.retry_after_ms = u64::try_from(retry_after_ms).unwrap_or(u64::MAX);
        }
        Some(grant)
    }

    /// Acquires a permit for an order or query of this leader; returns whether the
    /// endpoint's limit allows it.
    pub(crate) fn acquire_order_permit(&mut self, now: Instant, endpoint: &EndpointId) -> bool {
        let Some(status) = self.serving.endpoints.get(endpoint) else {
            return true;
        };
        let start = (status.id.clone(), status.born_ms);
        let limit: Option<MilliRate> = status.limit.and_then(|limit| limit.milli_per_s);
        let rate = lower_rate(limit, self.serving.cold_rate(now, &start, false));
        let start = self.serving.permit_start(&start);
        rate.is_none_or(|rate| self.permits.grant_order(now, &start, rate))
    }
}

/// Returns the lower of an endpoint's limit and its cold rate.
fn lower_rate(limit: Option<MilliRate>, cold: Option<MilliRate>) -> Option<MilliRate> {
    match (limit, cold) {
        (Some(limit), Some(cold)) => Some(limit.min(cold)),
        (limit, cold) => limit.or(cold),
    }
}
