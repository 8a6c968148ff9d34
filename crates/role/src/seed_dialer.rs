//! Maintains one link to any one of a list of control instances.
//!
//! Algorithm: the addresses are tried in turn, from a start that differs between
//! instances; the delay doubles after each round of failures over all addresses,
//! up to [`DELAY_MAX`]. A link that opens and soon closes again is a failure too,
//! since a peer that accepts links and closes them would otherwise be dialed at the
//! shortest delay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::LinkId;

const DELAY_MIN: Duration = Duration::from_millis(50);
const DELAY_MAX: Duration = Duration::from_secs(2);

/// Time from the dialing to the closing of a link from which on it ends a series of
/// failures.
const STABLE_AFTER: Duration = Duration::from_secs(2);

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
    /// Failed attempts and links that closed within [`STABLE_AFTER`], since a link was
    /// last open for longer.
    failures: u32,
    /// When the current or last link was dialed.
    dialed_at: Instant,
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
            dialed_at: now,
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

    /// Returns the link that is open or being dialed.
    pub fn link(&self) -> Option<LinkId> {
        match self.state {
            SeedState::Dialing(link) | SeedState::Open(link) => Some(link),
            SeedState::Waiting(_) => None,
        }
    }

    /// Returns whether a link is open or being dialed.
    pub fn has_link(&self) -> bool {
        self.link().is_some()
    }

    /// Returns when [`SeedDialer::dial`] must be called next, if at all.
    pub fn deadline(&self) -> Option<Instant> {
        match self.state {
            SeedState::Waiting(at) => Some(at),
            _ => None,
        }
    }

    /// Returns whether a failure is recent, so that a dialer that replaced this one
    /// would dial too early.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        matches!(self.state, SeedState::Waiting(at) if self.failures > 0 && now < at + DELAY_MAX)
    }

    /// Returns the address to dial as `link`, if an attempt is due.
    pub fn dial(&mut self, now: Instant, link: LinkId) -> Option<SocketAddr> {
        match self.state {
            SeedState::Waiting(at) if at <= now => {
                let address = self.addresses[self.next % self.addresses.len()];
                self.next += 1;
                self.state = SeedState::Dialing(link);
                self.dialed_at = now;
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
        self.state = SeedState::Open(link);
        true
    }

    /// Handles the closing of a link; returns whether it was this dialer's link.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) -> bool {
        match self.state {
            SeedState::Dialing(own) | SeedState::Open(own) if own == link => {
                let age = now.saturating_duration_since(self.dialed_at);
                if self.open_link().is_some() && age >= STABLE_AFTER {
                    self.failures = 0;
                }
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
