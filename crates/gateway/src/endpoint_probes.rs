//! Tells endpoints that crashed from connections that broke.
//!
//! Algorithm: an endpoint that broke off a request is asked for its health. It has
//! crashed if it refuses the connection, or breaks this one off as well, twice; any
//! byte of a response shows that it is up. Without either in time nothing is known.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{EndpointStart, SuspectRequest};
use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest, LogLevel, RequestId,
    RoleAction,
};
use mulberrywell_wire::request::HeaderField;

use crate::call_codec::CallCodec;
use crate::caller_responses::text;
use crate::gateway_role::{Actions, GatewayRole};
use crate::prompt_guard::broken_request;

/// Time after which a probe shows nothing; a refusal within a region takes
/// milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Broken probes that show a crash: a kept connection may break by itself.
const BROKEN_PROBES: u32 = 2;

/// Health path of a service whose configuration states none.
const HEALTH_PATH_DEFAULT: &[u8] = b"/health";

/// A request for the health of an endpoint that broke off requests.
#[derive(Debug)]
struct EndpointProbe {
    exchange: ExchangeId,
    /// When the first request was broken off.
    broken_at: Instant,
    deadline: Instant,
    /// Probes that were broken off.
    broken_probes: u32,
    service: Bytes,
    requests: Vec<SuspectRequest>,
}

/// All probes under way.
#[derive(Debug, Default)]
pub(crate) struct EndpointProbes {
    probes: BTreeMap<EndpointStart, EndpointProbe>,
}

impl EndpointProbes {
    /// Returns whether a probe of an endpoint's start is under way.
    pub fn contains(&self, start: &EndpointStart) -> bool {
        self.probes.contains_key(start)
    }

    fn find(&self, exchange: ExchangeId) -> Option<EndpointStart> {
        let mut probes = self.probes.iter();
        let found = probes.find(|(_, probe)| probe.exchange == exchange);
        found.map(|(start, _)| start.clone())
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Records that an endpoint broke off a call, and probes the endpoint if the call's
    /// prompt may have crashed it.
    pub(crate) fn record_break(&mut self, now: Instant, id: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let Some(request) = broken_request(now, call) else {
            return;
        };
        let start = (call.endpoint.clone(), call.endpoint_born_ms);
        if let Some(probe) = self.probes.probes.get_mut(&start) {
            probe.requests.push(request);
            return;
        }
        let probe = EndpointProbe {
            exchange: 0,
            broken_at: now,
            deadline: now + PROBE_TIMEOUT,
            broken_probes: 0,
            service: call.service.clone(),
            requests: vec![request],
        };
        self.probes.probes.insert(start.clone(), probe);
        self.start_probe(now, &start, actions);
    }

    /// Sends a probe, or asks for a permit if the endpoint needs one. Without it,
    /// nothing is known of the endpoint.
    fn start_probe(&mut self, now: Instant, start: &EndpointStart, actions: &mut Actions) {
        if !self.endpoints.needs_permit(now, &start.0) {
            self.send_probe(start, actions);
        } else if !self.await_probe_permit(now, start) {
            self.finish_probe(now, start, false, actions);
        }
    }

    /// Sends a probe; if the endpoint needs a permit, the caller has one.
    pub(crate) fn send_probe(&mut self, start: &EndpointStart, actions: &mut Actions) {
        if self.endpoints.is_in_evacuated_zone(&start.0) {
            self.finish_probe(self.last_handled, start, false, actions);
            return;
        }
        let Some(probe) = self.probes.probes.get_mut(start) else {
            return;
        };
        let usage = self.endpoints.usage_mut(&start.0);
        let Some(address) = usage.and_then(|usage| usage.address) else {
            self.probes.probes.remove(start);
            return;
        };
        let service = self.index.service(&probe.service);
        let path = service.map(|service| service.health_path.clone());
        let path = path.filter(|path| !path.is_empty());
        probe.exchange = self.calls.new_exchange();
        let host = HeaderField {
            name: Bytes::from_static(b"Host"),
            value: Bytes::from(address.to_string()),
        };
        actions.push(RoleAction::Exchange(ExchangeCommand::Start {
            exchange: probe.exchange,
            address,
            http: HttpRequest {
                method: Bytes::from_static(b"GET"),
                path: path.unwrap_or(Bytes::from_static(HEALTH_PATH_DEFAULT)),
                headers: vec![host],
                body: Bytes::new(),
            },
            echoed_field: None,
            connect_timeout: PROBE_TIMEOUT,
            reader: None,
        }));
    }

    /// Handles an event of a probe's exchange; returns whether it was one.
    pub(crate) fn handle_probe(
        &mut self,
        now: Instant,
        event: &ExchangeEvent,
        actions: &mut Actions,
    ) -> bool {
        let exchange = match event {
            ExchangeEvent::Head { exchange, .. }
            | ExchangeEvent::Data { exchange, .. }
            | ExchangeEvent::Full { exchange }
            | ExchangeEvent::End { exchange, .. } => *exchange,
        };
        let Some(start) = self.probes.find(exchange) else {
            return false;
        };
        match event {
            ExchangeEvent::End { end, .. } => match end {
                ExchangeEnd::Refused(_) => self.finish_probe(now, &start, true, actions),
                ExchangeEnd::Broken(_) => self.handle_broken_probe(now, &start, actions),
                ExchangeEnd::Complete | ExchangeEnd::NotSent(_) => {
                    self.finish_probe(now, &start, false, actions);
                }
            },
            ExchangeEvent::Head { .. }
            | ExchangeEvent::Data { .. }
            | ExchangeEvent::Full { .. } => {
                if let ExchangeEvent::Head {
                    status, headers, ..
                } = event
                {
                    let terms = self.codec.read_response_head(*status, headers);
                    self.record_probed_limit(&start, terms, actions);
                    self.record_cold_response(now, &start, terms.cold_left, actions);
                }
                actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
                self.finish_probe(now, &start, false, actions);
            }
        }
        true
    }

    fn handle_broken_probe(&mut self, now: Instant, start: &EndpointStart, actions: &mut Actions) {
        let Some(probe) = self.probes.probes.get_mut(start) else {
            return;
        };
        probe.broken_probes += 1;
        if probe.broken_probes >= BROKEN_PROBES {
            self.finish_probe(now, start, true, actions);
        } else {
            self.start_probe(now, start, actions);
        }
    }

    /// Ends a probe; the requests are reported if the endpoint has crashed.
    pub(crate) fn finish_probe(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        has_crashed: bool,
        actions: &mut Actions,
    ) {
        let Some(probe) = self.probes.probes.remove(start) else {
            return;
        };
        let (endpoint, born_ms) = start;
        let line = format!(
            "probe endpoint={} born={born_ms} requests={} age_ms={} outcome={}",
            text(endpoint),
            probe.requests.len(),
            now.saturating_duration_since(probe.broken_at).as_millis(),
            if has_crashed { "crashed" } else { "up" },
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if has_crashed {
            let requests = probe.requests.into_iter();
            let crashes = requests.map(|request| (request, probe.broken_at));
            self.prompts
                .record_crashes(now, endpoint, *born_ms, crashes);
        }
    }

    /// Cancels the probes that have shown nothing in time.
    pub(crate) fn expire_probes(&mut self, now: Instant, actions: &mut Actions) {
        let probes = self.probes.probes.iter();
        let expired = probes.filter(|(_, probe)| probe.deadline <= now);
        let expired: Vec<(EndpointStart, ExchangeId)> = expired
            .map(|(start, probe)| (start.clone(), probe.exchange))
            .collect();
        for (start, exchange) in expired {
            actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
            self.finish_probe(now, &start, false, actions);
        }
    }
}
