//! Requests that come again with other ids and crash each endpoint that runs them.

mod scripted;

use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_wire::config::{EndpointItem, EndpointState};
use mulberrywell_wire::request::{Ran, RefusalReason};
use mulberrywell_wire::serving::{PromptCrash, PromptNotice, PromptQuarantine, PromptReport};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{endpoint, ScriptedEntry, CONTROL_PORT};

const TICKETS: &str = "/services/queue-desk/tickets";
const CRASHING: &str = "crashing";
const NEIGHBOUR: &str = "neighbour";

/// Time for which an endpoint runs a request until it crashes.
const RUNNING_MS: u64 = 40;

/// Time for which control quarantines a content.
const QUARANTINE_MS: u64 = 600_000;

/// Starts an entry with three endpoints of the plain service.
fn entry_with_three() -> ScriptedEntry {
    let mut entry = ScriptedEntry::ready();
    entry.update(|update| update.endpoints.push(endpoint(5, false)));
    entry
}

fn send_ticket(entry: &mut ScriptedEntry, body: &str) -> u64 {
    entry.send_with_key("POST", TICKETS, &[], body)
}

/// Sends a request and crashes the endpoint that runs it; returns the request and the
/// endpoint.
fn crash_ticket(entry: &mut ScriptedEntry, body: &str) -> (u64, Bytes) {
    let request = send_ticket(entry, body);
    let (link, start) = entry.last_start();
    entry.advance(RUNNING_MS);
    entry.crash(link, start.id);
    (request, start.endpoint)
}

/// Returns an endpoint of the plain service by its name.
fn named_endpoint(name: &Bytes) -> EndpointItem {
    let idx = name[name.len() - 1] - b'0';
    endpoint(u16::from(idx), false)
}

/// Changes the state of an endpoint, as an update of control shows it.
fn change_state(entry: &mut ScriptedEntry, name: &Bytes, state: EndpointState) {
    let mut item = named_endpoint(name);
    item.state = state.into();
    entry.update(|update| update.endpoints.push(item));
}

fn reports(entry: &ScriptedEntry) -> Vec<PromptReport> {
    let control = entry.link_to(CONTROL_PORT);
    let frames = entry.sent.iter().filter(|(link, _)| *link == control);
    let reports = frames.filter_map(|(_, body)| match body {
        FrameBody::PromptReport(report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

fn crashes(entry: &ScriptedEntry) -> Vec<PromptCrash> {
    let reports = reports(entry).into_iter();
    reports.flat_map(|report| report.crashes).collect()
}

/// Returns the parts that were reported as sound.
fn sound_parts(entry: &ScriptedEntry) -> Vec<u64> {
    let reports = reports(entry).into_iter();
    let sound = reports.flat_map(|report| report.sound);
    sound.map(|sound| sound.part).collect()
}

fn watch(entry: &mut ScriptedEntry, watched: &[u64]) {
    entry.control(FrameBody::PromptNotice(PromptNotice {
        watched: watched.to_vec(),
        ..PromptNotice::default()
    }));
}

fn quarantine(entry: &mut ScriptedEntry, content: u64) {
    let quarantine = PromptQuarantine {
        parts: vec![content],
        left_ms: QUARANTINE_MS,
    };
    entry.control(FrameBody::PromptNotice(PromptNotice {
        quarantines: vec![quarantine],
        ..PromptNotice::default()
    }));
}

/// Returns the content of the crashing ticket, which one crash has shown.
fn crashing_content(entry: &mut ScriptedEntry) -> u64 {
    crash_ticket(entry, CRASHING);
    crashes(entry).pop().expect("a reported crash").content
}

/// Guards against a request that comes again through an entry and crashes another
/// endpoint each time.
#[test]
fn request_refused_after_three_crashes() {
    let mut entry = entry_with_three();
    let mut endpoints = BTreeSet::new();
    for _ in 0..3 {
        let (request, endpoint) = crash_ticket(&mut entry, CRASHING);
        assert_eq!(entry.caller_view(request).ran(), "unknown");
        change_state(&mut entry, &endpoint, EndpointState::Suspect);
        endpoints.insert(endpoint);
        entry.advance(1_000);
    }
    assert_eq!(endpoints.len(), 3, "{endpoints:?}");
    for endpoint in &endpoints {
        change_state(&mut entry, endpoint, EndpointState::Live);
    }

    let crashes = crashes(&entry);
    assert_eq!(crashes.len(), 3, "{crashes:?}");
    let content = crashes[0].content;
    assert_ne!(content, 0);
    for crash in &crashes {
        assert_eq!((crash.content, crash.born_ms), (content, 1));
        assert_eq!((crash.running_ms, crash.age_ms), (RUNNING_MS, 0));
        assert!(endpoints.contains(&crash.endpoint));
    }

    quarantine(&mut entry, content);
    let starts = entry.starts().len();
    let fourth = send_ticket(&mut entry, CRASHING);
    let view = entry.caller_view(fourth);
    assert_eq!((view.status, view.ended), (503, Some(true)));
    assert_eq!((view.ran().as_str(), entry.starts().len()), ("no", starts));
    assert_eq!(view.header("Retry-After"), "600");

    let neighbour = send_ticket(&mut entry, NEIGHBOUR);
    entry.respond_to_last("sound");
    assert_eq!(entry.caller_view(neighbour).status, 200);

    entry.advance(QUARANTINE_MS);
    let later = send_ticket(&mut entry, CRASHING);
    entry.respond_to_last("sound");
    assert_eq!(entry.caller_view(later).status, 200);
}

/// Guards against a sound request that is quarantined for the crashes beside it.
#[rstest]
#[case::watched_before(true)]
#[case::watched_after(false)]
fn response_of_watched_content_reported(#[case] is_watched_before: bool) {
    let mut entry = entry_with_three();
    let content = crashing_content(&mut entry);
    entry.advance(1_000);
    if is_watched_before {
        watch(&mut entry, &[content]);
    }
    let request = send_ticket(&mut entry, CRASHING);
    entry.respond_to_last("sound");
    assert_eq!(entry.caller_view(request).status, 200);
    if !is_watched_before {
        entry.advance(200);
        assert!(sound_parts(&entry).is_empty(), "nothing is watched");
        watch(&mut entry, &[content]);
    }
    entry.advance(200);
    assert_eq!(sound_parts(&entry), [content]);
}

#[test]
fn response_of_failure_not_reported() {
    let mut entry = entry_with_three();
    let content = crashing_content(&mut entry);
    watch(&mut entry, &[content]);
    entry.advance(1_000);
    send_ticket(&mut entry, CRASHING);
    let (link, start) = entry.last_start();
    entry.head_with_status(link, start.id, 500);
    entry.end(link, start.id, 0, 0);
    entry.advance(200);
    assert!(sound_parts(&entry).is_empty());
}

/// What ends an attempt without a crash of its endpoint.
#[derive(Debug, Clone, Copy)]
enum AttemptEnding {
    Refused(RefusalReason, Ran),
    TimedOut,
    LinkLost,
}

/// Guards against contents that are quarantined for what is no crash.
#[rstest]
#[case::broken_response(AttemptEnding::Refused(RefusalReason::EngineDown, Ran::Unknown))]
#[case::refusal(AttemptEnding::Refused(RefusalReason::Overloaded, Ran::No))]
#[case::leave(AttemptEnding::Refused(RefusalReason::Leaving, Ran::No))]
#[case::timeout(AttemptEnding::TimedOut)]
#[case::lost_link(AttemptEnding::LinkLost)]
fn attempt_ended_without_crash(#[case] ending: AttemptEnding) {
    let mut entry = entry_with_three();
    send_ticket(&mut entry, CRASHING);
    let (link, start) = entry.last_start();
    match ending {
        AttemptEnding::Refused(reason, ran) => entry.refuse(link, start.id, reason, ran),
        AttemptEnding::TimedOut => entry.advance(61_000),
        AttemptEnding::LinkLost => entry.close_link(link),
    }
    entry.advance(1_000);
    assert!(crashes(&entry).is_empty(), "{:?}", crashes(&entry));
}

/// Guards against crashes that go unseen as the agent ended with its endpoint.
#[rstest]
#[case::live(EndpointState::Live, 1)]
#[case::leaving(EndpointState::Leaving, 0)]
fn later_incarnation_shows_crash(#[case] state: EndpointState, #[case] count: usize) {
    let mut entry = entry_with_three();
    send_ticket(&mut entry, CRASHING);
    let (link, start) = entry.last_start();
    change_state(&mut entry, &start.endpoint, state);
    entry.advance(RUNNING_MS);
    entry.close_link(link);
    entry.advance(2_000);
    assert!(crashes(&entry).is_empty(), "a lost link alone");
    let mut item = named_endpoint(&start.endpoint);
    item.incarnation += 1;
    entry.update(|update| update.endpoints.push(item));
    let crashes = crashes(&entry);
    assert_eq!(crashes.len(), count, "{crashes:?}");
    for crash in crashes {
        assert_eq!((crash.endpoint, crash.born_ms), (start.endpoint.clone(), 1));
        assert_eq!(
            (crash.running_ms, crash.age_ms),
            (2_000 + RUNNING_MS, 2_000)
        );
    }
}

/// Guards against a retry that crashes a further endpoint under a watched content.
#[test]
fn watched_content_not_retried() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    entry.crash(link, start.id);
    entry.respond_to_last("sound");
    assert_eq!(
        entry.caller_view(request).status,
        200,
        "one crash is retried"
    );
    let content = crashes(&entry).pop().expect("a reported crash").content;
    watch(&mut entry, &[content]);
    entry.advance(5_000);
    let request = entry.send_chat(10, false, &[]);
    let (link, start) = entry.last_start();
    let starts = entry.starts().len();
    entry.crash(link, start.id);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (502, "unknown"));
    assert_eq!(entry.starts().len(), starts);
}

/// Guards against a "not run" of a request that an endpoint may have begun.
#[test]
fn running_request_cancelled_as_unknown() {
    let mut entry = entry_with_three();
    let content = crashing_content(&mut entry);
    let request = send_ticket(&mut entry, CRASHING);
    quarantine(&mut entry, content);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (502, "unknown"));
    assert_eq!(entry.cancels(), 1);
}

/// Guards against quarantines that a restarted control instance has forgotten.
#[test]
fn quarantines_told_to_next_instance() {
    let mut entry = entry_with_three();
    let content = crashing_content(&mut entry);
    quarantine(&mut entry, content);
    entry.close_link(entry.link_to(CONTROL_PORT));
    entry.advance(5_000);
    let told = reports(&entry).pop().expect("a report on the new link");
    assert_eq!(told.quarantines.len(), 1);
    assert_eq!(told.quarantines[0].parts, [content]);
}

fn restrict(entry: &mut ScriptedEntry, restricted: &[u64]) {
    entry.control(FrameBody::PromptNotice(PromptNotice {
        restricted: restricted.to_vec(),
        ..PromptNotice::default()
    }));
}

/// Guards against copies of a request that gather at the endpoints before there are
/// enough crashes for a quarantine.
#[test]
fn restricted_content_sent_one_at_a_time() {
    let mut entry = entry_with_three();
    let content = crashing_content(&mut entry);
    entry.advance(1_000);
    restrict(&mut entry, &[content]);
    let first = send_ticket(&mut entry, CRASHING);
    let starts = entry.starts().len();
    let second = send_ticket(&mut entry, CRASHING);
    let view = entry.caller_view(second);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    assert_eq!(view.header("Retry-After"), "1");
    assert_eq!(entry.starts().len(), starts);
    send_ticket(&mut entry, NEIGHBOUR);
    assert_eq!(entry.starts().len(), starts + 1, "others go on");
    entry.respond_to_last("sound");
    let neighbours = entry.starts().len();
    entry.advance(1_000);
    let (link, start) = entry.starts().swap_remove(starts - 1);
    entry.crash(link, start.id);
    assert_eq!(
        entry.starts().len(),
        neighbours,
        "a broken one is not retried"
    );
    assert_eq!(entry.caller_view(first).status, 502);
}
