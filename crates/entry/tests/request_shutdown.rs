//! Graceful shutdown of the entry.

mod scripted;

use mulberrywell_role::RoleEvent;
use mulberrywell_wire::claim::{ClaimAnswer, ClaimState, OutcomeAck, OutcomeReport};
use mulberrywell_wire::request::{Ran, RefusalReason};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{ScriptedEntry, CONTROL_PORT};

const CLAIM_KEY: &[(&str, &str)] = &[("Idempotency-Key", "order-1")];

#[test]
fn shutdown_not_ready_within_grace() {
    let mut entry = ScriptedEntry::ready();
    entry.event(RoleEvent::Shutdown);
    let ready = entry.send_http("GET", "/readyz", vec![], "");
    assert_eq!(entry.caller_view(ready).status, 503);
    let request = entry.send_chat(10, false, &[]);
    entry.respond_to_last("in the grace");
    assert_eq!(entry.caller_view(request).status, 200);
    entry.advance(1_900);
    assert!(
        !entry.finished,
        "finished before the end of the grace period"
    );
    entry.advance(200);
    assert!(entry.unread_refused);
    assert!(
        !entry.finished,
        "finished before the refusals of unread requests were written"
    );
    entry.advance(400);
    assert!(entry.finished);
}

#[test]
fn shutdown_finishes_calls_and_refuses_new_ones() {
    let mut entry = ScriptedEntry::ready();
    let running = entry.send_chat(10, false, &[]);
    entry.event(RoleEvent::Shutdown);
    entry.advance(4_000);
    let late = entry.send_chat(10, false, &[]);
    let view = entry.caller_view(late);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert!(!view.header("Retry-After").is_empty());
    let open = entry.send_http("GET", "/services/queue-desk/open", vec![], "");
    assert_eq!(entry.caller_view(open).status, 503);
    assert_eq!(entry.caller_view(running).ended, None);
    assert!(!entry.finished, "finished with a call in progress");
    assert!(!entry.unread_refused, "health checks are still answered");
    entry.respond_to_last("whole");
    assert_eq!(entry.caller_view(running).ended, Some(true));
    entry.advance(400);
    assert!(
        !entry.finished,
        "finished before the last response was written"
    );
    entry.advance(200);
    assert!(entry.finished);
}

#[test]
fn shutdown_returns_leases() {
    let mut entry = ScriptedEntry::ready();
    entry.extra_tokens = 60;
    entry.event(RoleEvent::Shutdown);
    entry.advance(1_950);
    entry.send_chat(40, false, &[]);
    entry.respond_to_last("x");
    entry.advance(600);
    assert!(entry.finished);
    let returned = entry.sent.iter().map(|(_, body)| match body {
        FrameBody::LeaseReturn(lease_return) => lease_return.tokens,
        _ => 0,
    });
    assert_eq!(returned.sum::<u64>(), 99);
}

fn grant_claim(entry: &mut ScriptedEntry) {
    let claims = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::ClaimRequest(claim) => Some(claim.sequence),
        _ => None,
    });
    let sequence = claims.last().expect("no claim request was sent");
    entry.control(FrameBody::ClaimAnswer(ClaimAnswer {
        sequence,
        state: ClaimState::Granted.into(),
        answer: None,
        claim: 5,
    }));
}

fn outcomes(entry: &ScriptedEntry) -> Vec<OutcomeReport> {
    let reports = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::OutcomeReport(report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

fn acknowledge_outcomes(entry: &mut ScriptedEntry) {
    for report in outcomes(entry) {
        let sequence = report.sequence;
        entry.control(FrameBody::OutcomeAck(OutcomeAck { sequence }));
    }
}

// Guards against outcomes lost in a shutdown because the wait for their acknowledgement
// ended before their request did: a resend was told that the outcome is unknown.
#[test]
fn shutdown_waits_for_outcome_of_long_call() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(CLAIM_KEY);
    grant_claim(&mut entry);
    entry.event(RoleEvent::Shutdown);
    // The call outlasts the grace period of 2 s and the 5 s for outcomes.
    entry.advance(20_000);
    let link = entry.link_to(CONTROL_PORT);
    entry.respond_to_last("ticket 9");
    assert_eq!(entry.caller_view(request).ended, Some(true));
    entry.close_link(link);
    let sent = outcomes(&entry).len();
    entry.advance(2_000);
    assert!(!entry.finished, "finished with an unacknowledged outcome");
    assert!(outcomes(&entry).len() > sent, "the outcome was not resent");
    acknowledge_outcomes(&mut entry);
    entry.advance(600);
    assert!(entry.finished);
}

#[test]
fn shutdown_ends_without_acknowledgement() {
    let mut entry = ScriptedEntry::ready();
    entry.send_ticket(CLAIM_KEY);
    grant_claim(&mut entry);
    entry.event(RoleEvent::Shutdown);
    entry.advance(20_000);
    entry.respond_to_last("ticket 9");
    entry.advance(4_900);
    assert!(!entry.finished);
    entry.advance(1_200);
    assert!(entry.finished);
}

// Guards against claims that stay taken because the entry exited between the refusal of
// their request and their grant: a resend was told "unknown" after a "not run".
#[test]
fn shutdown_releases_late_claim() {
    let mut entry = ScriptedEntry::ready();
    entry.event(RoleEvent::Shutdown);
    entry.advance(1_900);
    let request = entry.send_ticket(CLAIM_KEY);
    entry.advance(2_000);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    entry.advance(1_000);
    assert!(!entry.finished, "finished before the claim was answered");
    grant_claim(&mut entry);
    let report = outcomes(&entry).pop().unwrap();
    assert_eq!((report.claim, report.not_run), (5, true));
    acknowledge_outcomes(&mut entry);
    entry.advance(600);
    assert!(entry.finished);
}

// The answer to a claim can't arrive once its link has closed.
#[test]
fn shutdown_not_delayed_by_lost_claim() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(CLAIM_KEY);
    let link = entry.link_to(CONTROL_PORT);
    entry.close_link(link);
    assert_eq!(entry.caller_view(request).status, 503);
    entry.event(RoleEvent::Shutdown);
    entry.advance(2_600);
    assert!(entry.finished);
}

/// A call accepted in the grace period that waits for something when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitCase {
    Tokens,
    Claim,
    Retry,
    Resumption,
}

// Guards against calls that a shutdown accepted and then dropped while they waited.
#[rstest]
#[case::reserving(WaitCase::Tokens)]
#[case::claiming(WaitCase::Claim)]
#[case::agent_leaves(WaitCase::Retry)]
#[case::stream_broken(WaitCase::Resumption)]
fn shutdown_serves_calls_that_wait(#[case] case: WaitCase) {
    let mut entry = ScriptedEntry::ready();
    entry.event(RoleEvent::Shutdown);
    entry.grants = case != WaitCase::Tokens;
    entry.advance(1_900);
    let is_ticket = matches!(case, WaitCase::Claim | WaitCase::Retry);
    let request = match is_ticket {
        true if case == WaitCase::Claim => entry.send_ticket(CLAIM_KEY),
        true => entry.send_ticket(&[]),
        false => entry.send_chat(10, true, &[]),
    };
    let events = "data: a\n\n";
    if case == WaitCase::Resumption {
        let (link, start) = entry.last_start();
        entry.head(link, start.id, "text/event-stream");
        entry.part(link, start.id, 0, events);
    }
    entry.advance(500);
    assert_eq!(entry.caller_view(request).ended, None);
    match case {
        WaitCase::Tokens => {
            let requests = entry.sent.iter().filter_map(|(_, body)| match body {
                FrameBody::LeaseRequest(request) => Some(request.clone()),
                _ => None,
            });
            let request = requests.last().expect("no lease was requested");
            let grant = entry.grant_for(&request);
            entry.control(grant);
        }
        WaitCase::Claim => grant_claim(&mut entry),
        WaitCase::Retry => {
            let (link, start) = entry.last_start();
            entry.refuse(link, start.id, RefusalReason::Leaving, Ran::No);
            assert_eq!(entry.starts().len(), 2);
        }
        WaitCase::Resumption => {
            let (link, _) = entry.last_start();
            entry.close_link(link);
            assert_eq!(entry.last_start().1.resume_events, 1);
        }
    }
    entry.respond_with("text/event-stream", "data: [DONE]\n\n");
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ended), (200, Some(true)), "{view:?}");
    acknowledge_outcomes(&mut entry);
    entry.advance(600);
    assert!(entry.finished);
}
