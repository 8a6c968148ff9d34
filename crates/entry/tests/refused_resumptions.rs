//! Streams that have begun and whose next endpoint responds with an error: nothing of
//! the error reaches the caller, and the stream doesn't end as if it were complete.

mod scripted;

use mulberrywell_wire::request::{AttemptHead, Ran, RefusalReason};
use mulberrywell_wire::FrameBody;
use rstest::rstest;
use scripted::{field, ScriptedEntry};

const STREAM: &str = "text/event-stream";
const STREAM_TYPE: (&str, &str) = ("Content-Type", STREAM);
const EVENT_A: &str = "data: a\n\n";
const EVENT_B: &str = "data: b\n\n";

/// Starts a stream that breaks off after its first event and `truncated`; its next
/// attempt is started.
fn start_resumption(entry: &mut ScriptedEntry, truncated: &str) -> u64 {
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, &[EVENT_A, truncated].concat());
    entry.close_link(link);
    let (_, start) = entry.last_start();
    assert_eq!((entry.starts().len(), start.resume_events), (2, 1));
    request
}

fn send_head(entry: &mut ScriptedEntry, status: u32, fields: &[(&str, &str)]) {
    let (link, start) = entry.last_start();
    let headers = fields.iter().map(|(name, value)| field(name, value));
    let head = AttemptHead {
        id: start.id,
        status,
        headers: headers.collect(),
    };
    entry.frame(link, FrameBody::AttemptHead(head));
}

/// Sends a complete response to the last started attempt, in pieces.
fn respond(entry: &mut ScriptedEntry, status: u32, fields: &[(&str, &str)], pieces: &[&str]) {
    let (link, start) = entry.last_start();
    send_head(entry, status, fields);
    let mut offset = 0;
    for piece in pieces {
        entry.part(link, start.id, offset, piece);
        offset += piece.len() as u64;
    }
    entry.end(link, start.id, offset, 1);
}

/// Sends the same response to all attempts that are left.
fn respond_to_all(
    entry: &mut ScriptedEntry,
    request: u64,
    status: u32,
    fields: &[(&str, &str)],
    pieces: &[&str],
) {
    while entry.caller_view(request).ended.is_none() {
        respond(entry, status, fields, pieces);
    }
}

fn assert_aborted_after(entry: &ScriptedEntry, request: u64, body: &str) {
    let view = entry.caller_view(request);
    assert_eq!((view.body.as_str(), view.ended), (body, Some(false)));
    assert_eq!(view.status, 200);
}

/// Guards against an error's body in the middle of a stream, and against a stream that
/// ends as complete with it, whatever the error's status, type and body.
#[rstest]
fn error_status_aborted(
    #[values(201, 204, 206, 301, 400, 404, 421, 429, 500, 502, 503)] status: u32,
    #[values("", "failed", "failed\n\n", EVENT_B, "data: [DONE]\n\n")] body: &str,
    #[values(true, false)] has_stream_type: bool,
) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "data: b");
    let fields: Vec<_> = has_stream_type.then_some(STREAM_TYPE).into_iter().collect();
    respond_to_all(&mut entry, request, status, &fields, &[body]);
    assert_aborted_after(&entry, request, EVENT_A);
}

/// Guards against a response of another kind that is taken for the rest of a stream.
#[rstest]
#[case::no_type(&[])]
#[case::other_type(&[("Content-Type", "application/json")])]
#[case::longer_type(&[("Content-Type", "text/event-streams")])]
#[case::encoded(&[STREAM_TYPE, ("Content-Encoding", "gzip")])]
fn resumption_of_other_kind_aborted(#[case] fields: &[(&str, &str)]) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    respond_to_all(&mut entry, request, 200, fields, &[EVENT_B]);
    assert_aborted_after(&entry, request, EVENT_A);
}

/// The spelling of the type of a resumption may vary.
#[rstest]
#[case::with_parameter(&[("Content-Type", "text/event-stream; charset=utf-8")])]
#[case::capitals(&[("Content-Type", "Text/Event-Stream")])]
#[case::space_before_parameter(&[("Content-Type", "text/event-stream ;charset=utf-8")])]
#[case::identity(&[STREAM_TYPE, ("Content-Encoding", "identity")])]
fn resumption_of_same_kind_forwarded(#[case] fields: &[(&str, &str)]) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    respond(&mut entry, 200, fields, &[EVENT_B]);
    let view = entry.caller_view(request);
    assert_eq!(view.body, [EVENT_A, EVENT_B].concat());
    assert_eq!(view.ended, Some(true));
}

/// An encoded body has no events that could be told apart: it reaches the caller as it
/// is, and isn't continued.
#[rstest]
#[case::complete(true)]
#[case::broken_off(false)]
fn encoded_stream_unchanged(#[case] is_complete: bool) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    send_head(
        &mut entry,
        200,
        &[STREAM_TYPE, ("Content-Encoding", "gzip")],
    );
    let body = "\u{1f}x\n\ny";
    entry.part(link, start.id, 0, body);
    if is_complete {
        entry.end(link, start.id, body.len() as u64, 1);
    } else {
        entry.refuse(link, start.id, RefusalReason::EngineDown, Ran::Unknown);
    }
    let view = entry.caller_view(request);
    assert_eq!((view.body.as_str(), view.ended), (body, Some(is_complete)));
    assert_eq!(entry.starts().len(), 1);
}

/// Guards against an error without an error's status: its text was taken for an event,
/// and the stream ended as complete with it.
#[rstest]
#[case::plain_text("upstream failed\n\n")]
#[case::two_lines("error\nupstream failed\n\n")]
#[case::json("{\"error\":\"upstream failed\"}\n\n")]
#[case::head("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")]
#[case::behind_comment(": ok\n\nupstream failed\n\n")]
#[case::before_event("upstream failed\n\ndata: b\n\n")]
#[case::without_blank_line("upstream failed\n")]
fn error_text_aborted(#[case] body: &str, #[values(1, 7, 100)] piece_len: usize) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    let pieces = body.as_bytes().chunks(piece_len);
    let pieces: Vec<&str> = pieces.map(|it| std::str::from_utf8(it).unwrap()).collect();
    respond_to_all(&mut entry, request, 200, &[STREAM_TYPE], &pieces);
    assert_aborted_after(&entry, request, EVENT_A);
}

/// What a sound stream may have before its next event, and lines of an event that the
/// entry doesn't know, are no error.
#[rstest]
#[case::comment(": ok\n\n")]
#[case::blank_line("\n")]
#[case::known_fields("retry: 10\nevent: start\n\n")]
#[case::unknown_field_of_event("version: 1\n")]
fn lines_before_event_forwarded(#[case] lines: &str, #[values(1, 100)] piece_len: usize) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    let body = [lines, EVENT_B].concat();
    let pieces = body.as_bytes().chunks(piece_len);
    let pieces: Vec<&str> = pieces.map(|it| std::str::from_utf8(it).unwrap()).collect();
    respond(&mut entry, 200, &[STREAM_TYPE], &pieces);
    let view = entry.caller_view(request);
    assert_eq!(view.body, [EVENT_A, &body].concat());
    assert_eq!(view.ended, Some(true));
}

/// Guards against a stream that ends as complete without the event at which it broke
/// off. After a break between two events, an empty rest is the true end.
#[rstest]
#[case::inside_event("data: b", false)]
#[case::at_field_name("d", false)]
#[case::between_events("", true)]
#[case::inside_comment(": wai", true)]
fn empty_resumption_after_break(
    #[case] truncated: &str,
    #[case] is_complete: bool,
    #[values("", ": ok\n\n", "\n\n")] body: &str,
) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, truncated);
    respond_to_all(&mut entry, request, 200, &[STREAM_TYPE], &[body]);
    let view = entry.caller_view(request);
    assert_eq!(view.ended, Some(is_complete), "{}", view.body);
    assert_eq!(view.body.trim_end(), EVENT_A.trim_end());
}

/// Guards against events that a resumption skips, as comments or blocks without data
/// counted as events.
#[rstest]
#[case::comment(": wait\n\n")]
#[case::fields_without_data("event: start\nretry: 10\n\n")]
fn resumption_counts_only_events(#[case] block: &str) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    entry.head(link, start.id, STREAM);
    let sent = [block, EVENT_A, block].concat();
    entry.part(link, start.id, 0, &sent);
    entry.close_link(link);
    assert_eq!(entry.last_start().1.resume_events, 1);
    respond(&mut entry, 200, &[STREAM_TYPE], &[EVENT_B]);
    let view = entry.caller_view(request);
    assert_eq!(view.body, [&sent, EVENT_B].concat());
    assert_eq!(view.ended, Some(true));
}

/// Guards against an error's text before a stream that begins at a further endpoint.
/// Text before the first event of an uninterrupted stream is the endpoint's own.
#[rstest]
#[case::broken_off(true)]
#[case::uninterrupted(false)]
fn text_before_first_event(#[case] is_broken: bool) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    let (link, start) = entry.last_start();
    let text = "upstream failed\n\n";
    entry.head(link, start.id, STREAM);
    entry.part(link, start.id, 0, text);
    if is_broken {
        entry.close_link(link);
        assert_eq!(entry.last_start().1.resume_events, 0);
        respond(&mut entry, 200, &[STREAM_TYPE], &[EVENT_A]);
    } else {
        entry.part(link, start.id, text.len() as u64, EVENT_A);
        entry.end(link, start.id, (text.len() + EVENT_A.len()) as u64, 1);
    }
    let view = entry.caller_view(request);
    let before = if is_broken { "" } else { text };
    assert_eq!(view.body, [before, EVENT_A].concat());
    assert_eq!(view.ended, Some(true));
}

/// Guards against an error that ends a stream that a further endpoint can continue, and
/// against a rest of the error that stays behind for it.
#[rstest]
#[case::error(500, &[STREAM_TYPE], "failed\n\n")]
#[case::misdirected(421, &[], "")]
#[case::error_text(200, &[STREAM_TYPE], "upstream failed\n\n")]
#[case::truncated_event(200, &[STREAM_TYPE], "data: c")]
#[case::empty(200, &[STREAM_TYPE], "")]
fn stream_continued_after_error(
    #[case] status: u32,
    #[case] fields: &[(&str, &str)],
    #[case] body: &str,
) {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "data: b");
    respond(&mut entry, status, fields, &[body]);
    let (_, start) = entry.last_start();
    assert_eq!((entry.starts().len(), start.resume_events), (3, 1));
    respond(&mut entry, 200, &[STREAM_TYPE], &[EVENT_B]);
    let view = entry.caller_view(request);
    assert_eq!(view.body, [EVENT_A, EVENT_B].concat());
    assert_eq!(view.ended, Some(true));
}

/// Guards against pieces of a refused response that follow its head and reach the
/// caller.
#[test]
fn pieces_behind_error_head_dropped() {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    let (link, start) = entry.last_start();
    send_head(&mut entry, 500, &[STREAM_TYPE]);
    assert_eq!(entry.cancels(), 1);
    entry.part(link, start.id, 0, EVENT_B);
    entry.end(link, start.id, EVENT_B.len() as u64, 1);
    let view = entry.caller_view(request);
    assert_eq!((view.body.as_str(), view.ended), (EVENT_A, None));
}

/// Guards against a second head inside a stream.
#[test]
fn second_head_of_attempt_dropped() {
    let mut entry = ScriptedEntry::ready();
    let request = start_resumption(&mut entry, "");
    send_head(&mut entry, 200, &[STREAM_TYPE]);
    respond(&mut entry, 500, &[], &[EVENT_B]);
    let view = entry.caller_view(request);
    assert_eq!(view.status, 200);
    assert_eq!(view.body, [EVENT_A, EVENT_B].concat());
}

/// An error that is the first response is returned as it is, with its status.
#[rstest]
#[case::server_error(500, "failed")]
#[case::not_found(404, "failed\n\n")]
#[case::like_events(503, EVENT_B)]
#[case::empty(400, "")]
fn error_as_first_response_returned(#[case] status: u16, #[case] body: &str) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, true, &[]);
    respond(&mut entry, u32::from(status), &[STREAM_TYPE], &[body]);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.body.as_str()), (status, body));
    assert_eq!(view.ended, Some(true));
    assert_eq!(entry.starts().len(), 1);
}

/// Guards against a whole head behind the events of a stream: what stands before the
/// endpoint broke off and wrote its error into the body.
#[rstest]
#[case::first_attempt(false)]
#[case::resumption(true)]
fn head_behind_event_dropped(
    #[case] is_resumption: bool,
    #[values(1, 7, 15, 200)] piece_len: usize,
) {
    let mut entry = ScriptedEntry::ready();
    let (request, event) = match is_resumption {
        true => (start_resumption(&mut entry, ""), EVENT_B),
        false => (entry.send_chat(10, true, &[]), EVENT_A),
    };
    let attempts = entry.starts().len();
    let body = [
        event,
        "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 8\r\n\r\nfailed\n\n",
    ]
    .concat();
    let pieces = body.as_bytes().chunks(piece_len);
    let pieces: Vec<&str> = pieces.map(|it| std::str::from_utf8(it).unwrap()).collect();
    respond(&mut entry, 200, &[STREAM_TYPE], &pieces);
    let (_, start) = entry.last_start();
    assert_eq!(entry.starts().len(), attempts + 1);
    assert_eq!(start.resume_events, attempts as u64);
    let rest = "data: [DONE]\n\n";
    respond(&mut entry, 200, &[STREAM_TYPE], &[rest]);
    let view = entry.caller_view(request);
    let before = if is_resumption { EVENT_A } else { "" };
    assert_eq!(view.body, [before, event, rest].concat());
    assert_eq!(view.ended, Some(true));
}
