//! Endpoints that broke off their requests, and what these have in common.

use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::quarantine_table::{PartSet, QuarantineTable};

/// Identifies a part of a prompt, or the content of a request.
pub type PartId = u64;

/// Shortest time between two incidents of a chain. Endpoints that go down together are
/// noticed within milliseconds, and a request that is retried at once meets some of them
/// after they went.
const CHAIN_GAP_MIN: Duration = Duration::from_millis(20);

/// Maximum number of requests of one incident.
const REQUESTS_MAX: usize = 256;

/// What of a request endpoints may crash under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubjectKind {
    Content,
    Part,
}

/// A request that an endpoint broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// Hash of what it has in common with its repeats; 0 if unknown.
    pub content: PartId,
    /// The shared parts of its prompt; none for a plain service.
    pub parts: PartSet,
    /// When it was forwarded.
    pub forwarded: Instant,
    /// It was the only request of its suspects at any endpoint, and the only one with
    /// suspects at its own.
    pub is_trial: bool,
}

impl SuspectRequest {
    pub(crate) fn has(&self, subject: PartId) -> bool {
        self.content == subject || self.parts.contains(&subject)
    }
}

/// An endpoint that broke off its requests.
#[derive(Debug)]
pub(crate) struct CrashIncident {
    pub endpoint: Bytes,
    pub born_ms: u64,
    /// When the first request was broken off.
    pub at: Instant,
    /// Requests that were forwarded before the incident.
    pub requests: Vec<SuspectRequest>,
    /// Requests that seem to have been forwarded after the incident. Times are reckoned
    /// from the arrival of a report, so that this may be wrong if the report is late.
    late_requests: Vec<SuspectRequest>,
    /// One of the requests has a part that is quarantined by itself.
    has_quarantined_part: bool,
    /// Contents of the requests that are quarantined by themselves. Their requests caused
    /// the incident, by their contents or by a part of their prompts.
    quarantined_contents: PartSet,
}

impl CrashIncident {
    /// Creates an incident without requests.
    pub fn new(endpoint: Bytes, born_ms: u64, at: Instant) -> Self {
        CrashIncident {
            endpoint,
            born_ms,
            at,
            requests: Vec::new(),
            late_requests: Vec::new(),
            has_quarantined_part: false,
            quarantined_contents: PartSet::new(),
        }
    }

    /// Adds a request. It is no suspect if the endpoint had broken off before it was
    /// forwarded.
    pub fn push(&mut self, request: SuspectRequest) {
        let requests = match request.forwarded <= self.at {
            true => &mut self.requests,
            false => &mut self.late_requests,
        };
        if requests.len() < REQUESTS_MAX {
            requests.push(request);
        }
    }

    /// Records which of the requests' subjects are quarantined by themselves.
    pub fn record_quarantines(&mut self, quarantines: &QuarantineTable) {
        for request in self.requests.iter().chain(&self.late_requests) {
            let mut parts = request.parts.iter();
            self.has_quarantined_part |= parts.any(|part| quarantines.has_single(*part));
            if quarantines.has_single(request.content) {
                self.quarantined_contents.insert(request.content);
            }
        }
    }

    /// Returns whether a quarantined part or content explains it.
    pub fn is_explained(&self) -> bool {
        self.has_quarantined_part || !self.quarantined_contents.is_empty()
    }

    /// Returns whether it counts for subjects of a kind. A quarantined content explains
    /// it for other contents only, as a part of its requests' prompts may have caused it.
    pub fn is_open(&self, kind: SubjectKind) -> bool {
        match kind {
            SubjectKind::Content => !self.is_explained(),
            SubjectKind::Part => !self.has_quarantined_part,
        }
    }

    /// Returns the requests that may have caused it.
    pub fn suspects(&self) -> impl Iterator<Item = &SuspectRequest> + '_ {
        let contents = &self.quarantined_contents;
        let requests = self.requests.iter().filter(|_| !self.has_quarantined_part);
        requests.filter(move |it| contents.is_empty() || contents.contains(&it.content))
    }

    /// Returns whether a request that may have caused it has a part or a content.
    pub fn has(&self, subject: PartId) -> bool {
        self.suspects().any(|it| it.has(subject))
    }

    /// Returns whether any request has a part or a content.
    pub fn involves(&self, subject: PartId) -> bool {
        self.requests.iter().any(|it| it.has(subject))
    }

    /// Returns the shared parts of the requests that may have caused it.
    pub fn parts(&self) -> impl Iterator<Item = PartId> + '_ {
        self.suspects().flat_map(|it| it.parts.iter().copied())
    }

    /// Returns the shared parts of those requests and of the ones that seem to be late.
    pub fn all_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        let requests = self.late_requests.iter();
        let requests = requests.filter(|_| !self.is_explained());
        let late_parts = requests.flat_map(|it| it.parts.iter().copied());
        self.parts().chain(late_parts)
    }

    /// Returns the known contents of the requests that may have caused it.
    pub fn contents(&self) -> impl Iterator<Item = PartId> + '_ {
        let contents = self.suspects().map(|it| it.content);
        contents.filter(|content| *content != 0)
    }

    /// Returns whether a request with a part or a content was a trial.
    pub fn has_trial(&self, subject: PartId) -> bool {
        let mut trials = self.suspects().filter(|it| it.is_trial);
        trials.any(|it| it.has(subject))
    }

    /// Returns when the latest request with a part or a content was forwarded.
    pub fn forwarded(&self, subject: PartId) -> Option<Instant> {
        let requests = self.suspects().filter(|it| it.has(subject));
        requests.map(|it| it.forwarded).max()
    }
}

/// Returns the times of a chain of incidents in which each request with a part or a
/// content was forwarded after the incident before, and broken off some time later.
pub(crate) fn find_chain(subject: PartId, incidents: &[&CrashIncident]) -> Vec<Instant> {
    let mut chain: Vec<Instant> = Vec::new();
    for incident in incidents {
        let forwarded = incident.forwarded(subject);
        let is_next = chain.last().is_none_or(|last| {
            let has_gap = incident.at >= *last + CHAIN_GAP_MIN;
            has_gap && forwarded.is_some_and(|at| at > *last)
        });
        if is_next {
            chain.push(incident.at);
        }
    }
    chain
}
