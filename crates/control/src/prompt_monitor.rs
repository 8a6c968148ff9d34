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

use bytes::Bytes;
use mulberrywell_limit::{CrashLedger, PartId, PartSet, SuspectRequest, TrialTable};
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RoleAction};
use mulberrywell_wire::serving::{
    PromptNotice, PromptQuarantine, PromptReport, TrialEnd, TrialGrant, TrialRequest,
};
use mulberrywell_wire::FrameBody;

use crate::control_role::Actions;

/// Time for which the restricted subjects are kept for further requests for trials; many
/// may come at once.
const RESTRICTED_LIFETIME: Duration = Duration::from_millis(20);

/// The ledger of this instance and the gateways and entries that follow it.
#[derive(Debug, Default)]
pub struct PromptMonitor {
    ledger: CrashLedger,
    /// Trials that this instance granted as the leader.
    trials: TrialTable,
    links: BTreeSet<LinkId>,
    /// What the gateways were last told.
    watched: BTreeSet<PartId>,
    quarantined: BTreeSet<PartSet>,
    restricted: BTreeSet<PartId>,
    /// What was restricted when a trial was last asked for, and when that was found.
    found: Option<(Instant, BTreeSet<PartId>)>,
}

impl PromptMonitor {
    /// Adds the link of a gateway or an entry and tells it what the others were told.
    pub fn attach(&mut self, now: Instant, link: LinkId, commands: &mut Vec<LinkCommand>) {
        self.links.insert(link);
        let has_news = [&self.watched, &self.restricted]
            .iter()
            .any(|it| !it.is_empty());
        if has_news || !self.quarantined.is_empty() {
            commands.push(self.notice(now, link));
        }
    }

    /// Removes the link of a process.
    pub fn remove(&mut self, now: Instant, link: LinkId, holder: &Bytes) {
        self.links.remove(&link);
        self.trials.remove_holder(now, holder);
    }

    /// Grants a trial as the leader, or denies it. What isn't restricted any more needs
    /// none.
    pub fn grant_trial(
        &mut self,
        now: Instant,
        holder: Bytes,
        request: &TrialRequest,
    ) -> TrialGrant {
        let found = self.found.take();
        let found =
            found.filter(|(at, _)| now.saturating_duration_since(*at) < RESTRICTED_LIFETIME);
        let (at, restricted) = found.unwrap_or_else(|| (now, self.ledger.restricted(now)));
        let subjects = request.subjects.iter().copied();
        let subjects: PartSet = subjects.filter(|it| restricted.contains(it)).collect();
        self.found = Some((at, restricted));
        let id = (holder, request.sequence);
        let unneeded = subjects.is_empty();
        let granted = unneeded || self.trials.grant(now, id, &request.endpoint, subjects);
        TrialGrant {
            sequence: request.sequence,
            granted,
            unavailable: false,
            unneeded,
        }
    }

    /// Ends a trial that this instance granted.
    pub fn end_trial(&mut self, now: Instant, holder: Bytes, end: TrialEnd) {
        self.trials.end(now, &(holder, end.sequence), end.broken);
    }

    /// Forgets all trials, as another instance leads.
    pub fn clear_trials(&mut self) {
        self.trials.clear();
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
                is_trial: crash.trial,
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
        for found in self.ledger.tick(now) {
            self.trials.end_pauses(&found.parts);
            let parts = found.parts.iter().map(|part| format!("{part:x}"));
            let parts: Vec<String> = parts.collect();
            let text = format!(
                "quarantine parts={} incidents={} explained={} outcome=begun",
                parts.join(","),
                found.incidents,
                found.explained,
            );
            actions.push(RoleAction::Log(LogLevel::Warn, text));
        }
        let watched = self.ledger.suspects();
        let quarantines = self.ledger.quarantines().iter();
        let quarantined: BTreeSet<PartSet> = quarantines.map(|(parts, _)| parts.clone()).collect();
        let restricted = self.ledger.restricted(now);
        self.trials.tick(now);
        let is_known = watched == self.watched && restricted == self.restricted;
        if is_known && quarantined == self.quarantined {
            return;
        }
        if restricted != self.restricted {
            let text = format!(
                "restrict subjects={} first={} outcome=changed",
                restricted.len(),
                restricted
                    .first()
                    .map_or(String::new(), |it| format!("{it:x}")),
            );
            actions.push(RoleAction::Log(LogLevel::Info, text));
        }
        self.watched = watched;
        self.restricted = restricted;
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
            restricted: self.restricted.iter().copied().collect(),
        };
        let body = FrameBody::PromptNotice(notice);
        LinkCommand::Send { link, body }
    }
}
