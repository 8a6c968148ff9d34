//! Keeps requests from endpoints that crash under their content, or under a part of
//! their prompts.
//!
//! Algorithm: the gateway reports each request that an endpoint broke off in a crash,
//! with its content and the shared parts of its prompt, to every control instance, and
//! those that control watches on which responses last. Control finds what the crashes
//! have in common and quarantines it. A request of a quarantine is refused at once;
//! one that an endpoint has not begun to respond to is cancelled. A content that was at
//! several crashes is neither retried nor kept waiting.

use std::time::Instant;

use mulberrywell_limit::{PartSet, SuspectRequest, SOUND_TIME};
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, MetricKind, RequestId, RoleAction};
use mulberrywell_wire::serving::PromptNotice;
use mulberrywell_wire::FrameBody;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{CallRecord, CallStage, RunState};
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

impl<C: CallCodec> GatewayRole<C> {
    /// Returns when the quarantine ends that refuses a call.
    pub(crate) fn quarantine_end(&self, now: Instant, call: &CallRecord) -> Option<Instant> {
        if !self.prompts.has_quarantines() {
            return None;
        }
        self.prompts.quarantine_end(now, &call.subjects())
    }

    /// Returns whether requests with a call's content were at several crashes that
    /// nothing explains yet.
    pub(crate) fn is_suspected(&self, call: &CallRecord) -> bool {
        self.prompts.is_watching() && self.prompts.is_watched(call.content_hash())
    }

    /// Refuses a call if one of its prompt's parts is quarantined; returns whether it
    /// was refused.
    pub(crate) fn refuse_if_quarantined(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        let Some(until) = self.quarantine_end(now, call) else {
            return false;
        };
        let may_have_run = call.ran == RunState::Maybe || call.stage != CallStage::Waiting;
        let reason = match may_have_run {
            true => RefusalReason::Broken,
            false => RefusalReason::Quarantined,
        };
        let left = until.saturating_duration_since(now);
        self.refuse_call(now, request, reason, Some(left), actions);
        true
    }

    /// Applies a notice of control: calls of new quarantines are refused, unless an
    /// endpoint has begun to respond to them.
    pub(crate) fn handle_prompt_notice(
        &mut self,
        now: Instant,
        link: LinkId,
        notice: PromptNotice,
        actions: &mut Actions,
    ) {
        let added = self.prompts.apply_notice(now, link, notice);
        if added.is_empty() {
            return;
        }
        for parts in &added {
            let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
            let text = format!("quarantine parts={} outcome=applied", parts.join(","));
            actions.push(RoleAction::Log(LogLevel::Warn, text));
        }
        self.relay_quarantines(now, link, &added);
        for request in self.calls.requests() {
            let call = self.calls.get(request);
            if call.is_some_and(|call| call.response.first_event.is_none()) {
                self.refuse_if_quarantined(now, request, actions);
            }
        }
    }

    /// Reports quarantines that a control instance told to the other instances, which
    /// may not have seen the same crashes.
    fn relay_quarantines(&mut self, now: Instant, source: LinkId, added: &[PartSet]) {
        let Some(mut report) = self.prompts.quarantine_report(now) else {
            return;
        };
        report.quarantines.retain(|quarantine| {
            let parts: PartSet = quarantine.parts.iter().copied().collect();
            added.contains(&parts)
        });
        for link in self.links.open_links().filter(|link| *link != source) {
            let body = FrameBody::PromptReport(report.clone());
            self.commands.push(LinkCommand::Send { link, body });
        }
    }

    /// Records a part of a response: a response that has lasted shows that its
    /// prompt is sound.
    pub(crate) fn record_progress(&mut self, now: Instant, request: RequestId, is_complete: bool) {
        let call = self.calls.get_mut(request);
        let Some(call) = call.filter(|call| call.response.is_success()) else {
            return;
        };
        let begun = *call.response.first_event.get_or_insert(now);
        let has_lasted = is_complete || now.saturating_duration_since(begun) >= SOUND_TIME;
        if has_lasted && !call.response.has_lasted {
            call.response.has_lasted = true;
            let has_trial = call.trial.is_open();
            self.prompts.record_sound(&call.subjects(), begun);
            if has_trial {
                self.send_prompt_report(now);
                self.end_trial(request, false);
            }
        }
    }

    /// Reports crashes at once, and the parts that are sound at each tick.
    pub(crate) fn report_prompts(&mut self, now: Instant, is_tick: bool, actions: &mut Actions) {
        if !is_tick && !self.prompts.has_crashes() {
            return;
        }
        if is_tick {
            self.prompts.remove_expired(now);
            let count = self.prompts.quarantine_count() as u64;
            let metric = RoleAction::Metric(MetricKind::Gauge, metrics::QUARANTINES, count);
            actions.push(metric);
        }
        self.expire_trials(now);
        self.send_prompt_report(now);
    }

    fn send_prompt_report(&mut self, now: Instant) {
        if let Some(report) = self.prompts.take_report(now) {
            for link in self.links.open_links() {
                let body = FrameBody::PromptReport(report.clone());
                self.commands.push(LinkCommand::Send { link, body });
            }
        }
    }
}

/// Returns what a request that an endpoint broke off says of its crash; none if the
/// response had lasted.
pub(crate) fn broken_request(now: Instant, call: &CallRecord) -> Option<SuspectRequest> {
    let first_event = call.response.first_event;
    let has_lasted = first_event.is_some_and(|at| now.saturating_duration_since(at) >= SOUND_TIME);
    if has_lasted {
        return None;
    }
    Some(SuspectRequest {
        content: call.content_hash(),
        parts: call.shared_parts().iter().map(|part| part.id).collect(),
        forwarded: call.attempt_started?,
        is_trial: call.trial.is_exclusive(),
    })
}
