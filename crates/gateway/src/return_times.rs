//! When rejected callers of services with deferrable routes are told to return.

use std::time::{Duration, Instant};

use mulberrywell_policy::PREFILL_TOKENS_PER_MS;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{AdmissionClass, CallRecord};
use crate::gateway_role::GatewayRole;

/// A caller honours a time to return of at most this part of the time that it has left.
const HONOURED_DIVISOR: u32 = 3;

/// Least cost of a call at an engine; a short prompt still takes a step of the batch.
const READING_MIN: Duration = Duration::from_millis(10);

/// Tokens beyond which a prompt's length makes no difference here; a request may state any
/// number.
const UNREAD_MAX: u64 = 1 << 20;

impl<C: CallCodec> GatewayRole<C> {
    /// Spreads the time after which a rejected caller is told to return over the rate at
    /// which the account's tokens or the engines become free for this instance's callers.
    pub(crate) fn spread_return(
        &mut self,
        now: Instant,
        call: &CallRecord,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> Option<Duration> {
        let earliest = retry_after?;
        if call.class == AdmissionClass::Immediate {
            return retry_after;
        }
        let (subject, cost) = match reason {
            RefusalReason::OverRate => {
                let account = call.account.clone().unwrap_or_default();
                let cost = self.rates.refill_time(&account, call.units);
                (account, cost)
            }
            RefusalReason::Overloaded | RefusalReason::NoEndpoint | RefusalReason::AtLimit => {
                (call.service.clone(), self.engine_time(now, call))
            }
            _ => return retry_after,
        };
        let latest = call.deadline.saturating_duration_since(now) / HONOURED_DIVISOR;
        let time = self.returns.assign(now, &subject, earliest, cost, latest);
        Some(time)
    }

    /// Returns the time in which the engines of a call's service read prompts like its own
    /// for this instance's callers.
    fn engine_time(&self, now: Instant, call: &CallRecord) -> Duration {
        let prompt = call.terms.tokens.map_or(0, |tokens| tokens.prompt);
        let unread = prompt.min(UNREAD_MAX) as f64;
        let reading = Duration::from_secs_f64(unread / PREFILL_TOKENS_PER_MS / 1_000.0);
        let engines = self.endpoints.candidates(now, call.needs()).count();
        let engines = u32::try_from(engines).unwrap_or(u32::MAX).max(1);
        reading.max(READING_MIN) * self.rates.holders() / engines
    }
}
