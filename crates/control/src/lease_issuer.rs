//! Token leases of client accounts, issued by the leader.
//!
//! Guarantees: tokens are granted only by a leader that a quorum confirmed
//! after the request arrived, and only from committed blocks. A new leader
//! treats every block committed before the first entry of its term as spent.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{LeaseDecision, LeaseTable, TokenPlan, TokenRefund, TokenRequest};
use mulberrywell_wire::command::{AccountBlock, GrantBlock};
use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest, LeaseReturn, ReturnAck};
use mulberrywell_wire::{command::log_command::Body, rate};

use crate::cluster_state::ClusterState;

/// Token leases and their frames.
#[derive(Debug, Default)]
pub struct LeaseIssuer {
    leases: LeaseTable,
    /// Accounts that have a plan in `leases`.
    accounts: Vec<Bytes>,
}

impl LeaseIssuer {
    /// Creates an issuer for a recovered state. Recent spending is unknown, so
    /// the accounts start with empty buckets.
    pub fn restore(now: Instant, state: &ClusterState) -> Self {
        let mut issuer = LeaseIssuer::default();
        for account in account_names(state) {
            let plan = plan_of(state, &account);
            issuer.leases.restore_plan(now, account.clone(), plan);
            issuer.accounts.push(account);
        }
        issuer
    }

    /// Updates the accounts and their plans after a change of the
    /// configuration.
    pub fn update_plans(&mut self, now: Instant, state: &ClusterState) {
        let accounts = account_names(state);
        let removed = self.accounts.iter();
        for account in removed.filter(|account| !accounts.contains(account)) {
            self.leases.remove_plan(now, account);
        }
        self.accounts = accounts;
        for account in &self.accounts {
            self.leases.set_plan(now, account, plan_of(state, account));
        }
    }

    /// Adds committed token blocks to their accounts.
    pub fn apply_blocks(&mut self, now: Instant, grant: &GrantBlock) {
        for block in &grant.blocks {
            self.leases.apply_block(now, &block.account, block.tokens);
        }
    }

    /// Starts to grant leases in a term whose first entry has been applied.
    pub fn become_leader(&mut self, now: Instant, term: u64) {
        self.leases.start_leading(now, term);
    }

    /// Stops granting leases.
    pub fn become_follower(&mut self) {
        self.leases.stop_leading();
    }

    /// Returns the command that commits the token blocks that are due.
    pub fn due_blocks(&mut self, now: Instant) -> Option<Body> {
        let proposals = self.leases.propose_blocks(now).into_iter();
        let blocks: Vec<AccountBlock> = proposals
            .map(|block| AccountBlock {
                account: block.account,
                tokens: block.tokens,
            })
            .collect();
        (!blocks.is_empty()).then_some(Body::GrantBlock(GrantBlock { blocks }))
    }

    /// Decides on a lease request.
    pub fn grant(&mut self, now: Instant, holder: Bytes, request: &LeaseRequest) -> LeaseGrant {
        let token_request = TokenRequest {
            holder,
            min_tokens: request.least,
            tokens: request.tokens.max(request.least),
            demand: request.demand,
            max_wait: Duration::from_millis(request.patience_ms),
        };
        let LeaseDecision {
            lease,
            tokens,
            lifetime,
            retry_after,
            rate,
            burst,
        } = self
            .leases
            .handle_request(now, &request.account, &token_request);
        LeaseGrant {
            sequence: request.sequence,
            account: request.account.clone(),
            lease,
            tokens,
            lifetime_ms: millis(lifetime),
            // 0 would mean that the request is never granted.
            retry_after_ms: retry_after.map_or(0, |delay| millis(delay).max(1)),
            burst,
            rate,
            unavailable: false,
        }
    }

    /// Closes a lease and credits its unspent tokens.
    pub fn return_lease(
        &mut self,
        now: Instant,
        holder: &Bytes,
        lease_return: LeaseReturn,
    ) -> ReturnAck {
        self.leases.close_lease(
            now,
            &lease_return.account,
            holder,
            lease_return.lease,
            lease_return.tokens,
        );
        ReturnAck {
            account: lease_return.account,
            lease: lease_return.lease,
        }
    }

    /// Credits tokens that a request did not use.
    pub fn refund(&mut self, now: Instant, holder: Bytes, refund: &rate::TokenRefund) {
        let credit = TokenRefund {
            holder,
            number: refund.number,
            lease: refund.lease,
            tokens: refund.tokens,
        };
        self.leases.apply_refund(now, &refund.account, &credit);
    }
}

/// Returns the accounts of the lists, followed by those that only the serving
/// configuration has.
fn account_names(state: &ClusterState) -> Vec<Bytes> {
    let serving = state.serving.iter().filter_map(|put| put.config.as_ref());
    let serving = serving.flat_map(|config| config.accounts.iter().map(|item| &item.name));
    let own = serving.filter(|name| !state.accounts.contains_key(*name));
    state.accounts.keys().chain(own).cloned().collect()
}

fn plan_of(state: &ClusterState, account: &Bytes) -> TokenPlan {
    let serving = state.serving.as_ref().and_then(|put| put.config.as_ref());
    let mut accounts = serving.iter().flat_map(|config| config.accounts.iter());
    if let Some(item) = accounts.find(|item| item.name == *account) {
        return TokenPlan {
            rate: item.rate,
            burst: item.burst,
        };
    }
    let plan = state.accounts.get(account);
    let plan = plan.and_then(|account| state.plans.get(&account.plan));
    plan.map_or_else(TokenPlan::default, |plan| TokenPlan {
        rate: plan.rate,
        burst: plan.burst,
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
