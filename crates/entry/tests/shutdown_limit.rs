//! Graceful shutdown of an entry whose process is killed at a known time.

mod scripted;

use std::time::Duration;

use mulberrywell_role::RoleEvent;
use rstest::rstest;
use scripted::ScriptedEntry;

/// Time from the begin of the shutdown to the end of the last calls.
const LIMIT: Duration = Duration::from_secs(7);

const DEADLINE_HEADER: &str = "Mulberrywell-Deadline-Ms";

fn stopping_entry() -> ScriptedEntry {
    let mut entry = ScriptedEntry::with_limit(Some(LIMIT));
    entry.event(RoleEvent::Shutdown);
    entry
}

/// Guards against requests that a shutdown takes and passes on though they may take longer
/// than the process lives: those are refused as not run, the others are served.
#[rstest]
#[case::ends_before(1_000, "5900", true)]
#[case::ends_after(1_000, "6100", false)]
#[case::late_ends_before(1_900, "5000", true)]
fn limited_shutdown_takes_what_ends_before(
    #[case] age_ms: u64,
    #[case] deadline_ms: &str,
    #[case] is_taken: bool,
) {
    let mut entry = stopping_entry();
    entry.advance(age_ms);
    let before = entry.starts().len();
    let request = entry.send_chat(10, false, &[(DEADLINE_HEADER, deadline_ms)]);
    assert_eq!(entry.starts().len() > before, is_taken);
    if is_taken {
        entry.respond_to_last("whole");
        assert_eq!(entry.caller_view(request).status, 200);
        return;
    }
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert!(!view.header("Retry-After").is_empty());
}

/// Guards against an order that must not run twice and is taken although it may outlast
/// the process.
#[test]
fn limited_shutdown_long_order_refused() {
    let mut entry = stopping_entry();
    let before = entry.starts().len();
    let request = entry.send_ticket(&[]);
    assert_eq!(entry.starts().len(), before);
    assert_eq!(entry.caller_view(request).status, 503);
}

/// Guards against a call from before the shutdown that ends without an answer when the
/// process is killed.
#[test]
fn limited_shutdown_long_call_answered() {
    let mut entry = ScriptedEntry::with_limit(Some(LIMIT));
    let request = entry.send_chat(10, false, &[]);
    entry.event(RoleEvent::Shutdown);
    entry.advance(6_900);
    assert_eq!(entry.caller_view(request).ended, None);
    entry.advance(200);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ended), (502, Some(true)));
    assert_ne!(view.ran(), "no");
    entry.advance(800);
    assert!(entry.finished);
}

/// Guards against a limit where none is set: a long call is waited for.
#[test]
fn unlimited_shutdown_waits_for_long_call() {
    let mut entry = ScriptedEntry::ready();
    entry.event(RoleEvent::Shutdown);
    let request = entry.send_chat(10, false, &[]);
    entry.advance(20_000);
    assert!(!entry.finished);
    entry.respond_to_last("whole");
    assert_eq!(entry.caller_view(request).status, 200);
}

/// Guards against a grace period that outlasts the process, so that it is killed with
/// requests that it has not refused.
#[test]
fn limited_shutdown_shorter_than_grace_finishes() {
    let mut entry = ScriptedEntry::with_limit(Some(Duration::from_secs(1)));
    entry.event(RoleEvent::Shutdown);
    entry.advance(1_100);
    assert!(entry.unread_refused);
    entry.advance(600);
    assert!(entry.finished);
}
