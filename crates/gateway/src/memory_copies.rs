//! Copies of the memory of running streams, from which other engines go on with them.
//!
//! Algorithm: the engine first copies while the run goes on, which reserves memory and a
//! slot at the other engine; a run whose copy is refused has lost nothing. Then the run
//! stops and the rest is copied. The stream goes on from the copy once both the response
//! and the end of the run are here. A run that has stopped without a copy goes on where it
//! was, as its engine keeps the memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest, LogLevel, RequestId,
    RoleAction,
};
use mulberrywell_serving::EndpointId;

use crate::call_codec::{CallCodec, CopyResponse, CopyTerms, MemoryCopy};
use crate::call_table::{CallRecord, CallStage, StreamVersion};
use crate::caller_responses::text;
use crate::gateway_role::{Actions, GatewayRole};

/// Timeout of a request for a copy, and of the end of a run after it. A copy takes
/// milliseconds, more behind others on the same link.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a copy that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a stream stays where it has moved to, so that its pace there shows.
const MOVED_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum size in bytes of a response that is read.
const RESPONSE_MAX: usize = 4 * 1024;

/// Progress of a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CopyStage {
    /// The run goes on.
    Reserving,
    /// The run is to stop.
    Stopping,
    /// The engine has answered that the run has stopped.
    Stopped(CopyResponse),
}

/// A copy of one run's memory.
#[derive(Debug)]
struct RunCopy {
    stage: CopyStage,
    /// The request for the copy.
    exchange: ExchangeId,
    /// Whether that request is under way.
    is_open: bool,
    /// Whether that request has failed: its engine may have crashed.
    has_failed: bool,
    status: u16,
    body: BytesMut,
    deadline: Instant,
    /// The attempt whose memory is copied.
    run: ExchangeId,
    source: (EndpointId, SocketAddr),
    target: (EndpointId, SocketAddr),
    /// Name of the copy that reserves room.
    handle: Option<Bytes>,
    /// The end of the attempt, until the engine has answered whether it has stopped it.
    run_end: Option<ExchangeEnd>,
}

/// All copies under way.
#[derive(Debug, Default)]
pub(crate) struct MemoryCopies {
    copies: BTreeMap<RequestId, RunCopy>,
}

impl MemoryCopies {
    /// Returns whether the memory of a call's run is being copied.
    pub fn contains(&self, request: RequestId) -> bool {
        self.copies.contains_key(&request)
    }

    /// Returns when a copy next times out.
    pub fn deadline(&self) -> Option<Instant> {
        self.copies.values().map(|copy| copy.deadline).min()
    }

    fn find(&mut self, exchange: ExchangeId) -> Option<(RequestId, &mut RunCopy)> {
        let mut copies = self.copies.iter_mut();
        let found = copies.find(|(_, copy)| copy.is_open && copy.exchange == exchange);
        found.map(|(request, copy)| (*request, copy))
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Asks the engine of a call for a copy of its memory at another engine.
    pub(crate) fn begin_copy(
        &mut self,
        now: Instant,
        request: RequestId,
        target: &EndpointId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let CallStage::Running(run) = call.stage else {
            return;
        };
        let source = call.endpoint.clone();
        let address = |id| self.endpoints.usage(id).and_then(|usage| usage.address);
        let (Some(from), Some(to)) = (address(&source), address(target)) else {
            return;
        };
        let copy = RunCopy {
            stage: CopyStage::Reserving,
            exchange: 0,
            is_open: false,
            has_failed: false,
            status: 0,
            body: BytesMut::new(),
            deadline: now + COPY_TIMEOUT,
            run,
            source: (source, from),
            target: (target.clone(), to),
            handle: None,
            run_end: None,
        };
        self.copies.copies.insert(request, copy);
        self.request_copy(now, request, CopyStage::Reserving, actions);
    }

    fn request_copy(
        &mut self,
        now: Instant,
        request: RequestId,
        stage: CopyStage,
        actions: &mut Actions,
    ) {
        let exchange = self.calls.new_exchange();
        let (Some(call), Some(copy)) = (
            self.calls.get(request),
            self.copies.copies.get_mut(&request),
        ) else {
            return;
        };
        copy.exchange = exchange;
        copy.is_open = true;
        copy.status = 0;
        copy.body.clear();
        copy.deadline = now + COPY_TIMEOUT;
        let (endpoint, address) = (&copy.source.0, copy.source.1);
        let http = self.codec.copy_request(&CopyTerms {
            endpoint,
            address,
            id: &call.terms.id,
            target: copy.target.1,
            stops_run: stage == CopyStage::Stopping,
        });
        copy.stage = stage;
        actions.push(start_exchange(exchange, address, http));
    }

    /// Handles an event of a request for a copy; returns whether it was one.
    pub(crate) fn handle_copy(
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
        let Some((request, copy)) = self.copies.find(exchange) else {
            return false;
        };
        match event {
            ExchangeEvent::Head { status, .. } => copy.status = *status,
            ExchangeEvent::Data { data, .. } => {
                let room = RESPONSE_MAX.saturating_sub(copy.body.len());
                copy.body.extend_from_slice(&data[..data.len().min(room)]);
            }
            // A copy's response is short, and has no reader.
            ExchangeEvent::Full { .. } => {}
            ExchangeEvent::End { end, .. } => {
                copy.is_open = false;
                copy.has_failed = matches!(end, ExchangeEnd::Broken(_) | ExchangeEnd::Refused(_));
                let response = match end {
                    ExchangeEnd::Complete => self.codec.read_copy_response(copy.status, &copy.body),
                    _ => CopyResponse::Refused { handle: None },
                };
                self.handle_copy_response(now, request, response, actions);
            }
        }
        true
    }

    fn handle_copy_response(
        &mut self,
        now: Instant,
        request: RequestId,
        response: CopyResponse,
        actions: &mut Actions,
    ) {
        let Some(copy) = self.copies.copies.get_mut(&request) else {
            return;
        };
        if copy.stage != CopyStage::Reserving {
            let call = self.calls.get_mut(request);
            if let Some(call) = call.filter(|_| response == CopyResponse::NoRun) {
                call.response.may_be_stopped = false;
            }
            copy.stage = CopyStage::Stopped(response);
            copy.deadline = now + COPY_TIMEOUT;
            self.finish_copy(now, request, actions);
            return;
        }
        let CopyResponse::Copied { handle } = response else {
            self.drop_copy(now, request, actions);
            return;
        };
        copy.handle = Some(handle);
        if self.charge_retry(request, actions) {
            if let Some(call) = self.calls.get_mut(request) {
                call.response.may_be_stopped = true;
            }
            self.request_copy(now, request, CopyStage::Stopping, actions);
        } else {
            self.drop_copy(now, request, actions);
        }
    }

    /// Keeps the end of an attempt until its engine has answered whether it has stopped
    /// the run; returns whether it is kept.
    pub(crate) fn hold_end(
        &mut self,
        now: Instant,
        request: RequestId,
        end: ExchangeEnd,
        actions: &mut Actions,
    ) -> bool {
        let (Some(call), Some(copy)) = (
            self.calls.get(request),
            self.copies.copies.get_mut(&request),
        ) else {
            return false;
        };
        // The connection of a run that has stopped is closed, which ends a response
        // without a length as well.
        let is_whole = end == ExchangeEnd::Complete && call.response.is_delimited;
        if is_whole || copy.stage == CopyStage::Reserving {
            self.end_copy(request, actions);
            return false;
        }
        copy.run_end = Some(end);
        self.park_run(request);
        self.finish_copy(now, request, actions);
        true
    }

    /// Takes a call from its endpoint, as its attempt has ended.
    pub(crate) fn park_run(&mut self, request: RequestId) {
        self.release_endpoint(request);
        self.calls.park(request);
    }

    /// Lets a stream go on once its run has stopped and its engine has said so.
    fn finish_copy(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(copy) = self.copies.copies.get(&request) else {
            return;
        };
        let CopyStage::Stopped(response) = copy.stage.clone() else {
            return;
        };
        let (places, handle) = match response {
            CopyResponse::Copied { handle } => {
                (vec![copy.target.clone(), copy.source.clone()], Some(handle))
            }
            CopyResponse::Refused { handle } => (vec![copy.source.clone()], handle),
            CopyResponse::NoRun => (Vec::new(), None),
        };
        let source = copy.source.1;
        let memory = handle.map(|handle| MemoryCopy { source, handle });
        let Some(run_end) = copy.run_end else {
            // Without a copy the run has not stopped.
            if memory.is_none() {
                self.drop_copy(now, request, actions);
            }
            return;
        };
        let has_failed = copy.has_failed;
        self.copies.copies.remove(&request);
        match memory {
            Some(memory) => self.go_on_from(now, request, &places, memory, actions),
            None => {
                // A run that was stopped on purpose ends like one whose engine crashed.
                if has_failed {
                    self.record_end(now, request, run_end, actions);
                }
                self.handle_end(now, request, run_end, actions);
            }
        }
    }

    /// Forwards a call to the first of the engines with a copy that may get it.
    fn go_on_from(
        &mut self,
        now: Instant,
        request: RequestId,
        places: &[(EndpointId, SocketAddr)],
        copy: MemoryCopy,
        actions: &mut Actions,
    ) {
        // Another engine was chosen by a version that the run may not have.
        let call = self.calls.get(request);
        let is_disputed = call.is_some_and(|it| it.version_bound == StreamVersion::Disputed);
        let mut places = places.iter();
        let place = places.find(|place| {
            self.accepts_copy(now, place) && (!is_disputed || place.1 == copy.source)
        });
        let Some((endpoint, _)) = place else {
            let end = ExchangeEnd::Broken("no engine of the copy accepts it");
            self.handle_end(now, request, end, actions);
            return;
        };
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        log_move(call, endpoint, "copied", actions);
        call.events.end_run();
        call.copy = Some(copy);
        // It is the same run.
        call.attempts = call.attempts.saturating_sub(1);
        call.move_after = Some(now + MOVED_PAUSE);
        let left = call.deadline.saturating_duration_since(now);
        self.forward_call(now, request, endpoint, left, actions);
    }

    /// Returns whether an engine may get a request that goes on from a copy. It may have
    /// been restarted elsewhere, drained, evacuated or limited since the copy was asked for.
    fn accepts_copy(&self, now: Instant, (endpoint, address): &(EndpointId, SocketAddr)) -> bool {
        self.endpoints.usage(endpoint).is_some_and(|usage| {
            let start = (endpoint.clone(), usage.born_ms());
            usage.address == Some(*address)
                && self.endpoints.accepts_requests(now, &start)
                && !self.endpoints.needs_permit(now, endpoint)
        })
    }

    /// Ends copies whose responses, or the ends of whose runs, don't come in time.
    pub(crate) fn expire_copies(&mut self, now: Instant, actions: &mut Actions) {
        let copies = self.copies.copies.iter();
        let expired = copies.filter(|(_, copy)| copy.deadline <= now);
        let expired: Vec<RequestId> = expired.map(|(request, _)| *request).collect();
        for request in expired {
            let Some(copy) = self.copies.copies.get_mut(&request) else {
                continue;
            };
            let (run, exchange) = (copy.run, copy.exchange);
            match copy.stage {
                CopyStage::Reserving => self.drop_copy(now, request, actions),
                CopyStage::Stopping => {
                    copy.is_open = false;
                    actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
                    let response = CopyResponse::Refused { handle: None };
                    self.handle_copy_response(now, request, response, actions);
                }
                CopyStage::Stopped(_) => {
                    self.calls.end_exchange(run);
                    let exchange = run;
                    actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
                    let end = ExchangeEnd::Broken("the run stopped");
                    self.hold_end(now, request, end, actions);
                }
            }
        }
    }

    /// Gives up a copy whose run goes on.
    fn drop_copy(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        if let Some(call) = self.calls.get_mut(request) {
            call.move_after = Some(now + REFUSED_PAUSE);
        }
        self.end_copy(request, actions);
    }

    /// Removes the copy of a call's run, and frees what it has reserved.
    pub(crate) fn end_copy(&mut self, request: RequestId, actions: &mut Actions) {
        let Some(copy) = self.copies.copies.remove(&request) else {
            return;
        };
        if copy.is_open {
            let exchange = copy.exchange;
            actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
        }
        let (endpoint, source) = copy.source;
        let Some(handle) = copy.handle else {
            return;
        };
        let memory = MemoryCopy { source, handle };
        let http = self.codec.free_request(&endpoint, &memory);
        let exchange = self.calls.new_exchange();
        actions.push(start_exchange(exchange, source, http));
    }
}

/// Logs that a stream goes on at another endpoint, or from a copy at its own.
pub(crate) fn log_move(
    call: &CallRecord,
    target: &EndpointId,
    outcome: &str,
    actions: &mut Actions,
) {
    let line = format!(
        "move id={} event={} from={} to={} outcome={outcome}",
        text(&call.terms.id),
        call.events.last_event().unwrap_or_default(),
        text(&call.endpoint),
        text(target),
    );
    actions.push(RoleAction::Log(LogLevel::Info, line));
}

fn start_exchange(exchange: ExchangeId, address: SocketAddr, http: HttpRequest) -> RoleAction<()> {
    RoleAction::Exchange(ExchangeCommand::Start {
        exchange,
        address,
        http,
        echoed_field: None,
        connect_timeout: COPY_TIMEOUT,
        reader: None,
    })
}
