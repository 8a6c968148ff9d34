//! Claims of idempotency keys: made before the request is forwarded, with at
//! most one run.

mod scripted;

use mulberrywell_wire::claim::{
    ClaimAnswer, ClaimRequest, ClaimState, OutcomeAck, OutcomeReport, StoredAnswer,
};
use mulberrywell_wire::request::{Ran, RefusalReason};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{ScriptedEntry, CONTROL_PORT};

const CLAIM_KEY: &[(&str, &str)] = &[("Idempotency-Key", "order-1")];

fn last_claim_request(entry: &ScriptedEntry) -> ClaimRequest {
    let claims = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::ClaimRequest(claim) => Some(claim.clone()),
        _ => None,
    });
    claims.last().expect("no claim request was sent")
}

fn outcomes(entry: &ScriptedEntry) -> Vec<OutcomeReport> {
    let reports = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::OutcomeReport(report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

fn answer_claim(entry: &mut ScriptedEntry, state: ClaimState, stored: Option<StoredAnswer>) {
    let sequence = last_claim_request(entry).sequence;
    entry.control(FrameBody::ClaimAnswer(ClaimAnswer {
        sequence,
        state: state.into(),
        answer: stored,
        claim: 5,
    }));
}

fn entry_with_pending_claim() -> (ScriptedEntry, u64) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(CLAIM_KEY);
    assert!(
        entry.starts().is_empty(),
        "attempt started before the claim was granted"
    );
    (entry, request)
}

#[test]
fn claim_granted_runs_and_reports() {
    let (mut entry, request) = entry_with_pending_claim();
    answer_claim(&mut entry, ClaimState::Granted, None);
    assert_eq!(entry.starts().len(), 1);
    entry.respond_to_last("ticket 9");
    assert_eq!(entry.caller_view(request).body, "ticket 9");
    let report = outcomes(&entry).pop().unwrap();
    assert_eq!((report.claim, report.not_run), (5, false));
    assert_eq!(report.answer.unwrap().body, "ticket 9");
}

#[rstest]
#[case::pending(ClaimState::Pending, 409, "unknown")]
#[case::done_without_answer(ClaimState::Done, 409, "unknown")]
#[case::mismatch(ClaimState::Mismatch, 422, "no")]
#[case::unavailable(ClaimState::Unavailable, 503, "no")]
fn claim_not_granted_never_runs(#[case] state: ClaimState, #[case] status: u16, #[case] ran: &str) {
    let (mut entry, request) = entry_with_pending_claim();
    answer_claim(&mut entry, state, None);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (status, ran));
    assert!(entry.starts().is_empty());
}

#[test]
fn claim_done_replayed() {
    let (mut entry, request) = entry_with_pending_claim();
    let stored = StoredAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: "ticket 9".into(),
    };
    answer_claim(&mut entry, ClaimState::Done, Some(stored));
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.body.as_str()), (201, "ticket 9"));
    assert_eq!((view.ran().as_str(), view.ended), ("yes", Some(true)));
    assert!(entry.starts().is_empty());
}

#[test]
fn claim_digest_of_body_and_path() {
    let mut entry = ScriptedEntry::ready();
    entry.send_ticket(CLAIM_KEY);
    let first = last_claim_request(&entry);
    entry.send_with_key("POST", "/services/queue-desk/tickets", CLAIM_KEY, "other");
    let second = last_claim_request(&entry);
    assert_eq!(first.key, second.key);
    assert_ne!(first.digest, second.digest);
}

#[rstest]
#[case::no_answer(false)]
#[case::link_lost(true)]
fn claim_without_control_refused(#[case] link_lost: bool) {
    let (mut entry, request) = entry_with_pending_claim();
    if link_lost {
        let link = entry.link_to(CONTROL_PORT);
        entry.close_link(link);
    } else {
        entry.advance(2_000);
    }
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert!(entry.starts().is_empty());
}

#[test]
fn claim_granted_late_released() {
    let (mut entry, _) = entry_with_pending_claim();
    entry.advance(2_000);
    answer_claim(&mut entry, ClaimState::Granted, None);
    assert!(entry.starts().is_empty(), "a refused request must not run");
    let report = outcomes(&entry).pop().unwrap();
    assert_eq!((report.claim, report.not_run), (5, true));
}

#[rstest]
#[case::not_run(Ran::No, 1)]
#[case::unknown(Ran::Unknown, 0)]
fn claim_released_only_when_not_run(#[case] ran: Ran, #[case] released: usize) {
    let (mut entry, request) = entry_with_pending_claim();
    answer_claim(&mut entry, ClaimState::Granted, None);
    while entry.caller_view(request).status == 0 {
        let (link, start) = entry.last_start();
        entry.refuse(link, start.id, RefusalReason::EngineDown, ran);
    }
    let reports = outcomes(&entry);
    assert_eq!(
        reports.iter().filter(|report| report.not_run).count(),
        released
    );
    assert_eq!(reports.len(), released);
}

#[test]
fn disconnected_caller_outcome_still_reported() {
    let (mut entry, request) = entry_with_pending_claim();
    answer_claim(&mut entry, ClaimState::Granted, None);
    let disconnected = mulberrywell_role::HttpEvent::Disconnected { request };
    entry.event(mulberrywell_role::RoleEvent::RoleSpecific(disconnected));
    assert_eq!(entry.cancels(), 0);
    entry.respond_to_last("ticket 9");
    assert_eq!(outcomes(&entry).len(), 1);
}

#[test]
fn outcome_resent_until_acknowledged() {
    let (mut entry, _) = entry_with_pending_claim();
    answer_claim(&mut entry, ClaimState::Granted, None);
    entry.respond_to_last("ticket 9");
    for reports in [2, 2] {
        let link = entry.link_to(CONTROL_PORT);
        entry.close_link(link);
        entry.advance(500);
        assert_eq!(outcomes(&entry).len(), reports);
        let sequence = outcomes(&entry)[0].sequence;
        entry.control(FrameBody::OutcomeAck(OutcomeAck { sequence }));
    }
}

// Guards against a truncated stream being stored and replayed as complete.
#[rstest]
#[case::truncated("data: a\n\ndata: b", None)]
#[case::rest_after_last_event("data: [DONE]\n\n: rest", Some("data: [DONE]\n\n"))]
fn claim_of_stream_stores_only_whole(#[case] sent: &str, #[case] stored: Option<&str>) {
    let (mut entry, _) = entry_with_pending_claim();
    answer_claim(&mut entry, ClaimState::Granted, None);
    entry.respond_with("text/event-stream", sent);
    let bodies: Vec<_> = outcomes(&entry)
        .into_iter()
        .filter_map(|report| report.answer)
        .map(|answer| answer.body)
        .collect();
    let expected: Vec<_> = stored.into_iter().collect();
    assert_eq!(bodies, expected);
}
