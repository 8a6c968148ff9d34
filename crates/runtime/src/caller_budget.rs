//! The budget of what a process holds for its callers.
//!
//! Purpose: bounds the memory and the descriptors that callers of all ports of a process can
//! take, whatever they send, so that the rest is left for the process's own connections,
//! links and files.
//!
//! Guarantees: memory for a request is taken before its bytes are read; the last part of the
//! memory is taken only for small requests, so that these never wait for large ones; what a
//! [`CallerCharge`] holds is free again when it is dropped.
//!
//! The ports of one process run on several threads, so that the budget is shared and counts
//! with atomic operations. docs/design/caller-budget.md says what was weighed.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberrywell_settings::CallerSettings;

/// Divisor of the memory that gives the part which only small requests may take.
const SMALL_PART_DIVISOR: usize = 4;

/// Divisor of the free memory that gives the unread bytes allowed to one caller.
const FREE_DIVISOR: usize = 8;

/// Connections that each port may have, and descriptors beyond the limit for them.
pub const PORT_RESERVE: usize = 16;

/// Divisor of the connections allowed that gives the idle ones of callers that behave which
/// are not closed to make room.
pub const IDLE_DIVISOR: usize = 2;

/// Divisor of a process's descriptors that gives those which callers and their requests
/// can't use.
const KEPT_DIVISOR: usize = 5;

/// Connections of callers that a process allows however little memory it is told.
const CONNECTIONS_MIN: usize = 64;

/// Time without received bytes after which an incomplete request may be refused to make
/// room for another one.
pub const STALL_MIN: Duration = Duration::from_millis(100);

/// Interval between two searches for an incomplete request to refuse, after one in vain.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a port makes room for what another one could not take; its caller comes
/// back after about as long.
const WANTED_TIME: Duration = Duration::from_secs(2);

/// Divisor of the bytes wanted that gives the least that a request must hold to be refused
/// for them, so that many small ones don't go for one large.
pub const VICTIM_DIVISOR: usize = 64;

/// Memory in bytes that a role takes at most to decode an object of a JSON body with its
/// fields' names, and any other value.
const DECODED_OBJECT: usize = 512;
const DECODED_VALUE: usize = 96;

/// Returns the memory that a role takes at most to decode a JSON body, in addition to the
/// body: many short values take more than their text.
pub fn decoded_memory(body: &[u8]) -> usize {
    let values = body.iter().map(|byte| match byte {
        b'{' => DECODED_OBJECT,
        // A text may hold lists of its own, whose fields are assigned or separated so.
        b'[' | b',' | b'=' => DECODED_VALUE,
        _ => 0,
    });
    values.sum()
}

/// Limits of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes that may be held.
    pub memory: usize,
    /// Descriptors that callers' connections may use.
    pub descriptors: usize,
    /// Descriptors that callers' connections and those that forward their requests may use
    /// together.
    pub all_descriptors: usize,
    /// Length in bytes up to which a request is small.
    pub small_request: usize,
    /// Bytes that are read behind a request in flight.
    pub read_ahead: usize,
    /// Size in bytes of the socket buffer for what a caller sends, as it is set; the system
    /// doubles it.
    pub receive_buffer: usize,
}

impl CallerLimits {
    /// Returns the limits that the settings specify. Callers use two thirds of a process's
    /// descriptors at most, and no more than may all have their sockets full of bytes that
    /// the process has had no time to read. A fifth of the descriptors is kept for links,
    /// files and checks of endpoints, unless the settings say how many.
    pub fn from_settings(settings: &CallerSettings, descriptor_limit: usize) -> Self {
        let kept = settings
            .kept_descriptors
            .unwrap_or(descriptor_limit / KEPT_DIVISOR);
        let limits = CallerLimits {
            memory: settings.memory,
            descriptors: settings.descriptors.min(descriptor_limit / 3 * 2),
            all_descriptors: descriptor_limit.saturating_sub(kept),
            small_request: settings.small_request,
            read_ahead: settings.read_ahead,
            receive_buffer: settings.receive_buffer,
        };
        let arrivals = settings.arrived_memory / limits.arrived_max();
        CallerLimits {
            descriptors: limits.descriptors.min(arrivals.max(CONNECTIONS_MIN)),
            ..limits
        }
    }

    /// Returns the bytes that may have arrived on one connection and are not read.
    pub fn arrived_max(&self) -> usize {
        self.receive_buffer * 2
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self::from_settings(&CallerSettings::default(), usize::MAX)
    }
}

/// What a limit leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// A request was refused for lack of memory or descriptors.
    Request,
    /// A new connection was refused for lack of descriptors.
    Connection,
    /// A connection without a request in flight was closed to make room.
    Closed,
    /// A connection was closed because of the unread bytes held for its caller.
    Ended,
    /// A connection could not be accepted.
    AcceptFailure,
}

/// Number of kinds.
const KINDS: usize = 5;

/// How often limits have led to each [`RefusalKind`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    counts: [u64; KINDS],
}

impl RefusalCounts {
    /// Returns the count of one kind.
    pub fn get(&self, kind: RefusalKind) -> u64 {
        self.counts[kind as usize]
    }

    /// Adds other counts.
    pub fn add(&mut self, other: RefusalCounts) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }
}

#[derive(Debug)]
struct SharedBudget {
    limits: CallerLimits,
    /// Bytes held; above the limit only by what is held for requests in flight.
    held: AtomicUsize,
    /// Descriptors used; above the limit only by what ports with few connections use.
    descriptors: AtomicUsize,
    /// Requests that are forwarded, each with a descriptor of its own.
    exchanges: AtomicUsize,
    /// Bytes that a port could not take last, and when, in milliseconds from `opened`.
    wanted: AtomicUsize,
    wanted_ms: AtomicU64,
    opened: Instant,
    /// Refusals by kind since they were last taken.
    counters: [AtomicU64; KINDS],
}

/// Handle of the budget of a process.
#[derive(Debug, Clone)]
pub struct CallerBudget {
    shared: Arc<SharedBudget>,
}

impl Default for CallerBudget {
    fn default() -> Self {
        Self::open(CallerLimits::default())
    }
}

impl CallerBudget {
    /// Opens a budget.
    pub fn open(limits: CallerLimits) -> Self {
        CallerBudget {
            shared: Arc::new(SharedBudget {
                limits,
                held: AtomicUsize::new(0),
                descriptors: AtomicUsize::new(0),
                exchanges: AtomicUsize::new(0),
                wanted: AtomicUsize::new(0),
                wanted_ms: AtomicU64::new(0),
                opened: Instant::now(),
                counters: Default::default(),
            }),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &CallerLimits {
        &self.shared.limits
    }

    /// Returns the bytes held.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Returns the descriptors that callers' connections use.
    pub fn descriptors(&self) -> usize {
        self.shared.descriptors.load(Ordering::Relaxed)
    }

    /// Returns whether more is held than allowed.
    pub fn is_over(&self) -> bool {
        self.held() > self.shared.limits.memory
    }

    /// Returns the bytes of a response that may be held for one caller which doesn't read;
    /// the less is free, the fewer.
    pub fn unread_share(&self, most: usize) -> usize {
        let free = self.shared.limits.memory.saturating_sub(self.held());
        most.min(free / FREE_DIVISOR)
            .max(self.shared.limits.small_request)
    }

    /// Returns whether a request that needs this many bytes can be held at all.
    pub fn can_hold(&self, request_len: usize) -> bool {
        request_len <= self.shared.limits.memory
    }

    /// Asks all ports to make room: a port could not take so many bytes, and has no stalled
    /// request of its own to refuse.
    pub fn want(&self, now: Instant, len: usize) {
        let shared = &self.shared;
        let since = now.saturating_duration_since(shared.opened).as_millis();
        let wanted_ms = u64::try_from(since).unwrap_or(u64::MAX);
        shared.wanted.store(len, Ordering::Relaxed);
        shared.wanted_ms.store(wanted_ms, Ordering::Relaxed);
    }

    /// Returns the bytes that a port has lately not been able to take, while they are not
    /// free.
    pub fn wanted(&self, now: Instant) -> Option<usize> {
        let shared = &self.shared;
        let wanted = shared.wanted.load(Ordering::Relaxed);
        let wanted_ms = shared.wanted_ms.load(Ordering::Relaxed);
        let wanted_at = shared.opened + Duration::from_millis(wanted_ms);
        let memory = shared.limits.memory;
        let is_free = self.held() + wanted <= memory - memory / SMALL_PART_DIVISOR;
        (wanted > 0 && now < wanted_at + WANTED_TIME && !is_free).then_some(wanted)
    }

    /// Returns whether callers' connections and so many to endpoints use all descriptors that
    /// they may.
    pub fn is_short_of_descriptors(&self, endpoint_connections: usize) -> bool {
        self.descriptors() + endpoint_connections >= self.shared.limits.all_descriptors
    }

    /// Takes the descriptors of a new connection at a port with `open` connections; none
    /// when all are in use. A port with few connections may exceed the limit, so that a
    /// crowd at another port, whose connections it can't close, doesn't shut it.
    pub fn connect(&self, open: usize, descriptors: usize) -> Option<CallerCharge> {
        let reserve = match open < PORT_RESERVE {
            true => PORT_RESERVE,
            false => 0,
        };
        let limits = &self.shared.limits;
        let exchanges = self.shared.exchanges.load(Ordering::Relaxed);
        let unused = limits.all_descriptors.saturating_sub(exchanges);
        let limit = limits.descriptors.min(unused) + reserve;
        let used = &self.shared.descriptors;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            (used + descriptors <= limit).then_some(used + descriptors)
        });
        taken.is_ok().then(|| CallerCharge {
            budget: self.clone(),
            held: 0,
            descriptors,
            has_exchange: false,
        })
    }

    /// Takes the descriptor and the memory of a connection of which it is not known yet
    /// whether it belongs to another process of the system; none when they are not free. A
    /// port with few of them may exceed both limits, so that such processes can connect
    /// whatever callers hold.
    pub fn connect_unknown(&self, open: usize, memory: usize) -> Option<CallerCharge> {
        let mut charge = self.connect(open, 1)?;
        if open < PORT_RESERVE {
            charge.set(memory);
            return Some(charge);
        }
        charge.take(memory, 0).then_some(charge)
    }

    /// Returns a charge without descriptors.
    pub fn charge(&self) -> CallerCharge {
        CallerCharge {
            budget: self.clone(),
            held: 0,
            descriptors: 0,
            has_exchange: false,
        }
    }

    /// Counts a refusal.
    pub fn count(&self, kind: RefusalKind) {
        self.shared.counters[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Removes and returns what was counted.
    pub fn take_counts(&self) -> RefusalCounts {
        let mut counts = RefusalCounts::default();
        for (count, counter) in counts.counts.iter_mut().zip(&self.shared.counters) {
            *count = counter.swap(0, Ordering::Relaxed);
        }
        counts
    }
}

/// What is held for one connection.
#[derive(Debug)]
pub struct CallerCharge {
    budget: CallerBudget,
    /// Bytes; part of the budget's sum.
    held: usize,
    /// Descriptors; part of the budget's sum.
    descriptors: usize,
    /// A request is forwarded on a connection that counts in the budget.
    has_exchange: bool,
}

impl CallerCharge {
    /// Returns the limits of the budget.
    pub fn limits(&self) -> &CallerLimits {
        self.budget.limits()
    }

    /// Returns the bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes `len` more bytes for a request that needs `request_len` bytes; false when they
    /// are not free.
    pub fn take(&mut self, len: usize, request_len: usize) -> bool {
        if len == 0 {
            // A request that holds all it needs goes on, whatever others have taken since.
            return true;
        }
        let limits = &self.budget.shared.limits;
        let large_part = limits.memory - limits.memory / SMALL_PART_DIVISOR;
        // A request that is larger than the part for large ones may have all.
        let bound = if request_len <= limits.small_request || request_len > large_part {
            limits.memory
        } else {
            large_part
        };
        let sum = &self.budget.shared.held;
        let taken = sum.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            let held = held.checked_add(len)?;
            (held <= bound).then_some(held)
        });
        if taken.is_ok() {
            self.held += len;
        }
        taken.is_ok()
    }

    /// Sets the bytes held, also beyond the limit.
    pub fn set(&mut self, held: usize) {
        let sum = &self.budget.shared.held;
        if held > self.held {
            sum.fetch_add(held - self.held, Ordering::Relaxed);
        } else if held < self.held {
            sum.fetch_sub(self.held - held, Ordering::Relaxed);
        }
        self.held = held;
    }

    /// Uses so many descriptors from now on, at a port with `open` connections; false when
    /// they are not free.
    pub fn use_descriptors(&mut self, open: usize, descriptors: usize) -> bool {
        let more = descriptors.saturating_sub(self.descriptors);
        match self.budget.connect(open, more) {
            Some(mut charge) => {
                self.descriptors += std::mem::take(&mut charge.descriptors);
                true
            }
            None => false,
        }
    }

    /// Gives one descriptor back.
    pub fn release_descriptor(&mut self) {
        if self.descriptors > 0 {
            self.descriptors -= 1;
            let used = &self.budget.shared.descriptors;
            used.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Takes the descriptor of the connection that forwards the caller's request; false when
    /// it is not free.
    pub fn take_exchange(&mut self) -> bool {
        if self.has_exchange {
            return true;
        }
        let shared = &self.budget.shared;
        let used = shared.descriptors.load(Ordering::Relaxed);
        let limit = shared.limits.all_descriptors;
        let exchanges = &shared.exchanges;
        let taken = exchanges.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |exchanges| {
            (used + exchanges < limit).then_some(exchanges + 1)
        });
        self.has_exchange = taken.is_ok();
        self.has_exchange
    }

    /// Gives the descriptor of the connection back that has forwarded the caller's request.
    pub fn release_exchange(&mut self) {
        if std::mem::take(&mut self.has_exchange) {
            let exchanges = &self.budget.shared.exchanges;
            exchanges.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for CallerCharge {
    fn drop(&mut self) {
        self.set(0);
        self.release_exchange();
        let used = &self.budget.shared.descriptors;
        used.fetch_sub(self.descriptors, Ordering::Relaxed);
    }
}
