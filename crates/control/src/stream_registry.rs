//! The software versions that began streams, so that a stream that a caller takes up goes
//! on at the version that began it.
//!
//! Algorithm: entries report each stream with its first event to every control instance,
//! which keeps it in memory for as long as the caller may take it up. While a service has
//! endpoints of one version only, that version has begun all its streams and nothing
//! else is kept. Otherwise the leader puts the origins into the replicated log as well,
//! so that they outlive a loss of all processes. The versions of each service are in
//! the log at all times: they tell after such a loss whether one that has left may have
//! begun streams.
//!
//! Guarantees: a recorded origin is a fact, whoever tells it. An instance names the only
//! version of a service if neither the log as far as it knows it nor a heartbeat within
//! [`SOFTWARE_LIFETIME`] named another. As an instance may lag behind, `stream_queries`
//! lets a leader that a quorum has confirmed name it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_serving::{EndpointRegistry, OriginTable, ServiceVersion, StreamKey};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::serving::{
    PutSoftware, PutStreams, StreamAnswer, StreamKnowledge, StreamOrigin, StreamQuery, StreamReport,
};

use crate::cluster_state::ClusterState;

/// Longest time for which a caller may take a stream up.
const STREAM_LIFETIME_MAX: Duration = Duration::from_secs(600);

/// Time for which a version may have begun streams after its last endpoint has gone.
const SOFTWARE_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of origins in one command.
const BATCH_MAX: usize = 1_000;

/// Time after which a proposal without an outcome is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// All that one control instance knows of streams.
#[derive(Debug, Default)]
pub struct StreamRegistry {
    /// Origins as entries reported them.
    reported: OriginTable<Instant>,
    /// Streams of `reported` that the log is not known to contain.
    unsaved: BTreeSet<StreamKey>,
    /// When each version of a service was last known to serve.
    seen: BTreeMap<Bytes, BTreeMap<Bytes, Instant>>,
    /// When the commands without an outcome were proposed.
    proposed: Option<Instant>,
}

impl StreamRegistry {
    /// Records the streams of an entry's report.
    pub fn record_report(&mut self, now: Instant, report: &StreamReport) {
        for item in &report.origins {
            let lifetime = Duration::from_millis(item.lifetime_ms).min(STREAM_LIFETIME_MAX);
            let origin = ServiceVersion {
                service: item.service.clone(),
                software: item.software.clone(),
            };
            if self.reported.insert(item.stream, &origin, now + lifetime) {
                self.unsaved.insert(item.stream);
            }
        }
    }

    /// Records that the log contains origins.
    pub fn record_saved(&mut self, put: &PutStreams) {
        for item in &put.origins {
            self.unsaved.remove(&item.stream);
        }
    }

    /// Records the outcome of the commands that were proposed.
    pub fn end_proposal(&mut self) {
        self.proposed = None;
    }

    /// Updates the versions that serve, and drops what has expired.
    pub fn tick(&mut self, now: Instant, endpoints: &EndpointRegistry, state: &ClusterState) {
        for status in endpoints.present() {
            let versions = self.seen.entry(status.service.clone()).or_default();
            versions.insert(status.software.clone(), now);
        }
        // Versions of the log may have served until the processes were lost.
        for (service, versions) in &state.software {
            let seen = self.seen.entry(service.clone()).or_default();
            for version in versions {
                seen.entry(version.clone()).or_insert(now);
            }
        }
        for versions in self.seen.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < SOFTWARE_LIFETIME);
        }
        self.seen.retain(|_, versions| !versions.is_empty());
        self.reported.remove_expired(now);
        let reported = &self.reported;
        self.unsaved
            .retain(|stream| reported.entry(*stream).is_some());
    }

    /// Returns the commands that the leader has to propose.
    pub fn due_commands(&mut self, now: Instant, state: &ClusterState) -> Vec<Body> {
        let is_open = |at: &Instant| now.saturating_duration_since(*at) < PROPOSAL_TIMEOUT;
        if self.proposed.as_ref().is_some_and(is_open) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for (service, seen) in &self.seen {
            let versions: BTreeSet<Bytes> = seen.keys().cloned().collect();
            if state.software.get(service) != Some(&versions) {
                commands.push(Body::PutSoftware(PutSoftware {
                    service: service.clone(),
                    versions: versions.into_iter().collect(),
                }));
            }
        }
        let origins = self.unsaved_origins(now);
        if !origins.is_empty() {
            commands.push(Body::PutStreams(PutStreams { origins }));
        }
        self.proposed = (!commands.is_empty()).then_some(now);
        commands
    }

    /// Returns the next origins of services with several versions for the log.
    fn unsaved_origins(&self, now: Instant) -> Vec<StreamOrigin> {
        if self.seen.values().all(|versions| versions.len() < 2) {
            return Vec::new();
        }
        let unsaved = self.unsaved.iter().filter_map(|stream| {
            let (origin, expires) = self.reported.entry(*stream)?;
            let versions = self.seen.get(&origin.service)?;
            (versions.len() > 1).then(|| stream_origin(*stream, origin, expires, now))
        });
        unsaved.take(BATCH_MAX).collect()
    }

    /// Answers an entry's query for the origin of a stream.
    pub fn answer(
        &self,
        query: &StreamQuery,
        endpoints: &EndpointRegistry,
        state: &ClusterState,
    ) -> StreamAnswer {
        let is_reported = self.reported.contains(query.stream);
        let is_recorded = is_reported || state.streams.contains(query.stream);
        let recorded = match is_reported {
            true => self.reported.get(query.stream),
            false => state.streams.get(query.stream),
        };
        let (knowledge, origin) = match recorded {
            Some(origin) => (StreamKnowledge::Recorded, Some(origin.clone())),
            // Two origins were recorded.
            None if is_recorded => (StreamKnowledge::None, None),
            None => match self.only_version(&query.service, endpoints, state) {
                Some(origin) => (StreamKnowledge::OnlyVersion, Some(origin)),
                None => (StreamKnowledge::None, None),
            },
        };
        StreamAnswer {
            sequence: query.sequence,
            knowledge: knowledge.into(),
            origin: origin.map(|origin| StreamOrigin {
                stream: query.stream,
                service: origin.service,
                software: origin.software,
                lifetime_ms: 0,
            }),
        }
    }

    /// Returns the version of a service if there is only one that may have begun streams.
    fn only_version(
        &self,
        service: &Bytes,
        endpoints: &EndpointRegistry,
        state: &ClusterState,
    ) -> Option<ServiceVersion> {
        let versions = state.software.get(service)?;
        let software = versions.first().filter(|_| versions.len() == 1)?;
        let seen = self.seen.get(service).into_iter().flatten();
        let mut others = seen.map(|(version, _)| version);
        let mut present = endpoints.present().filter(|it| it.service == *service);
        let is_only = others.all(|version| version == software)
            && present.all(|status| status.software == *software);
        is_only.then(|| ServiceVersion {
            service: service.clone(),
            software: software.clone(),
        })
    }
}

fn stream_origin(
    stream: StreamKey,
    origin: &ServiceVersion,
    expires: Instant,
    now: Instant,
) -> StreamOrigin {
    let lifetime = expires.saturating_duration_since(now).as_millis();
    StreamOrigin {
        stream,
        service: origin.service.clone(),
        software: origin.software.clone(),
        lifetime_ms: u64::try_from(lifetime).unwrap_or(u64::MAX),
    }
}
