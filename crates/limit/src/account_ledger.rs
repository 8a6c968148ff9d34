//! The accounting of one client account in a [`LeaseBook`](crate::LeaseBook).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::headroom_log::{HeadroomLog, NoteNumber};
use crate::lease_book::{HolderId, LeaseAsk, LeaseDecision, LeaseId, TokenPlan, TokenRefund};
use crate::waiting_line::WaitingLine;

/// Parts that a token is counted in.
const MILLI: i64 = 1_000;

/// Time during which a granted lease may be spent, from the request on.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(1);

/// Demand that a lease covers ahead.
const PREFETCH: Duration = Duration::from_millis(200);

/// Time without a request after which a holder no longer counts.
const HOLDER_IDLE: Duration = Duration::from_secs(3);

/// Time for which the largest recent request bounds prefetching.
const LARGEST_KEPT: Duration = Duration::from_secs(10);

/// Time beyond the promised one for which a waiting holder keeps its place.
const PLACE_KEPT: Duration = Duration::from_millis(200);

/// Usual time until a proposed block is committed.
const BLOCK_DELAY: Duration = Duration::from_millis(10);

/// Time after which a proposed block that was not committed is asked again.
const BLOCK_LOST: Duration = Duration::from_secs(1);

/// Time to come back at a rate of zero.
const NEVER: Duration = Duration::from_secs(3_600);

/// Shortest time to come back that is given.
const RETRY_MIN: Duration = Duration::from_millis(2);

/// Part of the burst that a block holds at least.
const BLOCK_PART: u64 = 8;

/// Blocks of the last size that leases and the open block hold at most.
const BLOCKS_UNSPENT: u64 = 4;

/// Closed leases that are kept for refunds.
const CLOSED_MAX: usize = 65_536;

/// Time for which closed leases and a silent holder's refund numbers are kept.
const HOLDER_KEPT: Duration = Duration::from_secs(120);

/// Interval at which silent holders are looked for.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Microseconds times tokens a second in a thousandth of a token.
const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Debug, Clone)]
struct OpenLease {
    holder: HolderId,
    tokens: u64,
    expires: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ClosedLease {
    at: Instant,
    /// First note of the headroom without the lease.
    note: NoteNumber,
}

#[derive(Debug, Clone)]
struct HolderState {
    /// Recent demand in tokens a second.
    demand: u64,
    seen: Instant,
    /// Greatest refund number taken in.
    refund: u64,
}

/// Tokens of one account.
///
/// Invariant: `level` plus the tokens of all open leases is at most the burst,
/// so whatever a window begins with, its spending is at most burst + rate x
/// time.
#[derive(Debug, Clone)]
pub(crate) struct AccountLedger {
    plan: TokenPlan,
    /// Thousandths of a token that may be granted; never negative.
    level: i64,
    /// Thousandths of a token were all committed blocks spent when committed;
    /// never above what `level` less `block_left` is at the leader.
    floor: i64,
    updated: Instant,
    /// Tokens that may be granted without a further commit.
    block_left: u64,
    /// Blocks committed within the last lease lifetime, and the one before.
    recent_blocks: VecDeque<(Instant, u64)>,
    /// When a block was last asked for and not committed yet.
    block_asked: Option<Instant>,
    /// Until when a former leader's leases may be spent, and how many tokens.
    former: Option<(Instant, u64)>,
    /// Ids rise with the instants of expiry.
    leases: BTreeMap<LeaseId, OpenLease>,
    /// Sum of the tokens of `leases`.
    leased: u64,
    /// Recently closed leases, whose tokens may still be refunded.
    closed: BTreeMap<LeaseId, ClosedLease>,
    holders: BTreeMap<HolderId, HolderState>,
    waiting: WaitingLine,
    /// Largest recent request and when it came.
    largest: (Instant, u64),
    headroom: HeadroomLog,
    next_prune: Instant,
}

impl AccountLedger {
    /// Creates the ledger of a new account, whose bucket is full.
    pub(crate) fn full(plan: TokenPlan, now: Instant) -> Self {
        let mut ledger = Self::empty(plan, now);
        ledger.level = milli(plan.burst);
        ledger.floor = ledger.level;
        ledger.former = None;
        ledger
    }

    /// Creates the ledger of an account whose past is not known: its bucket
    /// is empty and a whole burst may still be spent from leases.
    pub(crate) fn empty(plan: TokenPlan, now: Instant) -> Self {
        AccountLedger {
            plan,
            level: 0,
            floor: 0,
            updated: now,
            block_left: 0,
            recent_blocks: VecDeque::new(),
            block_asked: None,
            former: Some((now + LEASE_LIFETIME, plan.burst)),
            leases: BTreeMap::new(),
            leased: 0,
            closed: BTreeMap::new(),
            next_prune: now,
            holders: BTreeMap::new(),
            waiting: WaitingLine::default(),
            largest: (now, 0),
            headroom: HeadroomLog::default(),
        }
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub(crate) fn resize(&mut self, plan: TokenPlan, now: Instant) {
        self.refill(now);
        self.updated = now;
        self.plan = plan;
        self.clip();
    }

    /// Takes the lead: all committed blocks count as spent.
    pub(crate) fn lead(&mut self, now: Instant) {
        self.refill(now);
        let spendable = self.unspent_bound();
        self.leases.clear();
        self.closed.clear();
        self.leased = 0;
        self.waiting.clear();
        self.block_left = 0;
        self.block_asked = None;
        self.former = Some((now + LEASE_LIFETIME, spendable.min(self.plan.burst)));
        self.level = self.floor.max(0);
        self.floor = self.level;
        self.clip();
    }

    /// Notes a block that the log has committed.
    pub(crate) fn block_committed(&mut self, tokens: u64, leading: bool, now: Instant) {
        self.refill(now);
        self.floor = self.floor.saturating_sub(milli(tokens));
        self.recent_blocks.push_back((now, tokens));
        if leading {
            self.block_left += tokens;
            self.block_asked = None;
        }
        self.clip();
    }

    /// Returns the size of the block to propose now, if one is due.
    pub(crate) fn block_wanted(&mut self, now: Instant) -> Option<u64> {
        let pending = self
            .block_asked
            .is_some_and(|asked| now < asked + BLOCK_LOST);
        let block = self.block_size();
        let enough = (block / 2).max(self.largest.1);
        let active = !self.waiting.is_empty() || self.block_left == 0 || self.largest.1 > 0;
        if pending || !active || self.block_left > enough {
            return None;
        }
        self.block_asked = Some(now);
        Some(block)
    }

    /// Decides on a request for tokens.
    pub(crate) fn request(&mut self, ask: &LeaseAsk, id: LeaseId, now: Instant) -> LeaseDecision {
        self.refill(now);
        self.note_holder(ask, now);
        let mut decision = LeaseDecision {
            rate: self.plan.rate,
            burst: self.plan.burst,
            ..LeaseDecision::default()
        };
        if ask.least > self.plan.burst {
            return decision;
        }
        let ahead = self.waiting.ahead_of(&ask.holder);
        let free = self.whole_level().saturating_sub(ahead);
        let covered = free.min(self.block_left);
        if covered < ask.least.max(1) {
            let wait = self.wait_for(ask.least.max(1), ahead, now);
            if ask.least > 0 && wait <= ask.patience {
                self.waiting.keep(ask, now + wait + PLACE_KEPT);
            } else {
                self.waiting.leave(&ask.holder);
            }
            decision.retry_after = Some(wait);
            return decision;
        }
        self.waiting.leave(&ask.holder);
        let tokens = self.grant_size(ask, covered);
        if tokens == 0 {
            decision.retry_after = Some(PREFETCH);
            return decision;
        }
        self.open_lease(ask, id, tokens, now);
        decision.lease = id;
        decision.tokens = tokens;
        decision.lifetime = LEASE_LIFETIME;
        decision
    }

    /// Closes a lease, of which `unspent` tokens are left.
    pub(crate) fn give_back(
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
            self.note_closed(lease, now);
            self.level += milli(unspent);
            self.block_left += unspent;
            self.clip();
        }
    }

    /// Credits tokens that a request reserved and did not use.
    pub(crate) fn refund(&mut self, refund: &TokenRefund, now: Instant) {
        self.refill(now);
        let Some(state) = self.holders.get_mut(&refund.holder) else {
            return;
        };
        if refund.number <= state.refund {
            return;
        }
        state.refund = refund.number;
        let Some(closed) = self.closed.get(&refund.lease) else {
            return;
        };
        let since = closed.note;
        let credit = self.headroom.claim(since, milli(refund.tokens));
        self.level += credit;
        self.block_left += u64::try_from(credit / MILLI).unwrap_or(0);
        self.clip();
    }

    /// Returns the tokens in the bucket and in open leases.
    pub(crate) fn spendable(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.whole_level() + self.leased
    }

    fn note_holder(&mut self, ask: &LeaseAsk, now: Instant) {
        let state = self
            .holders
            .entry(ask.holder.clone())
            .or_insert(HolderState {
                demand: 0,
                seen: now,
                refund: 0,
            });
        state.demand = ask.demand;
        state.seen = now;
        if ask.least >= self.largest.1 || now > self.largest.0 + LARGEST_KEPT {
            self.largest = (now, ask.least);
        }
    }

    /// Sizes a grant: the tokens asked for, and ahead of demand a share of
    /// what lies above the part kept for requests.
    fn grant_size(&self, ask: &LeaseAsk, covered: u64) -> u64 {
        let now_wanted = ask.tokens.max(ask.least).min(covered);
        let kept = (self.plan.burst / 2).max(self.largest.1);
        let above = covered.saturating_sub(now_wanted).saturating_sub(kept);
        let demand = self.demand().max(1);
        let share = u128::from(above) * u128::from(ask.demand) / u128::from(demand);
        let ahead = u128::from(ask.demand) * PREFETCH.as_millis() / 1_000;
        now_wanted + u64::try_from(share.min(ahead)).unwrap_or(0)
    }

    fn open_lease(&mut self, ask: &LeaseAsk, id: LeaseId, tokens: u64, now: Instant) {
        self.level -= milli(tokens);
        self.block_left -= tokens;
        self.leased += tokens;
        let lease = OpenLease {
            holder: ask.holder.clone(),
            tokens,
            expires: now + LEASE_LIFETIME,
        };
        self.leases.insert(id, lease);
    }

    /// Returns the time until `least` tokens beyond `ahead` are there.
    fn wait_for(&self, least: u64, ahead: u64, now: Instant) -> Duration {
        let wanted = milli(ahead.saturating_add(least));
        let missing = u64::try_from(wanted - self.level).unwrap_or(0);
        let accrual = match missing.checked_div(self.plan.rate) {
            _ if missing == 0 => BLOCK_DELAY,
            Some(millis) => Duration::from_millis(millis + 1),
            None => NEVER,
        };
        if wanted <= self.cap() {
            return accrual.max(RETRY_MIN);
        }
        let release = self
            .next_release()
            .map_or(RETRY_MIN, |at| at.saturating_duration_since(now));
        accrual.max(release).max(RETRY_MIN)
    }

    /// Brings the ledger forward, with a stop at each instant at which its
    /// capacity rises.
    fn refill(&mut self, now: Instant) {
        while let Some(at) = self.next_release().filter(|at| *at <= now) {
            self.accrue(at);
            self.clip();
            self.release(at);
        }
        self.accrue(now);
        self.clip();
        self.waiting.expire(now);
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
        // Only the time that the gained parts took is used up.
        let used = (gained * MICROS_PER_MILLI).div_ceil(self.plan.rate);
        self.updated += Duration::from_micros(used);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX / 4);
        self.level = self.level.saturating_add(gained);
        self.floor = self.floor.saturating_add(gained);
    }

    /// Returns when tokens next stop being spendable elsewhere.
    fn next_release(&self) -> Option<Instant> {
        let lease = self.leases.first_key_value().map(|(_, open)| open.expires);
        let former = self.former.map(|(until, _)| until);
        let block = self
            .recent_blocks
            .get(1)
            .map(|(at, _)| *at + LEASE_LIFETIME);
        [lease, former, block].into_iter().flatten().min()
    }

    fn release(&mut self, now: Instant) {
        while let Some(entry) = self.leases.first_entry() {
            if entry.get().expires > now {
                break;
            }
            let lease = *entry.key();
            self.leased -= entry.remove().tokens;
            self.note_closed(lease, now);
        }
        self.former = self.former.filter(|(until, _)| *until > now);
        while self
            .recent_blocks
            .get(1)
            .is_some_and(|(at, _)| *at + LEASE_LIFETIME <= now)
        {
            self.recent_blocks.pop_front();
        }
    }

    fn note_closed(&mut self, lease: LeaseId, now: Instant) {
        let note = self.headroom.next_number();
        self.closed.insert(lease, ClosedLease { at: now, note });
        if self.closed.len() > CLOSED_MAX {
            self.closed.pop_first();
        }
    }

    fn prune(&mut self, now: Instant) {
        self.closed.retain(|_, lease| now < lease.at + HOLDER_KEPT);
        self.holders
            .retain(|_, holder| now < holder.seen + HOLDER_KEPT);
        for holder in self.holders.values_mut() {
            if now >= holder.seen + HOLDER_IDLE {
                holder.demand = 0;
            }
        }
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.cap()).max(0);
        let bound = milli(self.plan.burst.saturating_sub(self.unspent_bound()));
        self.floor = self.floor.min(bound);
        let last = self.recent_blocks.back().map_or(0, |(_, tokens)| *tokens);
        let blocks_left = last
            .saturating_mul(BLOCKS_UNSPENT)
            .saturating_sub(self.leased);
        self.block_left = self.block_left.min(blocks_left);
        self.headroom.note(self.cap() - self.level);
    }

    /// Greatest level beside the tokens that may be spent elsewhere.
    fn cap(&self) -> i64 {
        let former = self.former.map_or(0, |(_, tokens)| tokens);
        let elsewhere = former.saturating_add(self.leased);
        milli(self.plan.burst.saturating_sub(elsewhere))
    }

    /// Bounds the tokens that a leader may hold in leases and blocks, by
    /// what the log says.
    fn unspent_bound(&self) -> u64 {
        let sizes = self.recent_blocks.iter().map(|(_, tokens)| *tokens);
        let largest = sizes.max().unwrap_or(0);
        largest.saturating_mul(BLOCKS_UNSPENT).min(self.plan.burst)
    }

    fn block_size(&self) -> u64 {
        self.demand()
            .max(self.largest.1)
            .max(self.plan.burst / BLOCK_PART)
            .clamp(1, self.plan.burst.max(1))
    }

    fn demand(&self) -> u64 {
        self.holders.values().map(|holder| holder.demand).sum()
    }

    fn whole_level(&self) -> u64 {
        u64::try_from(self.level / MILLI).unwrap_or(0)
    }
}

fn milli(tokens: u64) -> i64 {
    i64::try_from(tokens).map_or(i64::MAX / 4, |tokens| {
        tokens.saturating_mul(MILLI).min(i64::MAX / 4)
    })
}
