//! Statuses for services that the configuration in force doesn't name.

use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_serving::{EndpointRegistry, MergeOutcome};
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus};
use rstest::rstest;

const ADDRESS: &str = "10.0.0.1:80";
const OTHER_ADDRESS: &str = "10.0.0.2:80";

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn status(id: &str, service: &str, address: &str, order: (u64, u64)) -> EndpointStatus {
    let (born_ms, sequence) = order;
    EndpointStatus {
        id: bytes(id),
        service: bytes(service),
        address: bytes(address),
        born_ms,
        sequence,
        phase: EndpointPhase::Ready.into(),
        ..EndpointStatus::default()
    }
}

fn with_phase(status: EndpointStatus, phase: EndpointPhase) -> EndpointStatus {
    EndpointStatus {
        phase: phase.into(),
        ..status
    }
}

fn set_services(registry: &mut EndpointRegistry, services: &[&str]) {
    let names: BTreeSet<Bytes> = services.iter().map(|name| bytes(name)).collect();
    registry.set_services(names);
}

fn present(registry: &EndpointRegistry) -> Vec<(Bytes, Bytes)> {
    let present = registry.present();
    present
        .map(|it| (it.id.clone(), it.service.clone()))
        .collect()
}

/// Guards against an entry for a service that isn't named and takes the id or the address of a
/// sound endpoint, also if it came before the first configuration.
#[rstest]
#[case::own_id("b", ADDRESS, (9, 1))]
#[case::same_id("a", ADDRESS, (9, 1))]
#[case::same_start("a", ADDRESS, (5, 900))]
#[case::same_id_elsewhere("a", OTHER_ADDRESS, (9, 1))]
fn merge_unnamed_takes_nothing(
    #[case] id: &str,
    #[case] address: &str,
    #[case] order: (u64, u64),
    #[values(false, true)] is_first: bool,
    #[values(false, true)] is_before_config: bool,
) {
    let mut registry = EndpointRegistry::default();
    if !is_before_config {
        set_services(&mut registry, &["s"]);
    }
    let mut statuses = [
        status("a", "s", ADDRESS, (5, 1)),
        status(id, "x", address, order),
    ];
    if is_first {
        statuses.reverse();
    }
    for status in statuses {
        registry.merge(status);
    }
    set_services(&mut registry, &["s"]);
    // The sound endpoint's next heartbeat.
    registry.merge(status("a", "s", ADDRESS, (5, 2)));
    let services = registry.present().filter(|it| it.service == "s");
    let sound: Vec<&EndpointStatus> = services.collect();
    assert_eq!(sound.len(), 1, "{:?}", present(&registry));
    assert_eq!((sound[0].id.clone(), sound[0].sequence), (bytes("a"), 2));
}

/// Guards against an endpoint that announces itself before its service is named and doesn't
/// count from that moment on: the later start holds the address.
#[test]
fn set_services_named_later_counts() {
    let mut registry = EndpointRegistry::default();
    set_services(&mut registry, &["s"]);
    registry.merge(status("a", "s", ADDRESS, (5, 1)));
    registry.merge(status("b", "x", ADDRESS, (9, 1)));
    registry.merge(status("c", "x", OTHER_ADDRESS, (7, 1)));
    assert_eq!(present(&registry), [(bytes("a"), bytes("s"))]);
    set_services(&mut registry, &["s", "x"]);
    let expected = [(bytes("b"), bytes("x")), (bytes("c"), bytes("x"))];
    assert_eq!(present(&registry), expected);
}

/// Guards against an address that stays with an endpoint whose service is no longer named,
/// and against a `draining` that is lost meanwhile.
#[rstest]
#[case::ready(EndpointPhase::Ready)]
#[case::draining(EndpointPhase::Draining)]
fn set_services_dropped_gives_address_back(#[case] phase: EndpointPhase) {
    let mut registry = EndpointRegistry::default();
    set_services(&mut registry, &["s", "x"]);
    registry.merge(status("a", "s", ADDRESS, (5, 1)));
    registry.merge(status("b", "x", ADDRESS, (9, 1)));
    registry.merge(with_phase(status("a", "s", ADDRESS, (5, 2)), phase));
    assert_eq!(present(&registry), [(bytes("b"), bytes("x"))]);
    assert!(registry.all().all(|it| it.id == "b"));
    set_services(&mut registry, &["s"]);
    assert_eq!(present(&registry), [(bytes("a"), bytes("s"))]);
    assert_eq!(registry.get(&bytes("a")).unwrap().phase(), phase);
    set_services(&mut registry, &["s", "x"]);
    assert_eq!(present(&registry), [(bytes("b"), bytes("x"))]);
}

/// Guards against an endpoint that left while another one had its address, and that is back
/// with the address.
#[test]
fn set_services_dropped_gone_stays_gone() {
    let mut registry = EndpointRegistry::default();
    set_services(&mut registry, &["s", "x"]);
    registry.merge(status("a", "s", ADDRESS, (5, 1)));
    registry.merge(status("b", "x", ADDRESS, (9, 1)));
    let known = registry.known(&bytes("a")).unwrap().clone();
    registry.merge(with_phase(known, EndpointPhase::Gone));
    set_services(&mut registry, &["s"]);
    assert!(present(&registry).iter().all(|(_, service)| service != "s"));
    registry.merge(status("a", "s", ADDRESS, (5, 2)));
    assert!(present(&registry).iter().all(|(_, service)| service != "s"));
}

/// An endpoint whose service isn't named any more stays registered, and counts at once when
/// it is named again.
#[test]
fn set_services_named_again_counts() {
    let mut registry = EndpointRegistry::default();
    set_services(&mut registry, &["s", "x"]);
    registry.merge(status("b", "x", ADDRESS, (5, 1)));
    set_services(&mut registry, &["s"]);
    let next = status("b", "x", ADDRESS, (5, 2));
    assert_eq!(registry.merge(next), MergeOutcome::Same);
    // It holds its address against nobody.
    registry.merge(status("a", "s", ADDRESS, (3, 1)));
    assert_eq!(present(&registry), [(bytes("a"), bytes("s"))]);
    set_services(&mut registry, &["s", "x"]);
    assert_eq!(present(&registry), [(bytes("b"), bytes("x"))]);
}

/// Guards against an endpoint that left before its service was named, and that a late
/// heartbeat adds again.
#[test]
fn merge_unnamed_gone_stays_gone() {
    let mut registry = EndpointRegistry::default();
    set_services(&mut registry, &["s"]);
    let ready = status("b", "x", ADDRESS, (5, 1));
    registry.merge(ready.clone());
    let known = registry.known(&bytes("b")).unwrap().clone();
    registry.merge(with_phase(known, EndpointPhase::Gone));
    assert_eq!(registry.merge(ready), MergeOutcome::Stale);
    set_services(&mut registry, &["s", "x"]);
    assert_eq!(present(&registry), []);
}

/// Guards against statuses of unnamed services that take the memory of sound endpoints.
#[test]
fn merge_unnamed_bounded() {
    let mut registry = EndpointRegistry::default();
    registry.set_memory_max(64 * 1024);
    set_services(&mut registry, &["s"]);
    registry.merge(status("a", "s", ADDRESS, (5, 1)));
    for number in 0..1_000 {
        let id = format!("odd-{number}");
        registry.merge(status(&id, "x", ADDRESS, (9, 1)));
    }
    for number in 0..40 {
        let address = format!("10.0.1.{number}:80");
        let endpoint = status(&format!("e-{number}"), "s", &address, (5, 1));
        assert_eq!(registry.merge(endpoint), MergeOutcome::Changed);
    }
    assert_eq!(registry.present().count(), 41);
    assert!(registry.known(&bytes("odd-0")).is_none());
}
