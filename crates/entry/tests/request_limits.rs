//! Rates: leases over the link to control, waits, refusals and refunds.

mod scripted;

use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{bytes, ScriptedEntry, BURST, CONTROL_PORT};

fn asked(entry: &ScriptedEntry) -> LeaseRequest {
    let asks = entry.sent.iter().filter_map(|(_, body)| match body {
        FrameBody::LeaseRequest(ask) if ask.least > 0 => Some(ask.clone()),
        _ => None,
    });
    asks.last().expect("tokens were asked for")
}

fn answer(entry: &mut ScriptedEntry, change: impl FnOnce(&mut LeaseGrant)) {
    let ask = asked(entry);
    let mut grant = LeaseGrant {
        sequence: ask.sequence,
        account: ask.account,
        lifetime_ms: 1_000,
        rate: 100,
        burst: BURST,
        ..LeaseGrant::default()
    };
    change(&mut grant);
    entry.control(FrameBody::LeaseGrant(grant));
}

fn scripted() -> ScriptedEntry {
    let mut entry = ScriptedEntry::ready();
    entry.grants = false;
    entry
}

#[test]
fn tokens_before_attempt() {
    let mut entry = scripted();
    entry.chat(40, false, &[]);
    assert_eq!(asked(&entry).tokens, 40);
    assert!(entry.starts().is_empty(), "an attempt without tokens");
    answer(&mut entry, |grant| {
        grant.lease = 1;
        grant.tokens = 40;
    });
    assert_eq!(entry.starts().len(), 1);
}

#[rstest]
#[case::later_than_deadline(2_000, true)]
#[case::within_deadline(900, false)]
fn tokens_short(#[case] wait_ms: u64, #[case] refused: bool) {
    let mut entry = scripted();
    let request = entry.chat(40, false, &[("Mulberrywell-Deadline-Ms", "1000")]);
    answer(&mut entry, |grant| grant.retry_after_ms = wait_ms);
    let view = entry.caller(request);
    if refused {
        assert_eq!((view.status, view.ran().as_str()), (429, "no"));
        assert_eq!(view.header("Retry-After"), "2");
    } else {
        assert_eq!(view.status, 0);
        entry.pass(wait_ms + 1);
        answer(&mut entry, |grant| {
            grant.lease = 1;
            grant.tokens = 40;
        });
        assert_eq!(entry.starts().len(), 1);
    }
}

#[test]
fn request_over_burst_refused() {
    let mut entry = scripted();
    let request = entry.chat(BURST + 1, false, &[]);
    assert_eq!(entry.caller(request).status, 400);
}

#[test]
fn service_silent_refused() {
    let mut entry = scripted();
    let request = entry.chat(40, false, &[]);
    entry.pass(1_900);
    assert_eq!(entry.caller(request).status, 0);
    entry.pass(200);
    let view = entry.caller(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert_eq!(view.header("Retry-After"), "1");
    assert!(entry.starts().is_empty());
}

#[test]
fn leader_missing_asked_again() {
    let mut entry = scripted();
    entry.chat(40, false, &[]);
    answer(&mut entry, |grant| grant.unavailable = true);
    let first = asked(&entry).sequence;
    entry.pass(60);
    assert_ne!(asked(&entry).sequence, first);
    assert!(entry.starts().is_empty());
}

#[test]
fn caller_gone_waits_no_more() {
    let mut entry = scripted();
    let request = entry.chat(40, false, &[]);
    let gone = mulberrywell_role::HttpEvent::Gone { request };
    entry.event(mulberrywell_role::RoleEvent::Own(gone));
    answer(&mut entry, |grant| {
        grant.lease = 1;
        grant.tokens = 40;
    });
    assert!(entry.starts().is_empty());
    entry.pass(900);
    assert_eq!(given_back(&entry), 40, "the tokens are kept for nobody");
}

fn given_back(entry: &ScriptedEntry) -> u64 {
    let tokens = entry.sent.iter().map(|(_, body)| match body {
        FrameBody::LeaseReturn(back) => back.tokens,
        FrameBody::TokenRefund(refund) => refund.tokens,
        _ => 0,
    });
    tokens.sum()
}

#[test]
fn unused_tokens_refunded() {
    let mut entry = ScriptedEntry::ready();
    entry.chat(40, false, &[]);
    entry.answer_last("x");
    assert_eq!(given_back(&entry), 39);
}

#[test]
fn not_run_refunded_whole() {
    let mut entry = ScriptedEntry::ready();
    entry.refused_ports = vec![9_100, 9_102];
    for port in [9_100, 9_102] {
        let link = entry.link_to(port);
        entry.cut(link);
    }
    let request = entry.chat(40, false, &[]);
    assert_eq!(entry.caller(request).status, 503);
    assert_eq!(given_back(&entry), 40);
}

#[test]
fn demand_reported() {
    let mut entry = ScriptedEntry::ready();
    entry.chat(40, false, &[]);
    entry.pass(1_000);
    let link = entry.link_to(CONTROL_PORT);
    let reports = entry.sent.iter().filter_map(|(to, body)| match body {
        FrameBody::DemandReport(report) if *to == link => report.models.first(),
        _ => None,
    });
    let demand = reports.last().expect("a report with a model");
    assert_eq!((demand.requests, demand.tokens), (1, 40));
    assert_eq!(demand.model, bytes("m"));
}
