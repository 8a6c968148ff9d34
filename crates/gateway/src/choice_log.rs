//! Log lines and metrics of the choices of engines.

use std::time::{Duration, Instant};

use mulberrywell_role::{LogLevel, MetricKind, RequestId, RoleAction};

use crate::call_codec::CallCodec;
use crate::caller_responses::{millis, text};
use crate::endpoint_choice::EndpointChoice;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Interval at which one choice is logged at most.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<C: CallCodec> GatewayRole<C> {
    /// Records what a chosen engine is expected to give, and logs the terms of one choice
    /// for each interval.
    pub(crate) fn record_choice(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: Option<&EndpointChoice>,
        actions: &mut Actions,
    ) {
        let call = self.calls.get(request);
        let (Some(call), Some(choice)) = (call, choice) else {
            return;
        };
        let (Some(terms), Some(forecast)) = (choice.terms, choice.forecast()) else {
            return;
        };
        let first_event = millis(forecast.first_event);
        let metric =
            RoleAction::Metric(MetricKind::DurationMs, metrics::FORECAST_FIRST, first_event);
        actions.push(metric);
        if terms.is_risky() {
            actions.push(RoleAction::Metric(
                MetricKind::Count,
                metrics::CHOICES_RISKY,
                1,
            ));
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .choice_logged
            .is_some_and(|at| since(at) < LOG_INTERVAL)
        {
            return;
        }
        let line = format!(
            "choice id={} route={} endpoint={} first_ms={first_event} late_ms={:.0} \
             pause_ms={:.0} streams_ms={:.0} reserve_ms={:.0} copy_ms={:.0} expected_pause_ms={} kept={} free={}",
            text(&call.terms.id),
            text(&call.route.name),
            text(&choice.id),
            terms.late_ms,
            terms.pause_ms,
            terms.streams_ms,
            terms.reserve_ms,
            terms.copy_ms,
            millis(forecast.pause),
            forecast.kept_tokens,
            forecast.free_tokens.unwrap_or_default(),
        );
        self.choice_logged = Some(now);
        actions.push(RoleAction::Log(LogLevel::Info, line));
    }
}

/// Counts the tokens of a forwarded prompt that its engine has probably cached, and the
/// others.
pub(crate) fn record_prompt_metrics(kept: u64, prompt: u64, actions: &mut Actions) {
    let read = prompt.saturating_sub(kept);
    for (name, tokens) in [(metrics::TOKENS_KEPT, kept), (metrics::TOKENS_READ, read)] {
        actions.push(RoleAction::Metric(MetricKind::Count, name, tokens));
    }
}
