//! Chooses the endpoint of an attempt at an entry instance.
//!
//! Purpose: each entry instance knows an endpoint's load only by hints that
//! lag and get lost. This module turns hints and the entry's own work into an
//! expected time to the first token and chooses by it.
//!
//! Guarantees: the choice depends on the arguments alone; an endpoint that is
//! known to be full is chosen only when all candidates are; a hint of another
//! incarnation or past its lifetime counts for nothing.
//!
//! Algorithm: candidates are ranked by rendezvous hashing with the entry's
//! name (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
//! Rates", 1998), which gives each entry a stable subset. Two members of the
//! subset are drawn and the one with the shorter expected time is taken
//! (Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing",
//! 2001). An endpoint with the request's prompt prefix joins the draw. When the
//! best of the draw is full or too late, all candidates are compared.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::stable_hash::{mix_bits, stable_hash};

/// Constants of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ChoiceSettings {
    /// Endpoints that one entry prefers for a model.
    pub subset_len: usize,
    /// Age up to which a hint counts in full.
    pub hint_fresh: Duration,
    /// Age from which a hint counts for nothing; more than `hint_fresh`.
    pub hint_lifetime: Duration,
    /// Added for an endpoint in another availability zone.
    pub zone_cost: Duration,
    /// Prompt tokens that an idle engine reads in a second.
    pub prompt_rate: u64,
    /// Share of the prompt, in percent, that a cached prefix saves.
    pub prefix_saving: u64,
    /// Expected wait behind one request where no hint tells the rate.
    pub request_time: Duration,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            subset_len: 8,
            hint_fresh: Duration::from_millis(400),
            hint_lifetime: Duration::from_secs(3),
            zone_cost: Duration::from_millis(2),
            prompt_rate: 8_000,
            prefix_saving: 80,
            request_time: Duration::from_millis(50),
        }
    }
}

/// What an endpoint said of its load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadHint {
    /// Start of the endpoint that the hint belongs to.
    pub incarnation: u64,
    /// Rises within an incarnation; an older hint is ignored.
    pub sequence: u64,
    /// Requests at the engine.
    pub running: u32,
    /// Requests in the agent's queue.
    pub queued: u32,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Requests that the queue holds; 0 where it is not known.
    pub queue_limit: u32,
    /// Tokens that the endpoint served in the last second; 0 where unknown.
    pub tokens_per_second: u64,
    /// Expected wait of a new request by model; a model without an entry has
    /// the longest of them.
    pub waits: BTreeMap<Bytes, Duration>,
    /// Digests of cached prompt prefixes.
    pub prefixes: Vec<u64>,
    /// The endpoint takes no new work.
    pub leaving: bool,
}

/// An endpoint that could take the attempt.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate<'a> {
    /// Name.
    pub name: &'a Bytes,
    /// Availability zone.
    pub zone: &'a Bytes,
    /// Incarnation in the directory.
    pub incarnation: u64,
    /// Time until the model or adapter answers there; zero when it is resident.
    pub ready_delay: Duration,
}

/// What the choice has to know of the request.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Model or adapter; empty for a plain service.
    pub model: &'a Bytes,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt and output bound in tokens.
    pub total_tokens: u64,
    /// Digest of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Differs between attempts; seeds the draw.
    pub seed: u64,
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// Place in the list of candidates.
    pub index: usize,
    /// Expected time to the first token.
    pub expected: Duration,
    /// The endpoint was not among those drawn.
    pub spilled: bool,
    /// All candidates are known to be full.
    pub full: bool,
}

/// Prefixes that are remembered for each endpoint.
const SENT_PREFIXES_MAX: usize = 256;

/// What an entry knows of one endpoint.
#[derive(Debug, Default)]
struct EndpointView {
    hint: Option<(Instant, LoadHint)>,
    /// Attempts of this entry that have not ended.
    in_flight: u32,
    /// Their tokens.
    in_flight_tokens: u64,
    /// `in_flight` and `in_flight_tokens` when the hint came.
    hint_in_flight: u32,
    hint_tokens: u64,
    /// Prefixes that this entry sent here lately, oldest first.
    sent_prefixes: VecDeque<u64>,
}

/// One candidate's figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateScore {
    full: bool,
    expected: Duration,
    /// Drawn by the request's seed, so that equal candidates share the load.
    tie: u64,
    index: usize,
}

/// Chooses endpoints for one entry instance.
#[derive(Debug)]
pub struct EndpointChooser {
    entry: Bytes,
    zone: Bytes,
    settings: ChoiceSettings,
    views: BTreeMap<Bytes, EndpointView>,
    /// Reused: hash and place of each candidate.
    ranked: Vec<(Reverse<u64>, usize)>,
}

impl EndpointChooser {
    /// Creates a chooser for the entry instance `entry` in `zone`.
    pub fn new(entry: Bytes, zone: Bytes, settings: ChoiceSettings) -> Self {
        EndpointChooser {
            entry,
            zone,
            settings,
            views: BTreeMap::new(),
            ranked: Vec::new(),
        }
    }

    /// Takes a hint that came at `now`; late and repeated ones are ignored.
    pub fn take_hint(&mut self, now: Instant, endpoint: &Bytes, hint: LoadHint) {
        let view = self.views.entry(endpoint.clone()).or_default();
        let stale = view.hint.as_ref().is_some_and(|(_, known)| {
            (known.incarnation, known.sequence) >= (hint.incarnation, hint.sequence)
        });
        if stale {
            return;
        }
        view.hint_in_flight = view.in_flight;
        view.hint_tokens = view.in_flight_tokens;
        view.hint = Some((now, hint));
    }

    /// Notes that an attempt was sent.
    pub fn attempt_started(&mut self, endpoint: &Bytes, total_tokens: u64, prefix: u64) {
        let view = self.views.entry(endpoint.clone()).or_default();
        view.in_flight += 1;
        view.in_flight_tokens += total_tokens;
        if prefix != 0 && !view.sent_prefixes.contains(&prefix) {
            view.sent_prefixes.push_back(prefix);
            if view.sent_prefixes.len() > SENT_PREFIXES_MAX {
                view.sent_prefixes.pop_front();
            }
        }
    }

    /// Notes that an attempt ended, however it did.
    pub fn attempt_ended(&mut self, endpoint: &Bytes, total_tokens: u64) {
        if let Some(view) = self.views.get_mut(endpoint) {
            view.in_flight = view.in_flight.saturating_sub(1);
            view.in_flight_tokens = view.in_flight_tokens.saturating_sub(total_tokens);
        }
    }

    /// Counts the attempts of this entry at an endpoint.
    pub fn in_flight(&self, endpoint: &Bytes) -> u32 {
        self.views.get(endpoint).map_or(0, |view| view.in_flight)
    }

    /// Forgets an endpoint that is gone and has no attempt of this entry.
    pub fn forget(&mut self, endpoint: &Bytes) {
        if self.in_flight(endpoint) == 0 {
            self.views.remove(endpoint);
        }
    }

    /// Chooses one of the candidates; none only where there is none.
    pub fn choose(
        &mut self,
        now: Instant,
        request: &ChoiceRequest<'_>,
        candidates: &[EndpointCandidate<'_>],
    ) -> Option<ChosenEndpoint> {
        self.rank(candidates);
        let drawn = self.draw(request, candidates);
        let score = |index: usize| self.score(now, request, candidates[index], index);
        let best = drawn.iter().flatten().map(|index| score(*index)).min()?;
        if !best.full && best.expected < request.time_left {
            return Some(chosen(best, false));
        }
        let other = (0..candidates.len()).map(score).min()?;
        let spilled = !drawn.contains(&Some(other.index));
        Some(chosen(other, spilled))
    }

    /// Puts the candidates into the order of this entry's preference.
    fn rank(&mut self, candidates: &[EndpointCandidate<'_>]) {
        let entry = &self.entry;
        self.ranked.clear();
        self.ranked.extend(
            candidates
                .iter()
                .enumerate()
                .map(|(index, candidate)| (Reverse(stable_hash(&[entry, candidate.name])), index)),
        );
        let subset_len = self.settings.subset_len.max(1);
        if self.ranked.len() > subset_len {
            self.ranked.select_nth_unstable(subset_len - 1);
            self.ranked.truncate(subset_len);
        }
        self.ranked.sort_unstable();
    }

    /// Draws two members of the subset and the holder of the prefix.
    fn draw(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: &[EndpointCandidate<'_>],
    ) -> [Option<usize>; 3] {
        let len = self.ranked.len();
        if len == 0 {
            return [None; 3];
        }
        let bits = mix_bits(request.seed);
        let first = (bits % len as u64) as usize;
        let step = 1 + ((bits >> 32) % (len as u64 - 1).max(1)) as usize;
        let second = (first + step) % len;
        let holder = self
            .ranked
            .iter()
            .map(|(_, index)| *index)
            .find(|index| self.has_prefix(candidates[*index].name, request.prefix));
        let at = |place: usize| Some(self.ranked[place].1);
        [at(first), at(second), holder]
    }

    fn has_prefix(&self, endpoint: &Bytes, prefix: u64) -> bool {
        prefix != 0
            && self.views.get(endpoint).is_some_and(|view| {
                let hinted = view.hint.as_ref();
                view.sent_prefixes.contains(&prefix)
                    || hinted.is_some_and(|(_, hint)| hint.prefixes.contains(&prefix))
            })
    }

    fn score(
        &self,
        now: Instant,
        request: &ChoiceRequest<'_>,
        candidate: EndpointCandidate<'_>,
        index: usize,
    ) -> CandidateScore {
        let mut expected = candidate.ready_delay + self.prompt_time(request, candidate.name);
        if *candidate.zone != self.zone {
            expected += self.settings.zone_cost;
        }
        let mut full = false;
        if let Some(view) = self.views.get(candidate.name) {
            let own = self.settings.request_time * view.in_flight;
            let (share, hinted, at_limit) = self.hinted_wait(now, request, candidate, view);
            full = at_limit;
            expected += hinted.mul_f64(share) + own.mul_f64(1.0 - share);
        }
        CandidateScore {
            full,
            expected,
            tie: mix_bits(request.seed ^ mix_bits(index as u64)),
            index,
        }
    }

    fn prompt_time(&self, request: &ChoiceRequest<'_>, endpoint: &Bytes) -> Duration {
        let cached = self.has_prefix(endpoint, request.prefix);
        let saved = if cached {
            self.settings.prefix_saving
        } else {
            0
        };
        let tokens = request.prompt_tokens * (100 - saved.min(100)) / 100;
        token_time(tokens, self.settings.prompt_rate)
    }

    /// Returns the weight of the hint, the wait by it, and whether it is full.
    fn hinted_wait(
        &self,
        now: Instant,
        request: &ChoiceRequest<'_>,
        candidate: EndpointCandidate<'_>,
        view: &EndpointView,
    ) -> (f64, Duration, bool) {
        let Some((at, hint)) = &view.hint else {
            return (0.0, Duration::ZERO, false);
        };
        let share = self.hint_share(now.saturating_duration_since(*at));
        if hint.incarnation != candidate.incarnation || share == 0.0 {
            return (0.0, Duration::ZERO, false);
        }
        let added = view.in_flight.saturating_sub(view.hint_in_flight);
        let ended = view.hint_in_flight.saturating_sub(view.in_flight);
        let present = (hint.running + hint.queued + added).saturating_sub(ended);
        let limit = hint.slots.saturating_add(hint.queue_limit);
        let full = hint.leaving || (hint.queue_limit > 0 && present >= limit);
        let any = || hint.waits.values().max();
        let reported = hint.waits.get(request.model).or_else(any).copied();
        let reported = reported.unwrap_or_default();
        let over = present.saturating_add(1).saturating_sub(hint.slots);
        let behind_own = if over == 0 {
            Duration::ZERO
        } else {
            self.own_wait(hint, added.min(over), view)
        };
        let busy = self.settings.request_time * present.min(hint.slots) / hint.slots.max(1);
        (share, reported + behind_own + busy, full)
    }

    /// Returns the wait behind what this entry sent after the hint.
    fn own_wait(&self, hint: &LoadHint, added: u32, view: &EndpointView) -> Duration {
        if hint.tokens_per_second == 0 {
            return self.settings.request_time * added;
        }
        let tokens = view.in_flight_tokens.saturating_sub(view.hint_tokens);
        token_time(tokens, hint.tokens_per_second)
    }

    /// Returns how much a hint of this age counts, from 1 down to 0.
    fn hint_share(&self, age: Duration) -> f64 {
        let (fresh, end) = (self.settings.hint_fresh, self.settings.hint_lifetime);
        if age <= fresh {
            return 1.0;
        }
        let left = end.saturating_sub(age).as_secs_f64();
        left / end.saturating_sub(fresh).as_secs_f64().max(f64::EPSILON)
    }
}

fn chosen(score: CandidateScore, spilled: bool) -> ChosenEndpoint {
    ChosenEndpoint {
        index: score.index,
        expected: score.expected,
        spilled,
        full: score.full,
    }
}

/// Returns the time for a number of tokens at a rate in tokens a second.
fn token_time(tokens: u64, rate: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1_000) / rate.max(1))
}
