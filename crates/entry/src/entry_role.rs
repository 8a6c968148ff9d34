//! The state machine of the entry role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::{digest_key, AccountName, ApplyOutcome};
use mulberrywell_limit::{TakeOutcome, TokenBucket};
use mulberrywell_role::{
    header_value, AnswerPart, HttpEvent, HttpRequest, LinkCommand, LinkEvent, LinkId, LogLevel,
    MetricKind, RequestId, RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_settings::EntrySettings;
use mulberrywell_wire::config::{AccountItem, EndpointItem, EndpointState, PlanItem};
use mulberrywell_wire::request::{
    AttemptCancel, AttemptEnd, AttemptHead, AttemptId, AttemptPart, AttemptRefused, AttemptStart,
    Ran,
};
use mulberrywell_wire::FrameBody;

use crate::agent_links::AgentLinks;
use crate::body_sketch::BodySketch;
use crate::call_table::{CallRecord, CallSequence, CallTable, CallTarget, CurrentAttempt};
use crate::caller_key::{strip_key, KeyError, StrippedRequest};
use crate::caller_route::{CallerRoute, RouteError};
use crate::config_link::ConfigLink;
use crate::http_answer::{fault_answer, json_answer, ran_header, CallerFault, CallerRefusal};

/// Attempts that one call may take.
const ATTEMPTS_MAX: u32 = 3;

/// Time to come back when no endpoint takes a request.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Header in which a caller states its deadline in milliseconds.
const DEADLINE_HEADER: &str = "Mulberrywell-Deadline-Ms";

/// Longest deadline that a caller may state.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// Events of the entry role.
pub type EntryEvent = HttpEvent;

/// Actions of the entry role.
#[derive(Debug)]
pub enum EntryAction {
    /// Sends a part of an answer to a caller.
    Answer(RequestId, AnswerPart),
}

/// What the role needs to start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Settings of the role.
    pub settings: EntrySettings,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: Bytes,
}

type Actions = Vec<RoleAction<EntryAction>>;

/// The entry role.
#[derive(Debug)]
pub struct EntryRole {
    config: EntryConfig,
    link: ConfigLink,
    agents: AgentLinks,
    calls: CallTable,
    buckets: BTreeMap<AccountName, TokenBucket>,
    /// Even; grows with each dialed link.
    next_link: LinkId,
    /// Set once a graceful shutdown began.
    draining: Option<Instant>,
    finished: bool,
    /// Reused for commands of the link structures.
    commands: Vec<LinkCommand>,
}

/// Who asks, and under which plan.
struct CallerIdentity {
    account: AccountItem,
    plan: PlanItem,
}

impl EntryRole {
    /// Creates the role; it connects with its first timer.
    pub fn new(config: EntryConfig, now: Instant) -> Self {
        let link = ConfigLink::new(
            config.seeds.clone(),
            config.incarnation,
            config.settings.freshness,
            now,
        );
        EntryRole {
            config,
            link,
            agents: AgentLinks::default(),
            calls: CallTable::default(),
            buckets: BTreeMap::new(),
            next_link: 2,
            draining: None,
            finished: false,
            commands: Vec::new(),
        }
    }

    fn take_request(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        let outcome = self.admit(now, request, http, actions);
        if let Err(refusal) = outcome {
            let parts = fault_answer(&refusal, Ran::No);
            answer_all(request, parts, actions);
            actions.push(RoleAction::Metric(MetricKind::Count, "entry.refused", 1));
        }
    }

    /// Takes a request in, or tells why it is refused.
    fn admit(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) -> Result<(), CallerRefusal> {
        let stripped = strip_key(&http).map_err(key_fault)?;
        let route = CallerRoute::find(&http.method, &stripped.path).map_err(route_fault)?;
        match route {
            CallerRoute::Health => {
                let body = serde_json::json!({ "status": "running" });
                answer_all(request, json_answer(200, vec![], &body), actions);
                Ok(())
            }
            CallerRoute::Ready => {
                self.answer_ready(now, request, actions);
                Ok(())
            }
            CallerRoute::ModelList => {
                let caller = self.identify(now, &stripped)?;
                self.answer_models(request, &caller, actions);
                Ok(())
            }
            CallerRoute::Completion => self.admit_completion(now, request, http, stripped, actions),
            CallerRoute::Service { name, path } => {
                self.admit_service(now, request, http, stripped, name, path, actions)
            }
        }
    }

    fn admit_completion(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        stripped: StrippedRequest,
        actions: &mut Actions,
    ) -> Result<(), CallerRefusal> {
        let caller = self.identify(now, &stripped)?;
        let sketch = BodySketch::parse(&http.body)
            .map_err(|err| CallerRefusal::from(CallerFault::BadBody).detail(err.to_string()))?;
        let granted = self.link.directory().granted_models(&caller.plan.name);
        if !granted.contains(&sketch.model) {
            return Err(CallerFault::UnknownModel.into());
        }
        let output = sketch
            .max_tokens
            .unwrap_or(self.config.settings.default_output);
        let tokens = sketch.prompt_tokens.saturating_add(output);
        self.take_tokens(now, &caller, tokens)?;
        let call = CallRecord {
            request,
            key: stripped.key.as_deref().map(digest_key),
            account: caller.account.name,
            target: CallTarget::Model(sketch.model),
            method: http.method.clone(),
            path: stripped.path,
            headers: stripped.headers,
            stream: sketch.stream,
            idempotent: true,
            deadline: now + self.time_allowed(&http),
            started: now,
            body: http.body,
            reserved: tokens,
            prompt_tokens: sketch.prompt_tokens,
            output_tokens: output,
            tried: Vec::new(),
            attempt: None,
            head_sent: false,
        };
        self.begin(now, call, actions);
        Ok(())
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one request")]
    fn admit_service(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        stripped: StrippedRequest,
        name: Bytes,
        path: Bytes,
        actions: &mut Actions,
    ) -> Result<(), CallerRefusal> {
        let directory = self.link.directory();
        let bare = path.split(|&b| b == b'?').next().unwrap_or_default();
        let route = directory.route(&name, &http.method, bare).cloned();
        let open = route.as_ref().is_some_and(|route| route.open);
        let mut account = Bytes::new();
        let mut reserved = 0;
        if !open {
            let caller = self.identify(now, &stripped)?;
            let granted = directory.grants_service(&caller.plan.name, &name);
            let Some(route) = route.as_ref().filter(|_| granted) else {
                return Err(CallerFault::UnknownService.into());
            };
            reserved = route.tokens;
            self.take_tokens(now, &caller, reserved)?;
            account = caller.account.name;
        }
        let call = CallRecord {
            request,
            key: (!open)
                .then(|| stripped.key.as_deref().map(digest_key))
                .flatten(),
            account,
            target: CallTarget::Service(name),
            method: http.method.clone(),
            path,
            headers: stripped.headers,
            stream: false,
            idempotent: route.is_some_and(|route| route.idempotent),
            deadline: now + self.time_allowed(&http),
            started: now,
            body: http.body,
            reserved,
            prompt_tokens: 0,
            output_tokens: 0,
            tried: Vec::new(),
            attempt: None,
            head_sent: false,
        };
        self.begin(now, call, actions);
        Ok(())
    }

    fn identify(
        &self,
        now: Instant,
        stripped: &StrippedRequest,
    ) -> Result<CallerIdentity, CallerRefusal> {
        if self.draining.is_some() {
            return Err(CallerRefusal::from(CallerFault::ShuttingDown).after(RETRY_DELAY));
        }
        if !self.link.is_fresh(now) {
            return Err(CallerRefusal::from(CallerFault::Stale).after(RETRY_DELAY));
        }
        let wrong = || CallerRefusal::from(CallerFault::WrongKey);
        let key = stripped.key.as_deref().ok_or_else(wrong)?;
        let directory = self.link.directory();
        let account = directory
            .account_of_key(&digest_key(key))
            .ok_or_else(wrong)?;
        let plan = directory.plan_of(account).ok_or_else(wrong)?;
        Ok(CallerIdentity {
            account: account.clone(),
            plan: plan.clone(),
        })
    }

    fn take_tokens(
        &mut self,
        now: Instant,
        caller: &CallerIdentity,
        tokens: u64,
    ) -> Result<(), CallerRefusal> {
        let plan = &caller.plan;
        let bucket = self
            .buckets
            .entry(caller.account.name.clone())
            .or_insert_with(|| TokenBucket::new(plan.rate, plan.burst, now));
        bucket.resize(plan.rate, plan.burst, now);
        match bucket.take(tokens, now) {
            TakeOutcome::Taken => Ok(()),
            TakeOutcome::Wait(delay) => {
                Err(CallerRefusal::from(CallerFault::OverRate).after(delay))
            }
            TakeOutcome::Never => Err(CallerFault::TooLarge.into()),
        }
    }

    fn time_allowed(&self, http: &HttpRequest) -> Duration {
        let stated = header_value(&http.headers, DEADLINE_HEADER)
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|text| text.trim().parse().ok())
            .map(Duration::from_millis);
        stated
            .unwrap_or(self.config.settings.default_deadline)
            .min(DEADLINE_MAX)
    }

    fn answer_ready(&self, now: Instant, request: RequestId, actions: &mut Actions) {
        let ready = self.draining.is_none() && self.link.is_fresh(now);
        let status = if ready { 200 } else { 503 };
        let body = serde_json::json!({
            "ready": ready,
            "version": self.link.directory().version(),
        });
        answer_all(request, json_answer(status, vec![], &body), actions);
    }

    fn answer_models(&self, request: RequestId, caller: &CallerIdentity, actions: &mut Actions) {
        let models: Vec<serde_json::Value> = self
            .link
            .directory()
            .granted_models(&caller.plan.name)
            .iter()
            .map(|name| {
                serde_json::json!({
                    "id": String::from_utf8_lossy(name),
                    "object": "model",
                    "owned_by": "mulberrywell",
                })
            })
            .collect();
        let body = serde_json::json!({ "object": "list", "data": models });
        answer_all(request, json_answer(200, vec![], &body), actions);
    }

    fn begin(&mut self, now: Instant, call: CallRecord, actions: &mut Actions) {
        let sequence = self.calls.insert(call);
        actions.push(RoleAction::Metric(MetricKind::Count, "entry.accepted", 1));
        self.try_next(now, sequence, actions);
    }

    /// Starts the next attempt of a call, or ends the call as not run.
    fn try_next(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        let Some(call) = self.calls.get(sequence) else {
            return;
        };
        let number = call.tried.len() as u32 + 1;
        let endpoint = (number <= ATTEMPTS_MAX)
            .then(|| self.choose_endpoint(call))
            .flatten();
        let Some(endpoint) = endpoint else {
            self.end_with_fault(now, sequence, CallerFault::NoEndpoint, Ran::No, actions);
            return;
        };
        let start = self.attempt_start(now, call, sequence, number, &endpoint);
        let body = FrameBody::AttemptStart(start);
        let link = self
            .agents
            .send(&endpoint, body, &mut self.next_link, &mut self.commands);
        self.flush(actions);
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        call.tried.push(endpoint.name.clone());
        match link {
            Some(link) => {
                call.attempt = Some(CurrentAttempt {
                    number,
                    endpoint: endpoint.name,
                    link,
                    received: 0,
                });
            }
            None => self.try_next(now, sequence, actions),
        }
    }

    fn attempt_start(
        &self,
        now: Instant,
        call: &CallRecord,
        sequence: CallSequence,
        number: u32,
        endpoint: &EndpointItem,
    ) -> AttemptStart {
        let directory = self.link.directory();
        let plan = directory
            .account(&call.account)
            .and_then(|account| directory.plan_of(account));
        let model = match &call.target {
            CallTarget::Model(name) => name.clone(),
            CallTarget::Service(_) => Bytes::new(),
        };
        let left = call.deadline.saturating_duration_since(now);
        AttemptStart {
            id: Some(self.attempt_id(sequence, number)),
            endpoint: endpoint.name.clone(),
            endpoint_incarnation: endpoint.incarnation,
            account: call.account.clone(),
            model,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            weight: plan.map_or(1, |plan| plan.weight),
            priority: plan.map_or(0, |plan| plan.priority),
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            resume_events: 0,
            idempotent: call.idempotent,
            prefix: 0,
            stream: call.stream,
        }
    }

    fn attempt_id(&self, sequence: CallSequence, attempt: u32) -> AttemptId {
        AttemptId {
            incarnation: self.config.incarnation,
            sequence,
            attempt,
        }
    }

    /// Chooses the live endpoint with the fewest attempts of this entry.
    fn choose_endpoint(&self, call: &CallRecord) -> Option<EndpointItem> {
        let fits = |endpoint: &&EndpointItem| match &call.target {
            CallTarget::Model(model) => endpoint.engine && endpoint.resident.contains(model),
            CallTarget::Service(name) => !endpoint.engine && endpoint.pool == *name,
        };
        self.link
            .directory()
            .endpoints()
            .filter(|endpoint| endpoint.state() == EndpointState::Live)
            .filter(fits)
            .filter(|endpoint| !call.tried.contains(&endpoint.name))
            .min_by_key(|endpoint| self.calls.in_flight(&endpoint.name))
            .cloned()
    }

    fn take_head(&mut self, link: LinkId, head: AttemptHead, actions: &mut Actions) {
        let Some(sequence) = self.current_call(head.id.as_ref(), link) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        if call.head_sent {
            return;
        }
        call.head_sent = true;
        let mut headers = head.headers;
        headers.push(ran_header(Ran::Yes));
        let part = AnswerPart::Head {
            status: u16::try_from(head.status).unwrap_or(502),
            headers,
            length: None,
        };
        actions.push(RoleAction::Own(EntryAction::Answer(call.request, part)));
    }

    fn take_part(&mut self, now: Instant, link: LinkId, part: AttemptPart, actions: &mut Actions) {
        let Some(sequence) = self.current_call(part.id.as_ref(), link) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let request = call.request;
        let Some(attempt) = &mut call.attempt else {
            return;
        };
        if attempt.received != part.offset {
            self.fail_attempt(now, sequence, Ran::Unknown, actions);
            return;
        }
        attempt.received += part.data.len() as u64;
        let part = AnswerPart::Data(part.data);
        actions.push(RoleAction::Own(EntryAction::Answer(request, part)));
    }

    fn take_end(&mut self, now: Instant, link: LinkId, end: &AttemptEnd, actions: &mut Actions) {
        let Some(sequence) = self.current_call(end.id.as_ref(), link) else {
            return;
        };
        let received = self
            .calls
            .get(sequence)
            .and_then(|call| call.attempt.as_ref())
            .map(|attempt| attempt.received);
        if !end.whole || received != Some(end.length) {
            self.fail_attempt(now, sequence, end.ran(), actions);
            return;
        }
        let Some(call) = self.calls.remove(sequence) else {
            return;
        };
        let answer = EntryAction::Answer(call.request, AnswerPart::End);
        actions.push(RoleAction::Own(answer));
        let elapsed = now.saturating_duration_since(call.started).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        actions.push(RoleAction::Metric(
            MetricKind::TimeMs,
            "entry.call",
            elapsed,
        ));
        if end.tokens > 0 {
            self.refund(now, &call, end.tokens);
        }
    }

    fn take_refusal(
        &mut self,
        now: Instant,
        link: LinkId,
        refusal: &AttemptRefused,
        actions: &mut Actions,
    ) {
        if let Some(sequence) = self.current_call(refusal.id.as_ref(), link) {
            self.fail_attempt(now, sequence, refusal.ran(), actions);
        }
    }

    /// Ends an attempt that gave no whole answer: retries the call or ends it.
    fn fail_attempt(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        call.attempt = None;
        let retries = !call.head_sent && (call.idempotent || ran == Ran::No);
        if retries && now < call.deadline {
            self.try_next(now, sequence, actions);
        } else {
            self.end_with_fault(now, sequence, CallerFault::EndpointFailed, ran, actions);
        }
    }

    fn end_with_fault(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        fault: CallerFault,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.remove(sequence) else {
            return;
        };
        if call.head_sent {
            let abort = EntryAction::Answer(call.request, AnswerPart::Abort);
            actions.push(RoleAction::Own(abort));
            return;
        }
        if ran == Ran::No {
            self.refund(now, &call, 0);
        }
        let mut refusal = CallerRefusal::from(fault);
        if ran == Ran::No {
            refusal = refusal.after(RETRY_DELAY);
        }
        answer_all(call.request, fault_answer(&refusal, ran), actions);
    }

    fn refund(&mut self, now: Instant, call: &CallRecord, used: u64) {
        if let Some(bucket) = self.buckets.get_mut(&call.account) {
            bucket.put_back(call.reserved.saturating_sub(used), now);
        }
    }

    /// Cancels the current attempt of a call at its agent.
    fn cancel_attempt(&mut self, sequence: CallSequence, actions: &mut Actions) {
        let attempt = self
            .calls
            .get(sequence)
            .and_then(|call| call.attempt.as_ref());
        let Some((link, number)) = attempt.map(|attempt| (attempt.link, attempt.number)) else {
            return;
        };
        let cancel = AttemptCancel {
            id: Some(self.attempt_id(sequence, number)),
        };
        let body = FrameBody::AttemptCancel(cancel);
        self.agents.send_on(link, body, &mut self.commands);
        self.flush(actions);
    }

    fn current_call(&self, id: Option<&AttemptId>, link: LinkId) -> Option<CallSequence> {
        let id = id.filter(|id| id.incarnation == self.config.incarnation)?;
        self.calls.of_attempt(id, link)
    }

    fn caller_gone(&mut self, request: RequestId, actions: &mut Actions) {
        if let Some(sequence) = self.calls.of_request(request) {
            self.cancel_attempt(sequence, actions);
            self.calls.remove(sequence);
        }
    }

    fn take_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => match self.link.opened(now, link) {
                Some(command) => actions.push(RoleAction::Link(command)),
                None => {
                    self.agents.opened(link, &mut self.commands);
                    self.flush(actions);
                }
            },
            LinkEvent::Closed { link } => self.link_closed(now, link, actions),
            LinkEvent::Frame { link, body } => self.take_frame(now, link, body, actions),
        }
    }

    fn link_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        if self.link.closed(now, link) {
            let text = "link to the control instance closed".to_owned();
            actions.push(RoleAction::Log(LogLevel::Warn, text));
            return;
        }
        let Some(was_open) = self.agents.closed(link) else {
            return;
        };
        let ran = if was_open { Ran::Unknown } else { Ran::No };
        let uses = |call: &CallRecord| {
            call.attempt
                .as_ref()
                .is_some_and(|attempt| attempt.link == link)
        };
        for sequence in self.calls.matching(uses) {
            self.fail_attempt(now, sequence, ran, actions);
        }
    }

    fn take_frame(&mut self, now: Instant, link: LinkId, body: FrameBody, actions: &mut Actions) {
        match body {
            FrameBody::Update(update) => {
                let (outcome, reply) = self.link.update(link, &update);
                actions.extend(reply.map(RoleAction::Link));
                if outcome == ApplyOutcome::Applied {
                    self.end_withdrawn(now, actions);
                }
            }
            FrameBody::ConfirmAnswer(answer) => self.link.answer(&answer),
            FrameBody::AttemptHead(head) => self.take_head(link, head, actions),
            FrameBody::AttemptPart(part) => self.take_part(now, link, part, actions),
            FrameBody::AttemptEnd(end) => self.take_end(now, link, &end, actions),
            FrameBody::AttemptRefused(refusal) => self.take_refusal(now, link, &refusal, actions),
            _ => {}
        }
    }

    /// Ends the calls whose key no longer stands for their account.
    fn end_withdrawn(&mut self, now: Instant, actions: &mut Actions) {
        let directory = self.link.directory();
        let withdrawn = self.calls.matching(|call| {
            call.key.as_ref().is_some_and(|key| {
                directory
                    .account_of_key(key)
                    .is_none_or(|account| account.name != call.account)
            })
        });
        for sequence in withdrawn {
            self.give_up(now, sequence, CallerFault::WrongKey, actions);
        }
    }

    /// Cancels a call and answers at once.
    fn give_up(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        fault: CallerFault,
        actions: &mut Actions,
    ) {
        self.cancel_attempt(sequence, actions);
        let started = self
            .calls
            .get(sequence)
            .is_some_and(|call| call.attempt.is_some());
        let ran = if started { Ran::Unknown } else { Ran::No };
        self.end_with_fault(now, sequence, fault, ran, actions);
    }

    fn take_timer(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(command) = self.link.tick(now, &mut self.next_link) {
            actions.push(RoleAction::Link(command));
        }
        for sequence in self.calls.matching(|call| call.deadline <= now) {
            self.give_up(now, sequence, CallerFault::Deadline, actions);
        }
        if !self.link.is_fresh(now) {
            for sequence in self.calls.matching(|call| call.key.is_some()) {
                self.give_up(now, sequence, CallerFault::Stale, actions);
            }
        }
        self.check_drained(now, actions);
    }

    fn check_drained(&mut self, now: Instant, actions: &mut Actions) {
        let grace_over = self
            .draining
            .is_some_and(|since| now >= since + self.config.settings.shutdown_grace);
        if grace_over && self.calls.is_empty() && !self.finished {
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    fn flush(&mut self, actions: &mut Actions) {
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }
}

impl RoleMachine for EntryRole {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<EntryEvent>, actions: &mut Actions) {
        match event {
            RoleEvent::Link(event) => self.take_link(now, event, actions),
            RoleEvent::Timer => self.take_timer(now, actions),
            RoleEvent::Shutdown => self.draining = self.draining.or(Some(now)),
            RoleEvent::Own(HttpEvent::Request { request, http }) => {
                self.take_request(now, request, http, actions);
            }
            RoleEvent::Own(HttpEvent::Gone { request }) => self.caller_gone(request, actions),
        }
        self.check_drained(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        let grace = self
            .draining
            .filter(|_| !self.finished)
            .map(|since| since + self.config.settings.shutdown_grace);
        let fresh = self.link.fresh_until().filter(|_| self.calls.has_keyed());
        [self.link.deadline(), self.calls.deadline(), grace, fresh]
            .into_iter()
            .flatten()
            .min()
    }
}

fn answer_all(request: RequestId, parts: Vec<AnswerPart>, actions: &mut Actions) {
    for part in parts {
        actions.push(RoleAction::Own(EntryAction::Answer(request, part)));
    }
}

fn key_fault(err: KeyError) -> CallerRefusal {
    match err {
        KeyError::Ambiguous => CallerFault::AmbiguousKey.into(),
        KeyError::Exposed => CallerFault::ExposedKey.into(),
    }
}

fn route_fault(err: RouteError) -> CallerRefusal {
    match err {
        RouteError::NotFound => CallerFault::NotFound.into(),
        RouteError::WrongMethod => CallerFault::WrongMethod.into(),
        RouteError::BadPath => CallerFault::BadPath.into(),
    }
}
