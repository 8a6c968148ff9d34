//! Collects what gateways and entries see of requests under which endpoints crash, and
//! tells all of them which requests to refuse.
//!
//! Algorithm: every gateway reports to every control instance, and an entry to the one
//! that it links to, which relays the report to the others. Each instance keeps a ledger
//! of its own and nothing is replicated. Gateways and entries are told what to watch and
//! the quarantines; they send the quarantines that they hold to an instance that they
//! link to, so that it has them after a restart.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mulberrywell_limit::{CrashLedger, PartId, PartSet, SuspectRequest};
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RoleAction};
use mulberrywell_wire::serving::{PromptNotice, PromptQuarantine, PromptReport};
use mulberrywell_wire::FrameBody;

use crate::control_role::Actions;

/// The ledger of this instance and the gateways and entries that follow it.
#[derive(Debug, Default)]
pub struct PromptMonitor {
    ledger: CrashLedger,
    links: BTreeSet<LinkId>,
    /// What the gateways were last told.
    watched: BTreeSet<PartId>,
    quarantined: BTreeSet<PartSet>,
}

impl PromptMonitor {
    /// Adds the link of a gateway or an entry and tells it what the others were told.
    pub fn attach(&mut self, now: Instant, link: LinkId, commands: &mut Vec<LinkCommand>) {
        self.links.insert(link);
        if !self.watched.is_empty() || !self.quarantined.is_empty() {
            commands.push(self.notice(now, link));
        }
    }

    /// Removes a link.
    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Records a report.
    pub fn record_report(&mut self, now: Instant, report: PromptReport) {
        let instant = |age_ms: u64| {
            let at = now.checked_sub(Duration::from_millis(age_ms));
            at.unwrap_or(now)
        };
        for crash in report.crashes {
            let request = SuspectRequest {
                content: crash.content,
                parts: crash.parts.into_iter().collect(),
                forwarded: instant(crash.running_ms),
            };
            let at = instant(crash.age_ms);
            self.ledger
                .record_crash(at, &crash.endpoint, crash.born_ms, request);
        }
        for sound in report.sound {
            self.ledger.record_sound(sound.part, instant(sound.age_ms));
        }
        for quarantine in report.quarantines {
            let parts = quarantine.parts.into_iter().collect();
            let until = now + Duration::from_millis(quarantine.left_ms);
            self.ledger.record_quarantine(parts, until);
        }
    }

    /// Quarantines the parts that explain the crashes, and tells the gateways what has
    /// changed.
    pub fn tick(&mut self, now: Instant, commands: &mut Vec<LinkCommand>, actions: &mut Actions) {
        for (parts, incidents) in self.ledger.tick(now) {
            let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
            let text = format!(
                "quarantine parts={} incidents={incidents} outcome=begun",
                parts.join(",")
            );
            actions.push(RoleAction::Log(LogLevel::Warn, text));
        }
        let watched = self.ledger.suspects();
        let quarantines = self.ledger.quarantines().iter();
        let quarantined: BTreeSet<PartSet> = quarantines.map(|(parts, _)| parts.clone()).collect();
        if watched == self.watched && quarantined == self.quarantined {
            return;
        }
        self.watched = watched;
        self.quarantined = quarantined;
        for link in &self.links {
            commands.push(self.notice(now, *link));
        }
    }

    fn notice(&self, now: Instant, link: LinkId) -> LinkCommand {
        let quarantines = self.ledger.quarantines().iter();
        let quarantines = quarantines.map(|(parts, until)| {
            let left = until.saturating_duration_since(now).as_millis();
            PromptQuarantine {
                parts: parts.iter().copied().collect(),
                left_ms: u64::try_from(left).unwrap_or(u64::MAX),
            }
        });
        let notice = PromptNotice {
            watched: self.watched.iter().copied().collect(),
            quarantines: quarantines.collect(),
        };
        let body = FrameBody::PromptNotice(notice);
        LinkCommand::Send { link, body }
    }
}
