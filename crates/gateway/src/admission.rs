//! How a request becomes a call: route, key, rate.

use std::time::{Duration, Instant};

use mulberrywell_limit::{LeaseAnswer, LeaseMessage, Reservation, ReserveOutcome, TicketEvent};
use mulberrywell_policy::{chain_hashes, stable_hash};
use mulberrywell_role::{HttpRequest, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::KeyOwner;
use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest, LeaseReturn, TokenRefund};
use mulberrywell_wire::serving::{ServingAccount, ServingRoute};
use mulberrywell_wire::FrameBody;

use crate::call_book::{CallRecord, CallStage, OpenAnswer, RouteTerms, RunState};
use crate::call_codec::{CallCodec, CallTerms, RefusalReason};
use crate::caller_answers::millis;
use crate::event_splitter::EventSplitter;
use crate::gateway_counters as counters;
use crate::gateway_role::{Actions, GatewayRole};
use crate::service_choice::split_service;

/// Times that callers are asked to stay away: while no configuration is known,
/// and for another instance to take the request.
const RETRIES: [(RefusalReason, Duration); 2] = [
    (RefusalReason::NotReady, Duration::from_millis(300)),
    (RefusalReason::Stopping, Duration::from_millis(20)),
];

/// Share of the latency objective that a request waits for tokens; up to an
/// eighth is not counted as held.
const TOKEN_WAIT_SHARE: u32 = 8;

impl<C: CallCodec> GatewayRole<C> {
    pub(crate) fn take_request(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        let count = RoleAction::Metric(MetricKind::Count, counters::REQUESTS, 1);
        actions.push(count);
        let Some(terms) = self.codec.read_call(&http) else {
            let id = bytes::Bytes::new();
            self.refuse_request(request, &id, RefusalReason::Malformed, None, actions);
            return;
        };
        let id = terms.id.clone();
        match self.admit(now, http, terms) {
            Ok((call, has_rate)) => self.begin_call(now, request, call, has_rate, actions),
            Err(reason) => {
                let mut retries = RETRIES.iter();
                let retry = retries.find(|(known, _)| *known == reason);
                let retry = retry.map(|(_, delay)| *delay);
                self.refuse_request(request, &id, reason, retry, actions);
            }
        }
    }

    /// Builds the call of a request that may run; tells with it whether its
    /// account has a rate.
    fn admit(
        &self,
        now: Instant,
        http: HttpRequest,
        terms: CallTerms,
    ) -> Result<(CallRecord, bool), RefusalReason> {
        if self.index.version() == 0 {
            return Err(RefusalReason::NotReady);
        }
        let found = self.index.route(&terms.host, &http.path);
        let (_, route) = found.ok_or(RefusalReason::NoRoute)?;
        if !self.may_begin(route) {
            return Err(RefusalReason::Stopping);
        }
        let account = match self.index.owner(terms.key.as_ref()) {
            _ if route.open => None,
            KeyOwner::Open => None,
            KeyOwner::Account(account) => Some(account),
            KeyOwner::Nobody => return Err(RefusalReason::WrongKey),
        };
        let hash = stable_hash(&[&terms.id]);
        let service = split_service(&route.shares, hash).ok_or(RefusalReason::NoRoute)?;
        let has_rate = account.is_some_and(|account| account.rate > 0);
        let call = CallRecord {
            route: RouteTerms::of(route),
            service: service.clone(),
            account: account.map(|account| account.name.clone()),
            priority: account
                .and_then(|account| account.priority)
                .unwrap_or(route.priority),
            version: self.index.version(),
            chain: prompt_chain(&terms),
            started: now,
            deadline: now + time_limit(route, &terms),
            attempt_deadline: None,
            stage: CallStage::Tokens,
            ran: RunState::No,
            attempts: 0,
            tried: Vec::new(),
            endpoint: bytes::Bytes::new(),
            unread_tokens: 0,
            reservation: Reservation::default(),
            units: account.map_or(0, |account| units_of(account, &terms)),
            answer: OpenAnswer::default(),
            events: EventSplitter::after(terms.last_event),
            head_sent: false,
            first_piece: None,
            http,
            terms,
        };
        Ok((call, has_rate))
    }

    fn begin_call(
        &mut self,
        now: Instant,
        request: RequestId,
        call: CallRecord,
        has_rate: bool,
        actions: &mut Actions,
    ) {
        let wait = call.route.objective / TOKEN_WAIT_SHARE;
        let until = call.deadline.min(now + wait);
        let account = call.account.clone().filter(|_| has_rate);
        let units = call.units;
        if let Some(model) = &call.terms.model {
            self.wanted.count(call.service.clone(), model.clone());
        }
        self.budgets
            .entry(call.service.clone())
            .or_insert_with(|| self.config.retry_budget.clone())
            .note_request();
        self.calls.insert(request, call);
        let Some(account) = account else {
            self.start_attempt(now, request, actions);
            return;
        };
        let outcome = self.leases.reserve(now, &account, request, units, until);
        self.take_tokens(now, request, outcome, actions);
    }

    fn take_tokens(
        &mut self,
        now: Instant,
        request: RequestId,
        outcome: ReserveOutcome,
        actions: &mut Actions,
    ) {
        match outcome {
            ReserveOutcome::Taken(reservation) => {
                if let Some(call) = self.calls.get_mut(request) {
                    call.reservation = reservation;
                    call.stage = CallStage::Endpoint;
                }
                self.start_attempt(now, request, actions);
            }
            ReserveOutcome::Waiting => {}
            ReserveOutcome::Short(delay) => {
                let reason = RefusalReason::OverRate;
                self.refuse_call(now, request, reason, Some(delay), actions);
            }
            ReserveOutcome::Unavailable(delay) => {
                let reason = RefusalReason::NoEndpoint;
                self.refuse_call(now, request, reason, Some(delay), actions);
            }
        }
    }

    pub(crate) fn take_grant(&mut self, now: Instant, grant: &LeaseGrant) {
        let wait = Duration::from_millis(grant.retry_after_ms);
        let answer = LeaseAnswer {
            sequence: grant.sequence,
            lease: grant.lease,
            tokens: grant.tokens,
            lifetime: Duration::from_millis(grant.lifetime_ms),
            retry_after: (!wait.is_zero()).then_some(wait),
            rate: grant.rate,
            unavailable: grant.unavailable,
        };
        self.leases.answer(now, &grant.account, &answer);
    }

    /// Sends what the lease client has to say and goes on with its calls.
    pub(crate) fn pump_leases(&mut self, now: Instant, actions: &mut Actions) {
        loop {
            let events = self.leases.take_events();
            if events.is_empty() {
                break;
            }
            for TicketEvent { ticket, outcome } in events {
                self.take_tokens(now, ticket, outcome, actions);
            }
        }
        for message in self.leases.take_messages() {
            let command = self.links.ask(lease_frame(message));
            actions.extend(command.map(RoleAction::Link));
        }
    }
}

fn lease_frame(message: LeaseMessage) -> FrameBody {
    match message {
        LeaseMessage::Ask {
            sequence,
            account,
            least,
            tokens,
            demand,
            patience,
        } => FrameBody::LeaseRequest(LeaseRequest {
            sequence,
            account,
            least,
            tokens,
            demand,
            patience_ms: millis(patience),
        }),
        LeaseMessage::Return {
            account,
            lease,
            unspent,
        } => FrameBody::LeaseReturn(LeaseReturn {
            account,
            lease,
            tokens: unspent,
        }),
        LeaseMessage::Refund {
            account,
            number,
            lease,
            tokens,
        } => FrameBody::TokenRefund(TokenRefund {
            account,
            number,
            lease,
            tokens,
        }),
    }
}

fn prompt_chain(terms: &CallTerms) -> Vec<u64> {
    let Some(model) = &terms.model else {
        return Vec::new();
    };
    let hash = stable_hash(&[&model.model, &model.adapter]);
    chain_hashes(hash, &terms.prefix)
}

fn time_limit(route: &ServingRoute, terms: &CallTerms) -> Duration {
    let timeout = Duration::from_millis(route.timeout_ms);
    terms
        .patience
        .map_or(timeout, |patience| patience.min(timeout))
}

fn units_of(account: &ServingAccount, terms: &CallTerms) -> u64 {
    if !account.counts_tokens {
        return 1;
    }
    terms
        .tokens
        .map_or(account.plain_tokens, |tokens| tokens.prompt + tokens.output)
}
