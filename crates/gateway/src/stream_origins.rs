//! Keeps a stream at the software version that began it.
//!
//! Algorithm: the first event that a stream brings binds its call to the version of its
//! endpoint, so that a resumption within the response goes to that version only. The
//! origin is reported to every control instance under the id of the caller's request. A
//! caller that takes a stream up names that id; the version is looked up here, then at
//! all control instances. One that recorded the origin decides; without a record, a
//! majority that knows of a single version does. Otherwise the call is refused at once,
//! as its events could not be joined with those that the caller has.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::stable_hash;
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RequestId, RoleAction};
use mulberrywell_serving::{OriginTable, ServiceVersion, StreamKey};
use mulberrywell_wire::serving::{
    StreamAnswer, StreamKnowledge, StreamOrigin, StreamQuery, StreamReport,
};
use mulberrywell_wire::FrameBody;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{CallRecord, StreamVersion};
use crate::caller_responses::text;
use crate::gateway_role::{Actions, GatewayRole};

/// Interval of reports of begun streams.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the caller's deadline on for which the origin is still kept.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Time without an answer that decides after which the version counts as unknown; several
/// times the round trip to control.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Retry delay sent when the version is unknown or gone: a control instance that starts
/// learns of streams, and an endpoint that crashed is back, within about a second.
const VERSION_RETRY: Duration = Duration::from_millis(1_000);

/// A call that waits for the version of its stream.
#[derive(Debug)]
struct OriginLookup {
    request: RequestId,
    since: Instant,
    /// Links that the query was sent on.
    asked: usize,
    /// Answers without a record: the only version that the instance knows of, if any.
    answers: BTreeMap<LinkId, Option<Bytes>>,
}

impl OriginLookup {
    /// Returns the version that a majority of the instances knows as the only one.
    fn agreed_version(&self, instances: usize) -> Option<&Bytes> {
        let versions = self.answers.values().flatten();
        let first = versions.clone().next()?;
        let count = versions.filter(|version| *version == first).count();
        (2 * count > instances).then_some(first)
    }
}

/// Streams that this instance has begun, and lookups of others.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    begun: OriginTable<Instant>,
    /// Streams of `begun` that were not reported yet.
    unreported: Vec<StreamKey>,
    /// Further origins of streams that were not reported yet.
    disputed: Vec<StreamOrigin>,
    next_report: Instant,
    lookups: BTreeMap<u64, OriginLookup>,
    last_sequence: u64,
}

impl StreamOrigins {
    /// Creates a record without streams.
    pub fn new(now: Instant) -> Self {
        StreamOrigins {
            begun: OriginTable::default(),
            unreported: Vec::new(),
            disputed: Vec::new(),
            next_report: now,
            lookups: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    fn report_of(&self, now: Instant, streams: impl Iterator<Item = StreamKey>) -> StreamReport {
        let origins = streams.filter_map(|stream| {
            let (origin, expires) = self.begun.entry(stream)?;
            Some(reported_origin(now, stream, origin.clone(), expires))
        });
        StreamReport {
            origins: origins.collect(),
        }
    }

    /// Records one of two origins of a stream.
    pub fn record_disputed(
        &mut self,
        now: Instant,
        stream: StreamKey,
        origin: ServiceVersion,
        expires: Instant,
    ) {
        self.begun.insert(stream, &origin, expires);
        self.disputed
            .push(reported_origin(now, stream, origin, expires));
    }

    fn has_report(&self) -> bool {
        !self.unreported.is_empty() || !self.disputed.is_empty()
    }

    /// Returns when a report or the end of a lookup is due.
    pub fn deadline(&self) -> Option<Instant> {
        let report = self.has_report().then_some(self.next_report);
        let lookups = self.lookups.values().map(|lookup| lookup.since);
        let lookup = lookups.min().map(|since| since + LOOKUP_TIMEOUT);
        report.into_iter().chain(lookup).min()
    }
}

/// Returns the key under which the origin of a request's stream is recorded.
pub(crate) fn stream_key(id: &Bytes) -> StreamKey {
    stable_hash(&[id]).max(1)
}

/// Returns until when the origin of a call's stream is kept.
pub(crate) fn stream_expiry(call: &CallRecord) -> Instant {
    let timeout = call.terms.timeout.map(|timeout| call.started + timeout);
    let deadline = timeout.map_or(call.deadline, |at| at.max(call.deadline));
    deadline + LIFETIME_MARGIN
}

fn reported_origin(
    now: Instant,
    stream: StreamKey,
    origin: ServiceVersion,
    expires: Instant,
) -> StreamOrigin {
    let lifetime = expires.saturating_duration_since(now).as_millis();
    StreamOrigin {
        stream,
        service: origin.service,
        software: origin.software,
        lifetime_ms: u64::try_from(lifetime).unwrap_or(u64::MAX),
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Binds a call to the version whose first event it forwards.
    pub(crate) fn bind_begun_stream(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if call.version_bound != StreamVersion::Any {
            return;
        }
        if call.is_version_unsure {
            self.dispute_stream(now, request, actions);
            return;
        }
        let software = call.endpoint_software.clone();
        call.version_bound = StreamVersion::Bound(software.clone());
        if call.terms.id.is_empty() {
            return;
        }
        let stream = stream_key(&call.terms.id);
        let origin = ServiceVersion {
            service: call.service.clone(),
            software,
        };
        let expires = stream_expiry(call);
        self.streams.begun.remove_expired(now);
        if self.streams.begun.insert(stream, &origin, expires) {
            self.streams.unreported.push(stream);
        }
    }

    /// Reports the streams that were begun since the last report to every control
    /// instance.
    pub(crate) fn report_streams(&mut self, now: Instant) {
        if !self.streams.has_report() || now < self.streams.next_report {
            return;
        }
        self.streams.next_report = now + REPORT_INTERVAL;
        let streams = std::mem::take(&mut self.streams.unreported);
        let mut report = self.streams.report_of(now, streams.into_iter());
        report.origins.append(&mut self.streams.disputed);
        for link in self.links.open_links() {
            let body = FrameBody::StreamReport(report.clone());
            self.commands.push(LinkCommand::Send { link, body });
        }
    }

    /// Reports all streams on a new link: the control instance may have restarted.
    pub(crate) fn report_all_streams(&mut self, now: Instant, link: LinkId) {
        self.streams.begun.remove_expired(now);
        let streams = self.streams.begun.iter().map(|(stream, ..)| stream);
        let report = self.streams.report_of(now, streams);
        if !report.origins.is_empty() {
            let body = FrameBody::StreamReport(report);
            self.commands.push(LinkCommand::Send { link, body });
        }
    }

    /// Returns whether the version of a call's stream is known, or none is needed;
    /// otherwise looks it up.
    pub(crate) fn resolve_version(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        if call.version_bound != StreamVersion::Unresolved {
            return true;
        }
        let stream = call.terms.resumes.as_ref().map_or(0, stream_key);
        self.streams.begun.remove_expired(now);
        if let Some(origin) = self.streams.begun.get(stream).cloned() {
            return self.bind_stream(now, request, &origin, "own", actions);
        }
        let service = call.service.clone();
        self.calls.park(request);
        self.start_lookup(now, request, stream, &service, actions);
        false
    }

    fn start_lookup(
        &mut self,
        now: Instant,
        request: RequestId,
        stream: StreamKey,
        service: &Bytes,
        actions: &mut Actions,
    ) {
        self.streams.last_sequence += 1;
        let sequence = self.streams.last_sequence;
        let mut asked = 0;
        for link in self.links.open_links() {
            asked += 1;
            let body = FrameBody::StreamQuery(StreamQuery {
                sequence,
                stream,
                service: service.clone(),
            });
            self.commands.push(LinkCommand::Send { link, body });
        }
        if asked == 0 {
            self.refuse_unknown(now, request, 0, actions);
            return;
        }
        let lookup = OriginLookup {
            request,
            since: now,
            asked,
            answers: BTreeMap::new(),
        };
        self.streams.lookups.insert(sequence, lookup);
    }

    /// Handles a control instance's answer to a lookup.
    pub(crate) fn handle_stream_answer(
        &mut self,
        now: Instant,
        link: LinkId,
        answer: StreamAnswer,
        actions: &mut Actions,
    ) {
        let sequence = answer.sequence;
        let Some(lookup) = self.streams.lookups.get_mut(&sequence) else {
            return;
        };
        let request = lookup.request;
        let knowledge = answer.knowledge();
        let origin = answer.origin.unwrap_or_default();
        let mut origin = ServiceVersion {
            service: origin.service,
            software: origin.software,
        };
        let mut source = "recorded";
        if knowledge != StreamKnowledge::Recorded {
            let is_only = knowledge == StreamKnowledge::OnlyVersion;
            lookup
                .answers
                .insert(link, is_only.then_some(origin.software));
            let (asked, answered) = (lookup.asked, lookup.answers.len());
            let agreed = lookup.agreed_version(self.links.instance_count().max(asked));
            let Some(software) = agreed.cloned() else {
                if answered >= asked {
                    self.streams.lookups.remove(&sequence);
                    self.refuse_unknown(now, request, answered, actions);
                }
                return;
            };
            origin.software = software;
            source = "only_version";
        }
        self.streams.lookups.remove(&sequence);
        let is_waiting = |call: &CallRecord| call.version_bound == StreamVersion::Unresolved;
        if self.calls.get(request).is_some_and(is_waiting)
            && self.bind_stream(now, request, &origin, source, actions)
        {
            self.start_attempt(now, request, actions);
        }
    }

    /// Binds a call to the version that began its stream; returns whether its service
    /// still is the one that began it.
    fn bind_stream(
        &mut self,
        now: Instant,
        request: RequestId,
        origin: &ServiceVersion,
        source: &str,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get_mut(request) else {
            return false;
        };
        let is_same_service = call.service == origin.service;
        let line = format!(
            "stream id={} resumes={} service={} began_at={} software={} source={source} \
             outcome={}",
            text(&call.terms.id),
            call.terms.resumes.as_ref().map(text).unwrap_or_default(),
            text(&call.service),
            text(&origin.service),
            text(&origin.software),
            if is_same_service { "bound" } else { "moved" },
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        call.version_bound = StreamVersion::Bound(origin.software.clone());
        if !is_same_service {
            self.end_unserved(now, request, RefusalReason::VersionGone, actions);
        }
        is_same_service
    }

    /// Refuses a call whose stream nobody knows.
    fn refuse_unknown(
        &mut self,
        now: Instant,
        request: RequestId,
        answers: usize,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let line = format!(
            "stream id={} resumes={} service={} answers={answers} outcome=unknown",
            text(&call.terms.id),
            call.terms.resumes.as_ref().map(text).unwrap_or_default(),
            text(&call.service),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        let retry_after = Some(VERSION_RETRY);
        self.refuse_call(
            now,
            request,
            RefusalReason::OriginUnknown,
            retry_after,
            actions,
        );
    }

    /// Ends the lookups that were not decided in time.
    pub(crate) fn expire_lookups(&mut self, now: Instant, actions: &mut Actions) {
        let lookups = self.streams.lookups.iter();
        let expired = lookups.filter(|(_, lookup)| lookup.since + LOOKUP_TIMEOUT <= now);
        let expired: Vec<u64> = expired.map(|(sequence, _)| *sequence).collect();
        for sequence in expired {
            if let Some(lookup) = self.streams.lookups.remove(&sequence) {
                self.refuse_unknown(now, lookup.request, lookup.answers.len(), actions);
            }
        }
    }
}
