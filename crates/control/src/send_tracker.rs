//! Collects the prompts that entries sent to engines, and tells each entry those of the
//! others.
//!
//! The same part at the same endpoint is named once in a broadcast, with the number of
//! requests. What exceeds the bounds is dropped: entries then read a prompt again that an
//! engine has cached.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::serving::{PromptSends, SentPart};

/// Interval at which the sends are told.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of parts at endpoints in a broadcast.
const PARTS_MAX: usize = 4_096;

/// Prompts sent to one start of an endpoint.
#[derive(Debug, Default)]
struct EndpointSends {
    /// Parts in the order in which they were first named, with the requests of each
    /// entry.
    parts: Vec<(SentPart, BTreeMap<LinkId, u32>)>,
    /// Other tokens by entry.
    others: BTreeMap<LinkId, u64>,
}

/// Prompts that all entries sent since the last broadcast.
#[derive(Debug, Default)]
pub struct SendTracker {
    endpoints: BTreeMap<(Bytes, u64), EndpointSends>,
    parts: usize,
    last_broadcast: Option<Instant>,
}

impl SendTracker {
    /// Records what an entry sent to an endpoint.
    pub fn record_report(&mut self, link: LinkId, sends: PromptSends) {
        let key = (sends.endpoint, sends.born_ms);
        let known = self.endpoints.entry(key).or_default();
        let other = known.others.entry(link).or_default();
        *other = other.saturating_add(sends.other_tokens);
        for part in sends.parts {
            let mut parts = known.parts.iter_mut();
            let found = parts.find(|(known, _)| known.chain == part.chain);
            let requests = match found {
                Some((_, requests)) => requests,
                None if self.parts >= PARTS_MAX => continue,
                None => {
                    self.parts += 1;
                    known.parts.push((part, BTreeMap::new()));
                    let Some((_, requests)) = known.parts.last_mut() else {
                        continue;
                    };
                    requests
                }
            };
            let count = requests.entry(link).or_default();
            *count = count.saturating_add(part.requests);
        }
    }

    /// Returns all sends if they are to be told now, and begins anew.
    pub fn take_due(&mut self, now: Instant) -> DueSends {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .last_broadcast
            .is_some_and(|at| since(at) < BROADCAST_INTERVAL)
        {
            return DueSends::default();
        }
        self.last_broadcast = Some(now);
        self.parts = 0;
        DueSends {
            endpoints: std::mem::take(&mut self.endpoints),
        }
    }
}

/// Sends that are to be told.
#[derive(Debug, Default)]
pub struct DueSends {
    endpoints: BTreeMap<(Bytes, u64), EndpointSends>,
}

impl DueSends {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns what entries other than one have sent.
    pub fn of_others(&self, link: LinkId) -> Vec<PromptSends> {
        let sends = self.endpoints.iter().map(|((endpoint, born_ms), sends)| {
            let parts = sends.parts.iter().filter_map(|(part, requests)| {
                let others = requests.iter().filter(|(entry, _)| **entry != link);
                let requests = others.fold(0_u32, |sum, (_, it)| sum.saturating_add(*it));
                (requests > 0).then_some(SentPart { requests, ..*part })
            });
            let others = sends.others.iter().filter(|(entry, _)| **entry != link);
            PromptSends {
                endpoint: endpoint.clone(),
                born_ms: *born_ms,
                parts: parts.collect(),
                other_tokens: others.fold(0, |sum, (_, it)| sum.saturating_add(*it)),
            }
        });
        let has_any = |it: &PromptSends| !it.parts.is_empty() || it.other_tokens > 0;
        sends.filter(has_any).collect()
    }
}
