//! Attempts: frames of other and earlier attempts, resumption, retries and
//! cancellation.

mod scripted;

use mulberrywell_role::{HttpEvent, RoleEvent};
use mulberrywell_wire::request::{AttemptId, Ran, RefusalReason};
use rstest::rstest;
use scripted::ScriptedEntry;

const STREAM: &str = "text/event-stream";

#[test]
fn chart_fits_code() {
    mulberrywell_entry::call_chart();
}

#[test]
fn response_complete_forwarded() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    entry.respond_to_last("text");
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.body.as_str()), (200, "text"));
    assert_eq!((view.ran().as_str(), view.ended), ("yes", Some(true)));
}

#[rstest]
#[case::other_attempt(|id: &mut AttemptId| id.attempt += 1)]
#[case::other_call(|id: &mut AttemptId| id.sequence += 1)]
#[case::other_incarnation(|id: &mut AttemptId| id.incarnation += 1)]
fn frames_of_other_attempt_dropped(#[case] change: fn(&mut AttemptId)) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    let mut other = start.id.unwrap();
    change(&mut other);
    entry.head(link, Some(other), "text/plain");
    entry.part(link, Some(other), 0, "foreign");
    entry.end(link, Some(other), 7, 1);
    assert_eq!(entry.caller_view(request).status, 0);
    entry.respond_to_last("own");
    assert_eq!(entry.caller_view(request).body, "own");
}

#[test]
fn frames_of_other_link_dropped() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    let other = *entry.links.keys().find(|known| **known != link).unwrap();
    entry.head(other, start.id, "text/plain");
    assert_eq!(entry.caller_view(request).status, 0);
}

#[test]
fn frames_late_dropped_after_retry() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    entry.refuse(link, start.id, RefusalReason::Overloaded, Ran::No);
    assert_eq!(entry.starts().len(), 2);
    entry.head(link, start.id, "text/plain");
    entry.part(link, start.id, 0, "late");
    entry.respond_to_last("second");
    assert_eq!(entry.caller_view(request).body, "second");
}

#[rstest]
#[case::short(3)]
#[case::long(5)]
fn end_of_wrong_length_aborted(#[case] length: u64) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, "text/plain");
    entry.part(link, start.id, 0, "text");
    entry.end(link, start.id, length, 1);
    assert_eq!(entry.caller_view(request).ended, Some(false));
}

#[test]
fn stream_interrupted_resumed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\n\ndata: b\n\ndata: c");
    entry.close_link(link);
    let (link, start) = entry.last_start();
    assert_eq!(start.resume_events, 2);
    entry.head(link, start.id, STREAM);
    let rest = "data: c\n\ndata: [DONE]\n\n";
    entry.part(link, start.id, 0, rest);
    entry.end(link, start.id, rest.len() as u64, 3);
    let view = entry.caller_view(request);
    let whole = "data: a\n\ndata: b\n\ndata: c\n\ndata: [DONE]\n\n";
    assert_eq!((view.body.as_str(), view.ended), (whole, Some(true)));
}

/// Guards against streams whose events come from two software versions.
#[rstest]
#[case::begun("data: a\n\ndata: b", "v2", false)]
#[case::begun_same_version("data: a\n\ndata: b", "v1", true)]
#[case::without_event("", "v2", true)]
fn stream_resumed_at_own_version(
    #[case] sent: &str,
    #[case] other_software: &str,
    #[case] goes_elsewhere: bool,
) {
    let mut entry = ScriptedEntry::ready();
    entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    let first_port = entry.port_of(link);
    entry.set_other_software(link, other_software);
    entry.head(link, start.id, STREAM);
    if !sent.is_empty() {
        entry.part(link, start.id, 0, sent);
    }
    entry.close_link(link);
    let (next, start) = entry.last_start();
    assert_eq!(entry.starts().len(), 2);
    assert_eq!(entry.port_of(next) != first_port, goes_elsewhere);
    // An agent of another incarnation, whose version may be another, refuses it.
    assert_eq!(start.endpoint_incarnation, 1);
}

#[test]
fn stream_broken_after_last_event_completed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\n\ndata: [DONE]\n\n");
    entry.close_link(link);
    assert_eq!(entry.starts().len(), 1);
    assert_eq!(entry.caller_view(request).ended, Some(true));
}

#[test]
fn stream_gap_cancelled_and_resumed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\n\n");
    entry.part(link, start.id, 20, "data: c\n\n");
    assert_eq!(entry.cancels(), 1);
    assert_eq!(entry.last_start().1.resume_events, 1);
    assert_eq!(entry.caller_view(request).body, "data: a\n\n");
}

// Guards against events that end in CR LF being held back until the stream ends.
#[rstest]
#[case::crlf("data: a\r\n\r\ndata: b\r\n\r", "\ndata: [DONE]\r\n\r\n")]
#[case::cr("data: a\r\rdata: b\r\r", "data: [DONE]\r\r")]
#[case::mixed("data: a\n\r\ndata: b\r\n\n", "data: [DONE]\n\r")]
#[case::extra_blank("data: a\n\n\n\ndata: b\n\n", "data: [DONE]\n\n\n")]
fn stream_line_ends_recognised(#[case] first: &str, #[case] rest: &str) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, first);
    assert_eq!(entry.caller_view(request).body, first);
    entry.part(link, start.id, first.len() as u64, rest);
    entry.close_link(link);
    let view = entry.caller_view(request);
    assert_eq!(view.body, format!("{first}{rest}"));
    assert_eq!((entry.starts().len(), view.ended), (1, Some(true)));
}

// Guards against a wrong count of events, which would repeat or skip some.
#[test]
fn stream_of_crlf_resumed() {
    let mut entry = ScriptedEntry::ready();
    entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\r\n\r\n\r\ndata: b\r\n\r\ndata");
    entry.close_link(link);
    assert_eq!(entry.last_start().1.resume_events, 2);
}

// Guards against a truncated event being delivered in a response framed as complete.
#[test]
fn stream_ended_in_event_resumed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    entry.respond_with(STREAM, "data: a\n\ndata: b");
    let (_, start) = entry.last_start();
    assert_eq!((entry.starts().len(), start.resume_events), (2, 1));
    entry.respond_with(STREAM, "data: b\n\n");
    let view = entry.caller_view(request);
    let whole = "data: a\n\ndata: b\n\n";
    assert_eq!((view.body.as_str(), view.ended), (whole, Some(true)));
}

// Guards against a stream that is truncated by each attempt passing as complete.
#[test]
fn stream_ended_in_event_aborted_without_attempts() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    while entry.caller_view(request).ended.is_none() {
        entry.respond_with(STREAM, "data: a");
    }
    let view = entry.caller_view(request);
    assert_eq!((view.body.as_str(), view.ended), ("", Some(false)));
    assert!(entry.starts().len() > 1);
}

// Guards against a rest after the last event failing a stream that is complete.
#[test]
fn stream_rest_after_last_event_dropped() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    entry.respond_with(STREAM, "data: [DONE]\n\n: rest");
    let view = entry.caller_view(request);
    let whole = "data: [DONE]\n\n";
    assert_eq!((view.body.as_str(), view.ended), (whole, Some(true)));
}

// Guards against truncated streams of calls that aren't resumed passing as complete.
#[rstest]
#[case::in_event("data: a\n\ndata: b", "data: a\n\n", false)]
#[case::after_event("data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n", true)]
fn non_idempotent_stream_checked_not_resumed(
    #[case] sent: &str,
    #[case] body: &str,
    #[case] is_complete: bool,
) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(&[]);
    entry.respond_with(STREAM, sent);
    let view = entry.caller_view(request);
    assert_eq!((view.body.as_str(), view.ended), (body, Some(is_complete)));
    assert_eq!(entry.starts().len(), 1);
}

// Guards against a stream that may run once being started again by its refusal.
#[rstest]
#[case::not_run(Ran::No)]
#[case::unknown(Ran::Unknown)]
fn non_idempotent_stream_interrupted_aborted(#[case] ran: Ran) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(&[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\n\ndata: b");
    entry.refuse(link, start.id, RefusalReason::EngineDown, ran);
    let view = entry.caller_view(request);
    assert_eq!(
        (view.body.as_str(), view.ended),
        ("data: a\n\n", Some(false))
    );
    assert_eq!(entry.starts().len(), 1);
}

// Guards against a stream broken off before its first event passing as complete.
#[rstest]
#[case::empty("")]
#[case::blank_lines("\n\r\n")]
fn stream_without_event_resumed(#[case] sent: &str) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    entry.respond_with(STREAM, sent);
    assert_eq!(entry.starts().len(), 2);
    entry.respond_with(STREAM, "data: a\n\n");
    let view = entry.caller_view(request);
    assert_eq!(view.body, format!("{sent}data: a\n\n"));
    assert_eq!(view.ended, Some(true));
}

// Guards against an empty stream of a call that may run once passing as complete.
#[test]
fn non_idempotent_stream_without_event_aborted() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(&[]);
    entry.respond_with(STREAM, "");
    assert_eq!(entry.caller_view(request).ended, Some(false));
    assert_eq!(entry.starts().len(), 1);
}

// Guards against a resumption that has no event left failing a complete stream.
#[test]
fn stream_resumed_after_all_events_completed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, "data: a\n\n");
    entry.close_link(link);
    entry.respond_with(STREAM, "");
    let view = entry.caller_view(request);
    assert_eq!(
        (view.body.as_str(), view.ended),
        ("data: a\n\n", Some(true))
    );
    assert_eq!(entry.starts().len(), 2);
}

// Guards against responses that have no body by definition counting as broken off.
#[test]
fn stream_of_head_request_without_event_completed() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_with_key("HEAD", "/services/queue-desk/tickets", &[], "");
    entry.respond_with(STREAM, "");
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ended), (200, Some(true)));
}

#[test]
fn disconnect_cancels_attempt() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    entry.event(RoleEvent::RoleSpecific(HttpEvent::Disconnected { request }));
    assert_eq!(entry.cancels(), 1);
    entry.respond_to_last("late");
    assert_eq!(entry.caller_view(request).status, 0);
}

#[test]
fn idempotent_outcome_unknown_retried() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    entry.refuse(link, start.id, RefusalReason::EngineDown, Ran::Unknown);
    let (_, second) = entry.last_start();
    assert_ne!(second.endpoint, start.endpoint);
    entry.respond_to_last("second");
    assert_eq!(entry.caller_view(request).body, "second");
}

#[rstest]
#[case::not_run(Ran::No, 2, "")]
#[case::unknown(Ran::Unknown, 1, "unknown")]
#[case::run(Ran::Yes, 1, "unknown")]
fn non_idempotent_retried_only_when_not_run(
    #[case] ran: Ran,
    #[case] starts: usize,
    #[case] reported: &str,
) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(&[]);
    let (link, start) = entry.last_start();
    entry.refuse(link, start.id, RefusalReason::EngineDown, ran);
    assert_eq!(entry.starts().len(), starts);
    assert_eq!(entry.caller_view(request).ran(), reported);
}

#[test]
fn non_idempotent_link_closed_outcome_unknown() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_ticket(&[]);
    let (link, _) = entry.last_start();
    entry.close_link(link);
    assert_eq!(entry.starts().len(), 1);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (502, "unknown"));
}

#[test]
fn outcome_unknown_never_reported_not_run() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    for ran in [Ran::Unknown, Ran::No] {
        let (link, start) = entry.last_start();
        entry.refuse(link, start.id, RefusalReason::EngineDown, ran);
    }
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (502, "unknown"));
}

#[test]
fn dial_refused_not_run() {
    let mut entry = ScriptedEntry::ready();
    let links: Vec<u64> = entry
        .links
        .keys()
        .copied()
        .filter(|link| *link > 2)
        .collect();
    entry.refused_ports = vec![9_100, 9_101, 9_102, 9_103];
    for link in links {
        entry.close_link(link);
    }
    let request = entry.send_ticket(&[]);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert!(!view.header("Retry-After").is_empty());
}

#[test]
fn retries_within_budget() {
    let mut entry = ScriptedEntry::ready();
    let requests = 200;
    for _ in 0..requests {
        entry.send_chat(1, false, &[]);
        while let Some((link, start)) = entry.starts().pop() {
            let before = entry.starts().len();
            entry.refuse(link, start.id, RefusalReason::Overloaded, Ran::No);
            if entry.starts().len() == before {
                break;
            }
        }
    }
    let retries = entry.starts().len() - requests;
    assert!((10..=50).contains(&retries), "{retries} retries");
}

#[test]
fn circuit_failing_endpoint_excluded() {
    let mut entry = ScriptedEntry::ready();
    let bad = entry.link_to(9_100);
    for _ in 0..60 {
        entry.send_chat(1, false, &[]);
        let (link, start) = entry.last_start();
        if link == bad {
            entry.refuse(link, start.id, RefusalReason::EngineDown, Ran::No);
        }
        entry.respond_to_last("x");
    }
    let tries = entry
        .starts()
        .iter()
        .filter(|(link, _)| *link == bad)
        .count();
    assert_eq!(tries, 3);
}

#[test]
fn deadline_refused_immediately() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[("Mulberrywell-Deadline-Ms", "300")]);
    entry.advance(299);
    assert_eq!(entry.caller_view(request).status, 0);
    entry.advance(2);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (504, "unknown"));
    assert_eq!(entry.cancels(), 1);
}
