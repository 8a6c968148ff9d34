//! Admission: turns an HTTP request into a call with an account and a target.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::{digest_key, KeyDigest};
use mulberrywell_limit::Reservation;
use mulberrywell_role::{header_value, HttpRequest, MetricKind, RequestId, RoleAction};
use mulberrywell_wire::config::{AccountItem, PlanItem};
use mulberrywell_wire::request::Ran;

use crate::call_table::{CallRecord, CallTarget};
use crate::caller_key::{strip_key, KeyError, StrippedRequest};
use crate::caller_route::{CallerRoute, RouteError};
use crate::completion_fields::CompletionFields;
use crate::entry_role::{send_response, Actions, EntryRole, RETRY_DELAY};
use crate::http_response::{json_response, refusal_response, CallerError, CallerRefusal};

/// Header in which a caller states its deadline in milliseconds.
const DEADLINE_HEADER: &str = "Mulberrywell-Deadline-Ms";

/// Maximum deadline that a caller may request.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// Maximum number of leading body bytes whose digest identifies the prompt's
/// prefix.
const PREFIX_BYTES_MAX: usize = 1_024;

/// The authenticated caller and its plan.
struct CallerIdentity {
    key: KeyDigest,
    account: AccountItem,
    plan: PlanItem,
}

/// A request for which no call exists yet.
struct RequestDraft {
    request: RequestId,
    http: HttpRequest,
    stripped: StrippedRequest,
}

impl EntryRole {
    pub(crate) fn handle_request(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        if let Err(refusal) = self.admit(now, request, http, actions) {
            send_response(request, refusal_response(&refusal, Ran::No), actions);
            actions.push(RoleAction::Metric(MetricKind::Count, "entry.refused", 1));
        }
    }

    /// Admits a request, or returns why it is refused.
    fn admit(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) -> Result<(), CallerRefusal> {
        let stripped = strip_key(&http).map_err(key_error)?;
        let route = CallerRoute::find(&http.method, &stripped.path).map_err(route_error)?;
        let draft = RequestDraft {
            request,
            http,
            stripped,
        };
        match route {
            CallerRoute::Health => {
                let body = serde_json::json!({ "status": "running" });
                send_response(request, json_response(200, vec![], &body), actions);
            }
            CallerRoute::Ready => self.send_readiness(now, request, actions),
            CallerRoute::ModelList => {
                let caller = self.identify(now, &draft.stripped)?;
                self.send_model_list(request, &caller, actions);
            }
            CallerRoute::Completion => {
                let call = self.completion_call(now, draft)?;
                self.check_shutdown_limit(&call)?;
                self.check_quarantine(now, &call)?;
                self.check_restriction(&call)?;
                self.start_call(now, call, actions)?;
            }
            CallerRoute::Service { name, path } => {
                let call = self.service_call(now, draft, name, path)?;
                self.check_shutdown_limit(&call)?;
                self.check_quarantine(now, &call)?;
                self.check_restriction(&call)?;
                self.start_call(now, call, actions)?;
            }
        }
        Ok(())
    }

    /// Refuses a call that may last longer than a shutdown in progress.
    fn check_shutdown_limit(&self, call: &CallRecord) -> Result<(), CallerRefusal> {
        if self.shutdown_end().is_some_and(|end| call.deadline > end) {
            return Err(CallerRefusal::from(CallerError::ShuttingDown).retry_after(RETRY_DELAY));
        }
        Ok(())
    }

    fn completion_call(
        &mut self,
        now: Instant,
        draft: RequestDraft,
    ) -> Result<CallRecord, CallerRefusal> {
        let caller = self.identify(now, &draft.stripped)?;
        let fields = CompletionFields::parse(&draft.http.body)
            .map_err(|err| CallerRefusal::from(CallerError::BadBody).detail(err.to_string()))?;
        let granted = self.link.directory().granted_models(&caller.plan.name);
        if !granted.contains(&fields.model) {
            return Err(CallerError::UnknownModel.into());
        }
        let default_output = self.config.settings.default_output;
        let output = fields.max_tokens.unwrap_or(default_output);
        let tokens = fields.prompt_tokens.saturating_add(output);
        check_burst(&caller.plan, tokens)?;
        self.demand.record_request(&fields.model, tokens);
        let path = draft.stripped.path.clone();
        let prefix = prefix_digest(&caller.account.name, &draft.http.body);
        let mut call = self.new_call(now, draft, CallTarget::Model(fields.model), path);
        call.key = Some(caller.key);
        call.account = caller.account.name;
        call.stream = fields.stream;
        call.idempotent = true;
        call.reserved = tokens;
        call.prompt_tokens = fields.prompt_tokens;
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
        let bare_path = path.split(|&b| b == b'?').next().unwrap_or_default();
        let route = directory
            .route(&name, &draft.http.method, bare_path)
            .cloned();
        if let Some(route) = route.as_ref().filter(|route| route.open) {
            if self.is_past_grace(now) {
                return Err(CallerRefusal::from(CallerError::ShuttingDown).retry_after(RETRY_DELAY));
            }
            let idempotent = route.idempotent;
            let mut call = self.new_call(now, draft, CallTarget::Service(name), path);
            call.idempotent = idempotent;
            return Ok(call);
        }
        let caller = self.identify(now, &draft.stripped)?;
        let granted = directory.grants_service(&caller.plan.name, &name);
        let Some(route) = route.filter(|_| granted) else {
            return Err(CallerError::UnknownService.into());
        };
        check_burst(&caller.plan, route.tokens)?;
        let mut call = self.new_call(now, draft, CallTarget::Service(name), path);
        call.key = Some(caller.key);
        call.account = caller.account.name;
        call.idempotent = route.idempotent;
        call.reserved = route.tokens;
        if !route.idempotent {
            call.claim = EntryRole::claim_for_call(&call);
        }
        Ok(call)
    }

    /// Creates a call with default values for the fields that depend on the
    /// kind of request.
    fn new_call(
        &self,
        now: Instant,
        draft: RequestDraft,
        target: CallTarget,
        path: Bytes,
    ) -> CallRecord {
        let deadline = now + self.request_timeout(&draft.http);
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
            software: None,
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
        if self.is_past_grace(now) {
            return Err(CallerRefusal::from(CallerError::ShuttingDown).retry_after(RETRY_DELAY));
        }
        if !self.link.is_fresh(now) {
            return Err(CallerRefusal::from(CallerError::Stale).retry_after(RETRY_DELAY));
        }
        let invalid_key = || CallerRefusal::from(CallerError::WrongKey);
        let key = digest_key(stripped.key.as_deref().ok_or_else(invalid_key)?);
        let directory = self.link.directory();
        let account = directory.account_of_key(&key).ok_or_else(invalid_key)?;
        let plan = directory.plan_of(account).ok_or_else(invalid_key)?;
        Ok(CallerIdentity {
            account: account.clone(),
            plan: plan.clone(),
            key,
        })
    }

    fn request_timeout(&self, http: &HttpRequest) -> Duration {
        let requested = header_value(&http.headers, DEADLINE_HEADER)
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|text| text.trim().parse().ok())
            .map(Duration::from_millis);
        requested
            .unwrap_or(self.config.settings.default_deadline)
            .min(DEADLINE_MAX)
    }

    fn send_readiness(&self, now: Instant, request: RequestId, actions: &mut Actions) {
        let ready = self.draining.is_none() && self.link.is_fresh(now);
        let status = if ready { 200 } else { 503 };
        let body = serde_json::json!({
            "ready": ready,
            "version": self.link.directory().version(),
        });
        send_response(request, json_response(status, vec![], &body), actions);
    }

    fn send_model_list(&self, request: RequestId, caller: &CallerIdentity, actions: &mut Actions) {
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
        send_response(request, json_response(200, vec![], &body), actions);
    }
}

fn check_burst(plan: &PlanItem, tokens: u64) -> Result<(), CallerRefusal> {
    if tokens > plan.burst || (tokens > 0 && plan.rate == 0) {
        return Err(CallerError::TooLarge.into());
    }
    Ok(())
}

/// Returns a digest of the prompt's start. It includes the account, so that no
/// cached prefix is shared between accounts.
fn prefix_digest(account: &Bytes, body: &Bytes) -> u64 {
    let start = &body[..body.len().min(PREFIX_BYTES_MAX)];
    mulberrywell_policy::stable_hash(&[account, start])
}

fn key_error(err: KeyError) -> CallerRefusal {
    match err {
        KeyError::Ambiguous => CallerError::AmbiguousKey.into(),
        KeyError::Exposed => CallerError::ExposedKey.into(),
    }
}

fn route_error(err: RouteError) -> CallerRefusal {
    match err {
        RouteError::NotFound => CallerError::NotFound.into(),
        RouteError::WrongMethod => CallerError::WrongMethod.into(),
        RouteError::BadPath => CallerError::BadPath.into(),
    }
}
