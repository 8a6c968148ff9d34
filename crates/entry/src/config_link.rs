//! The entry's link to a control instance: configuration and its freshness.
//!
//! Algorithm: a query is sent at an interval. Its answer states that a quorum
//! confirmed a version after the query was sent. Once the directory has that
//! version, it is fresh as of the send time. Only such an answer advances that
//! time, so neither an isolated control instance nor one of another cluster can
//! keep an entry fresh.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_directory::{ApplyOutcome, ConfigDirectory, ConfigVersion};
use mulberrywell_role::{LinkCommand, LinkId, SeedDialer};
use mulberrywell_wire::config::{ConfirmAnswer, ConfirmQuery, Subscribe, Update};
use mulberrywell_wire::FrameBody;

/// Maximum number of pending queries.
const QUERIES_MAX: usize = 16;

/// Number of queries sent within the maximum age.
const QUERIES_PER_MAX_AGE: u32 = 5;

/// A query without an answer yet.
#[derive(Debug, Clone, Copy)]
struct PendingQuery {
    sequence: u64,
    sent: Instant,
}

/// A confirmed version that the directory has not reached yet.
#[derive(Debug, Clone, Copy)]
struct AwaitedVersion {
    cluster: u64,
    version: ConfigVersion,
    sent: Instant,
}

/// The subscription to the configuration, and its freshness.
#[derive(Debug)]
pub struct ConfigLink {
    dialer: SeedDialer,
    directory: ConfigDirectory,
    /// Oldest first; at most [`QUERIES_MAX`].
    queries: VecDeque<PendingQuery>,
    next_sequence: u64,
    next_query: Instant,
    interval: Duration,
    max_age: Duration,
    /// Send time of the newest query whose confirmed version the directory has
    /// reached.
    confirmed: Option<Instant>,
    awaited: Option<AwaitedVersion>,
}

impl ConfigLink {
    /// Creates a link that is yet to be dialed; `start` selects the first seed.
    pub fn new(seeds: Vec<SocketAddr>, start: u64, max_age: Duration, now: Instant) -> Self {
        ConfigLink {
            dialer: SeedDialer::new(seeds, start, now),
            directory: ConfigDirectory::default(),
            queries: VecDeque::new(),
            next_sequence: 1,
            next_query: now,
            interval: max_age / QUERIES_PER_MAX_AGE,
            max_age,
            confirmed: None,
            awaited: None,
        }
    }

    /// Returns the configuration.
    pub fn directory(&self) -> &ConfigDirectory {
        &self.directory
    }

    /// Returns whether the configuration was confirmed within the maximum age.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed
            .is_some_and(|sent| now.saturating_duration_since(sent) < self.max_age)
    }

    /// Returns when freshness ends; none before the first confirmation.
    pub fn fresh_until(&self) -> Option<Instant> {
        self.confirmed.map(|sent| sent + self.max_age)
    }

    /// Returns when [`ConfigLink::tick`] is next due.
    pub fn deadline(&self) -> Option<Instant> {
        match self.dialer.open_link() {
            Some(_) => Some(self.next_query),
            None => self.dialer.deadline(),
        }
    }

    /// Dials or sends a query when due; `next_link` allocates link ids.
    pub fn tick(&mut self, now: Instant, next_link: &mut LinkId) -> Option<LinkCommand> {
        if let Some(link) = self.dialer.open_link() {
            return self.query(now, link);
        }
        let address = self.dialer.dial(now, *next_link)?;
        let link = *next_link;
        *next_link += 2;
        Some(LinkCommand::Dial { link, address })
    }

    /// Handles an opened link; returns the subscription to send on it.
    pub fn handle_opened(&mut self, now: Instant, link: LinkId) -> Option<LinkCommand> {
        if !self.dialer.handle_opened(link) {
            return None;
        }
        self.queries.clear();
        self.next_query = now;
        Some(self.subscribe(link))
    }

    /// Handles a closed link; returns whether it was this one.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) -> bool {
        self.dialer.handle_closed(now, link)
    }

    /// Applies an update; returns its outcome and a reply to send.
    pub fn apply_update(
        &mut self,
        link: LinkId,
        update: &Update,
    ) -> (ApplyOutcome, Option<LinkCommand>) {
        let outcome = self.directory.apply(update);
        let reply = match outcome {
            ApplyOutcome::Gap => Some(self.subscribe(link)),
            ApplyOutcome::Foreign => Some(LinkCommand::Close { link }),
            _ => None,
        };
        self.confirm_awaited();
        (outcome, reply)
    }

    /// Handles the answer to a query.
    pub fn handle_confirm_answer(&mut self, answer: &ConfirmAnswer) {
        let position = self
            .queries
            .iter()
            .position(|query| query.sequence == answer.sequence);
        let Some(query) = position.and_then(|position| self.queries.remove(position)) else {
            return;
        };
        if !answer.confirmed {
            return;
        }
        let age = Duration::from_millis(answer.age_ms);
        let Some(sent) = query.sent.checked_sub(age) else {
            return;
        };
        self.awaited = Some(AwaitedVersion {
            cluster: answer.cluster,
            version: answer.version,
            sent,
        });
        self.confirm_awaited();
    }

    /// Returns the command that sends a frame, if the link is open.
    pub fn send(&self, body: FrameBody) -> Option<LinkCommand> {
        let link = self.dialer.open_link()?;
        Some(LinkCommand::Send { link, body })
    }

    /// Returns whether this is the open link.
    pub fn is_open_link(&self, link: LinkId) -> bool {
        self.dialer.open_link() == Some(link)
    }

    fn confirm_awaited(&mut self) {
        let Some(awaited) = self.awaited else {
            return;
        };
        let same_cluster = self.directory.cluster() == awaited.cluster;
        if same_cluster
            && self.directory.version() >= awaited.version
            && self.directory.version() > 0
        {
            self.confirmed = self.confirmed.max(Some(awaited.sent));
            self.awaited = None;
        }
    }

    fn query(&mut self, now: Instant, link: LinkId) -> Option<LinkCommand> {
        if now < self.next_query {
            return None;
        }
        if self.queries.len() == QUERIES_MAX {
            self.queries.pop_front();
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.next_query = now + self.interval;
        self.queries.push_back(PendingQuery {
            sequence,
            sent: now,
        });
        Some(LinkCommand::Send {
            link,
            body: FrameBody::ConfirmQuery(ConfirmQuery { sequence }),
        })
    }

    fn subscribe(&self, link: LinkId) -> LinkCommand {
        LinkCommand::Send {
            link,
            body: FrameBody::Subscribe(Subscribe {
                version: self.directory.version(),
                cluster: self.directory.cluster(),
            }),
        }
    }
}
