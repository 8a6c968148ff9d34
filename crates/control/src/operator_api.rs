//! The operators' HTTP API: converts requests to commands and state to JSON.

use bytes::Bytes;
use mulberrywell_settings::{Finding, GrantList, PlanList};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{
    EditLists, EndpointSignal, GiveKey, GiveOperator, SetEndpointState, WishMember, WithdrawKey,
    WithdrawOperator,
};
use mulberrywell_wire::config::KeyItem;
use mulberrywell_wire::serving::SetEvacuation;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::cluster_state::{ClusterState, EndpointRecord};
use crate::command_outcome::{CommandOutcome, EditConflict};

/// Length of a SHA-256 digest in bytes.
const DIGEST_LEN: usize = 32;

/// Maximum number of audit entries in one answer.
const AUDIT_PAGE: u64 = 1_000;

/// An answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// A parsed call.
#[derive(Debug)]
pub enum OperatorCall {
    /// The answer, built from the state.
    Read(OperatorAnswer),
    /// A change, answered once its command is committed.
    Change {
        /// The command.
        body: Body,
        /// The operator's request id.
        request_id: Bytes,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListEdit {
    plans: String,
    grants: String,
    base: Option<u64>,
    request_id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyGift {
    account: String,
    label: String,
    digest: String,
    request_id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorGift {
    name: String,
    digest: String,
    request_id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedChange {
    name: String,
    request_id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberWish {
    #[serde(default)]
    add: String,
    #[serde(default)]
    remove: String,
    request_id: String,
}

type Handler = fn(&ClusterState, &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer>;

/// The parts of a call that handlers use.
pub struct CallInput<'a> {
    /// Query of the path, without `?`.
    pub query: &'a str,
    /// Body of the call.
    pub body: &'a [u8],
}

const ROUTES: [(&str, &str, Handler); 15] = [
    ("GET", "/v1/config", show_config),
    ("GET", "/v1/endpoints", show_endpoints),
    ("GET", "/v1/models", show_models),
    ("GET", "/v1/accounts", show_accounts),
    ("GET", "/v1/keys", show_keys),
    ("GET", "/v1/audit", show_audit),
    ("POST", "/v1/lists", edit_lists),
    ("POST", "/v1/keys/give", give_key),
    ("POST", "/v1/keys/withdraw", withdraw_key),
    ("POST", "/v1/operators/give", give_operator),
    ("POST", "/v1/operators/withdraw", withdraw_operator),
    ("POST", "/v1/endpoints/drain", drain_endpoint),
    ("POST", "/v1/members/wish", wish_member),
    ("POST", "/v1/evacuations/start", start_evacuation),
    ("POST", "/v1/evacuations/end", end_evacuation),
];

/// Parses a call.
///
/// # Errors
/// Fails with the answer that refuses the call.
pub fn parse_call(
    state: &ClusterState,
    method: &[u8],
    target: &[u8],
    body: &[u8],
) -> Result<OperatorCall, OperatorAnswer> {
    let target = String::from_utf8_lossy(target).into_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut matching = ROUTES.iter().filter(|(_, known, _)| *known == path);
    let Some(first) = matching.next() else {
        return Err(error(404, "not_found", "no such path"));
    };
    let route = std::iter::once(first)
        .chain(matching)
        .find(|(known, ..)| known.as_bytes() == method);
    match route {
        Some((_, _, handler)) => handler(state, &CallInput { query, body }),
        None => Err(error(
            405,
            "method_not_allowed",
            "the path has another method",
        )),
    }
}

/// Builds the answer for a committed command.
pub fn outcome_answer(outcome: &CommandOutcome) -> OperatorAnswer {
    match outcome {
        CommandOutcome::Accepted { version } => OperatorAnswer {
            status: 200,
            body: json!({ "version": version }),
        },
        CommandOutcome::Refused(EditConflict::BaseMismatch { version, winner }) => {
            let text = "another edit came first";
            let mut answer = error(409, "conflict", text);
            answer.body["error"]["version"] = json!(version);
            answer.body["error"]["winner"] = json!(String::from_utf8_lossy(winner));
            answer
        }
        CommandOutcome::Refused(EditConflict::RequestReused) => error(
            409,
            "request_id_reused",
            "the request id was used for another change",
        ),
        CommandOutcome::Refused(EditConflict::NotFound) => error(404, "not_found", "no such thing"),
        CommandOutcome::Refused(EditConflict::Exists) => {
            error(409, "exists", "the name or key is taken")
        }
        CommandOutcome::Refused(EditConflict::OldIncarnation { .. }) => {
            error(409, "old_incarnation", "a later incarnation is registered")
        }
        CommandOutcome::Refused(EditConflict::Full) => error(507, "full", "no room"),
    }
}

/// Builds an answer that reports an error.
pub fn error(status: u16, code: &str, message: &str) -> OperatorAnswer {
    OperatorAnswer {
        status,
        body: json!({ "error": { "code": code, "message": message } }),
    }
}

fn read(body: Value) -> Result<OperatorCall, OperatorAnswer> {
    Ok(OperatorCall::Read(OperatorAnswer { status: 200, body }))
}

fn change(body: Body, request_id: String) -> Result<OperatorCall, OperatorAnswer> {
    if request_id.is_empty() || request_id.len() > 128 {
        return Err(error(400, "bad_request", "`request_id` has 1 to 128 bytes"));
    }
    Ok(OperatorCall::Change {
        body,
        request_id: Bytes::from(request_id),
    })
}

fn parse<'a, T: Deserialize<'a>>(input: &CallInput<'a>) -> Result<T, OperatorAnswer> {
    serde_json::from_slice(input.body)
        .map_err(|err| error(400, "bad_request", &format!("bad body: {err}")))
}

fn findings_answer(findings: &[Finding]) -> OperatorAnswer {
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let mut answer = error(400, "findings", "the lists have findings");
    answer.body["error"]["findings"] = json!(texts);
    answer
}

fn text(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn texts(names: &[Bytes]) -> Vec<String> {
    names.iter().map(text).collect()
}

fn show_config(state: &ClusterState, _: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    read(json!({
        "cluster": format!("{:016x}", state.cluster),
        "version": state.version,
        "list_version": state.list_version,
        "author": text(&state.list_author),
        "plans": text(&state.plan_text),
        "grants": text(&state.grant_text),
    }))
}

fn show_endpoints(state: &ClusterState, _: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let endpoints: Vec<Value> = state
        .endpoints
        .values()
        .map(|record| {
            let item = &record.item;
            json!({
                "name": text(&item.name),
                "address": text(&item.address),
                "zone": text(&item.zone),
                "region": text(&item.region),
                "pool": text(&item.pool),
                "engine": item.engine,
                "incarnation": item.incarnation,
                "fencing": item.fencing,
                "state": item.state().as_str_name(),
                "resident": texts(&item.resident),
                "memory_mib": record.memory_mib,
                "slots": record.slots,
                "accelerators": record.accelerators,
            })
        })
        .collect();
    read(json!({ "endpoints": endpoints }))
}

fn show_models(state: &ClusterState, _: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let models: Vec<Value> = state
        .models
        .values()
        .map(|model| {
            let has_model = |record: &&EndpointRecord| record.item.resident.contains(&model.name);
            let replicas = state.endpoints.values().filter(has_model);
            json!({
                "name": text(&model.name),
                "pool": text(&model.pool),
                "base": text(&model.base),
                "memory_mib": model.memory_mib,
                "version": text(&model.version),
                "replicas": replicas.map(|record| text(&record.item.name)).collect::<Vec<_>>(),
            })
        })
        .collect();
    read(json!({ "models": models }))
}

fn show_accounts(state: &ClusterState, _: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let accounts: Vec<Value> = state
        .accounts
        .values()
        .map(|account| {
            let plan = state.plans.get(&account.plan);
            let keys = state.keys.values();
            json!({
                "name": text(&account.name),
                "plan": text(&account.plan),
                "rate": plan.map(|plan| plan.rate),
                "burst": plan.map(|plan| plan.burst),
                "keys": keys.filter(|key| key.account == account.name).count(),
            })
        })
        .collect();
    read(json!({ "accounts": accounts }))
}

fn show_keys(state: &ClusterState, _: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let keys: Vec<Value> = state
        .keys
        .values()
        .map(|key| json!({ "label": text(&key.label), "account": text(&key.account) }))
        .collect();
    read(json!({ "keys": keys }))
}

fn show_audit(state: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let after = query_number(input.query, "after", 0)?;
    let limit = query_number(input.query, "limit", AUDIT_PAGE)?.min(AUDIT_PAGE);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let entries = state.audit.after(after, limit);
    let more = entries.len() == limit;
    let next = entries.last().map(|entry| entry.index);
    read(json!({ "entries": entries, "next": next.filter(|_| more) }))
}

/// Returns a numeric query parameter, or the default if it is missing.
fn query_number(query: &str, name: &str, default: u64) -> Result<u64, OperatorAnswer> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let mut named = fields.filter(|(known, _)| *known == name);
    let Some((_, text)) = named.next() else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| error(400, "bad_request", &format!("`{name}` is a number")))
}

fn edit_lists(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let edit: ListEdit = parse(input)?;
    let plans = PlanList::parse("plans", &edit.plans);
    let grants = match &plans {
        Ok(plans) => GrantList::parse_with("grants", &edit.grants, plans),
        Err(_) => GrantList::parse("grants", &edit.grants),
    };
    let (plans, grants) = match (plans, grants) {
        (Ok(plans), Ok(grants)) => (plans, grants),
        (plans, grants) => {
            let mut findings = plans.err().unwrap_or_default();
            findings.extend(grants.err().unwrap_or_default());
            return Err(findings_answer(&findings));
        }
    };
    let body = Body::EditLists(EditLists {
        base: edit.base,
        plan_text: Bytes::from(edit.plans),
        grant_text: Bytes::from(edit.grants),
        plans: plans.plans,
        accounts: plans.accounts,
        models: grants.models,
        services: grants.services,
        grants: grants.grants,
    });
    change(body, edit.request_id)
}

fn give_key(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let gift: KeyGift = parse(input)?;
    let key = KeyItem {
        digest: parse_digest(&gift.digest)?,
        account: Bytes::from(gift.account),
        label: Bytes::from(gift.label),
    };
    if key.label.is_empty() || key.label.len() > 128 {
        return Err(error(400, "bad_request", "`label` has 1 to 128 bytes"));
    }
    change(Body::GiveKey(GiveKey { key: Some(key) }), gift.request_id)
}

fn withdraw_key(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let named: NamedChange = parse(input)?;
    let label = Bytes::from(named.name);
    change(Body::WithdrawKey(WithdrawKey { label }), named.request_id)
}

fn give_operator(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let gift: OperatorGift = parse(input)?;
    let body = Body::GiveOperator(GiveOperator {
        digest: parse_digest(&gift.digest)?,
        name: Bytes::from(gift.name),
    });
    change(body, gift.request_id)
}

fn withdraw_operator(
    _: &ClusterState,
    input: &CallInput<'_>,
) -> Result<OperatorCall, OperatorAnswer> {
    let named: NamedChange = parse(input)?;
    let name = Bytes::from(named.name);
    let body = Body::WithdrawOperator(WithdrawOperator { name });
    change(body, named.request_id)
}

fn drain_endpoint(
    state: &ClusterState,
    input: &CallInput<'_>,
) -> Result<OperatorCall, OperatorAnswer> {
    let named: NamedChange = parse(input)?;
    let name = Bytes::from(named.name);
    let Some(record) = state.endpoints.get(&name) else {
        return Err(error(404, "not_found", "no such endpoint"));
    };
    let body = Body::SetEndpointState(SetEndpointState {
        name,
        incarnation: record.item.incarnation,
        signal: EndpointSignal::Drain.into(),
    });
    change(body, named.request_id)
}

fn wish_member(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    let wish: MemberWish = parse(input)?;
    if wish.add.is_empty() && wish.remove.is_empty() {
        return Err(error(400, "bad_request", "`add` or `remove` is missing"));
    }
    let body = Body::WishMember(WishMember {
        add: Bytes::from(wish.add),
        remove: Bytes::from(wish.remove),
    });
    change(body, wish.request_id)
}

fn start_evacuation(
    _: &ClusterState,
    input: &CallInput<'_>,
) -> Result<OperatorCall, OperatorAnswer> {
    set_evacuation(input, true)
}

fn end_evacuation(_: &ClusterState, input: &CallInput<'_>) -> Result<OperatorCall, OperatorAnswer> {
    set_evacuation(input, false)
}

fn set_evacuation(input: &CallInput<'_>, evacuated: bool) -> Result<OperatorCall, OperatorAnswer> {
    let named: NamedChange = parse(input)?;
    if named.name.is_empty() || named.name.len() > 256 {
        return Err(error(400, "bad_request", "`name` has 1 to 256 bytes"));
    }
    let body = Body::SetEvacuation(SetEvacuation {
        zone: Bytes::from(named.name),
        evacuated,
        // Resends have the same request id, so none undoes a later change.
        base: u64::MAX,
    });
    change(body, named.request_id)
}

fn parse_digest(text: &str) -> Result<Bytes, OperatorAnswer> {
    let digits = text.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect();
    match bytes {
        Some(bytes) if bytes.len() == DIGEST_LEN => Ok(Bytes::from(bytes)),
        _ => Err(error(400, "bad_request", "`digest` is a SHA-256 in hex")),
    }
}
