//! Commands that were proposed here and whose outcome somebody awaits.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_consensus::ProposalId;
use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::claim::ClaimRequest;

/// Where an operator's call came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// This instance's own API.
    Local(RequestId),
    /// Another instance.
    Forwarded {
        /// Its link.
        link: LinkId,
        /// Its number of the call.
        sequence: u64,
    },
}

/// Where a frame of an entry or agent came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOrigin {
    /// A link to this instance.
    Local(LinkId),
    /// Another instance.
    Relayed {
        /// Its link.
        link: LinkId,
        /// Its number of the frame.
        sequence: u64,
    },
}

/// Who awaits the outcome of a proposal.
#[derive(Debug)]
pub enum ProposalWaiter {
    /// An operator.
    Operator(CallOrigin),
    /// An entry that claims a key.
    Claim(FrameOrigin, ClaimRequest),
    /// An entry that reported an outcome under this sequence.
    Outcome(FrameOrigin, u64),
    /// The watch over endpoints; the endpoint.
    Endpoint(Bytes),
    /// Whoever put a serving configuration.
    Serving(CallOrigin),
    /// The driver of the membership.
    Membership,
    /// The book of token leases, which sees each committed block anyway.
    Blocks,
}

/// Open proposals.
#[derive(Debug, Default)]
pub struct ProposalTable {
    waiters: BTreeMap<ProposalId, ProposalWaiter>,
    last: ProposalId,
}

impl ProposalTable {
    /// Adds a proposal; returns its id.
    pub fn insert(&mut self, waiter: ProposalWaiter) -> ProposalId {
        self.last += 1;
        self.waiters.insert(self.last, waiter);
        self.last
    }

    /// Ends a proposal.
    pub fn remove(&mut self, proposal: ProposalId) -> Option<ProposalWaiter> {
        self.waiters.remove(&proposal)
    }

    /// Tells whether a membership change is under way.
    pub fn has_membership_change(&self) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| matches!(waiter, ProposalWaiter::Membership))
    }

    /// Tells whether a change of the endpoint is under way.
    pub fn has_endpoint_change(&self, name: &Bytes) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| matches!(waiter, ProposalWaiter::Endpoint(known) if known == name))
    }
}
