//! Calls that wait for an endpoint, and for how long.

use std::time::{Duration, Instant};

use mulberrywell_role::RequestId;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::CallRecord;
use crate::demand_tracker::MissingModel;
use crate::gateway_role::{Actions, GatewayRole};

/// Maximum time that a call waits for an endpoint of a plain service.
const SERVICE_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// Maximum time that a call waits for an engine with its model resident, in
/// multiples of the latency objective. The model keeps loading after the
/// refusal, so that a later retry is served.
const MODEL_WAIT_OBJECTIVES: f64 = 1.5;

/// Lower bound of that wait for routes with a short objective; loading a model
/// from the weight store takes two to four seconds.
const MODEL_WAIT_MIN: Duration = Duration::from_millis(2_500);

/// Lower bound of that wait for a stream that was begun: it can't go on elsewhere, and
/// its model may have to be loaded at an engine of its software version, which takes up
/// to 4.2 s alone and longer beside other loads.
const STREAM_WAIT_MIN: Duration = Duration::from_millis(6_000);

/// Divisor of the caller's timeout that bounds the wait, so that time for a
/// retry remains.
const MODEL_WAIT_DIVISOR: u32 = 2;

/// Longest time from a call's arrival for which it waits for a permit.
const PERMIT_WAIT_MAX: Duration = Duration::from_millis(100);

/// Interval at which waiting calls are retried.
pub(crate) const WAIT_INTERVAL: Duration = Duration::from_millis(40);

impl<C: CallCodec> GatewayRole<C> {
    /// Queues a call until an endpoint is available, or refuses it if none will be in
    /// time.
    pub(crate) fn await_endpoint(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if call.needs().software.is_some() && !self.endpoints.serves_version(now, call.needs()) {
            self.end_unserved(now, request, RefusalReason::VersionGone, actions);
            return;
        }
        let permit = self.endpoints.next_permit(now, call.needs());
        if permit.is_some_and(|at| at > call.started + PERMIT_WAIT_MAX) {
            self.request_model(now, request);
            self.end_unserved(now, request, RefusalReason::AtLimit, actions);
            return;
        }
        let has_waited = now.saturating_duration_since(call.started) >= endpoint_wait_limit(call);
        let is_evacuated = self.endpoints.is_evacuated(now, &call.service);
        if has_waited || call.attempts > 0 || is_evacuated || self.is_suspected(call) {
            self.end_unserved(now, request, RefusalReason::NoEndpoint, actions);
            return;
        }
        let opening = self.endpoints.next_opening(now, &call.service);
        let wait_end = call.started + endpoint_wait_limit(call);
        if call.terms.model.is_none() && opening.is_some_and(|at| at >= wait_end) {
            self.end_unserved(now, request, RefusalReason::NoEndpoint, actions);
            return;
        }
        self.request_model(now, request);
        self.calls.wait_for_endpoint(request);
    }

    /// Retries the calls that wait for an endpoint.
    pub(crate) fn retry_waiting_calls(&mut self, now: Instant, actions: &mut Actions) {
        for request in self.calls.waiting() {
            self.start_attempt(now, request, actions);
        }
    }

    /// Reports the model that a call waits for, if it needs one.
    fn request_model(&mut self, now: Instant, request: RequestId) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let Some(model) = call.terms.model.clone() else {
            return;
        };
        let missing = MissingModel {
            service: call.service.clone(),
            model,
            software: call.needs().software.cloned(),
        };
        self.demand.record_missing(now, missing);
    }
}

/// Returns the maximum time that a call waits for an endpoint.
fn endpoint_wait_limit(call: &CallRecord) -> Duration {
    if call.terms.model.is_none() {
        return SERVICE_WAIT_MAX;
    }
    let wait = call.route.objective.mul_f64(MODEL_WAIT_OBJECTIVES);
    let timeout = call.deadline.saturating_duration_since(call.started);
    let wait_min = match call.needs().software {
        Some(_) => STREAM_WAIT_MIN,
        None => MODEL_WAIT_MIN,
    };
    wait.max(wait_min).min(timeout / MODEL_WAIT_DIVISOR)
}
