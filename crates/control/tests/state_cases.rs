//! The replicated state: commands, snapshots, claims and updates.

use bytes::Bytes;
use mulberrywell_control::{
    updates_since, ClusterState, CommandOutcome, EditConflict, EndpointChart,
};
use mulberrywell_directory::{ApplyOutcome, ConfigDirectory};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{
    EditLists, EndpointSignal, FoundCluster, GiveKey, LogCommand, PutClaim, PutEndpoint,
    PutOutcome, SetEndpointState, WithdrawKey,
};
use mulberrywell_wire::config::{
    AccountItem, EndpointItem, EndpointState, KeyItem, PlanItem, Subscribe,
};
use mulberrywell_wire::serving::SetEvacuation;
use rstest::rstest;

fn name(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

struct StateDriver {
    state: ClusterState,
    clock_ms: u64,
}

impl StateDriver {
    fn new() -> Self {
        let mut driver = StateDriver {
            state: ClusterState::new(EndpointChart::open().unwrap()),
            clock_ms: 1_000,
        };
        let found = FoundCluster {
            cluster: 7,
            operator: None,
        };
        driver.apply(Body::FoundCluster(found));
        driver
    }

    fn apply(&mut self, body: Body) -> CommandOutcome {
        self.apply_as("", body)
    }

    fn apply_as(&mut self, request_id: &str, body: Body) -> CommandOutcome {
        let command = LogCommand {
            at_ms: self.clock_ms,
            actor: name("ana"),
            request_id: name(request_id),
            body: Some(body),
        };
        self.state.apply(self.state.applied + 1, &command)
    }

    fn edit(&mut self, request_id: &str, base: Option<u64>, account: &str) -> CommandOutcome {
        let edit = EditLists {
            base,
            plans: vec![PlanItem {
                name: name("gold"),
                ..PlanItem::default()
            }],
            accounts: vec![AccountItem {
                name: name(account),
                plan: name("gold"),
            }],
            ..EditLists::default()
        };
        self.apply_as(request_id, Body::EditLists(edit))
    }

    fn give_key(&mut self, label: &str) -> CommandOutcome {
        let key = KeyItem {
            digest: name(&format!("digest of {label}")),
            account: name("cali"),
            label: name(label),
        };
        self.apply(Body::GiveKey(GiveKey { key: Some(key) }))
    }

    fn announce(&mut self, incarnation: u64, state: EndpointState) -> CommandOutcome {
        let item = EndpointItem {
            name: name("engine-0"),
            incarnation,
            state: state.into(),
            ..EndpointItem::default()
        };
        let put = PutEndpoint {
            endpoint: Some(item),
            ..PutEndpoint::default()
        };
        self.apply(Body::PutEndpoint(put))
    }

    fn signal(&mut self, incarnation: u64, signal: EndpointSignal) -> CommandOutcome {
        self.apply(Body::SetEndpointState(SetEndpointState {
            name: name("engine-0"),
            incarnation,
            signal: signal.into(),
        }))
    }

    fn endpoint(&self) -> &EndpointItem {
        &self.state.endpoints[&name("engine-0")].item
    }

    fn claim(&mut self, digest: &str) -> CommandOutcome {
        self.apply(Body::PutClaim(PutClaim {
            account: name("cali"),
            key: name("key"),
            digest: name(digest),
            lifetime_ms: 500,
        }))
    }
}

fn is_accepted(outcome: &CommandOutcome) -> bool {
    matches!(outcome, CommandOutcome::Accepted { .. })
}

#[test]
fn edit_concurrent_one_wins() {
    let mut driver = StateDriver::new();
    let base = driver.state.list_version;
    let first = driver.edit("a", Some(base), "cali");
    assert!(is_accepted(&first));
    let second = driver.edit("b", Some(base), "medellin");
    let winner = EditConflict::BaseMismatch {
        version: driver.state.list_version,
        winner: name("ana"),
    };
    assert_eq!(second, CommandOutcome::Refused(winner));
    assert_eq!(driver.edit("a", Some(base), "cali"), first);
    assert_eq!(driver.edit("b", Some(base), "medellin"), second);
    let reused = CommandOutcome::Refused(EditConflict::RequestReused);
    assert_eq!(driver.edit("a", Some(base), "other"), reused);
    let trail = driver.state.audit.after(0, 100);
    let refused = trail
        .iter()
        .filter(|entry| entry.outcome.starts_with("refused"));
    assert_eq!(refused.count(), 1, "the trail contains a refused edit once");
}

#[test]
fn snapshot_same_digest() {
    let mut driver = StateDriver::new();
    driver.edit("a", None, "cali");
    driver.give_key("c1");
    driver.announce(5, EndpointState::Live);
    driver.claim("body");
    let chart = EndpointChart::open().unwrap();
    let data = driver.state.encode_snapshot();
    let mut copy = StateDriver {
        state: ClusterState::decode_snapshot(data, chart).unwrap(),
        clock_ms: driver.clock_ms,
    };
    assert_eq!(copy.state.digest(), driver.state.digest());
    for side in [&mut driver, &mut copy] {
        side.clock_ms += 1_000;
        side.edit("b", None, "medellin");
        assert!(is_accepted(&side.claim("body")), "the claim has expired");
        assert!(
            is_accepted(&side.edit("a", None, "cali")),
            "the retry is deduplicated"
        );
    }
    assert_eq!(copy.state.digest(), driver.state.digest());
}

#[test]
fn claim_at_most_once() {
    let mut driver = StateDriver::new();
    assert!(is_accepted(&driver.claim("body")));
    let claim = driver
        .state
        .claims
        .find(&name("cali"), &name("key"))
        .unwrap()
        .claim;
    let taken = CommandOutcome::Refused(EditConflict::Exists);
    assert_eq!(driver.claim("body"), taken);
    let outcome = |claim, not_run| {
        Body::PutOutcome(PutOutcome {
            account: name("cali"),
            key: name("key"),
            claim,
            not_run,
            status: 201,
            body: name("answer"),
            ..PutOutcome::default()
        })
    };
    assert!(
        !is_accepted(&driver.apply(outcome(claim + 1, true))),
        "a claim of another id"
    );
    assert!(is_accepted(&driver.apply(outcome(claim, false))));
    // A late release of a claim whose request ran must not free the key.
    assert!(is_accepted(&driver.apply(outcome(claim, true))));
    assert_eq!(driver.claim("body"), taken);
    let stored = driver
        .state
        .claims
        .find(&name("cali"), &name("key"))
        .unwrap();
    assert_eq!(
        (stored.done, stored.status, stored.body.clone()),
        (true, 201, name("answer"))
    );
}

#[test]
fn claim_released_not_run() {
    let mut driver = StateDriver::new();
    driver.claim("body");
    let claim = driver
        .state
        .claims
        .find(&name("cali"), &name("key"))
        .unwrap()
        .claim;
    driver.apply(Body::PutOutcome(PutOutcome {
        account: name("cali"),
        key: name("key"),
        claim,
        not_run: true,
        ..PutOutcome::default()
    }));
    assert!(is_accepted(&driver.claim("body")));
}

#[test]
fn endpoint_incarnations_fenced() {
    let mut driver = StateDriver::new();
    driver.announce(5, EndpointState::Live);
    let first = driver.endpoint().fencing;
    driver.announce(6, EndpointState::Live);
    assert!(driver.endpoint().fencing > first);
    let old = CommandOutcome::Refused(EditConflict::OldIncarnation { incarnation: 6 });
    assert_eq!(driver.announce(5, EndpointState::Live), old);
    assert_eq!(driver.signal(5, EndpointSignal::Drain), old);
}

#[rstest]
#[case(EndpointSignal::Silent, EndpointState::Suspect)]
#[case(EndpointSignal::Drain, EndpointState::Leaving)]
#[case(EndpointSignal::Heard, EndpointState::Live)]
fn endpoint_signal_state(#[case] signal: EndpointSignal, #[case] state: EndpointState) {
    let mut driver = StateDriver::new();
    driver.announce(5, EndpointState::Live);
    driver.signal(5, signal);
    assert_eq!(driver.endpoint().state(), state);
}

#[test]
fn endpoint_drained_stays_leaving() {
    let mut driver = StateDriver::new();
    driver.announce(5, EndpointState::Live);
    driver.signal(5, EndpointSignal::Drain);
    driver.announce(5, EndpointState::Live);
    driver.signal(5, EndpointSignal::Heard);
    assert_eq!(driver.endpoint().state(), EndpointState::Leaving);
    driver.signal(5, EndpointSignal::Lost);
    assert!(driver.state.endpoints.is_empty());
}

fn subscription(directory: &ConfigDirectory) -> Subscribe {
    Subscribe {
        version: directory.version(),
        cluster: directory.cluster(),
    }
}

#[test]
fn updates_delta_equals_full() {
    let mut driver = StateDriver::new();
    driver.edit("a", None, "cali");
    let mut subscriber = ConfigDirectory::default();
    for update in updates_since(&driver.state, &subscription(&subscriber)) {
        assert!(update.whole);
        subscriber.apply(&update);
    }
    for number in 0..300 {
        driver.give_key(&format!("k{number}"));
    }
    for update in updates_since(&driver.state, &subscription(&subscriber)) {
        assert!(!update.whole);
        subscriber.apply(&update);
    }
    assert!(subscriber.account_of_key(&name("digest of k298")).is_some());
    for number in 0..299 {
        let label = name(&format!("k{number}"));
        driver.apply(Body::WithdrawKey(WithdrawKey { label }));
    }
    let updates = updates_since(&driver.state, &subscription(&subscriber));
    assert_eq!(updates.len(), 1);
    assert!(!updates[0].whole);
    assert_eq!(subscriber.apply(&updates[0]), ApplyOutcome::Applied);
    assert_eq!(subscriber.version(), driver.state.version);
    let known = |label: &str| subscriber.account_of_key(&name(&format!("digest of {label}")));
    assert!(known("k299").is_some());
    assert!(known("k298").is_none());
}

#[test]
fn updates_parts_applied_together() {
    let mut driver = StateDriver::new();
    driver.edit("a", None, "cali");
    for number in 0..4_500 {
        driver.give_key(&format!("k{number}"));
    }
    let mut subscriber = ConfigDirectory::default();
    let updates = updates_since(&driver.state, &subscription(&subscriber));
    assert_eq!(updates.len(), 3);
    for update in &updates[..2] {
        assert_eq!(subscriber.apply(update), ApplyOutcome::Partial);
        assert_eq!(subscriber.version(), 0);
    }
    assert_eq!(subscriber.apply(&updates[2]), ApplyOutcome::Applied);
    assert_eq!(subscriber.version(), driver.state.version);
}

#[test]
fn updates_lagging_member_sends_none() {
    let mut driver = StateDriver::new();
    driver.edit("a", None, "cali");
    let lagging = driver.state.clone();
    driver.edit("b", None, "medellin");
    let ahead = Subscribe {
        version: driver.state.version,
        cluster: driver.state.cluster,
    };
    assert!(updates_since(&lagging, &ahead).is_empty());
}

impl StateDriver {
    fn evacuate(&mut self, base: u64, evacuated: bool) -> CommandOutcome {
        let zone = name("z");
        self.apply(Body::SetEvacuation(SetEvacuation {
            zone,
            evacuated,
            base,
        }))
    }
}

/// A start that was delayed in transit undoes the end that was acknowledged after it; and
/// a state with evacuations that snapshots lose.
#[test]
fn delayed_start_without_effect() {
    let mut driver = StateDriver::new();
    let base = driver.state.applied;
    let accepted = |outcome| matches!(outcome, CommandOutcome::Accepted { .. });
    assert!(accepted(driver.evacuate(base, true)));
    let started = driver.state.applied;
    // A resent call changes nothing.
    assert!(accepted(driver.evacuate(base, true)));
    assert!(accepted(driver.evacuate(started + 1, false)));
    assert!(!accepted(driver.evacuate(base, true)));
    assert!(!driver.state.evacuations.contains(&name("z")));
    assert!(accepted(driver.evacuate(driver.state.applied, true)));
    let data = driver.state.encode_snapshot();
    let chart = EndpointChart::open().unwrap();
    let copy = ClusterState::decode_snapshot(data, chart).unwrap();
    assert_eq!(copy.evacuations, driver.state.evacuations);
}

/// Calls without end of zones that don't exist fill the memory of all instances.
#[test]
fn evacuated_zones_bounded() {
    let mut driver = StateDriver::new();
    let mut refused = 0;
    for number in 0..1_030 {
        let outcome = driver.apply(Body::SetEvacuation(SetEvacuation {
            zone: name(&format!("z{number}")),
            evacuated: true,
            base: driver.state.applied,
        }));
        refused += u64::from(outcome == CommandOutcome::Refused(EditConflict::Full));
    }
    assert_eq!(refused, 6);
}

/// Entries go on to send requests to engines of an evacuated zone.
#[test]
fn entries_told_endpoints_leave() {
    let mut driver = StateDriver::new();
    driver.announce(1, EndpointState::Live);
    let told = |state: &ClusterState| {
        let updates = updates_since(state, &Subscribe::default());
        updates[0].endpoints[0].state()
    };
    assert_eq!(told(&driver.state), EndpointState::Live);
    let zone = driver.endpoint().zone.clone();
    let mut evacuate = |evacuated| {
        let set = SetEvacuation {
            zone: zone.clone(),
            evacuated,
            base: driver.state.applied,
        };
        let before = driver.state.version;
        driver.apply(Body::SetEvacuation(set));
        assert!(driver.state.version > before, "entries are told");
        told(&driver.state)
    };
    assert_eq!(evacuate(true), EndpointState::Leaving);
    assert_eq!(evacuate(false), EndpointState::Live);
}
