//! Graceful shutdown of the entry.

mod scripted;

use mulberrywell_role::RoleEvent;
use mulberrywell_wire::FrameBody;
use scripted::ScriptedEntry;

#[test]
fn shutdown_readiness_off_and_grace() {
    let mut entry = ScriptedEntry::ready();
    entry.event(RoleEvent::Shutdown);
    let ready = entry.http("GET", "/readyz", vec![], "");
    assert_eq!(entry.caller(ready).status, 503);
    let request = entry.chat(10, false, &[]);
    entry.answer_last("in the grace");
    assert_eq!(entry.caller(request).status, 200);
    entry.pass(1_900);
    assert!(!entry.finished, "the grace was cut short");
    entry.pass(200);
    assert!(entry.finished);
}

#[test]
fn shutdown_finishes_calls_and_refuses_new_ones() {
    let mut entry = ScriptedEntry::ready();
    let running = entry.chat(10, false, &[]);
    entry.event(RoleEvent::Shutdown);
    entry.pass(4_000);
    let late = entry.chat(10, false, &[]);
    let view = entry.caller(late);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert!(!view.header("Retry-After").is_empty());
    let open = entry.http("GET", "/services/queue-desk/open", vec![], "");
    assert_eq!(entry.caller(open).status, 503);
    assert_eq!(entry.caller(running).ended, None);
    assert!(!entry.finished, "a call was cut");
    entry.answer_last("whole");
    assert_eq!(entry.caller(running).ended, Some(true));
    entry.pass(400);
    assert!(!entry.finished, "no time to write the last answer");
    entry.pass(200);
    assert!(entry.finished);
}

#[test]
fn shutdown_returns_leases() {
    let mut entry = ScriptedEntry::ready();
    entry.extra = 60;
    entry.event(RoleEvent::Shutdown);
    entry.pass(1_950);
    entry.chat(40, false, &[]);
    entry.answer_last("x");
    entry.pass(500);
    assert!(entry.finished);
    let returned = entry.sent.iter().map(|(_, body)| match body {
        FrameBody::LeaseReturn(back) => back.tokens,
        _ => 0,
    });
    assert_eq!(returned.sum::<u64>(), 99);
}
