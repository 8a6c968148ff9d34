//! Tests of the verifier, the index and the registry of endpoints.

use bytes::Bytes;
use mulberrywell_serving::{
    verify_config, EndpointRegistry, KeyOwner, MergeOutcome, OriginTable, ServiceVersion,
    ServingIndex, ORIGINS_MAX,
};
use mulberrywell_wire::serving::{
    EndpointLimit, EndpointPhase, EndpointStatus, LimitedEndpoint, ServiceShare, ServingAccount,
    ServingConfig, ServingRoute, ServingService,
};
use rstest::rstest;

fn bytes(text: &str) -> Bytes {
    Bytes::from(text.to_owned())
}

fn route(name: &str, prefix: &str) -> ServingRoute {
    ServingRoute {
        name: bytes(name),
        host: bytes("h"),
        path_prefix: bytes(prefix),
        timeout_ms: 100,
        shares: vec![ServiceShare {
            service: bytes("s"),
            weight: 1,
        }],
        ..ServingRoute::default()
    }
}

fn config() -> ServingConfig {
    ServingConfig {
        version: 3,
        routes: vec![route("a", "/a/"), route("b", "/a/b/")],
        services: vec![ServingService {
            name: bytes("s"),
            ..ServingService::default()
        }],
        accounts: vec![ServingAccount {
            name: bytes("acc"),
            keys: vec![bytes("k1")],
            ..ServingAccount::default()
        }],
        ..ServingConfig::default()
    }
}

type Change = fn(&mut ServingConfig);

#[rstest]
#[case::unknown_service(|config: &mut ServingConfig| config.routes[0].shares[0].service = bytes("x"))]
#[case::same_location(|config: &mut ServingConfig| config.routes[1].path_prefix = bytes("/a/"))]
#[case::zero_weight(|config: &mut ServingConfig| config.routes[0].shares[0].weight = 0)]
#[case::no_share(|config: &mut ServingConfig| config.routes[0].shares.clear())]
#[case::zero_timeout(|config: &mut ServingConfig| config.routes[0].timeout_ms = 0)]
#[case::prefix_without_slash(|config: &mut ServingConfig| config.routes[0].path_prefix = bytes("/a"))]
#[case::shared_key(|config: &mut ServingConfig| {
    let mut other = config.accounts[0].clone();
    other.name = bytes("other");
    config.accounts.push(other);
})]
fn verify_config_faulty(#[case] change: Change) {
    assert_eq!(verify_config(&config()), Ok(()));
    let mut faulty = config();
    change(&mut faulty);
    assert_eq!(verify_config(&faulty).expect_err("a finding").len(), 1);
}

/// Guards against findings that repeat a long name, or one fault, without a bound.
#[test]
fn verify_config_findings_bounded() {
    let mut faulty = config();
    faulty.accounts[0].name = Bytes::from("n".repeat(1024 * 1024));
    faulty.accounts[0].keys = vec![bytes("k"); 10_000];
    let findings = verify_config(&faulty).expect_err("findings");
    let len: usize = findings.iter().map(|finding| finding.text.len()).sum();
    assert!(len < 64 * 1024, "{len} bytes");
    let last = findings.last().expect("a finding");
    assert!(last.text.contains("further"), "{}", last.text);
}

#[rstest]
#[case::short_prefix("/a/x", Some("a"))]
#[case::long_prefix("/a/b/x", Some("b"))]
#[case::query_ignored("/a/?q=/a/b/", Some("a"))]
#[case::no_slash("/ab", None)]
fn route_longest_prefix(#[case] path: &str, #[case] name: Option<&str>) {
    let mut index = ServingIndex::default();
    assert!(index.apply(config()));
    let found = index.route(b"h", path.as_bytes());
    let found = found.map(|(_, route)| route.name.clone());
    assert_eq!(found, name.map(bytes));
    assert!(index.route(b"other", path.as_bytes()).is_none());
}

#[test]
fn apply_older_refused() {
    let mut index = ServingIndex::default();
    assert!(index.apply(config()));
    assert!(!index.apply(config()));
    let mut older = config();
    older.version = 2;
    older.routes.clear();
    assert!(!index.apply(older));
    assert!(index.route(b"h", b"/a/").is_some());
}

#[test]
fn owner_by_key() {
    let mut index = ServingIndex::default();
    assert_eq!(index.owner(None), KeyOwner::NoAccounts);
    index.apply(config());
    assert_eq!(index.owner(None), KeyOwner::Unknown);
    assert_eq!(index.owner(Some(&bytes("k2"))), KeyOwner::Unknown);
    let owner = index.owner(Some(&bytes("k1")));
    assert!(matches!(owner, KeyOwner::Account(account) if account.name == "acc"));
}

fn status(id: &str, born_ms: u64, sequence: u64, phase: EndpointPhase) -> EndpointStatus {
    EndpointStatus {
        id: bytes(id),
        service: bytes("s"),
        address: bytes("10.0.0.1:80"),
        born_ms,
        sequence,
        phase: phase.into(),
        ..EndpointStatus::default()
    }
}

#[rstest]
#[case::newer_sequence(status("a", 5, 3, EndpointPhase::Draining), MergeOutcome::Changed)]
#[case::nothing_new(status("a", 5, 3, EndpointPhase::Ready), MergeOutcome::Same)]
#[case::older_sequence(status("a", 5, 1, EndpointPhase::Draining), MergeOutcome::Stale)]
#[case::older_start(status("a", 4, 9, EndpointPhase::Draining), MergeOutcome::Stale)]
#[case::restarted(status("a", 6, 1, EndpointPhase::Ready), MergeOutcome::Changed)]
#[case::other_before(status("b", 4, 9, EndpointPhase::Ready), MergeOutcome::Stale)]
#[case::other_after(status("b", 6, 1, EndpointPhase::Ready), MergeOutcome::Changed)]
fn merge_order(#[case] update: EndpointStatus, #[case] outcome: MergeOutcome) {
    let mut registry = EndpointRegistry::default();
    registry.merge(status("a", 5, 2, EndpointPhase::Ready));
    assert_eq!(registry.merge(update), outcome);
    assert_eq!(registry.present().count(), 1);
}

#[test]
fn merge_gone_endpoint_stays_gone() {
    let mut registry = EndpointRegistry::default();
    registry.merge(status("a", 5, 2, EndpointPhase::Ready));
    registry.merge(status("a", 5, 3, EndpointPhase::Gone));
    let late = status("a", 5, 4, EndpointPhase::Ready);
    assert_eq!(registry.merge(late), MergeOutcome::Stale);
    assert_eq!(registry.present().count(), 0);
    let restarted = status("a", 6, 1, EndpointPhase::Ready);
    assert_eq!(registry.merge(restarted), MergeOutcome::Changed);
    assert_eq!(registry.present().count(), 1);
}

/// Guards against an endpoint that is used again although a response announced that it
/// is leaving: the instance that learned it may know an older heartbeat than others.
#[rstest]
#[case::older_heartbeat(4, 5)]
#[case::same_heartbeat(5, 5)]
#[case::newer_heartbeat(6, 5)]
fn merge_leaving_unordered(#[case] told_at: u64, #[case] stored_at: u64) {
    let status = |sequence, leaving| EndpointStatus {
        id: bytes("e"),
        address: bytes("10.0.0.1:80"),
        born_ms: 7,
        sequence,
        leaving,
        ..EndpointStatus::default()
    };
    let mut registry = EndpointRegistry::default();
    registry.merge(status(stored_at, false));
    assert_eq!(registry.merge(status(told_at, true)), MergeOutcome::Changed);
    registry.merge(status(9, false));
    let stored = registry.get(&bytes("e")).unwrap();
    assert!(stored.leaving);
    assert_eq!(stored.sequence, 9);
    let restarted = EndpointStatus {
        born_ms: 8,
        ..status(1, false)
    };
    registry.merge(restarted);
    assert!(!registry.get(&bytes("e")).unwrap().leaving);
}

/// Guards against limits that a late message undoes: the latest change holds, whatever
/// heartbeat it came with, and ends with the endpoint's start.
#[test]
fn merge_limit_latest_holds() {
    let limit = |milli_per_s, revision| {
        Some(EndpointLimit {
            milli_per_s,
            revision,
        })
    };
    let status = |sequence, limit| EndpointStatus {
        id: bytes("e"),
        address: bytes("10.0.0.1:80"),
        born_ms: 7,
        sequence,
        limit,
        ..EndpointStatus::default()
    };
    let mut registry = EndpointRegistry::default();
    let held = |registry: &EndpointRegistry| registry.get(&bytes("e")).unwrap().limit;
    registry.merge(status(5, None));
    let first = limit(Some(1_000), 1);
    assert_eq!(registry.merge(status(4, first)), MergeOutcome::Changed);
    assert_eq!(registry.merge(status(6, None)), MergeOutcome::Same);
    assert_eq!(held(&registry), first);
    let ended = limit(None, 2);
    assert_eq!(registry.merge(status(6, ended)), MergeOutcome::Changed);
    assert_eq!(registry.merge(status(7, first)), MergeOutcome::Same);
    assert_eq!(held(&registry), ended);
    // Two gateways saw different limits at once: the lower one holds.
    let lower = limit(Some(500), 3);
    registry.merge(status(7, limit(Some(900), 3)));
    assert_eq!(registry.merge(status(1, lower)), MergeOutcome::Changed);
    assert_eq!(
        registry.merge(status(7, limit(Some(900), 3))),
        MergeOutcome::Same
    );
    assert_eq!(held(&registry), lower);
    let restarted = EndpointStatus {
        born_ms: 8,
        ..status(1, None)
    };
    registry.merge(restarted);
    assert_eq!(held(&registry), None);
    let late = LimitedEndpoint {
        id: bytes("e"),
        born_ms: 7,
        limit: limit(Some(1), 9),
    };
    assert!(!registry.record_limit(&late));
    assert_eq!(held(&registry), None);
}

fn version(service: &str, software: &str) -> ServiceVersion {
    ServiceVersion {
        service: bytes(service),
        software: bytes(software),
    }
}

/// Guards against one of two recorded origins that is taken for the true one, also after
/// the table was stored.
#[test]
fn insert_origin_conflict_unknown() {
    let mut origins = OriginTable::default();
    let [v1, v2] = ["v1", "v2"].map(|software| version("s", software));
    assert!(origins.insert(1, &v1, 10_u64));
    assert!(!origins.insert(1, &v1, 30));
    assert_eq!(origins.entry(1), Some((&v1, 30)));
    assert!(origins.insert(2, &v1, 20));
    assert!(!origins.insert(2, &v2, 20));
    assert_eq!(origins.get(2), None);
    let mut restored = OriginTable::default();
    for (stream, origin, expires) in origins.iter() {
        restored.restore(stream, origin.cloned(), expires);
    }
    assert!(!restored.insert(2, &v1, 20));
    assert_eq!((restored.get(1), restored.get(2)), (Some(&v1), None));
    restored.remove_expired(20);
    assert!(restored.contains(1) && !restored.contains(2));
}

/// Guards against a table that grows with what callers send.
#[test]
fn insert_origin_bounded() {
    let mut origins = OriginTable::default();
    for stream in 0..ORIGINS_MAX as u64 + 500 {
        origins.insert(stream, &version("s", &stream.to_string()), stream);
    }
    assert_eq!(origins.len(), ORIGINS_MAX);
    assert!(!origins.contains(499) && origins.contains(500));
}

fn named_status(id: &str, names: usize) -> EndpointStatus {
    let mut status = status(id, 5, 1, EndpointPhase::Ready);
    status.address = bytes(&format!("10.9.0.1:{}", id.len()));
    status.in_memory = vec![bytes("model"); names];
    status
}

/// Guards against statuses without a bound, and against a full registry that refuses an
/// endpoint while silent ones take its memory; the largest of them is forgotten.
#[test]
fn merge_full_refused_unless_silent() {
    let mut registry = EndpointRegistry::default();
    registry.set_memory_max(64 * 1024);
    assert_eq!(
        registry.merge(named_status("a", 100)),
        MergeOutcome::Changed
    );
    assert_eq!(
        registry.merge(named_status("bb", 600)),
        MergeOutcome::Changed
    );
    assert_eq!(registry.merge(named_status("ccc", 600)), MergeOutcome::Full);
    assert!(registry.get(&bytes("ccc")).is_none());
    for id in ["a", "bb"] {
        registry.get_mut(&bytes(id)).expect("is stored").silent = true;
    }
    assert_eq!(
        registry.merge(named_status("ccc", 600)),
        MergeOutcome::Changed
    );
    assert_eq!(registry.take_forgotten(), [bytes("bb")]);
    assert!(registry.get(&bytes("a")).is_some());
}

/// Guards against endpoints that have gone and keep the memory of their statuses.
#[test]
fn merge_gone_frees_memory() {
    let mut registry = EndpointRegistry::default();
    registry.set_memory_max(64 * 1024);
    let mut status = named_status("a", 600);
    assert_eq!(registry.merge(status.clone()), MergeOutcome::Changed);
    status.set_phase(EndpointPhase::Gone);
    assert_eq!(registry.merge(status), MergeOutcome::Changed);
    let gone = registry.get(&bytes("a")).expect("is stored");
    assert!(gone.in_memory.is_empty());
    assert_eq!(
        registry.merge(named_status("bb", 600)),
        MergeOutcome::Changed
    );
}

fn gone_status(id: &str) -> EndpointStatus {
    let mut gone = status(id, 5, 1, EndpointPhase::Gone);
    gone.address = Bytes::new();
    gone
}

/// Guards against endpoints that have gone and keep out others once they have all memory,
/// and against a late heartbeat that adds one of them again.
#[test]
fn merge_full_forgets_oldest_gone() {
    let mut registry = EndpointRegistry::default();
    registry.set_memory_max(64 * 1024);
    for number in 0..200 {
        let gone = gone_status(&format!("gone-{number}"));
        assert_eq!(registry.merge(gone), MergeOutcome::Changed);
    }
    assert_eq!(
        registry.merge(named_status("a", 100)),
        MergeOutcome::Changed
    );
    let late = status("gone-199", 5, 2, EndpointPhase::Ready);
    assert_eq!(registry.merge(late), MergeOutcome::Stale);
}

/// Guards against a restarted endpoint that is removed with those that have gone.
#[test]
fn merge_many_gone_keeps_restarted() {
    const MORE_THAN_RETAINED: usize = 5_000;
    let mut registry = EndpointRegistry::default();
    assert_eq!(registry.merge(gone_status("a")), MergeOutcome::Changed);
    let restarted = status("a", 6, 1, EndpointPhase::Ready);
    assert_eq!(registry.merge(restarted), MergeOutcome::Changed);
    for number in 0..MORE_THAN_RETAINED {
        registry.merge(gone_status(&format!("gone-{number}")));
    }
    let kept = registry.get(&bytes("a")).expect("is stored");
    assert_eq!(kept.phase(), EndpointPhase::Ready);
}
