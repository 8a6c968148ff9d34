//! Keeps one link to a control instance out of a list of addresses.
//!
//! Algorithm: the addresses are tried in turn from a start that differs
//! between instances; after each full round of failures the delay doubles up
//! to [`DELAY_MAX`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::LinkId;

const DELAY_MIN: Duration = Duration::from_millis(50);
const DELAY_MAX: Duration = Duration::from_secs(2);

/// State of the one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeedState {
    /// Nothing is under way until the instant.
    Waiting(Instant),
    /// A link is being dialed.
    Dialing(LinkId),
    /// The link is open.
    Open(LinkId),
}

/// Chooses which address to dial next, and when.
#[derive(Debug)]
pub struct SeedDialer {
    /// Never empty.
    addresses: Vec<SocketAddr>,
    /// Address of the next attempt, modulo the number of addresses.
    next: usize,
    /// Failures since the last open link.
    failures: u32,
    state: SeedState,
}

impl SeedDialer {
    /// Creates a dialer that may dial at `now`.
    ///
    /// # Panics
    /// Panics when `addresses` is empty; settings report that as a finding.
    pub fn new(addresses: Vec<SocketAddr>, start: u64, now: Instant) -> Self {
        assert!(!addresses.is_empty(), "no address to dial");
        let start = usize::try_from(start % addresses.len() as u64).unwrap_or(0);
        SeedDialer {
            addresses,
            next: start,
            failures: 0,
            state: SeedState::Waiting(now),
        }
    }

    /// Returns the state of the link.
    pub fn state(&self) -> SeedState {
        self.state
    }

    /// Returns the open link.
    pub fn open_link(&self) -> Option<LinkId> {
        match self.state {
            SeedState::Open(link) => Some(link),
            _ => None,
        }
    }

    /// Tells whether a link is open or being dialed.
    pub fn has_link(&self) -> bool {
        !matches!(self.state, SeedState::Waiting(_))
    }

    /// Returns when [`SeedDialer::dial`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        match self.state {
            SeedState::Waiting(at) => Some(at),
            _ => None,
        }
    }

    /// Returns the address to dial as `link`, when it is time.
    pub fn dial(&mut self, now: Instant, link: LinkId) -> Option<SocketAddr> {
        match self.state {
            SeedState::Waiting(at) if at <= now => {
                let address = self.addresses[self.next % self.addresses.len()];
                self.next += 1;
                self.state = SeedState::Dialing(link);
                Some(address)
            }
            _ => None,
        }
    }

    /// Notes that a link opened; tells whether it is this one.
    pub fn opened(&mut self, link: LinkId) -> bool {
        if self.state != SeedState::Dialing(link) {
            return false;
        }
        self.failures = 0;
        self.state = SeedState::Open(link);
        true
    }

    /// Notes that a link closed; tells whether it was this one.
    pub fn closed(&mut self, now: Instant, link: LinkId) -> bool {
        match self.state {
            SeedState::Dialing(own) | SeedState::Open(own) if own == link => {
                let round = self.failures / u32::try_from(self.addresses.len()).unwrap_or(1);
                self.failures = self.failures.saturating_add(1);
                let delay = DELAY_MIN * 2_u32.saturating_pow(round.min(6));
                self.state = SeedState::Waiting(now + delay.min(DELAY_MAX));
                true
            }
            _ => false,
        }
    }
}
