//! Rate limits: leases from control, waits, refusals and refunds.

mod scripted;

use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{bytes, ScriptedEntry, BURST, CONTROL_PORT};

fn last_lease_request(entry: &ScriptedEntry) -> LeaseRequest {
    let requests = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::LeaseRequest(request) if request.least > 0 => Some(request.clone()),
        _ => None,
    });
    requests.last().expect("no lease request was sent")
}

fn answer_lease_request(entry: &mut ScriptedEntry, change: impl FnOnce(&mut LeaseGrant)) {
    let request = last_lease_request(entry);
    let mut grant = LeaseGrant {
        sequence: request.sequence,
        account: request.account,
        lifetime_ms: 1_000,
        rate: 100,
        burst: BURST,
        ..LeaseGrant::default()
    };
    change(&mut grant);
    entry.control(FrameBody::LeaseGrant(grant));
}

fn entry_without_grants() -> ScriptedEntry {
    let mut entry = ScriptedEntry::ready();
    entry.grants = false;
    entry
}

#[test]
fn attempt_waits_for_tokens() {
    let mut entry = entry_without_grants();
    entry.send_chat(40, false, &[]);
    assert_eq!(last_lease_request(&entry).tokens, 40);
    assert!(entry.starts().is_empty(), "attempt started without tokens");
    answer_lease_request(&mut entry, |grant| {
        grant.lease = 1;
        grant.tokens = 40;
    });
    assert_eq!(entry.starts().len(), 1);
}

#[rstest]
#[case::later_than_deadline(2_000, true)]
#[case::within_deadline(900, false)]
fn tokens_insufficient_refused_only_past_deadline(#[case] retry_ms: u64, #[case] refused: bool) {
    let mut entry = entry_without_grants();
    let request = entry.send_chat(40, false, &[("Mulberrywell-Deadline-Ms", "1000")]);
    answer_lease_request(&mut entry, |grant| grant.retry_after_ms = retry_ms);
    let view = entry.caller_view(request);
    if refused {
        assert_eq!((view.status, view.ran().as_str()), (429, "no"));
        assert_eq!(view.header("Retry-After"), "2");
    } else {
        assert_eq!(view.status, 0);
        entry.advance(retry_ms + 1);
        answer_lease_request(&mut entry, |grant| {
            grant.lease = 1;
            grant.tokens = 40;
        });
        assert_eq!(entry.starts().len(), 1);
    }
}

#[test]
fn request_over_burst_refused() {
    let mut entry = entry_without_grants();
    let request = entry.send_chat(BURST + 1, false, &[]);
    assert_eq!(entry.caller_view(request).status, 400);
}

#[test]
fn lease_service_unresponsive_refused() {
    let mut entry = entry_without_grants();
    let request = entry.send_chat(40, false, &[]);
    entry.advance(1_900);
    assert_eq!(entry.caller_view(request).status, 0);
    entry.advance(200);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert_eq!(view.header("Retry-After"), "1");
    assert!(entry.starts().is_empty());
}

#[test]
fn leader_missing_lease_requested_again() {
    let mut entry = entry_without_grants();
    entry.send_chat(40, false, &[]);
    answer_lease_request(&mut entry, |grant| grant.unavailable = true);
    let first = last_lease_request(&entry).sequence;
    entry.advance(60);
    assert_ne!(last_lease_request(&entry).sequence, first);
    assert!(entry.starts().is_empty());
}

#[test]
fn disconnect_returns_lease() {
    let mut entry = entry_without_grants();
    let request = entry.send_chat(40, false, &[]);
    let disconnected = mulberrywell_role::HttpEvent::Disconnected { request };
    entry.event(mulberrywell_role::RoleEvent::RoleSpecific(disconnected));
    answer_lease_request(&mut entry, |grant| {
        grant.lease = 1;
        grant.tokens = 40;
    });
    assert!(entry.starts().is_empty());
    entry.advance(900);
    assert_eq!(
        returned_tokens(&entry),
        40,
        "unused tokens must be returned"
    );
}

fn returned_tokens(entry: &ScriptedEntry) -> u64 {
    let tokens = entry.sent.iter().map(|(_, body)| match body {
        FrameBody::LeaseReturn(lease_return) => lease_return.tokens,
        FrameBody::TokenRefund(refund) => refund.tokens,
        _ => 0,
    });
    tokens.sum()
}

#[test]
fn unused_tokens_refunded() {
    let mut entry = ScriptedEntry::ready();
    entry.send_chat(40, false, &[]);
    entry.respond_to_last("x");
    assert_eq!(returned_tokens(&entry), 39);
}

#[test]
fn not_run_refunded_completely() {
    let mut entry = ScriptedEntry::ready();
    entry.refused_ports = vec![9_100, 9_102];
    for port in [9_100, 9_102] {
        let link = entry.link_to(port);
        entry.close_link(link);
    }
    let request = entry.send_chat(40, false, &[]);
    assert_eq!(entry.caller_view(request).status, 503);
    assert_eq!(returned_tokens(&entry), 40);
}

#[test]
fn demand_reported() {
    let mut entry = ScriptedEntry::ready();
    entry.send_chat(40, false, &[]);
    entry.advance(1_000);
    let link = entry.link_to(CONTROL_PORT);
    let reports = entry.sent.iter().filter_map(|(to, body)| match body {
        FrameBody::DemandReport(report) if *to == link => report.models.first(),
        _ => None,
    });
    let demand = reports.last().expect("no demand report with a model");
    assert_eq!((demand.requests, demand.tokens), (1, 40));
    assert_eq!(demand.model, bytes("m"));
}
