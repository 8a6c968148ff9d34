//! Endpoints as this instance knows and uses them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::FailureShare;
use mulberrywell_policy::{stable_hash, PrefixCache};
use mulberrywell_serving::{EndpointBook, EndpointId, MergeOutcome};
use mulberrywell_wire::serving::{EndpointLoad, EndpointPhase, EndpointStatus, LoadShare};

use crate::call_codec::ModelTerms;

/// Pause after a failure, doubled with each further one.
const AVOID_MIN: Duration = Duration::from_millis(500);

/// Longest pause after failures.
const AVOID_MAX: Duration = Duration::from_secs(8);

/// What an endpoint's requests are and were.
#[derive(Debug, Clone, Default)]
pub struct EndpointUse {
    /// Where it is reached; none when its address can't be read.
    pub address: Option<SocketAddr>,
    /// Hash of its name.
    pub hash: u64,
    /// Start that the rest belongs to.
    born_ms: u64,
    /// Requests that were handed over and have not ended.
    pub running: u32,
    /// Prompt tokens of requests without a first event.
    pub unread_tokens: u64,
    /// What the other entries have there, as control told it last.
    pub others: OtherLoad,
    /// What control was told: requests and unread tokens.
    told: (u32, u64),
    /// Parts of prompts that it is believed to keep.
    pub cache: PrefixCache,
    /// Models and adapters that it said it does not hold after all, until its
    /// next word.
    missing: BTreeSet<ModelTerms>,
    /// Failures in a row.
    failures: u32,
    /// Failures among its recent answers.
    share: FailureShare,
    /// Until then others go first.
    avoid_until: Option<Instant>,
}

/// What other entries have at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct OtherLoad {
    /// Requests.
    pub running: u32,
    /// Prompt tokens of requests without a first event.
    pub unread_tokens: u64,
}

impl EndpointUse {
    /// Tells whether others go first.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now) || self.share.is_faulty(now)
    }

    /// Notes an answer.
    pub fn note_success(&mut self, now: Instant) {
        self.share.note(now, false);
        self.failures = 0;
        self.avoid_until = None;
    }

    /// Notes a failed exchange.
    pub fn note_failure(&mut self, now: Instant) {
        self.share.note(now, true);
        let pause = AVOID_MIN * 2_u32.saturating_pow(self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = Some(now + pause.min(AVOID_MAX));
    }

    /// Notes that it does not hold a model.
    pub fn note_missing(&mut self, model: ModelTerms) {
        self.missing.insert(model);
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    book: EndpointBook,
    uses: BTreeMap<EndpointId, EndpointUse>,
    /// Endpoints by service, those that have gone left out.
    services: BTreeMap<Bytes, Vec<EndpointId>>,
}

impl EndpointTable {
    /// Takes in a control instance's word; tells whether it changed anything.
    pub fn merge(&mut self, status: EndpointStatus) -> bool {
        let id = status.id.clone();
        let address = std::str::from_utf8(&status.address);
        let address = address.ok().and_then(|text| text.parse().ok());
        let born_ms = status.born_ms;
        if self.book.merge(status) != MergeOutcome::Changed {
            return false;
        }
        let usage = self.uses.entry(id.clone()).or_default();
        if usage.born_ms != born_ms {
            *usage = EndpointUse {
                hash: stable_hash(&[&id]),
                born_ms,
                ..EndpointUse::default()
            };
        }
        usage.address = address;
        usage.missing.clear();
        self.index();
        true
    }

    fn index(&mut self) {
        self.services.clear();
        for status in self.book.present() {
            let ids = self.services.entry(status.service.clone()).or_default();
            ids.push(status.id.clone());
        }
        let book = &self.book;
        self.uses.retain(|id, usage| {
            let status = book.find(id);
            usage.running > 0 || status.is_some_and(|it| it.phase() != EndpointPhase::Gone)
        });
    }

    /// Returns the endpoints of a service that take requests.
    pub fn serving<'a>(
        &'a self,
        service: &Bytes,
    ) -> impl Iterator<Item = (&'a EndpointStatus, &'a EndpointUse)> {
        let ids = self.services.get(service).into_iter().flatten();
        let known = ids.filter_map(|id| Some((self.book.find(id)?, self.uses.get(id)?)));
        known.filter(|(status, usage)| {
            status.phase() == EndpointPhase::Ready && usage.address.is_some()
        })
    }

    /// Returns the endpoints of a service that hold a model.
    pub fn holding<'a>(
        &'a self,
        service: &Bytes,
        model: &'a ModelTerms,
    ) -> impl Iterator<Item = (&'a EndpointStatus, &'a EndpointUse)> {
        self.serving(service)
            .filter(|(status, usage)| holds(status, model) && !usage.missing.contains(model))
    }

    /// Returns what has changed of this entry's loads since it was told.
    pub fn take_loads(&mut self) -> LoadShare {
        let mut loads = Vec::new();
        for (id, usage) in &mut self.uses {
            let load = (usage.running, usage.unread_tokens);
            if usage.told != load {
                usage.told = load;
                loads.push(EndpointLoad {
                    endpoint: id.clone(),
                    running: usage.running,
                    unread: usage.unread_tokens,
                });
            }
        }
        LoadShare { loads }
    }

    /// Takes in what the other entries have at endpoints.
    pub fn hear_loads(&mut self, share: LoadShare) {
        for load in share.loads {
            if let Some(usage) = self.uses.get_mut(&load.endpoint) {
                usage.others = OtherLoad {
                    running: load.running,
                    unread_tokens: load.unread,
                };
            }
        }
    }

    /// Forgets what the other entries have, and tells everything anew.
    pub fn forget_loads(&mut self) {
        for usage in self.uses.values_mut() {
            usage.others = OtherLoad::default();
            usage.told = (0, 0);
        }
    }

    /// Returns how an endpoint is used.
    pub fn usage_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointUse> {
        self.uses.get_mut(id)
    }

    /// Returns how many endpoints have not gone.
    pub fn len(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }
}

fn holds(status: &EndpointStatus, model: &ModelTerms) -> bool {
    if status.closing.contains(&model.model) {
        return false;
    }
    let mut models = status.models.iter();
    let held = models.find(|held| held.name == model.model);
    held.is_some_and(|held| model.adapter.is_empty() || held.adapters.contains(&model.adapter))
}
