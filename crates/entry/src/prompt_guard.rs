//! Keeps requests from endpoints that crash under their content.
//!
//! Algorithm: the entry reports each request that an endpoint broke off in a crash, and
//! the contents that control watches on which responses last, to its control instance.
//! Control finds the content that the crashes have in common and quarantines it. A
//! request of a quarantine is refused at once; one that an endpoint has not begun to
//! respond to is cancelled. A watched or restricted content is not retried after a
//! failure, and an entry sends one request of a restricted content at a time.
//!
//! An agent tells that its endpoint crashed. One that ended with its endpoint can't:
//! then a later incarnation of the endpoint shows the crash.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_directory::EndpointName;
use mulberrywell_limit::{SuspectRequest, SOUND_TIME};
use mulberrywell_policy::stable_hash;
use mulberrywell_role::{LinkId, LogLevel, RoleAction};
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::serving::{PromptNotice, PromptReport};
use mulberrywell_wire::FrameBody;

use crate::call_table::{CallRecord, CallSequence, CallTarget};
use crate::entry_role::{Actions, EntryRole};
use crate::http_response::{CallerError, CallerRefusal};

/// Minimum time between two reports of sound contents.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Retry delay sent while another call with the same restricted content is at an
/// endpoint: a response that lasts ends the restriction.
const RESTRICTED_RETRY: Duration = Duration::from_secs(1);

/// Time in which a later incarnation shows that an endpoint crashed.
const RESTART_TIMEOUT: Duration = Duration::from_secs(30);

/// One start of an endpoint.
type EndpointStart = (EndpointName, u64);

/// The requests that a lost link broke off.
#[derive(Debug)]
struct LostLink {
    lost_at: Instant,
    requests: Vec<SuspectRequest>,
}

/// Lost links of endpoints that may have crashed.
#[derive(Debug, Default)]
pub(crate) struct LostLinks {
    /// The latest lost link to each start.
    links: BTreeMap<EndpointStart, LostLink>,
}

impl CallRecord {
    /// Returns a hash of what a request has in common with its repeats: method, target,
    /// path, account and body.
    pub fn content_hash(&self) -> u64 {
        let (kind, name) = match &self.target {
            CallTarget::Model(name) => (&b"model"[..], name),
            CallTarget::Service(name) => (&b"service"[..], name),
        };
        stable_hash(&[
            &self.method,
            kind,
            name,
            &self.path,
            &self.account,
            &self.body,
        ])
    }

    /// Returns what a request that an endpoint broke off says of its crash; none if the
    /// response had lasted.
    fn broken_request(&self, now: Instant) -> Option<SuspectRequest> {
        let attempt = self.attempt.as_ref()?;
        let begun = attempt.begun;
        if begun.is_some_and(|begun| now.saturating_duration_since(begun) >= SOUND_TIME) {
            return None;
        }
        Some(SuspectRequest {
            content: self.content_hash(),
            parts: Default::default(),
            forwarded: attempt.started,
            is_trial: false,
        })
    }
}

impl EntryRole {
    /// Returns the refusal of a call whose content is quarantined.
    pub(crate) fn check_quarantine(
        &self,
        now: Instant,
        call: &CallRecord,
    ) -> Result<(), CallerRefusal> {
        if !self.prompts.has_quarantines() {
            return Ok(());
        }
        match self.prompts.quarantine_end(now, &[call.content_hash()]) {
            Some(until) => {
                let left = until.saturating_duration_since(now);
                Err(CallerRefusal::from(CallerError::Quarantined).retry_after(left))
            }
            None => Ok(()),
        }
    }

    /// Returns the refusal of a call whose content may crash endpoints, while another one
    /// with the same content is at an endpoint.
    pub(crate) fn check_restriction(&self, call: &CallRecord) -> Result<(), CallerRefusal> {
        if !self.prompts.has_restricted() {
            return Ok(());
        }
        let content = call.content_hash();
        let is_restricted = !self.prompts.restricted(&[content]).is_empty();
        let is_running = |other: &CallRecord| {
            let attempt = other.attempt.as_ref();
            attempt.is_some_and(|it| !it.has_lasted) && other.content_hash() == content
        };
        if is_restricted && !self.calls.matching(is_running).is_empty() {
            return Err(CallerRefusal::from(CallerError::Quarantined).retry_after(RESTRICTED_RETRY));
        }
        Ok(())
    }

    /// Returns whether requests with a call's content were at several crashes that
    /// nothing explains yet.
    pub(crate) fn is_suspected(&self, sequence: CallSequence) -> bool {
        let call = self.calls.get(sequence);
        let call = call.filter(|_| self.prompts.is_watching() || self.prompts.has_restricted());
        call.is_some_and(|call| {
            let content = call.content_hash();
            let is_restricted = !self.prompts.restricted(&[content]).is_empty();
            is_restricted || self.prompts.is_watched(content)
        })
    }

    /// Records that the endpoint of a call's attempt crashed.
    pub(crate) fn record_crash(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(sequence) else {
            return;
        };
        let (Some(attempt), Some(request)) = (&call.attempt, call.broken_request(now)) else {
            return;
        };
        let start = (attempt.endpoint.clone(), attempt.incarnation);
        self.record_crashes(now, &start, now, vec![request], actions);
    }

    fn record_crashes(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        broken_at: Instant,
        requests: Vec<SuspectRequest>,
        actions: &mut Actions,
    ) {
        let (endpoint, incarnation) = start;
        let text = format!(
            "crash endpoint={} born={incarnation} requests={} age_ms={}",
            String::from_utf8_lossy(endpoint),
            requests.len(),
            now.saturating_duration_since(broken_at).as_millis(),
        );
        actions.push(RoleAction::Log(LogLevel::Warn, text));
        let crashes = requests.into_iter().map(|request| (request, broken_at));
        self.prompts
            .record_crashes(now, endpoint, *incarnation, crashes);
    }

    /// Records the calls that a lost link to an agent broke off, unless their endpoint
    /// was about to leave.
    pub(crate) fn record_lost_link(&mut self, now: Instant, calls: &[CallSequence]) {
        for sequence in calls {
            let Some(call) = self.calls.get(*sequence) else {
                continue;
            };
            let (Some(attempt), Some(request)) = (&call.attempt, call.broken_request(now)) else {
                continue;
            };
            let item = self.link.directory().endpoint(&attempt.endpoint);
            if item.is_some_and(|item| item.state() == EndpointState::Leaving) {
                continue;
            }
            let start = (attempt.endpoint.clone(), attempt.incarnation);
            let lost = self.lost_links.links.entry(start);
            let lost = lost.or_insert_with(|| LostLink {
                lost_at: now,
                requests: Vec::new(),
            });
            if lost.lost_at != now {
                // The endpoint has run requests since, so the earlier loss was no crash.
                lost.lost_at = now;
                lost.requests.clear();
            }
            lost.requests.push(request);
        }
    }

    /// Records the crashes that later incarnations of endpoints show.
    pub(crate) fn record_restarts(&mut self, now: Instant, actions: &mut Actions) {
        let mut crashed = Vec::new();
        let directory = self.link.directory();
        self.lost_links.links.retain(|start, lost| {
            if now.saturating_duration_since(lost.lost_at) >= RESTART_TIMEOUT {
                return false;
            }
            let Some(item) = directory.endpoint(&start.0) else {
                return true;
            };
            if item.incarnation > start.1 {
                let requests = std::mem::take(&mut lost.requests);
                crashed.push((start.clone(), lost.lost_at, requests));
                return false;
            }
            item.state() != EndpointState::Leaving
        });
        for (start, lost_at, requests) in crashed {
            self.record_crashes(now, &start, lost_at, requests, actions);
        }
    }

    /// Records a part of a response: one of success that has lasted shows that its
    /// content is sound.
    pub(crate) fn record_progress(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        is_complete: bool,
    ) {
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let attempt = call.attempt.as_mut();
        let Some(attempt) = attempt.filter(|attempt| attempt.is_success) else {
            return;
        };
        let begun = *attempt.begun.get_or_insert(now);
        let has_lasted = is_complete || now.saturating_duration_since(begun) >= SOUND_TIME;
        if has_lasted && !attempt.has_lasted {
            attempt.has_lasted = true;
            let content = call.content_hash();
            self.prompts.record_sound(&[content], begun);
        }
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
        for sequence in self.calls.matching(|call| !call.head_sent) {
            let call = self.calls.get(sequence);
            if let Some(Err(refusal)) = call.map(|call| self.check_quarantine(now, call)) {
                self.cancel_with_refusal(now, sequence, refusal, actions);
            }
        }
    }

    /// Tells a control instance that may not know them of the quarantines.
    pub(crate) fn send_quarantines(&self, now: Instant, actions: &mut Actions) {
        if let Some(report) = self.prompts.quarantine_report(now) {
            self.send_prompt_report(report, actions);
        }
    }

    /// Returns when [`EntryRole::report_prompts`] is next due.
    pub(crate) fn report_deadline(&self) -> Option<Instant> {
        self.prompts.has_report().then_some(self.next_prompt_report)
    }

    /// Reports crashes at once, and the contents that are sound at an interval.
    pub(crate) fn report_prompts(&mut self, now: Instant, actions: &mut Actions) {
        if !self.prompts.has_crashes() && now < self.next_prompt_report {
            return;
        }
        self.prompts.remove_expired(now);
        if let Some(report) = self.prompts.take_report(now) {
            self.next_prompt_report = now + REPORT_INTERVAL;
            self.send_prompt_report(report, actions);
        }
    }

    fn send_prompt_report(&self, report: PromptReport, actions: &mut Actions) {
        let command = self.link.send(FrameBody::PromptReport(report));
        actions.extend(command.map(RoleAction::Link));
    }
}
