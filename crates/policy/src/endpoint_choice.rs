//! Chooses the endpoint of an attempt at an entry instance.
//!
//! Purpose: an entry instance learns an endpoint's load only from hints, which lag
//! and can be lost. This module estimates the time to the first token from the
//! hints and the entry's own attempts, and chooses the endpoint by that estimate.
//!
//! Guarantees: the choice depends on the arguments of the calls alone; an endpoint
//! that is known to be full is chosen only if all candidates are full; a hint from
//! another incarnation or past its lifetime is ignored.
//!
//! Algorithm: candidates are ranked by rendezvous hashing with the entry's
//! name (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
//! Rates", 1998), which gives each entry a stable subset. Some members of the
//! subset are drawn at random, and the one with the shortest expected time is
//! chosen. Fewer draws prevent many entries from all following the same stale hint
//! (Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing", 2001);
//! with few entries, more draws find a better endpoint. An endpoint with the
//! request's prompt prefix is added to the draw. If the best endpoint drawn is full
//! or would miss the deadline, all candidates are compared.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::stable_hash::{mix_bits, stable_hash};

/// Constants of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ChoiceSettings {
    /// Size of the subset of endpoints that one entry prefers for a model.
    pub subset_len: usize,
    /// Members of the subset that are drawn for an attempt, up to
    /// [`DRAWS_MAX`].
    pub draws: usize,
    /// Age up to which a hint has full weight.
    pub hint_fresh: Duration,
    /// Age from which a hint is ignored; greater than `hint_fresh`.
    pub hint_lifetime: Duration,
    /// Cost of an endpoint in another availability zone.
    pub zone_cost: Duration,
    /// Prompt tokens that an idle engine processes per second.
    pub prompt_rate: u64,
    /// Share of the prompt, in percent, that a cached prefix saves.
    pub prefix_saving: u64,
    /// Expected wait behind one request if no hint gives the service rate.
    pub request_time: Duration,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            subset_len: 8,
            draws: DRAWS_MAX,
            hint_fresh: Duration::from_millis(400),
            hint_lifetime: Duration::from_secs(3),
            zone_cost: Duration::from_millis(2),
            prompt_rate: 8_000,
            prefix_saving: 80,
            request_time: Duration::from_millis(200),
        }
    }
}

/// Load reported by an endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadHint {
    /// Incarnation of the endpoint that the hint belongs to.
    pub incarnation: u64,
    /// Increases within an incarnation; older hints are ignored.
    pub sequence: u64,
    /// Requests running at the engine.
    pub running: u32,
    /// Requests in the agent's queue.
    pub queued: u32,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Capacity of the queue in requests; 0 if unknown.
    pub queue_limit: u32,
    /// Tokens that the endpoint served in the last second; 0 if unknown.
    pub tokens_per_second: u64,
    /// Expected wait of a new request by model; the longest one applies to a model
    /// without an entry.
    pub waits: BTreeMap<Bytes, Duration>,
    /// Digests of cached prompt prefixes.
    pub prefixes: Vec<u64>,
    /// The endpoint accepts no new requests.
    pub leaving: bool,
}

/// An endpoint to which the attempt could be sent.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate<'a> {
    /// Name.
    pub name: &'a Bytes,
    /// Availability zone.
    pub zone: &'a Bytes,
    /// Incarnation in the directory.
    pub incarnation: u64,
    /// Time until the model or adapter can serve requests there; zero if it is
    /// resident.
    pub ready_delay: Duration,
}

/// Properties of the request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Model or adapter; empty for a plain service.
    pub model: &'a Bytes,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens plus the bound on output tokens.
    pub total_tokens: u64,
    /// Digest of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Differs between attempts; seeds the draw.
    pub seed: u64,
}

/// Outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// Index in the list of candidates.
    pub index: usize,
    /// Expected time to the first token.
    pub expected: Duration,
    /// The endpoint was not among those drawn.
    pub spilled: bool,
    /// All candidates are known to be full.
    pub full: bool,
}

/// Maximum number of subset members that are drawn.
pub const DRAWS_MAX: usize = 8;

/// Maximum number of recent prefixes that are stored per endpoint.
const SENT_PREFIXES_MAX: usize = 256;

/// An entry's view of one endpoint.
#[derive(Debug, Default)]
struct EndpointView {
    hint: Option<(Instant, LoadHint)>,
    /// Attempts of this entry in flight.
    in_flight: u32,
    /// Tokens of these attempts.
    in_flight_tokens: u64,
    /// `in_flight` and `in_flight_tokens` when the hint arrived.
    hint_in_flight: u32,
    hint_tokens: u64,
    /// Prefixes that this entry recently sent to the endpoint, oldest first.
    sent_prefixes: VecDeque<u64>,
}

/// Score of a candidate; the lowest wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateScore {
    full: bool,
    expected: Duration,
    /// Derived from the request's seed, so that equal candidates share the load.
    tie_break: u64,
    index: usize,
}

/// Chooses endpoints for one entry instance.
#[derive(Debug)]
pub struct EndpointChooser {
    entry: Bytes,
    zone: Bytes,
    settings: ChoiceSettings,
    views: BTreeMap<Bytes, EndpointView>,
    /// Hash and index of each candidate; reused between choices.
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

    /// Handles a hint that arrived at `now`; late and repeated ones are ignored.
    pub fn handle_hint(&mut self, now: Instant, endpoint: &Bytes, hint: LoadHint) {
        let view = self.views.entry(endpoint.clone()).or_default();
        let is_stale = view.hint.as_ref().is_some_and(|(_, known)| {
            (known.incarnation, known.sequence) >= (hint.incarnation, hint.sequence)
        });
        if is_stale {
            return;
        }
        view.hint_in_flight = view.in_flight;
        view.hint_tokens = view.in_flight_tokens;
        view.hint = Some((now, hint));
    }

    /// Records that an attempt was sent.
    pub fn record_attempt_start(&mut self, endpoint: &Bytes, total_tokens: u64, prefix: u64) {
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

    /// Records that an attempt ended, with any outcome.
    pub fn record_attempt_end(&mut self, endpoint: &Bytes, total_tokens: u64) {
        if let Some(view) = self.views.get_mut(endpoint) {
            view.in_flight = view.in_flight.saturating_sub(1);
            view.in_flight_tokens = view.in_flight_tokens.saturating_sub(total_tokens);
        }
    }

    /// Returns the number of attempts of this entry in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &Bytes) -> u32 {
        self.views.get(endpoint).map_or(0, |view| view.in_flight)
    }

    /// Removes an endpoint that no longer exists, unless it has an attempt of this
    /// entry in flight.
    pub fn remove_idle_endpoint(&mut self, endpoint: &Bytes) {
        if self.in_flight(endpoint) == 0 {
            self.views.remove(endpoint);
        }
    }

    /// Chooses one of the candidates; `None` only if there are no candidates.
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
        let overall_best = (0..candidates.len()).map(score).min()?;
        let spilled = !drawn.contains(&Some(overall_best.index));
        Some(chosen(overall_best, spilled))
    }

    /// Ranks the candidates by this entry's preference and keeps the subset.
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

    /// Draws members of the subset, and one that has the prefix if there is one.
    fn draw(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: &[EndpointCandidate<'_>],
    ) -> [Option<usize>; DRAWS_MAX + 1] {
        let mut drawn = [None; DRAWS_MAX + 1];
        let len = self.ranked.len();
        if len == 0 {
            return drawn;
        }
        let bits = mix_bits(request.seed);
        let mut positions: [usize; DRAWS_MAX] = [0; DRAWS_MAX];
        for (idx, position) in positions.iter_mut().enumerate() {
            *position = (mix_bits(bits ^ idx as u64) % len as u64) as usize;
        }
        let first = positions[0];
        let step = 1 + ((bits >> 32) % (len as u64 - 1).max(1)) as usize;
        positions[1] = (first + step) % len;
        let draws = self.settings.draws.clamp(1, DRAWS_MAX);
        for (idx, position) in positions.iter().take(draws).enumerate() {
            drawn[idx] = Some(self.ranked[*position].1);
        }
        drawn[DRAWS_MAX] = self
            .ranked
            .iter()
            .map(|(_, index)| *index)
            .find(|index| self.has_prefix(candidates[*index].name, request.prefix));
        drawn
    }

    fn has_prefix(&self, endpoint: &Bytes, prefix: u64) -> bool {
        prefix != 0
            && self.views.get(endpoint).is_some_and(|view| {
                let hint = view.hint.as_ref();
                view.sent_prefixes.contains(&prefix)
                    || hint.is_some_and(|(_, hint)| hint.prefixes.contains(&prefix))
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
            let own_wait = self.settings.request_time * view.in_flight;
            let (weight, hinted_wait, at_limit) = self.hinted_wait(now, request, candidate, view);
            full = at_limit;
            expected += hinted_wait.mul_f64(weight) + own_wait.mul_f64(1.0 - weight);
        }
        CandidateScore {
            full,
            expected,
            tie_break: mix_bits(request.seed ^ mix_bits(index as u64)),
            index,
        }
    }

    fn prompt_time(&self, request: &ChoiceRequest<'_>, endpoint: &Bytes) -> Duration {
        let is_cached = self.has_prefix(endpoint, request.prefix);
        let saved = if is_cached {
            self.settings.prefix_saving
        } else {
            0
        };
        let tokens = request.prompt_tokens * (100 - saved.min(100)) / 100;
        token_time(tokens, self.settings.prompt_rate)
    }

    /// Returns the weight of the hint, the wait that it implies, and whether the
    /// endpoint is full.
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
        let weight = self.hint_weight(now.saturating_duration_since(*at));
        if hint.incarnation != candidate.incarnation || weight == 0.0 {
            return (0.0, Duration::ZERO, false);
        }
        let added = view.in_flight.saturating_sub(view.hint_in_flight);
        let ended = view.hint_in_flight.saturating_sub(view.in_flight);
        let current_requests = (hint.running + hint.queued + added).saturating_sub(ended);
        let limit = hint.slots.saturating_add(hint.queue_limit);
        let full = hint.leaving || (hint.queue_limit > 0 && current_requests >= limit);
        let longest_wait = || hint.waits.values().max();
        let reported = hint.waits.get(request.model).or_else(longest_wait).copied();
        let reported = reported.unwrap_or_default();
        let beyond_slots = current_requests
            .saturating_add(1)
            .saturating_sub(hint.slots);
        let wait_behind_own = if beyond_slots == 0 {
            Duration::ZERO
        } else {
            self.own_wait(hint, added.min(beyond_slots), view)
        };
        let busy =
            self.settings.request_time * current_requests.min(hint.slots) / hint.slots.max(1);
        (weight, reported + wait_behind_own + busy, full)
    }

    /// Returns the wait behind the attempts that this entry sent after the hint.
    fn own_wait(&self, hint: &LoadHint, added: u32, view: &EndpointView) -> Duration {
        if hint.tokens_per_second == 0 {
            return self.settings.request_time * added;
        }
        let tokens = view.in_flight_tokens.saturating_sub(view.hint_tokens);
        token_time(tokens, hint.tokens_per_second)
    }

    /// Returns the weight of a hint of this age, from 1 down to 0.
    fn hint_weight(&self, age: Duration) -> f64 {
        let (fresh, end) = (self.settings.hint_fresh, self.settings.hint_lifetime);
        if age <= fresh {
            return 1.0;
        }
        let remaining = end.saturating_sub(age).as_secs_f64();
        remaining / end.saturating_sub(fresh).as_secs_f64().max(f64::EPSILON)
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

/// Returns the time for a number of tokens at a rate in tokens per second.
fn token_time(tokens: u64, rate: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1_000) / rate.max(1))
}
