//! Trials of calls that may crash their endpoint.
//!
//! Algorithm: a call with a part or a content that control restricts is forwarded only
//! with a trial, which the control leader grants to one call at a time for all gateways.
//! The trial ends when the response has lasted, or with the attempt. Until then other
//! calls of the same suspects wait for a bounded time. A call whose trial was broken off
//! is not retried.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_limit::{EndpointStart, PartId, PartSet, TRIAL_RETRY};
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RequestId, RoleAction};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::{TrialEnd, TrialGrant, TrialRequest};
use mulberrywell_wire::FrameBody;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{CallStage, CallTrial, TrialSequence};
use crate::caller_responses::text;
use crate::gateway_role::{Actions, GatewayRole};

/// Time without an answer of the leader after which a trial counts as denied; several
/// times the round trip to control.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which a call waits for a trial: a trial whose response lasts ends the
/// restriction, and takes about half of that.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// A request for a trial that the leader has not answered.
#[derive(Debug)]
struct AskedTrial {
    request: RequestId,
    start: EndpointStart,
    subjects: PartSet,
    sent: Instant,
}

/// Requests for trials.
#[derive(Debug, Default)]
pub(crate) struct CrashTrials {
    asked: BTreeMap<TrialSequence, AskedTrial>,
    /// Until then, the leader isn't asked for a trial of a part or a content.
    denied: BTreeMap<PartId, Instant>,
    last_sequence: TrialSequence,
}

impl CrashTrials {
    fn is_denied(&self, now: Instant, subjects: &PartSet) -> bool {
        let mut ends = subjects.iter().filter_map(|it| self.denied.get(it));
        ends.any(|until| *until > now)
    }

    fn deny(&mut self, until: Instant, subjects: &PartSet) {
        let denied = subjects.iter().map(|subject| (*subject, until));
        self.denied.extend(denied);
    }

    /// Removes and returns the requests that the leader has not answered in time.
    fn take_overdue(&mut self, now: Instant) -> Vec<AskedTrial> {
        self.denied.retain(|_, until| *until > now);
        let is_overdue = |asked: &AskedTrial| asked.sent + TRIAL_TIMEOUT <= now;
        let overdue = self.asked.iter().filter(|(_, asked)| is_overdue(asked));
        let overdue: Vec<TrialSequence> = overdue.map(|(sequence, _)| *sequence).collect();
        let removed = overdue.iter().filter_map(|it| self.asked.remove(it));
        removed.collect()
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Returns whether a call must not be forwarded yet as it needs a trial; asks for one,
    /// or refuses the call if it has waited too long.
    pub(crate) fn await_trial(
        &mut self,
        now: Instant,
        request: RequestId,
        endpoint: &EndpointId,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request) else {
            return true;
        };
        if !self.prompts.has_restricted() || call.trial.is_open() {
            return false;
        }
        let id = call.terms.id.clone();
        let subjects = call.subjects();
        let restricted = self.prompts.restricted(&subjects);
        if restricted.is_empty() {
            return false;
        }
        if self.has_waited_for_trial(now, request) {
            let line = format!(
                "trial id={} endpoint={} subjects={} outcome=expired",
                text(&id),
                text(endpoint),
                subjects_text(&restricted),
            );
            actions.push(RoleAction::Log(LogLevel::Info, line));
            self.end_unserved(now, request, RefusalReason::NoEndpoint, actions);
            return true;
        }
        if self.trials.is_denied(now, &restricted) {
            self.calls.wait_for_endpoint(request);
            return true;
        }
        match self.links.leader_link() {
            Some(link) => {
                self.ask_trial(now, link, request, endpoint, subjects, restricted);
                true
            }
            None => !self.begin_local_trial(request, &restricted),
        }
    }

    /// Records that a call needs a trial; returns whether it has waited as long for one as
    /// it may.
    fn has_waited_for_trial(&mut self, now: Instant, request: RequestId) -> bool {
        let Some(call) = self.calls.get_mut(request) else {
            return true;
        };
        let since = *call.trial_wanted.get_or_insert(now);
        now.saturating_duration_since(since) >= TRIAL_WAIT_MAX
    }

    fn ask_trial(
        &mut self,
        now: Instant,
        link: LinkId,
        request: RequestId,
        endpoint: &EndpointId,
        subjects: Vec<PartId>,
        restricted: PartSet,
    ) {
        self.calls.park(request);
        self.trials.last_sequence += 1;
        let sequence = self.trials.last_sequence;
        let usage = self.endpoints.usage(endpoint);
        let start = (endpoint.clone(), usage.map_or(0, |usage| usage.born_ms()));
        self.trials.deny(now + TRIAL_TIMEOUT, &restricted);
        let asked = AskedTrial {
            request,
            start,
            subjects: restricted,
            sent: now,
        };
        self.trials.asked.insert(sequence, asked);
        let body = FrameBody::TrialRequest(TrialRequest {
            sequence,
            endpoint: endpoint.clone(),
            subjects,
        });
        self.commands.push(LinkCommand::Send { link, body });
    }

    /// Begins a trial without a leader, if no other call of the same suspects is at an
    /// endpoint; returns whether it has begun. Otherwise the call waits.
    fn begin_local_trial(&mut self, request: RequestId, restricted: &PartSet) -> bool {
        let is_open = self.calls.iter().any(|call| {
            let is_running = matches!(call.stage, CallStage::Running(_));
            let is_unproven = is_running && !call.response.has_lasted;
            is_unproven && call.subjects().iter().any(|it| restricted.contains(it))
        });
        if is_open {
            self.calls.wait_for_endpoint(request);
            return false;
        }
        if let Some(call) = self.calls.get_mut(request) {
            call.trial = CallTrial::Shared;
        }
        true
    }

    /// Handles the leader's answer: forwards the call, or lets it wait.
    pub(crate) fn handle_trial_grant(
        &mut self,
        now: Instant,
        link: LinkId,
        grant: TrialGrant,
        actions: &mut Actions,
    ) {
        let asked = self.trials.asked.remove(&grant.sequence);
        let Some(asked) = asked.filter(|asked| self.awaits_trial(asked.request)) else {
            if grant.granted && !grant.unneeded {
                self.send_trial_end(link, grant.sequence, false);
            }
            return;
        };
        if !grant.granted {
            self.deny_trial(now, &asked);
            return;
        }
        if let Some(call) = self.calls.get_mut(asked.request) {
            call.trial = match grant.unneeded {
                true => CallTrial::Shared,
                false => CallTrial::Granted(link, grant.sequence),
            };
        }
        self.begin_trial(now, &asked, actions);
    }

    /// Forwards a call to the endpoint of its trial, once it has the permit that the
    /// endpoint may need.
    fn begin_trial(&mut self, now: Instant, asked: &AskedTrial, actions: &mut Actions) {
        let request = asked.request;
        let Some(left) = self.check_attempt(now, request, actions) else {
            return;
        };
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let (endpoint, _) = &asked.start;
        if !self.fits_shutdown(now, call, Some(endpoint)) {
            self.leave_call(now, request, actions);
            return;
        }
        if !self.endpoints.accepts_requests(now, &asked.start) {
            self.end_trial(request, false);
            self.calls.wait_for_endpoint(request);
            return;
        }
        let line = format!(
            "trial id={} endpoint={} subjects={} outcome=granted",
            text(&call.terms.id),
            text(endpoint),
            subjects_text(&asked.subjects),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if self.endpoints.needs_permit(now, endpoint) {
            self.await_permit(now, request, endpoint, left, actions);
        } else {
            self.forward_call(now, request, endpoint, left, actions);
        }
    }

    fn deny_trial(&mut self, now: Instant, asked: &AskedTrial) {
        self.trials.deny(now + TRIAL_RETRY, &asked.subjects);
        self.calls.wait_for_endpoint(asked.request);
    }

    /// Returns whether a call that asked for a trial still waits.
    fn awaits_trial(&self, request: RequestId) -> bool {
        let call = self.calls.get(request);
        call.is_some_and(|call| call.stage == CallStage::Waiting && !call.trial.is_open())
    }

    /// Ends a call's trial, if it has one; `is_broken` if its endpoint broke it off.
    pub(crate) fn end_trial(&mut self, request: RequestId, is_broken: bool) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if !call.trial.is_open() {
            return;
        }
        let ended = match is_broken {
            true => CallTrial::Broken,
            false => CallTrial::None,
        };
        if let CallTrial::Granted(link, sequence) = std::mem::replace(&mut call.trial, ended) {
            self.send_trial_end(link, sequence, is_broken);
        }
    }

    /// Tells the instance that granted a trial of its end, whether or not that one leads at
    /// the moment: a trial that it takes for open holds up all calls of its suspects. Once
    /// the link is closed, the instance has ended the trial.
    fn send_trial_end(&mut self, link: LinkId, sequence: TrialSequence, broken: bool) {
        let body = FrameBody::TrialEnd(TrialEnd { sequence, broken });
        self.commands.push(LinkCommand::Send { link, body });
    }

    /// Lets the calls wait whose trials the leader has neither granted nor denied in time.
    pub(crate) fn expire_trials(&mut self, now: Instant) {
        for asked in self.trials.take_overdue(now) {
            if self.awaits_trial(asked.request) {
                self.deny_trial(now, &asked);
            }
        }
    }
}

fn subjects_text(subjects: &PartSet) -> String {
    let texts: Vec<String> = subjects.iter().map(|it| format!("{it:x}")).collect();
    texts.join(",")
}
