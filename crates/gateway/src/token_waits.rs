//! Deferrable calls that wait for tokens of their account.
//!
//! Algorithm: the calls of an account are queued by priority and arrival, and only the
//! first one is tried, so that a large call isn't overtaken by small ones for ever. It
//! leaves a part of the bucket to urgent calls until the last part of its wait. A call
//! whose wait ends is refused, and in a shutdown also one that can no longer be forwarded
//! in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::RateDecision;
use mulberrywell_policy::{mix_bits, stable_hash};
use mulberrywell_role::{MetricKind, RequestId, RoleAction};

use crate::admission::RateWait;
use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::CallRecord;
use crate::caller_responses::millis;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Part of the objective for which a call waits for tokens; the rest is left for the
/// engine.
const OBJECTIVE_PART: f64 = 0.75;

/// Divisor of the caller's timeout that bounds the wait, so that time for another attempt
/// by the caller remains.
const TIMEOUT_DIVISOR: u32 = 2;

/// Calls that wait for tokens at one instance. Each holds its request's body; beyond this
/// number, a call is refused as an urgent one is.
const WAITING_MAX: usize = 1_000;

/// Least part of the reserve for urgent calls that a call leaves alone until the last part of
/// its wait. With a reserve that shrank evenly to nothing, a batch at the whole of an
/// account's rate took the tokens of a tenth of the urgent calls beside it.
const RESERVE_MIN_PART: f64 = 0.8;

/// Part of the wait at whose end a call takes the last tokens.
const FINAL_PART: f64 = 0.1;

/// Interval at which waiting calls are tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Time by which the next try of an account's calls is delayed for each gateway instance, at
/// most. Totals are up to 100 ms old, so instances that try at the same moment take the same
/// tokens, and those of urgent calls with them.
const TRY_SPREAD: Duration = Duration::from_millis(50);

/// Time after which a call is tried again whose units were charged and returned, because
/// several instances charged the same tokens at once. It is spread up to three times that,
/// so that they don't meet again.
const COLLISION_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct TokenWait {
    units: u64,
    since: Instant,
    end: Instant,
}

#[derive(Debug, Default)]
struct AccountWaits {
    /// Waiting calls by priority and arrival.
    waiting: BTreeMap<(u32, RequestId), TokenWait>,
    /// The call whose units are charged and must be contained in a total.
    confirming: Option<RequestId>,
    /// When the first call is next tried; none if at once.
    next_try: Option<Instant>,
    /// Tries so far, from which the times of further ones are spread.
    tries: u64,
}

/// All calls that wait for tokens.
#[derive(Debug, Default)]
pub(crate) struct TokenWaits {
    accounts: BTreeMap<Bytes, AccountWaits>,
    next_retry: Option<Instant>,
}

impl TokenWaits {
    pub(crate) fn len(&self) -> usize {
        self.accounts.values().map(|it| it.waiting.len()).sum()
    }

    /// Returns the waiting calls.
    fn requests(&self) -> Vec<RequestId> {
        let waits = self.accounts.values().flat_map(|it| it.waiting.keys());
        waits.map(|(_, request)| *request).collect()
    }

    /// Returns the age of the call that has waited longest.
    pub(crate) fn oldest_wait(&self, now: Instant) -> Duration {
        let waits = self.accounts.values().flat_map(|it| it.waiting.values());
        let oldest = waits.map(|wait| wait.since).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the units of the account's calls that are tried before a new one.
    fn units_ahead(&self, account: &Bytes, key: (u32, RequestId)) -> u64 {
        let waits = self.accounts.get(account).map(|it| &it.waiting);
        let ahead = waits.into_iter().flat_map(|waits| waits.range(..key));
        ahead.map(|(_, wait)| wait.units).sum()
    }

    fn push(&mut self, now: Instant, account: &Bytes, key: (u32, RequestId), wait: TokenWait) {
        let waits = self.accounts.entry(account.clone()).or_default();
        waits.waiting.insert(key, wait);
        self.next_retry = self.next_retry.or(Some(now + RETRY_INTERVAL));
    }

    /// Removes a call that has ended.
    pub(crate) fn remove(&mut self, account: &Bytes, key: (u32, RequestId)) {
        if let Some(waits) = self.accounts.get_mut(account) {
            waits.waiting.remove(&key);
        }
    }

    /// Records that the units of a call are no longer charged without being contained in a
    /// total.
    pub(crate) fn end_confirmation(&mut self, account: &Bytes, request: RequestId) {
        let waits = self.accounts.get_mut(account);
        if let Some(waits) = waits.filter(|waits| waits.confirming == Some(request)) {
            waits.confirming = None;
        }
    }

    /// Removes and returns the calls whose wait has ended.
    fn pop_expired(&mut self, now: Instant) -> Vec<RequestId> {
        let mut expired = Vec::new();
        for waits in self.accounts.values_mut() {
            waits.waiting.retain(|(_, request), wait| {
                if wait.end <= now {
                    expired.push(*request);
                }
                wait.end > now
            });
        }
        self.accounts
            .retain(|_, waits| !waits.waiting.is_empty() || waits.confirming.is_some());
        expired
    }

    /// Returns when [`GatewayRole::retry_token_waits`] is next due.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.next_retry
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Forwards a deferrable call if its account has tokens beyond those left to urgent
    /// calls; otherwise queues it, or refuses it if there will be none in time.
    pub(crate) fn admit_deferrable(
        &mut self,
        now: Instant,
        request: RequestId,
        account: &Bytes,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let (units, key) = (call.units, (call.priority, request));
        let wait = TokenWait {
            units,
            since: call.started,
            end: token_wait_end(call),
        };
        let ahead = self.token_waits.units_ahead(account, key);
        let delay = self.rates.delay(now, account, units.saturating_add(ahead));
        let is_full = self.token_waits.len() >= WAITING_MAX;
        if is_full || now + delay >= wait.end {
            self.refuse_call(now, request, RefusalReason::OverRate, Some(delay), actions);
            return;
        }
        if !self.fits_shutdown(now + delay, call, None) {
            self.leave_call(now, request, actions);
            return;
        }
        self.calls.park(request);
        self.token_waits.push(now, account, key, wait);
        self.try_token_waits(now, account, actions);
    }

    /// Returns a deferrable call to the queue after its charged units were returned, if it
    /// may wait on; otherwise returns false.
    pub(crate) fn requeue_deferrable(&mut self, now: Instant, wait: &RateWait) -> bool {
        let Some(call) = self.calls.get(wait.request) else {
            return false;
        };
        let end = token_wait_end(call);
        if !call.class.is_deferrable() || end <= now {
            return false;
        }
        let key = (call.priority, wait.request);
        let queued = TokenWait {
            units: wait.units,
            since: call.started,
            end,
        };
        self.token_waits.push(now, &wait.account, key, queued);
        let spread = mix_bits(wait.request ^ call.content_hash()) % 3;
        let spread = u32::try_from(spread).unwrap_or(0) + 1;
        if let Some(waits) = self.token_waits.accounts.get_mut(&wait.account) {
            waits.next_try = Some(now + COLLISION_INTERVAL * spread);
        }
        true
    }

    /// Tries the calls that wait for tokens, and refuses those whose wait has ended.
    pub(crate) fn retry_token_waits(&mut self, now: Instant, actions: &mut Actions) {
        if self.token_waits.next_retry.is_none_or(|at| at > now) {
            return;
        }
        for request in self.token_waits.pop_expired(now) {
            let Some(call) = self.calls.get(request) else {
                continue;
            };
            let account = call.account.clone().unwrap_or_default();
            let delay = self.rates.delay(now, &account, call.units);
            self.refuse_call(now, request, RefusalReason::OverRate, Some(delay), actions);
        }
        let accounts: Vec<Bytes> = self.token_waits.accounts.keys().cloned().collect();
        for account in accounts {
            self.try_token_waits(now, &account, actions);
        }
        let is_waiting = self.token_waits.len() > 0;
        self.token_waits.next_retry = is_waiting.then_some(now + RETRY_INTERVAL);
    }

    /// Ends the waiting calls that can no longer end before a shutdown does; another
    /// instance may serve them.
    pub(crate) fn leave_token_waits(&mut self, now: Instant, actions: &mut Actions) {
        if !self.shutdown.has_begun() {
            return;
        }
        for request in self.token_waits.requests() {
            let call = self.calls.get(request);
            if call.is_some_and(|call| !self.fits_shutdown(now, call, None)) {
                self.leave_call(now, request, actions);
            }
        }
    }

    /// Reports how many calls wait for tokens, and for how long.
    pub(crate) fn report_token_waits(&self, now: Instant, actions: &mut Actions) {
        let oldest = millis(self.token_waits.oldest_wait(now));
        let waiting = self.token_waits.len() as u64;
        for (name, value) in [
            (metrics::TOKEN_WAITING, waiting),
            (metrics::TOKEN_WAIT_OLDEST, oldest),
        ] {
            actions.push(RoleAction::Metric(MetricKind::Gauge, name, value));
        }
    }

    /// Forwards the waiting calls of an account for which there are tokens, in order.
    fn try_token_waits(&mut self, now: Instant, account: &Bytes, actions: &mut Actions) {
        while let Some(waits) = self.token_waits.accounts.get_mut(account) {
            let is_held = waits.next_try.is_some_and(|at| at > now);
            let first = waits.waiting.first_key_value();
            let Some((key, wait)) = first.filter(|_| !is_held && waits.confirming.is_none()) else {
                return;
            };
            let (key, units) = (*key, wait.units);
            let reserve = reserve_part(now, wait);
            let decision = self.rates.admit_deferrable(now, account, units, reserve);
            if matches!(decision, RateDecision::Refused(_)) {
                waits.tries += 1;
                let call = self.calls.get(key.1);
                let id = call.map_or(0, |call| stable_hash(&[&call.terms.id]));
                let hash = mix_bits(key.1 ^ mix_bits(waits.tries) ^ id);
                let part = hash % u64::from(self.rates.holders());
                let spread = TRY_SPREAD * u32::try_from(part).unwrap_or(0);
                waits.next_try = Some(now + spread);
                return;
            }
            waits.waiting.remove(&key);
            waits.next_try = None;
            let request = key.1;
            if let RateDecision::AwaitTotals { .. } = decision {
                waits.confirming = Some(request);
            }
            self.apply_rate_decision(now, request, account, decision, actions);
        }
    }
}

/// Returns until when a call waits for tokens.
fn token_wait_end(call: &CallRecord) -> Instant {
    let timeout = call.deadline.saturating_duration_since(call.started);
    let wait = call.route.objective.mul_f64(OBJECTIVE_PART);
    call.started + wait.min(timeout / TIMEOUT_DIVISOR)
}

/// Returns the part of the reserve for urgent calls that a call leaves alone: all when it
/// arrives, none at the end of its wait.
fn reserve_part(now: Instant, wait: &TokenWait) -> f64 {
    let total = wait.end.saturating_duration_since(wait.since);
    let left = wait.end.saturating_duration_since(now);
    let left_part = left.as_secs_f64() / total.as_secs_f64().max(f64::EPSILON);
    if left_part < FINAL_PART {
        return 0.0;
    }
    left_part.max(RESERVE_MIN_PART)
}
