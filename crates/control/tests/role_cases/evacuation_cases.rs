//! Evacuations of zones in clusters of control roles.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_policy::{OrderAnswer, OrderVerb};
use mulberrywell_wire::serving::{
    DemandShare, EndpointPhase, EndpointStatus, EvacuationList, HeldModel, ServingAttach,
    ServingDemand, ServingUpdate,
};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::{ClientLink, RoleCluster};
use crate::serving_cases::models_config;

fn evacuate(is_start: bool) -> ServingCall {
    ServingCall::Evacuate {
        zone: Bytes::from_static(b"z"),
        is_start,
    }
}

fn attach(cluster: &mut RoleCluster, idx: usize) -> ClientLink {
    let gateway = cluster.attach(idx, b"gateway-0");
    let attach = ServingAttach { version: 0 };
    cluster.send(&gateway, FrameBody::ServingAttach(attach));
    gateway
}

fn updates(cluster: &mut RoleCluster, gateway: &ClientLink) -> Vec<ServingUpdate> {
    let frames = cluster.drain_frames(gateway).into_iter();
    let updates = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update),
        _ => None,
    });
    updates.collect()
}

fn lists(cluster: &mut RoleCluster, gateway: &ClientLink) -> Vec<EvacuationList> {
    let updates = updates(cluster, gateway).into_iter();
    updates.filter_map(|update| update.evacuations).collect()
}

/// Returns the zones that a list says are evacuated.
fn evacuated(list: &EvacuationList) -> Vec<Bytes> {
    let zones = list.zones.iter().filter(|it| it.ended_age_ms.is_none());
    zones.map(|it| it.zone.clone()).collect()
}

/// Returns what a gateway that links to an instance now is told at once.
fn told(cluster: &mut RoleCluster, idx: usize) -> Option<Vec<Bytes>> {
    let gateway = attach(cluster, idx);
    // An event of the role makes it send what it has.
    cluster.set_clocks(1);
    let list = lists(cluster, &gateway).pop();
    list.map(|list| evacuated(&list))
}

/// Gateways of some instance are told nothing, or a resent call changes the state again.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn start_any_instance_told_everywhere(#[case] offset: usize) {
    let mut cluster = RoleCluster::formed(3);
    let idx = (cluster.leader().unwrap() + offset) % 3;
    let gateways = [0, 1, 2].map(|idx| attach(&mut cluster, idx));
    cluster.run(Duration::from_millis(200));
    for gateway in &gateways {
        assert!(lists(&mut cluster, gateway).is_empty(), "none was started");
    }
    for is_start in [true, false] {
        for resent in [idx, (idx + 1) % 3] {
            let answer = cluster.call_serving(resent, evacuate(is_start));
            assert_eq!(answer, ServingAnswer::Accepted);
        }
        cluster.run(Duration::from_millis(200));
        for gateway in &gateways {
            let told = lists(&mut cluster, gateway);
            assert_eq!(told.len(), 1, "told once");
            assert_eq!(evacuated(&told[0]).is_empty(), !is_start);
            assert_eq!(told[0].zones.len(), 1, "the end is told");
        }
    }
}

/// An end without a start fails or is told to gateways.
#[test]
fn end_without_start_accepted() {
    let mut cluster = RoleCluster::formed(3);
    let answer = cluster.call_serving(0, evacuate(false));
    assert_eq!(answer, ServingAnswer::Accepted);
    assert_eq!(told(&mut cluster, 0), None);
}

/// An instance without a disk doesn't pass the call on, or tells its gateways nothing.
#[test]
fn observer_relays_start() {
    let mut cluster = RoleCluster::founded(&[false, false, false, true], &[0, 1, 2]);
    let answer = cluster.call_serving(3, evacuate(true));
    assert_eq!(answer, ServingAnswer::Accepted);
    cluster.run(Duration::from_millis(200));
    assert_eq!(told(&mut cluster, 3), Some(vec![Bytes::from_static(b"z")]));
}

/// An acknowledged evacuation is lost with the leader.
#[test]
fn leader_lost_after_commit_keeps() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let answer = cluster.call_serving(leader, evacuate(true));
    assert_eq!(answer, ServingAnswer::Accepted);
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(6));
    let other = cluster.leader().unwrap();
    assert_eq!(
        told(&mut cluster, other),
        Some(vec![Bytes::from_static(b"z")])
    );
    assert_eq!(
        cluster.call_serving(other, evacuate(false)),
        ServingAnswer::Accepted
    );
    cluster.thaw(leader);
    cluster.run(Duration::from_secs(2));
    assert_eq!(told(&mut cluster, leader), Some(Vec::new()));
}

/// A call is acknowledged that no quorum has, or can't be resent after the leader's loss.
#[test]
fn leader_lost_before_commit_resent() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.isolate(leader);
    cluster.run(Duration::from_secs(3));
    let answer = cluster.call_serving(leader, evacuate(true));
    assert_eq!(answer, ServingAnswer::Unavailable);
    cluster.run(Duration::from_secs(3));
    let other = cluster.leader().unwrap();
    assert_eq!(
        cluster.call_serving(other, evacuate(true)),
        ServingAnswer::Accepted
    );
    cluster.rejoin(leader);
    cluster.run(Duration::from_secs(3));
    let zones = Some(vec![Bytes::from_static(b"z")]);
    assert_eq!(told(&mut cluster, leader), zones);
}

/// A gateway that starts while all instances restart serves the zone until a leader is
/// elected; and an evacuation that all instances forget.
#[test]
fn restart_told_before_election() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let answer = cluster.call_serving(leader, evacuate(true));
    assert_eq!(answer, ServingAnswer::Accepted);
    // Whatever was acknowledged is on the leader's disk.
    cluster.restart_all();
    let zones = Some(vec![Bytes::from_static(b"z")]);
    assert_eq!(told(&mut cluster, leader), zones);
    cluster.run(Duration::from_secs(6));
    for idx in 0..3 {
        assert_eq!(told(&mut cluster, idx), zones, "instance {idx}");
    }
    let answer = cluster.call_serving(leader, evacuate(false));
    assert_eq!(answer, ServingAnswer::Accepted);
    cluster.run(Duration::from_millis(200));
    for idx in 0..3 {
        assert_eq!(told(&mut cluster, idx), Some(Vec::new()), "instance {idx}");
    }
}

/// Engines in zones `z` and `y`, of which only those in `z` hold models, one each.
struct EngineZones {
    cluster: RoleCluster,
    leader: usize,
    held: BTreeMap<&'static str, BTreeSet<&'static str>>,
    sequence: u64,
    answered: usize,
}

const ENGINES: [(&str, &str, &[u8]); 4] = [
    ("e0", "z", b"10.0.0.1:80"),
    ("e1", "z", b"10.0.0.2:80"),
    ("e2", "y", b"10.0.0.3:80"),
    ("e3", "y", b"10.0.0.4:80"),
];

const MODELS: [&[u8]; 4] = [b"m", b"n", b"o", b"p"];

impl EngineZones {
    fn formed() -> Self {
        let mut cluster = RoleCluster::formed(3);
        let leader = cluster.leader().unwrap();
        let ServingCall::Put(mut put) = models_config(&MODELS) else {
            unreachable!("a configuration");
        };
        let service = &mut put.config.as_mut().unwrap().services[0];
        // Each engine has room for two models.
        service.engine.as_mut().unwrap().memory_mb = 25;
        cluster.call_serving(leader, ServingCall::Put(put));
        // Both leave room, which orders would fill.
        let held = [("e0", "m"), ("e1", "n")];
        let held = held.map(|(id, model)| (id, [model].into_iter().collect()));
        EngineZones {
            cluster,
            leader,
            held: held.into_iter().collect(),
            sequence: 0,
            answered: 0,
        }
    }

    /// Runs for a time with demand for each model, in which engines execute all orders.
    fn run(&mut self, duration: Duration) {
        let gateway = self.cluster.attach(self.leader, b"gateway-0");
        for _ in 0..duration.as_millis() / 200 {
            self.sequence += 1;
            for (id, zone, address) in ENGINES {
                let models = self.held.entry(id).or_default().iter();
                let models = models.map(|name| HeldModel {
                    name: Bytes::from_static(name.as_bytes()),
                    ..HeldModel::default()
                });
                let status = EndpointStatus {
                    id: Bytes::from_static(id.as_bytes()),
                    service: Bytes::from_static(b"s"),
                    address: Bytes::from_static(address),
                    zone: Bytes::from_static(zone.as_bytes()),
                    born_ms: 5,
                    sequence: self.sequence,
                    phase: EndpointPhase::Ready.into(),
                    engine: true,
                    models: models.collect(),
                    ..EndpointStatus::default()
                };
                self.cluster
                    .call_serving(self.leader, ServingCall::Heartbeat(status));
            }
            let shares = MODELS.map(|name| DemandShare {
                service: Bytes::from_static(b"s"),
                model: Bytes::from_static(name),
                requests: 4,
                ..DemandShare::default()
            });
            let demand = ServingDemand {
                shares: shares.to_vec(),
                ..ServingDemand::default()
            };
            self.cluster
                .send(&gateway, FrameBody::ServingDemand(demand));
            self.cluster.run(Duration::from_millis(160));
            self.execute_orders();
        }
    }

    fn execute_orders(&mut self) {
        while self.answered < self.cluster.orders.len() {
            let order = self.cluster.orders[self.answered].order.clone();
            let find = |name: &Bytes| {
                let mut known = MODELS.iter().filter(|model| *name == **model);
                std::str::from_utf8(known.next().unwrap()).unwrap()
            };
            let model = find(&order.model);
            let mut ids = ENGINES.iter().filter(|(id, ..)| order.endpoint == *id);
            let held = self.held.entry(ids.next().unwrap().0).or_default();
            let is_load = order.verb == OrderVerb::Load;
            let _ = if is_load {
                held.insert(model)
            } else {
                held.remove(model)
            };
            self.cluster
                .answer_order(self.leader, self.answered, OrderAnswer::Done);
            self.answered += 1;
        }
    }

    fn zones_of_orders(&self, from: usize) -> Vec<&'static str> {
        let orders = self.cluster.orders[from..].iter();
        let zones = orders.map(|order| {
            let mut engines = ENGINES.iter();
            let engine = engines.find(|(id, ..)| order.order.endpoint == *id);
            engine.unwrap().1
        });
        zones.collect()
    }

    fn call(&mut self, is_start: bool) {
        let answer = self.cluster.call_serving(self.leader, evacuate(is_start));
        assert_eq!(answer, ServingAnswer::Accepted);
    }
}

/// Models that only the evacuated zone holds stay unreachable, orders reach that zone, or
/// its return causes a burst of loads.
#[test]
fn models_of_zone_loaded_elsewhere() {
    let mut zones = EngineZones::formed();
    zones.run(Duration::from_secs(1));
    zones.call(true);
    let before = zones.cluster.orders.len();
    zones.run(Duration::from_secs(30));
    let ordered = zones.zones_of_orders(before);
    assert!(ordered.iter().all(|zone| *zone == "y"), "{ordered:?}");
    let elsewhere = zones.held["e2"].union(&zones.held["e3"]);
    assert_eq!(elsewhere.count(), MODELS.len(), "{:?}", zones.held);
    zones.call(false);
    zones.run(Duration::from_secs(10));
    // The ceiling of the weight store, which allows one load every four seconds.
    let times = &zones.cluster.order_times[before..];
    for from in times {
        let window = times.iter().filter(|at| *at >= from);
        let loads = window.filter(|at| **at - *from < Duration::from_secs(5));
        assert!(loads.count() as f64 <= 0.25 * 5.0 * 1.1 + 3.0);
    }
}
