//! Maintains one link to any one of a list of control instances.
//!
//! Algorithm: the addresses are tried in turn, from a start that differs between
//! instances; the delay doubles after each round of failures over all addresses,
//! up to [`DELAY_MAX`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::LinkId;

const DELAY_MIN: Duration = Duration::from_millis(50);
const DELAY_MAX: Duration = Duration::from_secs(2);

/// State of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeedState {
    /// There is no link; the next attempt is due at this instant.
    Waiting(Instant),
    /// A link is being dialed.
    Dialing(LinkId),
    /// The link is open.
    Open(LinkId),
}

/// Selects the address to dial next, and when to dial it.
#[derive(Debug)]
pub struct SeedDialer {
    /// Never empty.
    addresses: Vec<SocketAddr>,
    /// Index of the address for the next attempt, modulo the number of addresses.
    next: usize,
    /// Closed links and failed attempts since a link was last opened.
    failures: u32,
    state: SeedState,
}

impl SeedDialer {
    /// Creates a dialer that may dial at `now`; `start`, modulo the number of
    /// addresses, is the index of the first address to dial.
    ///
    /// # Panics
    /// Panics if `addresses` is empty, which settings report as a finding.
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

    /// Returns whether a link is open or being dialed.
    pub fn has_link(&self) -> bool {
        !matches!(self.state, SeedState::Waiting(_))
    }

    /// Returns when [`SeedDialer::dial`] must be called next, if at all.
    pub fn deadline(&self) -> Option<Instant> {
        match self.state {
            SeedState::Waiting(at) => Some(at),
            _ => None,
        }
    }

    /// Returns the address to dial as `link`, if an attempt is due.
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

    /// Handles the opening of a link; returns whether it is this dialer's link.
    pub fn handle_opened(&mut self, link: LinkId) -> bool {
        if self.state != SeedState::Dialing(link) {
            return false;
        }
        self.failures = 0;
        self.state = SeedState::Open(link);
        true
    }

    /// Handles the closing of a link; returns whether it was this dialer's link.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) -> bool {
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
