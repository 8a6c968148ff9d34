//! Graceful shutdown of the entry.

mod scripted;

use mulberrywell_role::RoleEvent;
use mulberrywell_wire::FrameBody;
use scripted::ScriptedEntry;

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
    entry.advance(500);
    assert!(entry.finished);
    let returned = entry.sent.iter().map(|(_, body)| match body {
        FrameBody::LeaseReturn(lease_return) => lease_return.tokens,
        _ => 0,
    });
    assert_eq!(returned.sum::<u64>(), 99);
}
