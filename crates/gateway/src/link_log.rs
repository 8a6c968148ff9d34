//! Log lines about links to control, at most one a second for each address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_role::LogLevel;

/// Interval of lines about one address.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a line after which an address is forgotten.
const IDLE_LIFETIME: Duration = Duration::from_secs(60);

/// A line about a link.
pub type LinkLine = (LogLevel, String);

/// The last lines by address.
#[derive(Debug, Default)]
pub struct LinkLog {
    addresses: BTreeMap<SocketAddr, AddressLog>,
}

#[derive(Debug)]
struct AddressLog {
    logged_at: Instant,
    /// The newest line that was held back, and how many there were.
    held: Option<(LinkLine, u32)>,
}

impl LinkLog {
    /// Returns the line to log for a change of a link, if it is due.
    pub fn record(
        &mut self,
        now: Instant,
        address: SocketAddr,
        line: LinkLine,
    ) -> Option<LinkLine> {
        let Some(log) = self.addresses.get_mut(&address) else {
            let log = AddressLog {
                logged_at: now,
                held: None,
            };
            self.addresses.insert(address, log);
            return Some(line);
        };
        let count = log.held.take().map_or(0, |(_, count)| count);
        log.held = Some((line, count + 1));
        log.take_due(now)
    }

    /// Returns the lines that were held back and are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<LinkLine> {
        self.addresses.retain(|_, log| {
            let age = now.saturating_duration_since(log.logged_at);
            log.held.is_some() || age < IDLE_LIFETIME
        });
        let logs = self.addresses.values_mut();
        logs.filter_map(|log| log.take_due(now)).collect()
    }
}

impl AddressLog {
    fn take_due(&mut self, now: Instant) -> Option<LinkLine> {
        if now < self.logged_at + LINE_INTERVAL {
            return None;
        }
        let ((level, text), count) = self.held.take()?;
        self.logged_at = now;
        let left_out = count - 1;
        let text = match left_out {
            0 => text,
            _ => format!("{text} left_out={left_out}"),
        };
        Some((level, text))
    }
}
