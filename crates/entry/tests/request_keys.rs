//! Keys: where they are accepted, grants, open routes, withdrawal and
//! freshness.

mod scripted;

use mulberrywell_wire::config::{ItemKind, KeyItem, Removal};
use rstest::rstest;
use scripted::{bytes, field, ScriptedEntry, KEY};

const BODY: &str = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":5}";
const PATH: &str = "/v1/completions";

#[rstest]
#[case::bearer("Authorization", "Bearer {}", PATH)]
#[case::bearer_lower("authorization", "bearer {}", PATH)]
#[case::api_key("x-api-key", "{}", PATH)]
#[case::api_key_short("Api-Key", "{}", PATH)]
#[case::api_key_other("X-Goog-Api-Key", "{}", PATH)]
#[case::cookie("Cookie", "a=b; api_key={}; c=d", PATH)]
#[case::query("Accept", "*/*", "/v1/completions?a=b&api_key={}")]
#[case::query_short("Accept", "*/*", "/v1/completions?key={}&a=b")]
fn key_stripped(#[case] name: &str, #[case] value: &str, #[case] path: &str) {
    let mut entry = ScriptedEntry::ready();
    let headers = vec![field(name, &value.replace("{}", KEY))];
    entry.send_http("POST", &path.replace("{}", KEY), headers, BODY);
    let (_, start) = entry.last_start();
    assert_eq!(start.account, bytes("bank"));
    assert!(!format!("{start:?}").contains(KEY), "{start:?}");
    let frames = format!("{:?}", entry.sent);
    assert!(!frames.contains(KEY), "a frame contains the key");
}

#[rstest]
#[case::user_agent("User-Agent", BODY, PATH)]
#[case::idempotency_key("Idempotency-Key", BODY, PATH)]
#[case::body("Accept", "{\"model\":\"m\",\"prompt\":\"{}\"}", PATH)]
#[case::query("Accept", BODY, "/v1/completions?other={}")]
fn key_exposed_refused(#[case] name: &str, #[case] body: &str, #[case] path: &str) {
    let mut entry = ScriptedEntry::ready();
    let extra = if name == "Accept" { "*/*" } else { KEY };
    let path = path.replace("{}", KEY);
    let request = entry.send_with_key("POST", &path, &[(name, extra)], &body.replace("{}", KEY));
    assert_eq!(entry.caller_view(request).status, 400);
    assert_eq!(entry.starts(), []);
}

#[test]
fn key_ambiguous_refused() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_with_key("POST", PATH, &[("X-Api-Key", "another-key-text")], BODY);
    assert_eq!(entry.caller_view(request).status, 400);
}

#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer mw-key-of-nobody-at-all"))]
#[case::prefix(Some("Bearer mw-key-of-the-scripted"))]
fn key_unknown_refused(#[case] value: Option<&str>) {
    let mut entry = ScriptedEntry::ready();
    let headers = value.map(|value| field("Authorization", value));
    let request = entry.send_http("POST", PATH, headers.into_iter().collect(), BODY);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (401, "no"));
    assert!(entry.starts().is_empty());
}

#[rstest]
#[case::model("POST", PATH, "{\"model\":\"other\",\"prompt\":\"p\"}")]
#[case::service("GET", "/services/other/tickets", "")]
#[case::route("DELETE", "/services/queue-desk/tickets", "")]
fn grant_missing_refused(#[case] method: &str, #[case] path: &str, #[case] body: &str) {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_with_key(method, path, &[], body);
    assert_eq!(entry.caller_view(request).status, 404);
    assert_eq!(entry.starts(), []);
}

#[test]
fn open_route_without_key() {
    let mut entry = ScriptedEntry::ready();
    entry.send_http("GET", "/services/queue-desk/open", vec![], "");
    assert_eq!(entry.last_start().1.account, bytes(""));
    let closed = entry.send_http("GET", "/services/queue-desk/tickets", vec![], "");
    assert_eq!(entry.caller_view(closed).status, 401);
}

#[test]
fn key_withdrawn_ends_running_call() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    entry.update(|update| {
        update.removals.push(Removal {
            kind: ItemKind::Key.into(),
            name: mulberrywell_directory::digest_key(KEY.as_bytes()),
        });
    });
    assert_eq!(entry.caller_view(request).status, 401);
    assert_eq!(entry.cancels(), 1);
    let after = entry.send_chat(10, false, &[]);
    assert_eq!(entry.caller_view(after).status, 401);
}

#[test]
fn key_reassigned_ends_running_call() {
    let mut entry = ScriptedEntry::ready();
    let request = entry.send_chat(10, false, &[]);
    entry.update(|update| {
        update.keys.push(KeyItem {
            digest: mulberrywell_directory::digest_key(KEY.as_bytes()),
            account: bytes("someone"),
            label: bytes("k"),
        });
    });
    assert_eq!(entry.caller_view(request).status, 401);
}

#[test]
fn configuration_stale_refused() {
    let mut entry = ScriptedEntry::ready();
    let running = entry.send_chat(10, false, &[]);
    entry.confirms = false;
    entry.advance(5_000);
    assert_eq!(entry.caller_view(running).status, 503);
    assert_eq!(entry.cancels(), 1);
    let request = entry.send_chat(10, false, &[]);
    let view = entry.caller_view(request);
    assert_eq!((view.status, view.ran().as_str()), (503, "no"));
    entry.send_http("GET", "/services/queue-desk/open", vec![], "");
    assert_eq!(entry.starts().len(), 2, "an open route must not need a key");
}

/// An update from a control instance of another cluster must neither change the
/// entry's configuration nor keep it fresh.
#[test]
fn configuration_foreign_refused() {
    let mut entry = ScriptedEntry::ready();
    let control = entry.link_to(scripted::CONTROL_PORT);
    entry.cluster = 8;
    entry.version = 50;
    entry.update(|update| update.whole = true);
    assert!(entry.closed.contains(&control), "the link must be closed");
    let request = entry.send_with_key("POST", PATH, &[], BODY);
    assert_eq!(
        entry.caller_view(request).status,
        0,
        "the previous configuration must stay in force"
    );
    entry.advance(6_000);
    let request = entry.send_with_key("POST", PATH, &[], BODY);
    assert_eq!(entry.caller_view(request).status, 503);
}
