//! Keeps requests from endpoints that crash under their content, or under a part of
//! their prompts.
//!
//! Algorithm: the gateway reports each request that an endpoint broke off in a crash,
//! with its content and the shared parts of its prompt, to every control instance, and
//! those that control watches on which responses last. Control finds what the crashes
//! have in common and quarantines it. A request of a quarantine is refused at once;
//! one that an endpoint has not begun to respond to is cancelled. A content that was at
//! several crashes is neither retried nor kept waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mulberrywell_limit::{PartId, PartSet, QuarantineTable, SuspectRequest};
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::{
    PromptCrash, PromptNotice, PromptQuarantine, PromptReport, SoundPart,
};
use mulberrywell_wire::FrameBody;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{CallRecord, CallStage, RunState};
use crate::caller_responses::millis;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Time for which an endpoint responds until the response counts as lasting. An
/// endpoint that crashes under a prompt does so when it begins to respond.
const SOUND_TIME: Duration = Duration::from_millis(500);

/// Maximum number of parts whose latest lasting response is remembered.
const SOUND_MAX: usize = 4_096;

/// What this gateway knows of prompts under which endpoints crash.
#[derive(Debug, Default)]
pub(crate) struct PromptGuard {
    quarantines: QuarantineTable,
    /// When the latest lasting response on each part was begun.
    sound: BTreeMap<PartId, Instant>,
    /// Parts that each control instance watches.
    watched: BTreeMap<LinkId, BTreeSet<PartId>>,
    /// Crashes that have not been reported.
    crashes: Vec<PromptCrash>,
    /// Watched parts with a lasting response that has not been reported.
    unreported: BTreeSet<PartId>,
}

impl PromptGuard {
    /// Returns when the quarantine ends that refuses a call.
    pub fn quarantine_end(&self, now: Instant, call: &CallRecord) -> Option<Instant> {
        if self.quarantines.is_empty() {
            return None;
        }
        self.quarantines.find(now, &call.subjects())
    }

    /// Returns whether requests with a call's content were at several crashes that
    /// nothing explains yet.
    pub fn is_suspected(&self, call: &CallRecord) -> bool {
        let has_watched = self.watched.values().any(|watched| !watched.is_empty());
        has_watched && self.is_watched(call.content_hash())
    }

    /// Records the requests that an endpoint broke off when it crashed, with the time
    /// of the crash.
    pub fn record_crashes(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        born_ms: u64,
        requests: impl Iterator<Item = (SuspectRequest, Instant)>,
    ) {
        let since = |at: Instant| millis(now.saturating_duration_since(at));
        self.crashes
            .extend(requests.map(|(request, broken_at)| PromptCrash {
                endpoint: endpoint.clone(),
                born_ms,
                running_ms: since(request.forwarded),
                content: request.content,
                parts: request.parts.into_iter().collect(),
                age_ms: since(broken_at),
            }));
    }

    /// Records that a response, begun at an instant, has lasted.
    pub fn record_sound(&mut self, subjects: &[PartId], begun: Instant) {
        for subject in subjects {
            let known = self.sound.entry(*subject).or_insert(begun);
            *known = (*known).max(begun);
            if self.is_watched(*subject) {
                self.unreported.insert(*subject);
            }
        }
        if self.sound.len() > SOUND_MAX {
            let mut times: Vec<Instant> = self.sound.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(SOUND_MAX / 2);
            let median = *median;
            self.sound.retain(|_, begun| *begun > median);
        }
    }

    fn is_watched(&self, part: PartId) -> bool {
        self.watched.values().any(|watched| watched.contains(&part))
    }

    /// Applies a notice; returns the quarantines that are new.
    fn apply_notice(&mut self, now: Instant, link: LinkId, notice: PromptNotice) -> Vec<PartSet> {
        let watched: BTreeSet<PartId> = notice.watched.into_iter().collect();
        let known = watched.iter().filter(|part| self.sound.contains_key(part));
        let known: Vec<PartId> = known
            .filter(|part| !self.is_watched(**part))
            .copied()
            .collect();
        self.unreported.extend(known);
        self.watched.insert(link, watched);
        let mut added = Vec::new();
        for quarantine in notice.quarantines {
            let parts: PartSet = quarantine.parts.into_iter().collect();
            let until = now + Duration::from_millis(quarantine.left_ms);
            if self.quarantines.insert(parts.clone(), until) {
                added.push(parts);
            }
        }
        added
    }

    /// Removes a link to a control instance.
    pub fn remove_link(&mut self, link: LinkId) {
        self.watched.remove(&link);
    }

    /// Returns the quarantines, for a control instance that may not know them.
    pub fn quarantine_report(&self, now: Instant) -> Option<PromptReport> {
        let quarantines = self
            .quarantines
            .iter()
            .map(|(parts, until)| PromptQuarantine {
                parts: parts.iter().copied().collect(),
                left_ms: millis(until.saturating_duration_since(now)),
            });
        (!self.quarantines.is_empty()).then(|| PromptReport {
            quarantines: quarantines.collect(),
            ..PromptReport::default()
        })
    }

    /// Removes and returns what has not been reported.
    pub fn take_report(&mut self, now: Instant) -> Option<PromptReport> {
        if self.crashes.is_empty() && self.unreported.is_empty() {
            return None;
        }
        let sound = std::mem::take(&mut self.unreported).into_iter();
        let sound = sound.filter_map(|part| {
            let begun = *self.sound.get(&part)?;
            let age_ms = millis(now.saturating_duration_since(begun));
            Some(SoundPart { part, age_ms })
        });
        Some(PromptReport {
            sound: sound.collect(),
            crashes: std::mem::take(&mut self.crashes),
            quarantines: Vec::new(),
        })
    }

    /// Removes the quarantines that have ended.
    pub fn remove_expired(&mut self, now: Instant) {
        self.quarantines.remove_expired(now);
    }
}

impl<C: CallCodec> GatewayRole<C> {
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
        let Some(until) = self.prompts.quarantine_end(now, call) else {
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
            self.prompts.record_sound(&call.subjects(), begun);
        }
    }

    /// Reports crashes at once, and the parts that are sound at each tick.
    pub(crate) fn report_prompts(&mut self, now: Instant, is_tick: bool, actions: &mut Actions) {
        if !is_tick && self.prompts.crashes.is_empty() {
            return;
        }
        if is_tick {
            self.prompts.remove_expired(now);
            let count = self.prompts.quarantines.iter().count() as u64;
            let metric = RoleAction::Metric(MetricKind::Gauge, metrics::QUARANTINES, count);
            actions.push(metric);
        }
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
    })
}
