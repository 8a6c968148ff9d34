//! Admission: from an HTTP request to a call with an account and a target.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::{digest_key, KeyDigest};
use mulberrywell_limit::Reservation;
use mulberrywell_role::{header_value, HttpRequest, MetricKind, RequestId, RoleAction};
use mulberrywell_wire::config::{AccountItem, PlanItem};
use mulberrywell_wire::request::Ran;

use crate::body_sketch::BodySketch;
use crate::call_table::{CallRecord, CallTarget};
use crate::caller_key::{strip_key, KeyError, StrippedRequest};
use crate::caller_route::{CallerRoute, RouteError};
use crate::entry_role::{answer_all, Actions, EntryRole, RETRY_DELAY};
use crate::http_answer::{fault_answer, json_answer, CallerFault, CallerRefusal};

/// Header in which a caller states its deadline in milliseconds.
const DEADLINE_HEADER: &str = "Mulberrywell-Deadline-Ms";

/// Longest deadline that a caller may state.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// Bytes of the body whose digest stands for the prompt's prefix.
const PREFIX_LEN: usize = 1_024;

/// Who asks, and under which plan.
struct CallerIdentity {
    key: KeyDigest,
    account: AccountItem,
    plan: PlanItem,
}

/// One request on its way to a call.
struct RequestDraft {
    request: RequestId,
    http: HttpRequest,
    stripped: StrippedRequest,
}

impl EntryRole {
    pub(crate) fn take_request(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        if let Err(refusal) = self.admit(now, request, http, actions) {
            answer_all(request, fault_answer(&refusal, Ran::No), actions);
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
        let draft = RequestDraft {
            request,
            http,
            stripped,
        };
        match route {
            CallerRoute::Health => {
                let body = serde_json::json!({ "status": "running" });
                answer_all(request, json_answer(200, vec![], &body), actions);
            }
            CallerRoute::Ready => self.answer_ready(now, request, actions),
            CallerRoute::ModelList => {
                let caller = self.identify(now, &draft.stripped)?;
                self.answer_models(request, &caller, actions);
            }
            CallerRoute::Completion => {
                let call = self.completion_call(now, draft)?;
                self.begin(now, call, actions)?;
            }
            CallerRoute::Service { name, path } => {
                let call = self.service_call(now, draft, name, path)?;
                self.begin(now, call, actions)?;
            }
        }
        Ok(())
    }

    fn completion_call(
        &mut self,
        now: Instant,
        draft: RequestDraft,
    ) -> Result<CallRecord, CallerRefusal> {
        let caller = self.identify(now, &draft.stripped)?;
        let sketch = BodySketch::parse(&draft.http.body)
            .map_err(|err| CallerRefusal::from(CallerFault::BadBody).detail(err.to_string()))?;
        let granted = self.link.directory().granted_models(&caller.plan.name);
        if !granted.contains(&sketch.model) {
            return Err(CallerFault::UnknownModel.into());
        }
        let default_output = self.config.settings.default_output;
        let output = sketch.max_tokens.unwrap_or(default_output);
        let tokens = sketch.prompt_tokens.saturating_add(output);
        check_burst(&caller.plan, tokens)?;
        self.demand.note_request(&sketch.model, tokens);
        let path = draft.stripped.path.clone();
        let prefix = prefix_digest(&caller.account.name, &draft.http.body);
        let mut call = self.new_call(now, draft, CallTarget::Model(sketch.model), path);
        call.key = Some(caller.key);
        call.account = caller.account.name;
        call.stream = sketch.stream;
        call.idempotent = true;
        call.reserved = tokens;
        call.prompt_tokens = sketch.prompt_tokens;
        call.output_tokens = output;
        call.prefix = prefix;
        Ok(call)
    }

    fn service_call(
        &mut self,
        now: Instant,
        draft: RequestDraft,
        name: Bytes,
        path: Bytes,
    ) -> Result<CallRecord, CallerRefusal> {
        let directory = self.link.directory();
        let bare = path.split(|&b| b == b'?').next().unwrap_or_default();
        let route = directory.route(&name, &draft.http.method, bare).cloned();
        if let Some(route) = route.as_ref().filter(|route| route.open) {
            if self.refuses_all(now) {
                return Err(CallerRefusal::from(CallerFault::ShuttingDown).after(RETRY_DELAY));
            }
            let idempotent = route.idempotent;
            let mut call = self.new_call(now, draft, CallTarget::Service(name), path);
            call.idempotent = idempotent;
            return Ok(call);
        }
        let caller = self.identify(now, &draft.stripped)?;
        let granted = directory.grants_service(&caller.plan.name, &name);
        let Some(route) = route.filter(|_| granted) else {
            return Err(CallerFault::UnknownService.into());
        };
        check_burst(&caller.plan, route.tokens)?;
        let mut call = self.new_call(now, draft, CallTarget::Service(name), path);
        call.key = Some(caller.key);
        call.account = caller.account.name;
        call.idempotent = route.idempotent;
        call.reserved = route.tokens;
        if !route.idempotent {
            call.claim = EntryRole::wanted_claim(&call);
        }
        Ok(call)
    }

    /// Creates a call without account; the caller fills in what it knows.
    fn new_call(
        &self,
        now: Instant,
        draft: RequestDraft,
        target: CallTarget,
        path: Bytes,
    ) -> CallRecord {
        let deadline = now + self.time_allowed(&draft.http);
        CallRecord {
            request: draft.request,
            key: None,
            account: Bytes::new(),
            target,
            method: draft.http.method,
            path,
            headers: draft.stripped.headers,
            body: draft.http.body,
            stream: false,
            idempotent: false,
            deadline,
            started: now,
            stage: self.chart.initial(),
            reserved: 0,
            reservation: Reservation::default(),
            claim: None,
            may_have_run: false,
            events: None,
            detached: false,
            prefix: 0,
            attempts: 0,
            retry_after: Duration::ZERO,
            prompt_tokens: 0,
            output_tokens: 0,
            tried: Vec::new(),
            attempt: None,
            head_sent: false,
        }
    }

    fn identify(
        &self,
        now: Instant,
        stripped: &StrippedRequest,
    ) -> Result<CallerIdentity, CallerRefusal> {
        if self.refuses_all(now) {
            return Err(CallerRefusal::from(CallerFault::ShuttingDown).after(RETRY_DELAY));
        }
        if !self.link.is_fresh(now) {
            return Err(CallerRefusal::from(CallerFault::Stale).after(RETRY_DELAY));
        }
        let wrong = || CallerRefusal::from(CallerFault::WrongKey);
        let key = digest_key(stripped.key.as_deref().ok_or_else(wrong)?);
        let directory = self.link.directory();
        let account = directory.account_of_key(&key).ok_or_else(wrong)?;
        let plan = directory.plan_of(account).ok_or_else(wrong)?;
        Ok(CallerIdentity {
            account: account.clone(),
            plan: plan.clone(),
            key,
        })
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
        let directory = self.link.directory();
        let granted = directory.granted_models(&caller.plan.name);
        let models: Vec<serde_json::Value> = granted
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
}

fn check_burst(plan: &PlanItem, tokens: u64) -> Result<(), CallerRefusal> {
    if tokens > plan.burst || (tokens > 0 && plan.rate == 0) {
        return Err(CallerFault::TooLarge.into());
    }
    Ok(())
}

/// Returns a digest of the prompt's start; other accounts' prompts differ, so
/// that no cached prefix is shared between accounts.
fn prefix_digest(account: &Bytes, body: &Bytes) -> u64 {
    let start = &body[..body.len().min(PREFIX_LEN)];
    mulberrywell_policy::stable_hash(&[account, start])
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
