//! Limits that endpoints name in their responses, and permits for requests to them.
//!
//! Algorithm: everything that would reach an endpoint with a limit, or a cold one
//! (`cold_endpoints`), whether a first
//! attempt, a retry, a resumption or a probe, first needs a permit of the control
//! leader. One request for permits at a time is open for each endpoint; it covers all
//! calls that wait for it. Calls that get none go to other endpoints or are refused, and
//! the endpoint is passed over until the time that the leader names.
//!
//! A limit ends with a response that doesn't name it to a request that was forwarded
//! under the limit; any other response may be older than the limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use mulberrywell_limit::EndpointStart;
use mulberrywell_role::{LinkCommand, LogLevel, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::{EndpointLimit, LimitedEndpoint, PermitGrant, PermitRequest};
use mulberrywell_wire::FrameBody;

use crate::call_codec::{CallCodec, ResponseTerms};
use crate::call_table::CallStage;
use crate::caller_responses::{millis, text};
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Time without an answer of the leader after which permits count as unavailable;
/// several times the round trip to control.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time from the request within which a permit is used; later requests would add to
/// those of permits that are granted then.
const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// Time for which an endpoint is passed over when the leader doesn't answer.
pub(crate) const PERMIT_UNAVAILABLE_RETRY: Duration = Duration::from_millis(300);

/// Shortest time for which an endpoint is passed over without a permit.
pub(crate) const PERMIT_RETRY_MIN: Duration = Duration::from_millis(20);

/// What waits for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PermitWaiter {
    Call(RequestId),
    /// The probe of the endpoint.
    Probe,
}

/// A request for permits that the leader has not answered.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    sequence: u64,
    sent: Instant,
    permits: u32,
}

/// Permits of one start of an endpoint, and what waits for them.
#[derive(Debug, Default)]
struct PermitQueue {
    waiting: VecDeque<PermitWaiter>,
    open: Option<OpenRequest>,
    /// Permits that nothing waited for any more, and the end of their lifetime.
    spare: Option<(u32, Instant)>,
}

impl PermitQueue {
    fn acquire_spare(&mut self, now: Instant) -> bool {
        let Some((permits, until)) = self.spare.filter(|(_, until)| *until > now) else {
            return false;
        };
        self.spare = (permits > 1).then_some((permits - 1, until));
        true
    }

    fn is_idle(&self, now: Instant) -> bool {
        let has_spare = self.spare.is_some_and(|(_, until)| until > now);
        self.waiting.is_empty() && self.open.is_none() && !has_spare
    }
}

/// Permits of all endpoints with a limit.
#[derive(Debug, Default)]
pub(crate) struct EndpointPermits {
    queues: BTreeMap<EndpointStart, PermitQueue>,
    last_sequence: u64,
}

impl EndpointPermits {
    fn acquire_spare(&mut self, now: Instant, start: &EndpointStart) -> bool {
        let queue = self.queues.get_mut(start);
        queue.is_some_and(|queue| queue.acquire_spare(now))
    }

    fn push(&mut self, start: &EndpointStart, waiter: PermitWaiter) {
        let queue = self.queues.entry(start.clone()).or_default();
        queue.waiting.push_back(waiter);
    }

    /// Returns the request for permits to be sent for an endpoint, if one is due.
    fn open_request(&mut self, now: Instant, start: &EndpointStart) -> Option<OpenRequest> {
        let queue = self.queues.get_mut(start)?;
        if queue.open.is_some() || queue.waiting.is_empty() {
            return None;
        }
        self.last_sequence += 1;
        let request = OpenRequest {
            sequence: self.last_sequence,
            sent: now,
            permits: u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX),
        };
        queue.open = Some(request);
        Some(request)
    }

    /// Ends the open request with a sequence; none if it has timed out.
    fn close_request(&mut self, sequence: u64) -> Option<(EndpointStart, OpenRequest)> {
        let mut queues = self.queues.iter_mut();
        let (start, queue) = queues.find(|(_, queue)| {
            let open = queue.open.as_ref();
            open.is_some_and(|open| open.sequence == sequence)
        })?;
        Some((start.clone(), queue.open.take()?))
    }

    fn pop_waiting(&mut self, start: &EndpointStart) -> Option<PermitWaiter> {
        self.queues.get_mut(start)?.waiting.pop_front()
    }

    fn take_waiting(&mut self, start: &EndpointStart) -> VecDeque<PermitWaiter> {
        let queue = self.queues.get_mut(start);
        queue.map_or_else(VecDeque::new, |queue| std::mem::take(&mut queue.waiting))
    }

    fn keep_spare(&mut self, start: &EndpointStart, permits: u32, until: Instant) {
        if let Some(queue) = self.queues.get_mut(start) {
            queue.spare = Some((permits, until));
        }
    }

    /// Returns the endpoints whose open request has timed out.
    fn overdue(&self, now: Instant) -> Vec<EndpointStart> {
        let overdue = self.queues.iter().filter(|(_, queue)| {
            let open = queue.open.as_ref();
            open.is_some_and(|open| open.sent + PERMIT_TIMEOUT <= now)
        });
        overdue.map(|(start, _)| start.clone()).collect()
    }

    fn remove_idle(&mut self, now: Instant) {
        self.queues.retain(|_, queue| !queue.is_idle(now));
    }

    /// Returns when the first open request times out.
    pub fn deadline(&self) -> Option<Instant> {
        let open = self.queues.values().filter_map(|queue| queue.open.as_ref());
        open.map(|open| open.sent + PERMIT_TIMEOUT).min()
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Records the limit that a response names, or that it no longer does.
    pub(crate) fn record_limit(
        &mut self,
        request: RequestId,
        terms: ResponseTerms,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let start = (call.endpoint.clone(), call.endpoint_born_ms);
        let ends_limit = call.is_limited && !terms.misdirected;
        if terms.rate_limit.is_some() || ends_limit {
            self.update_limit(&start, terms, actions);
        }
    }

    /// Records the limit that a probe's response names.
    pub(crate) fn record_probed_limit(
        &mut self,
        start: &EndpointStart,
        terms: ResponseTerms,
        actions: &mut Actions,
    ) {
        if terms.rate_limit.is_some() {
            self.update_limit(start, terms, actions);
        }
    }

    fn update_limit(&mut self, start: &EndpointStart, terms: ResponseTerms, actions: &mut Actions) {
        let (id, born_ms) = start;
        let known = self.endpoints.limit(id).unwrap_or_default();
        if known.milli_per_s == terms.rate_limit {
            return;
        }
        let endpoint = LimitedEndpoint {
            id: id.clone(),
            born_ms: *born_ms,
            limit: Some(EndpointLimit {
                milli_per_s: terms.rate_limit,
                revision: known.revision + 1,
            }),
        };
        if !self.endpoints.record_limit(&endpoint) {
            return;
        }
        let line = format!(
            "endpoint id={} born={born_ms} limit_milli={:?} before={:?} revision={} \
             outcome=limit_changed",
            text(id),
            terms.rate_limit,
            known.milli_per_s,
            known.revision + 1,
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        self.demand.record_limit(endpoint);
    }

    /// Passes over an endpoint for a time.
    pub(crate) fn deny_endpoint(&mut self, now: Instant, endpoint: &EndpointId, time: Duration) {
        if let Some(usage) = self.endpoints.usage_mut(endpoint) {
            usage.record_denied(now + time.max(PERMIT_RETRY_MIN));
        }
    }

    /// Forwards a call to an endpoint with a limit as soon as it has a permit.
    pub(crate) fn await_permit(
        &mut self,
        now: Instant,
        request: RequestId,
        endpoint: &EndpointId,
        left: Duration,
        actions: &mut Actions,
    ) {
        let Some(usage) = self.endpoints.usage(endpoint) else {
            return;
        };
        let start = (endpoint.clone(), usage.born_ms());
        if self.permits.acquire_spare(now, &start) {
            self.forward_call(now, request, endpoint, left, actions);
            return;
        }
        self.calls.park(request);
        self.permits.push(&start, PermitWaiter::Call(request));
        self.request_permits(now, &start);
    }

    /// Asks for a permit for a probe; returns whether that is possible.
    pub(crate) fn await_probe_permit(&mut self, now: Instant, start: &EndpointStart) -> bool {
        if self.links.leader_link().is_none() {
            return false;
        }
        self.permits.push(start, PermitWaiter::Probe);
        self.request_permits(now, start);
        true
    }

    fn request_permits(&mut self, now: Instant, start: &EndpointStart) {
        let Some(link) = self.links.leader_link() else {
            return;
        };
        let Some(request) = self.permits.open_request(now, start) else {
            return;
        };
        let (id, born_ms) = start;
        let body = FrameBody::PermitRequest(PermitRequest {
            sequence: request.sequence,
            endpoint: Some(LimitedEndpoint {
                id: id.clone(),
                born_ms: *born_ms,
                limit: self.endpoints.limit(id),
            }),
            permits: request.permits,
            cold: self.endpoints.is_cold(now, id),
        });
        self.commands.push(LinkCommand::Send { link, body });
    }

    /// Handles the leader's answer to a request for permits.
    pub(crate) fn handle_permit_grant(
        &mut self,
        now: Instant,
        grant: &PermitGrant,
        actions: &mut Actions,
    ) {
        let Some((start, request)) = self.permits.close_request(grant.sequence) else {
            return;
        };
        let expires = request.sent + PERMIT_LIFETIME;
        let mut permits = if expires > now { grant.permits } else { 0 };
        while permits > 0 {
            let Some(waiter) = self.permits.pop_waiting(&start) else {
                break;
            };
            if self.use_permit(now, &start, waiter, actions) {
                permits -= 1;
            }
        }
        if permits > 0 {
            self.permits.keep_spare(&start, permits, expires);
        }
        let is_covered = !grant.unavailable && grant.permits >= request.permits;
        if is_covered && expires > now {
            self.request_permits(now, &start);
            return;
        }
        let retry_after = if grant.unavailable {
            PERMIT_UNAVAILABLE_RETRY
        } else {
            Duration::from_millis(grant.retry_after_ms)
        };
        self.deny_waiting(now, &start, request, retry_after, actions);
    }

    /// Uses a permit; returns whether a request was sent.
    fn use_permit(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        waiter: PermitWaiter,
        actions: &mut Actions,
    ) -> bool {
        let PermitWaiter::Call(request) = waiter else {
            let is_probed = self.probes.contains(start);
            if is_probed {
                self.send_probe(start, actions);
            }
            return is_probed;
        };
        if !self.awaits_permit(request) {
            return false;
        }
        let Some(left) = self.check_attempt(now, request, actions) else {
            return false;
        };
        if !self.endpoints.accepts_requests(now, start) {
            self.start_attempt(now, request, actions);
            return false;
        }
        let call = self.calls.get(request);
        if !call.is_some_and(|call| self.fits_shutdown(now, call, Some(&start.0))) {
            self.leave_call(now, request, actions);
            return false;
        }
        self.forward_call(now, request, &start.0, left, actions);
        true
    }

    /// Returns whether a call that waited for a permit still does.
    fn awaits_permit(&self, request: RequestId) -> bool {
        let call = self.calls.get(request);
        call.is_some_and(|call| call.stage == CallStage::Waiting)
    }

    /// Passes over an endpoint for a time; what waits for its permits goes elsewhere.
    fn deny_waiting(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        request: OpenRequest,
        retry_after: Duration,
        actions: &mut Actions,
    ) {
        let waiting = self.permits.take_waiting(start);
        let line = format!(
            "permits endpoint={} asked={} waiting={} age_ms={} retry_ms={} outcome=denied",
            text(&start.0),
            request.permits,
            waiting.len(),
            millis(now.saturating_duration_since(request.sent)),
            millis(retry_after),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        let denied = waiting.len() as u64;
        let metric = RoleAction::Metric(MetricKind::Count, metrics::PERMITS_DENIED, denied);
        actions.push(metric);
        self.deny_endpoint(now, &start.0, retry_after);
        for waiter in waiting {
            match waiter {
                PermitWaiter::Call(call) if self.awaits_permit(call) => {
                    self.start_attempt(now, call, actions);
                }
                PermitWaiter::Call(_) => {}
                PermitWaiter::Probe => self.finish_probe(now, start, false, actions),
            }
        }
    }

    /// Handles requests for permits that the leader has not answered in time.
    pub(crate) fn expire_permits(&mut self, now: Instant, actions: &mut Actions) {
        for start in self.permits.overdue(now) {
            let queue = self.permits.queues.get_mut(&start);
            if let Some(request) = queue.and_then(|queue| queue.open.take()) {
                self.deny_waiting(now, &start, request, PERMIT_UNAVAILABLE_RETRY, actions);
            }
        }
        self.permits.remove_idle(now);
    }
}
