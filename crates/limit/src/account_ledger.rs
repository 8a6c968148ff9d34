//! Accounting of one client account in a [`LeaseTable`](crate::LeaseTable).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::headroom_log::{HeadroomLog, SampleNumber};
use crate::lease_table::{HolderId, LeaseDecision, LeaseId, TokenPlan, TokenRefund, TokenRequest};
use crate::wait_queue::WaitQueue;

/// Resolution of the level: units per token.
const MILLI_PER_TOKEN: i64 = 1_000;

/// Time for which a granted lease may be spent, from the request on.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(1);

/// Period of recent demand that a prefetch covers.
const PREFETCH_HORIZON: Duration = Duration::from_millis(200);

/// Time without a request after which a holder's demand counts as 0.
const HOLDER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the largest recent request limits prefetching.
const LARGEST_REQUEST_RETENTION: Duration = Duration::from_secs(10);

/// Time beyond the expected wait for which a holder stays queued without
/// repeating its request.
const QUEUE_GRACE: Duration = Duration::from_millis(200);

/// Expected time until a proposed block is committed.
const BLOCK_COMMIT_DELAY: Duration = Duration::from_millis(10);

/// Time after which a block that was not committed is proposed again.
const BLOCK_COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to retry after at a rate of 0.
const ZERO_RATE_RETRY: Duration = Duration::from_secs(3_600);

/// Shortest time to retry after.
const RETRY_MIN: Duration = Duration::from_millis(2);

/// Divisor of the burst that gives the smallest size of a block.
const BLOCK_BURST_DIVISOR: u64 = 8;

/// Limit on the tokens in open leases and the current block, in blocks of the
/// last committed size.
const UNSPENT_BLOCKS_MAX: u64 = 4;

/// Limit on the closed leases that are retained for refunds.
const CLOSED_LEASES_MAX: usize = 65_536;

/// Time for which closed leases and an inactive holder's refund number are
/// retained.
const HOLDER_RETENTION: Duration = Duration::from_secs(120);

/// Interval at which closed leases and inactive holders are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Microseconds times tokens per second that accrue a thousandth of a token.
const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Debug, Clone)]
struct OpenLease {
    holder: HolderId,
    tokens: u64,
    expires_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ClosedLease {
    closed_at: Instant,
    /// First headroom sample after the lease was closed.
    sample: SampleNumber,
}

#[derive(Debug, Clone)]
struct HolderState {
    /// Recent demand in tokens per second.
    demand: u64,
    last_request: Instant,
    /// Highest refund number that was applied.
    last_refund: u64,
}

/// Tokens of one account.
///
/// Invariant: `level` plus the tokens of all open leases is at most the burst,
/// so the spending in any window is at most burst + rate x time.
#[derive(Debug, Clone)]
pub(crate) struct AccountLedger {
    plan: TokenPlan,
    /// Thousandths of a token that may be granted; never negative.
    level: i64,
    /// Level, in thousandths of a token, as if every block had been spent
    /// entirely when it was committed; never above `level` less `block_left` at
    /// the leader.
    floor: i64,
    updated: Instant,
    /// Tokens that may be granted before another block is committed.
    block_left: u64,
    /// Blocks committed within the last lease lifetime, and the last one before.
    recent_blocks: VecDeque<(Instant, u64)>,
    /// When the pending block was proposed; `None` once it is committed.
    block_proposed_at: Option<Instant>,
    /// Until when leases of a former leader may be spent, and at most how many
    /// tokens.
    former_leases: Option<(Instant, u64)>,
    /// Ids increase with the instants of expiry.
    leases: BTreeMap<LeaseId, OpenLease>,
    /// Sum of the tokens of `leases`.
    leased: u64,
    /// Recently closed leases, for which refunds are still credited.
    closed: BTreeMap<LeaseId, ClosedLease>,
    holders: BTreeMap<HolderId, HolderState>,
    waiting: WaitQueue,
    /// Instant and size of the largest recent request.
    largest_request: (Instant, u64),
    headroom: HeadroomLog,
    next_prune: Instant,
}

impl AccountLedger {
    /// Creates the ledger of a new account, whose bucket is full.
    pub(crate) fn full(plan: TokenPlan, now: Instant) -> Self {
        let mut ledger = Self::empty(plan, now);
        ledger.level = milli(plan.burst);
        ledger.floor = ledger.level;
        ledger.former_leases = None;
        ledger
    }

    /// Creates the ledger of an account whose history is unknown: its bucket is
    /// empty, and up to a full burst may still be spent from leases.
    pub(crate) fn empty(plan: TokenPlan, now: Instant) -> Self {
        AccountLedger {
            plan,
            level: 0,
            floor: 0,
            updated: now,
            block_left: 0,
            recent_blocks: VecDeque::new(),
            block_proposed_at: None,
            former_leases: Some((now + LEASE_LIFETIME, plan.burst)),
            leases: BTreeMap::new(),
            leased: 0,
            closed: BTreeMap::new(),
            next_prune: now,
            holders: BTreeMap::new(),
            waiting: WaitQueue::default(),
            largest_request: (now, 0),
            headroom: HeadroomLog::default(),
        }
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub(crate) fn resize(&mut self, plan: TokenPlan, now: Instant) {
        self.refill(now);
        self.updated = now;
        self.plan = plan;
        self.clamp_levels();
    }

    /// Starts granting as leader; all committed blocks count as spent.
    pub(crate) fn start_leading(&mut self, now: Instant) {
        self.refill(now);
        let spendable = self.unspent_bound();
        self.leases.clear();
        self.closed.clear();
        self.leased = 0;
        self.waiting.clear();
        self.block_left = 0;
        self.block_proposed_at = None;
        self.former_leases = Some((now + LEASE_LIFETIME, spendable.min(self.plan.burst)));
        self.level = self.floor.max(0);
        self.floor = self.level;
        self.clamp_levels();
    }

    /// Applies a block that the log has committed.
    pub(crate) fn apply_block(&mut self, tokens: u64, leading: bool, now: Instant) {
        self.refill(now);
        self.floor = self.floor.saturating_sub(milli(tokens));
        self.recent_blocks.push_back((now, tokens));
        if leading {
            self.block_left += tokens;
            self.block_proposed_at = None;
        }
        self.clamp_levels();
    }

    /// Returns the size of the block to propose now, if one is due.
    pub(crate) fn propose_block(&mut self, now: Instant) -> Option<u64> {
        let pending = self
            .block_proposed_at
            .is_some_and(|proposed_at| now < proposed_at + BLOCK_COMMIT_TIMEOUT);
        let block = self.block_size();
        let threshold = (block / 2).max(self.largest_request.1);
        let active = !self.waiting.is_empty() || self.block_left == 0 || self.largest_request.1 > 0;
        if pending || !active || self.block_left > threshold {
            return None;
        }
        self.block_proposed_at = Some(now);
        Some(block)
    }

    /// Decides on a request for tokens.
    pub(crate) fn handle_request(
        &mut self,
        request: &TokenRequest,
        id: LeaseId,
        now: Instant,
    ) -> LeaseDecision {
        self.refill(now);
        self.update_holder(request, now);
        let mut decision = LeaseDecision {
            rate: self.plan.rate,
            burst: self.plan.burst,
            ..LeaseDecision::default()
        };
        if request.min_tokens > self.plan.burst {
            return decision;
        }
        let ahead = self.waiting.tokens_ahead_of(&request.holder);
        let available = self.level_tokens().saturating_sub(ahead);
        let grantable = available.min(self.block_left);
        if grantable < request.min_tokens.max(1) {
            let wait = self.expected_wait(request.min_tokens.max(1), ahead, now);
            if request.min_tokens > 0 && wait <= request.max_wait {
                self.waiting.upsert(request, now + wait + QUEUE_GRACE);
            } else {
                self.waiting.remove(&request.holder);
            }
            decision.retry_after = Some(wait);
            return decision;
        }
        self.waiting.remove(&request.holder);
        let tokens = self.grant_size(request, grantable);
        if tokens == 0 {
            decision.retry_after = Some(PREFETCH_HORIZON);
            return decision;
        }
        self.open_lease(request, id, tokens, now);
        decision.lease = id;
        decision.tokens = tokens;
        decision.lifetime = LEASE_LIFETIME;
        decision
    }

    /// Closes a lease and returns its `unspent` tokens to the bucket.
    pub(crate) fn close_lease(
        &mut self,
        lease: LeaseId,
        holder: &HolderId,
        unspent: u64,
        now: Instant,
    ) {
        self.refill(now);
        if self
            .leases
            .get(&lease)
            .is_none_or(|open| open.holder != *holder)
        {
            return;
        }
        if let Some(open) = self.leases.remove(&lease) {
            let unspent = unspent.min(open.tokens);
            self.leased -= open.tokens;
            self.record_closed(lease, now);
            self.level += milli(unspent);
            self.block_left += unspent;
            self.clamp_levels();
        }
    }

    /// Credits tokens that a request reserved and did not use, as far as the
    /// headroom allows.
    pub(crate) fn apply_refund(&mut self, refund: &TokenRefund, now: Instant) {
        self.refill(now);
        let Some(state) = self.holders.get_mut(&refund.holder) else {
            return;
        };
        if refund.number <= state.last_refund {
            return;
        }
        state.last_refund = refund.number;
        let Some(closed) = self.closed.get(&refund.lease) else {
            return;
        };
        let since = closed.sample;
        let credit = self.headroom.claim_credit(since, milli(refund.tokens));
        self.level += credit;
        self.block_left += u64::try_from(credit / MILLI_PER_TOKEN).unwrap_or(0);
        self.clamp_levels();
    }

    /// Returns the tokens in the bucket and in open leases.
    pub(crate) fn spendable(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.level_tokens() + self.leased
    }

    fn update_holder(&mut self, request: &TokenRequest, now: Instant) {
        let state = self
            .holders
            .entry(request.holder.clone())
            .or_insert(HolderState {
                demand: 0,
                last_request: now,
                last_refund: 0,
            });
        state.demand = request.demand;
        state.last_request = now;
        if request.min_tokens >= self.largest_request.1
            || now > self.largest_request.0 + LARGEST_REQUEST_RETENTION
        {
            self.largest_request = (now, request.min_tokens);
        }
    }

    /// Sizes a grant: the requested tokens, plus for prefetching a share of the
    /// level above the part that is reserved for requests.
    fn grant_size(&self, request: &TokenRequest, grantable: u64) -> u64 {
        let immediate = request.tokens.max(request.min_tokens).min(grantable);
        let reserved = (self.plan.burst / 2).max(self.largest_request.1);
        let surplus = grantable.saturating_sub(immediate).saturating_sub(reserved);
        let demand = self.demand().max(1);
        let share = u128::from(surplus) * u128::from(request.demand) / u128::from(demand);
        let prefetch = u128::from(request.demand) * PREFETCH_HORIZON.as_millis() / 1_000;
        let prefetch = u64::try_from(share.min(prefetch)).unwrap_or(0);
        if prefetch < self.largest_request.1 {
            // A prefetch of this size would not cover a request, but would
            // withhold tokens from other holders.
            return immediate;
        }
        immediate + prefetch
    }

    fn open_lease(&mut self, request: &TokenRequest, id: LeaseId, tokens: u64, now: Instant) {
        self.level -= milli(tokens);
        self.block_left -= tokens;
        self.leased += tokens;
        let lease = OpenLease {
            holder: request.holder.clone(),
            tokens,
            expires_at: now + LEASE_LIFETIME,
        };
        self.leases.insert(id, lease);
    }

    /// Returns the expected time until the bucket covers `min_tokens` beyond `ahead`.
    fn expected_wait(&self, min_tokens: u64, ahead: u64, now: Instant) -> Duration {
        let wanted = milli(ahead.saturating_add(min_tokens));
        let missing = u64::try_from(wanted - self.level).unwrap_or(0);
        let accrual = match missing.checked_div(self.plan.rate) {
            _ if missing == 0 => BLOCK_COMMIT_DELAY,
            Some(millis) => Duration::from_millis(millis + 1),
            None => ZERO_RATE_RETRY,
        };
        if wanted <= self.max_level() {
            return accrual.max(RETRY_MIN);
        }
        let release = self
            .next_release()
            .map_or(RETRY_MIN, |at| at.saturating_duration_since(now));
        accrual.max(release).max(RETRY_MIN)
    }

    /// Advances the ledger to `now`, in steps that end at each instant at which
    /// its capacity rises.
    fn refill(&mut self, now: Instant) {
        while let Some(at) = self.next_release().filter(|at| *at <= now) {
            self.accrue(at);
            self.clamp_levels();
            self.release_expired(at);
        }
        self.accrue(now);
        self.clamp_levels();
        self.waiting.remove_expired(now);
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_INTERVAL;
            self.prune(now);
        }
    }

    fn accrue(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained = self.plan.rate.saturating_mul(micros) / MICROS_PER_MILLI;
        if gained == 0 {
            return;
        }
        // Advances only by the time that the gained units took to accrue, so
        // that no fraction is lost.
        let used = (gained * MICROS_PER_MILLI).div_ceil(self.plan.rate);
        self.updated += Duration::from_micros(used);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX / 4);
        self.level = self.level.saturating_add(gained);
        self.floor = self.floor.saturating_add(gained);
    }

    /// Returns when the tokens of a lease, of a former leader's leases or of a block
    /// next stop counting as spendable.
    fn next_release(&self) -> Option<Instant> {
        let lease = self
            .leases
            .first_key_value()
            .map(|(_, open)| open.expires_at);
        let former_leases = self.former_leases.map(|(until, _)| until);
        let block = self
            .recent_blocks
            .get(1)
            .map(|(at, _)| *at + LEASE_LIFETIME);
        [lease, former_leases, block].into_iter().flatten().min()
    }

    fn release_expired(&mut self, now: Instant) {
        while let Some(entry) = self.leases.first_entry() {
            if entry.get().expires_at > now {
                break;
            }
            let lease = *entry.key();
            self.leased -= entry.remove().tokens;
            self.record_closed(lease, now);
        }
        self.former_leases = self.former_leases.filter(|(until, _)| *until > now);
        while self
            .recent_blocks
            .get(1)
            .is_some_and(|(at, _)| *at + LEASE_LIFETIME <= now)
        {
            self.recent_blocks.pop_front();
        }
    }

    fn record_closed(&mut self, lease: LeaseId, now: Instant) {
        let sample = self.headroom.next_number();
        self.closed.insert(
            lease,
            ClosedLease {
                closed_at: now,
                sample,
            },
        );
        if self.closed.len() > CLOSED_LEASES_MAX {
            self.closed.pop_first();
        }
    }

    fn prune(&mut self, now: Instant) {
        self.closed
            .retain(|_, lease| now < lease.closed_at + HOLDER_RETENTION);
        self.holders
            .retain(|_, holder| now < holder.last_request + HOLDER_RETENTION);
        for holder in self.holders.values_mut() {
            if now >= holder.last_request + HOLDER_IDLE_TIMEOUT {
                holder.demand = 0;
            }
        }
    }

    /// Enforces the limits of `level`, `floor` and `block_left`, and records the
    /// headroom.
    fn clamp_levels(&mut self) {
        self.level = self.level.min(self.max_level()).max(0);
        let bound = milli(self.plan.burst.saturating_sub(self.unspent_bound()));
        self.floor = self.floor.min(bound);
        let last = self.recent_blocks.back().map_or(0, |(_, tokens)| *tokens);
        let blocks_left = last
            .saturating_mul(UNSPENT_BLOCKS_MAX)
            .saturating_sub(self.leased);
        self.block_left = self.block_left.min(blocks_left);
        self.headroom.record(self.max_level() - self.level);
    }

    /// Returns the greatest level that the burst allows in addition to the tokens
    /// in open leases and in leases of a former leader.
    fn max_level(&self) -> i64 {
        let former_leases = self.former_leases.map_or(0, |(_, tokens)| tokens);
        let elsewhere = former_leases.saturating_add(self.leased);
        milli(self.plan.burst.saturating_sub(elsewhere))
    }

    /// Returns an upper bound, from the committed blocks, on the tokens that a
    /// leader has in open leases and in its current block.
    fn unspent_bound(&self) -> u64 {
        let sizes = self.recent_blocks.iter().map(|(_, tokens)| *tokens);
        let largest = sizes.max().unwrap_or(0);
        largest
            .saturating_mul(UNSPENT_BLOCKS_MAX)
            .min(self.plan.burst)
    }

    fn block_size(&self) -> u64 {
        self.demand()
            .max(self.largest_request.1)
            .max(self.plan.burst / BLOCK_BURST_DIVISOR)
            .clamp(1, self.plan.burst.max(1))
    }

    fn demand(&self) -> u64 {
        self.holders.values().map(|holder| holder.demand).sum()
    }

    fn level_tokens(&self) -> u64 {
        u64::try_from(self.level / MILLI_PER_TOKEN).unwrap_or(0)
    }
}

fn milli(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX / 4, |tokens| {
        tokens.saturating_mul(MILLI_PER_TOKEN).min(i64::MAX / 4)
    })
}
