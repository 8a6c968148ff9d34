//! Streams at endpoints that have started again with another software version.
//!
//! An endpoint that starts again under its id, at its address, gets what this instance
//! forwards to the former start until control tells of the new one. Whatever still runs
//! then may run at either. A run that continues a stream and has brought no event is
//! cancelled, as its events may not fit. The origin of a stream that has brought events is
//! reported with both versions, so that nobody resumes it.

use std::time::Instant;

use mulberrywell_role::{ExchangeCommand, ExchangeEnd, LogLevel, RequestId, RoleAction};
use mulberrywell_serving::{EndpointId, ServiceVersion};

use crate::call_codec::CallCodec;
use crate::call_table::{CallStage, StreamVersion};
use crate::caller_responses::text;
use crate::gateway_role::{Actions, GatewayRole};
use crate::stream_origins::{stream_expiry, stream_key};

impl<C: CallCodec> GatewayRole<C> {
    /// Handles that an endpoint has another version than its start at `born_ms`.
    pub(crate) fn handle_version_change(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        born_ms: u64,
        actions: &mut Actions,
    ) {
        for request in self.calls.requests() {
            let Some(call) = self.calls.get_mut(request) else {
                continue;
            };
            let CallStage::Running(exchange) = call.stage else {
                continue;
            };
            if call.endpoint != *endpoint || call.endpoint_born_ms != born_ms {
                continue;
            }
            call.is_version_unsure = true;
            if call.events.has_event() {
                self.dispute_stream(now, request, actions);
            } else if matches!(call.version_bound, StreamVersion::Bound(_)) {
                self.calls.end_exchange(exchange);
                actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
                let end = ExchangeEnd::Broken("the endpoint has another software version");
                self.handle_end(now, request, end, actions);
            }
        }
    }

    /// Records that a call's stream may have events of either version of its endpoint.
    pub(crate) fn dispute_stream(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if call.version_bound == StreamVersion::Disputed {
            return;
        }
        call.version_bound = StreamVersion::Disputed;
        let line = format!(
            "stream id={} endpoint={} software={} outcome=disputed",
            text(&call.terms.id),
            text(&call.endpoint),
            text(&call.endpoint_software),
        );
        actions.push(RoleAction::Log(LogLevel::Warn, line));
        let id = call.terms.resumes.as_ref().unwrap_or(&call.terms.id);
        if id.is_empty() {
            return;
        }
        let (stream, expires) = (stream_key(id), stream_expiry(call));
        let later = self.endpoints.software(&call.endpoint).cloned();
        for software in [Some(call.endpoint_software.clone()), later] {
            let origin = ServiceVersion {
                service: call.service.clone(),
                software: software.unwrap_or_default(),
            };
            self.streams.record_disputed(now, stream, origin, expires);
        }
    }
}
