//! The serving configuration and endpoints in clusters of control roles.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_policy::{OrderAnswer, OrderVerb};
use mulberrywell_wire::serving::{
    AccountUse, EndpointLimit, EndpointLoad, EndpointPhase, EndpointStatus, EngineModel,
    EngineTraits, HeldModel, LeavingEndpoint, LimitedEndpoint, LoadShare, PutServing, RateUse,
    ServingAttach, ServingConfig, ServingDemand, ServingService, ServingUpdate, WantedModel,
};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::{ClientLink, RoleCluster};

pub fn put(version: u64) -> ServingCall {
    ServingCall::Put(PutServing {
        config: Some(ServingConfig {
            version,
            ..ServingConfig::default()
        }),
        source: Bytes::from(format!("version {version}")),
    })
}

fn heartbeat(sequence: u64, phase: EndpointPhase) -> ServingCall {
    ServingCall::Heartbeat(EndpointStatus {
        id: Bytes::from_static(b"e"),
        service: Bytes::from_static(b"s"),
        address: Bytes::from_static(b"10.0.0.1:80"),
        born_ms: 5,
        sequence,
        phase: phase.into(),
        ..EndpointStatus::default()
    })
}

fn source(version: u64) -> ServingAnswer {
    ServingAnswer::Source(Some(Bytes::from(format!("version {version}"))))
}

fn attach(cluster: &mut RoleCluster, idx: usize, version: u64) -> ClientLink {
    let entry = cluster.attach(idx, b"entry-0");
    let attach = ServingAttach { version };
    cluster.send(&entry, FrameBody::ServingAttach(attach));
    entry
}

fn updates(cluster: &mut RoleCluster, entry: &ClientLink) -> Vec<ServingUpdate> {
    cluster.run(Duration::from_millis(200));
    let frames = cluster.drain_frames(entry).into_iter();
    let updates = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update),
        _ => None,
    });
    updates.collect()
}

/// Offsets of the contacted role from the leader.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn put_any_instance_highest_wins(#[case] offset: usize) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let idx = (leader + offset) % 3;
    assert_ne!(cluster.call_serving(idx, ServingCall::Read), source(4));
    assert_eq!(cluster.call_serving(idx, put(4)), ServingAnswer::Accepted);
    assert_eq!(cluster.call_serving(idx, put(2)), ServingAnswer::Accepted);
    for contacted in 0..3 {
        assert_eq!(
            cluster.call_serving(contacted, ServingCall::Read),
            source(4)
        );
    }
}

#[test]
fn put_leader_lost_survives() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    assert_eq!(
        cluster.call_serving(leader, put(4)),
        ServingAnswer::Accepted
    );
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(6));
    let other = cluster.leader().unwrap();
    assert_eq!(cluster.call_serving(other, ServingCall::Read), source(4));
}

#[test]
fn read_without_quorum_unavailable() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    assert_eq!(
        cluster.call_serving(leader, put(4)),
        ServingAnswer::Accepted
    );
    for idx in (0..3).filter(|idx| *idx != leader) {
        cluster.freeze(idx);
    }
    cluster.run(Duration::from_secs(3));
    assert_eq!(
        cluster.call_serving(leader, ServingCall::Read),
        ServingAnswer::Unavailable
    );
    assert_eq!(
        cluster.call_serving(leader, put(5)),
        ServingAnswer::Unavailable
    );
}

#[test]
fn attach_newer_only() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, put(4));
    let behind = attach(&mut cluster, leader, 3);
    let known = attach(&mut cluster, leader, 4);
    let versions = |updates: &[ServingUpdate]| {
        let configs = updates.iter().filter_map(|update| update.config.as_ref());
        configs.map(|config| config.version).collect::<Vec<u64>>()
    };
    assert_eq!(versions(&updates(&mut cluster, &behind)), [4]);
    assert!(versions(&updates(&mut cluster, &known)).is_empty());
    cluster.call_serving(leader, put(9));
    assert_eq!(versions(&updates(&mut cluster, &known)), [9]);
}

#[test]
fn heartbeat_sent_everywhere() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [0, 1, 2].map(|idx| attach(&mut cluster, idx, 0));
    let drain = heartbeat(2, EndpointPhase::Draining);
    assert_eq!(
        cluster.call_serving(0, heartbeat(1, EndpointPhase::Ready)),
        ServingAnswer::Accepted
    );
    assert_eq!(cluster.call_serving(1, drain), ServingAnswer::Accepted);
    // A heartbeat that was delayed in transit.
    cluster.call_serving(2, heartbeat(1, EndpointPhase::Ready));
    for entry in &entries {
        let received = updates(&mut cluster, entry);
        let statuses = received.iter().flat_map(|update| &update.endpoints);
        let last = statuses.last().map(EndpointStatus::phase);
        assert_eq!(last, Some(EndpointPhase::Draining));
    }
}

#[test]
fn heartbeat_stopped_marked_silent() {
    let mut cluster = RoleCluster::formed(3);
    let entry = attach(&mut cluster, 1, 0);
    cluster.call_serving(0, heartbeat(1, EndpointPhase::Ready));
    cluster.run(Duration::from_secs(6));
    let received = updates(&mut cluster, &entry);
    let last = received.iter().flat_map(|update| &update.endpoints).last();
    assert!(last.is_some_and(|status| status.silent));
    cluster.call_serving(2, heartbeat(9, EndpointPhase::Ready));
    let received = updates(&mut cluster, &entry);
    let last = received.iter().flat_map(|update| &update.endpoints).last();
    assert!(last.is_some_and(|status| !status.silent));
}

/// A deployment with one model and its adapters.
pub fn engine_config() -> ServingCall {
    models_config(&[b"m"])
}

/// A deployment whose weight store allows one load every four seconds.
pub fn models_config(names: &[&'static [u8]]) -> ServingCall {
    let models = names.iter().map(|name| EngineModel {
        name: Bytes::from_static(name),
        weight_mb: 10,
        adapter_mb: 1,
        store_load_ms: 100,
        ..EngineModel::default()
    });
    let service = ServingService {
        name: Bytes::from_static(b"s"),
        engine: Some(EngineTraits {
            models: models.collect(),
            memory_mb: 100,
            adapter_places: 2,
            store_loads_milli: 250,
            ..EngineTraits::default()
        }),
        ..ServingService::default()
    };
    ServingCall::Put(PutServing {
        config: Some(ServingConfig {
            version: 1,
            services: vec![service],
            ..ServingConfig::default()
        }),
        source: Bytes::from_static(b"engine"),
    })
}

/// Offsets of the contacted role from the leader.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn demand_any_instance_sends_order(#[case] offset: usize) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let model = Bytes::from_static(b"m");
    cluster
        .inventory
        .models
        .insert(model.clone(), BTreeSet::new());
    cluster.call_serving(leader, engine_config());
    cluster.call_serving(leader, engine_heartbeat());
    // No order may be sent before the last one of an earlier leader has
    // expired.
    cluster.run(Duration::from_secs(4));
    assert!(cluster.orders.is_empty());
    let entry = cluster.attach((leader + offset) % 3, b"entry-0");
    let wanted = WantedModel {
        service: Bytes::from_static(b"s"),
        model,
        adapter: Bytes::from_static(b"a1"),
        software: None,
    };
    let demand = ServingDemand {
        wanted: vec![wanted],
        ..ServingDemand::default()
    };
    cluster.send(&entry, FrameBody::ServingDemand(demand));
    cluster.run(Duration::from_millis(300));
    let orders = cluster.orders.iter().map(|order| &order.order.adapter);
    assert_eq!(orders.collect::<Vec<_>>(), ["a1"]);
}

/// Guards against orders that exceed the limit of their engine: they wait for it.
#[rstest]
#[case::limited(Some(1_000), 2, 6)]
#[case::unlimited(None, 12, 12)]
fn order_limit_of_engine_kept(
    #[case] milli_per_s: Option<u64>,
    #[case] orders_min: usize,
    #[case] orders_max: usize,
) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let model = Bytes::from_static(b"m");
    cluster
        .inventory
        .models
        .insert(model.clone(), BTreeSet::new());
    let ServingCall::Put(mut put) = engine_config() else {
        unreachable!("a configuration");
    };
    let service = &mut put.config.as_mut().unwrap().services[0];
    service.engine.as_mut().unwrap().adapter_places = 20;
    cluster.call_serving(leader, ServingCall::Put(put));
    cluster.call_serving(leader, engine_heartbeat());
    cluster.run(Duration::from_secs(4));
    let entry = cluster.attach(leader, b"entry-0");
    let wanted = (1..=12).map(|number| WantedModel {
        service: Bytes::from_static(b"s"),
        model: model.clone(),
        adapter: Bytes::from(format!("a{number}")),
        software: None,
    });
    let limit = EndpointLimit {
        milli_per_s,
        revision: 1,
    };
    let demand = ServingDemand {
        wanted: wanted.collect(),
        limits: vec![LimitedEndpoint {
            id: Bytes::from_static(b"e"),
            born_ms: 5,
            limit: Some(limit),
        }],
        ..ServingDemand::default()
    };
    cluster.send(&entry, FrameBody::ServingDemand(demand));
    let mut answered = 0;
    for _ in 0..80 {
        cluster.run(Duration::from_millis(50));
        while answered < cluster.orders.len() {
            cluster.answer_order(leader, answered, OrderAnswer::Accepted);
            answered += 1;
        }
    }
    let count = cluster.orders.len();
    assert!((orders_min..=orders_max).contains(&count), "{count} orders");
}

pub fn engine_heartbeat() -> ServingCall {
    let ServingCall::Heartbeat(mut status) = heartbeat(1, EndpointPhase::Ready) else {
        unreachable!("a heartbeat");
    };
    status.engine = true;
    status.models.push(HeldModel {
        name: Bytes::from_static(b"m"),
        ..HeldModel::default()
    });
    ServingCall::Heartbeat(status)
}

#[test]
fn order_resumed_leader_sends_none() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, engine_config());
    let other = (leader + 1) % 3;
    // No engine has the model loaded, so each leader orders it whenever the
    // store allows it, every four seconds.
    let mut sequence = 1;
    while cluster.orders.is_empty() {
        cluster.call_serving(other, heartbeat(sequence, EndpointPhase::Ready));
        cluster.run(Duration::from_millis(500));
        sequence += 1;
    }
    cluster.run(Duration::from_millis(2_500));
    let holder = cluster.orders[0].holder.clone();
    cluster.freeze(leader);
    for _ in 0..6 {
        sequence += 1;
        cluster.call_serving(other, heartbeat(sequence, EndpointPhase::Ready));
        cluster.run(Duration::from_secs(2));
    }
    let sent = cluster.orders.len();
    assert_ne!(cluster.orders[sent - 1].holder, holder);
    cluster.thaw_by_timer(leader);
    cluster.run(Duration::from_secs(2));
    let later = cluster.orders[sent..].iter();
    assert!(
        later.clone().all(|order| order.holder != holder),
        "{later:?}"
    );
}

#[test]
fn demand_before_first_plan_paced_by_store() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, models_config(&[b"m", b"n", b"o", b"p"]));
    cluster.call_serving(leader, heartbeat(1, EndpointPhase::Ready));
    let entry = cluster.attach(leader, b"entry-0");
    let wanted = [b"m", b"n", b"o", b"p"].map(|model| WantedModel {
        service: Bytes::from_static(b"s"),
        model: Bytes::from_static(model),
        adapter: Bytes::new(),
        software: None,
    });
    let demand = ServingDemand {
        wanted: wanted.into(),
        ..ServingDemand::default()
    };
    cluster.send(&entry, FrameBody::ServingDemand(demand));
    for sequence in 2..10 {
        cluster.run(Duration::from_secs(1));
        cluster.call_serving(leader, heartbeat(sequence, EndpointPhase::Ready));
    }
    let sent = cluster.orders.len();
    assert!((1..=2).contains(&sent), "{sent} loads in eight seconds");
}

/// What a response told one gateway of an endpoint's leaving reaches the others, and
/// later heartbeats of the same start don't revoke it.
#[test]
fn leaving_endpoint_told_to_others() {
    let mut cluster = RoleCluster::formed(3);
    let gateways = [0, 1].map(|idx| attach(&mut cluster, idx, 0));
    cluster.call_serving(2, heartbeat(1, EndpointPhase::Ready));
    cluster.run(Duration::from_millis(100));
    let demand = ServingDemand {
        leaving: vec![LeavingEndpoint {
            id: Bytes::from_static(b"e"),
            born_ms: 5,
        }],
        ..ServingDemand::default()
    };
    cluster.send(&gateways[0], FrameBody::ServingDemand(demand));
    cluster.run(Duration::from_millis(100));
    cluster.call_serving(2, heartbeat(2, EndpointPhase::Ready));
    let received = updates(&mut cluster, &gateways[1]);
    let last = received.iter().flat_map(|update| &update.endpoints).last();
    assert!(last.is_some_and(|status| status.leaving), "{received:?}");
}

/// Gateways are not told which weights an engine's host keeps, which only the
/// placement uses; other control instances are.
#[test]
fn host_copies_not_sent_to_gateways() {
    let mut cluster = RoleCluster::formed(3);
    cluster.call_serving(0, heartbeat(1, EndpointPhase::Ready));
    let gateway = attach(&mut cluster, 0, 0);
    updates(&mut cluster, &gateway);
    let ServingCall::Heartbeat(mut status) = heartbeat(2, EndpointPhase::Ready) else {
        unreachable!("a heartbeat");
    };
    status.on_disk.push(Bytes::from_static(b"m"));
    cluster.call_serving(0, ServingCall::Heartbeat(status.clone()));
    assert!(updates(&mut cluster, &gateway).is_empty());
    status.sequence = 3;
    status.models.push(HeldModel::default());
    cluster.call_serving(0, ServingCall::Heartbeat(status));
    let received = updates(&mut cluster, &gateway);
    let endpoints: Vec<_> = received.iter().flat_map(|it| &it.endpoints).collect();
    assert_eq!(endpoints.len(), 1);
    assert_eq!(endpoints[0].models.len(), 1);
    assert!(endpoints[0].on_disk.is_empty());
}

/// Waits between the orders of two leaders: the platform's `lease_ms`.
pub const ORDER_LEASE: Duration = Duration::from_secs(3);

/// Orders of a new leader carry a higher fencing token, its term, and come no
/// sooner than the lease after the last one of the leader before it.
#[test]
fn order_new_leader_fenced_and_delayed() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let model = Bytes::from_static(b"m");
    let models = &mut cluster.inventory.models;
    models.insert(model.clone(), BTreeSet::new());
    cluster.call_serving(leader, engine_config());
    cluster.call_serving(leader, engine_heartbeat());
    cluster.run(Duration::from_secs(4));
    let entries = [0, 1, 2].map(|idx| cluster.attach(idx, b"entry-0"));
    let wanted = |adapter: &str| WantedModel {
        service: Bytes::from_static(b"s"),
        model: model.clone(),
        adapter: Bytes::from(adapter.to_owned()),
        software: None,
    };
    let demand = |cluster: &mut RoleCluster, idx: usize, number: usize| {
        let demand = ServingDemand {
            wanted: vec![wanted(&format!("a{number}"))],
            ..ServingDemand::default()
        };
        cluster.send(&entries[idx], FrameBody::ServingDemand(demand));
        cluster.run(Duration::from_millis(100));
    };
    demand(&mut cluster, leader, 1);
    cluster.freeze(leader);
    let first = cluster.orders.clone();
    assert_eq!(first.len(), 1);
    for number in 2..100 {
        if let Some(leader) = cluster.leader() {
            demand(&mut cluster, leader, number);
        }
        cluster.run(Duration::from_millis(50));
    }
    let later = &cluster.orders[1..];
    assert!(!later.is_empty());
    assert!(later.iter().all(|order| order.holder != first[0].holder));
    assert!(later.iter().all(|order| order.token > first[0].token));
    assert!(later.iter().all(|order| order.token == later[0].token));
    let pause = cluster.order_times[1] - cluster.order_times[0];
    assert!(pause >= ORDER_LEASE, "{pause:?}");
}

fn rate_use(admitted: u64) -> FrameBody {
    FrameBody::RateUse(RateUse {
        uses: vec![AccountUse {
            account: Bytes::from_static(b"a"),
            admitted,
            ..AccountUse::default()
        }],
        confirm: false,
    })
}

/// A call that waits for its units to be counted gets the total at once.
#[test]
fn rate_confirmation_sent_at_once() {
    let mut cluster = RoleCluster::formed(3);
    let entry = cluster.attach(0, b"entry-0");
    cluster.send(&entry, FrameBody::ServingAttach(ServingAttach::default()));
    cluster.send(&entry, rate_use(0));
    cluster.run(Duration::from_millis(200));
    cluster.drain_frames(&entry);
    let FrameBody::RateUse(mut report) = rate_use(70) else {
        unreachable!("a report");
    };
    report.confirm = true;
    cluster.send(&entry, FrameBody::RateUse(report));
    let frames = cluster.drain_frames(&entry);
    let [FrameBody::RateTotals(totals)] = &frames[..] else {
        panic!("{frames:?}");
    };
    assert_eq!(totals.totals[0].total, 70);
    assert_eq!(totals.totals[0].confirmed, 70);
}

/// A count that started after an entry leaves out what the entry admitted before,
/// from the total and from the entry's part of it alike.
#[test]
fn rate_total_excludes_units_before_count() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1"].map(|name| cluster.attach(0, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::ServingAttach(ServingAttach::default()));
        let FrameBody::RateUse(mut report) = rate_use(9_000) else {
            unreachable!("a report");
        };
        report.uses[0].confirmed = 8_900;
        cluster.send(entry, FrameBody::RateUse(report));
        cluster.send(entry, rate_use(9_500));
    }
    cluster.run(Duration::from_millis(200));
    let frames = cluster.drain_frames(&entries[0]);
    let totals = frames.iter().filter_map(|frame| match frame {
        FrameBody::RateTotals(totals) => totals.totals.last(),
        _ => None,
    });
    let total = totals.last().expect("a total");
    assert_eq!((total.total, total.own), (1_200, 600));
    assert_eq!(total.confirmed, 9_500);
}

/// What an entry admits while its link is closed is counted when it is linked again,
/// also if another count has confirmed it meanwhile.
#[test]
fn rate_units_without_link_counted_later() {
    let mut cluster = RoleCluster::formed(3);
    let other = cluster.attach(0, b"entry-1");
    cluster.send(&other, FrameBody::ServingAttach(ServingAttach::default()));
    let first = cluster.attach_incarnation(0, b"entry-0", 7);
    cluster.send(&first, FrameBody::ServingAttach(ServingAttach::default()));
    cluster.send(&first, rate_use(0));
    cluster.detach(&first);
    cluster.run(Duration::from_secs(3));
    let second = cluster.attach_incarnation(0, b"entry-0", 7);
    cluster.send(&second, FrameBody::ServingAttach(ServingAttach::default()));
    let FrameBody::RateUse(mut report) = rate_use(3_000) else {
        unreachable!("a report");
    };
    report.uses[0].confirmed = 3_000;
    cluster.send(&second, FrameBody::RateUse(report));
    cluster.run(Duration::from_millis(200));
    let frames = cluster.drain_frames(&other);
    let totals = frames.iter().filter_map(|frame| match frame {
        FrameBody::RateTotals(totals) => totals.totals.last(),
        _ => None,
    });
    assert_eq!(totals.last().map(|total| total.total), Some(3_000));
}

#[test]
fn entry_two_links_counted_once() {
    let mut cluster = RoleCluster::formed(3);
    let other = cluster.attach(0, b"entry-1");
    cluster.send(&other, FrameBody::ServingAttach(ServingAttach::default()));
    cluster.send(&other, rate_use(0));
    let links = [7, 7].map(|start| cluster.attach_incarnation(0, b"entry-0", start));
    for link in &links {
        cluster.send(link, FrameBody::ServingAttach(ServingAttach::default()));
    }
    // Reports on one link may arrive after those on the other.
    for link in &links {
        for admitted in [0, 40, 100] {
            cluster.send(link, rate_use(admitted));
        }
        cluster.run(Duration::from_millis(100));
    }
    let frames = cluster.drain_frames(&other);
    let entries = frames.iter().filter_map(|frame| match frame {
        FrameBody::RateTotals(totals) => Some(totals.entries),
        _ => None,
    });
    assert_eq!(entries.max(), Some(2));
    let totals = frames.iter().filter_map(|frame| match frame {
        FrameBody::RateTotals(totals) => totals.totals.last(),
        _ => None,
    });
    assert_eq!(totals.last().map(|total| total.total), Some(100));
}

pub(crate) fn load_share(endpoint: &'static [u8], running: u32, unread: u64) -> FrameBody {
    FrameBody::LoadShare(LoadShare {
        loads: vec![EndpointLoad {
            endpoint: Bytes::from_static(endpoint),
            running,
            unread,
            ..EndpointLoad::default()
        }],
        ..LoadShare::default()
    })
}

/// Returns the last load of the other entries that was sent for an endpoint.
fn received_load(cluster: &mut RoleCluster, entry: &ClientLink) -> Option<(u32, u64)> {
    cluster.run(Duration::from_millis(300));
    let frames = cluster.drain_frames(entry).into_iter();
    let loads = frames.filter_map(|frame| match frame {
        FrameBody::LoadShare(share) => share.loads.last().cloned(),
        _ => None,
    });
    loads.last().map(|load| (load.running, load.unread))
}

#[test]
fn load_sums_exclude_own() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1", b"entry-2"].map(|name| cluster.attach(0, name));
    for (entry, running) in entries.iter().zip([1, 2, 4]) {
        cluster.send(entry, load_share(b"e", running, u64::from(running) * 100));
    }
    let received = entries.map(|entry| received_load(&mut cluster, &entry));
    assert_eq!(received, [Some((6, 600)), Some((5, 500)), Some((3, 300))]);
}

#[test]
fn load_closed_link_removed() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1"].map(|name| cluster.attach(0, name));
    cluster.send(&entries[0], load_share(b"e", 1, 100));
    cluster.send(&entries[1], load_share(b"e", 2, 200));
    assert_eq!(received_load(&mut cluster, &entries[0]), Some((2, 200)));
    cluster.detach(&entries[1]);
    assert_eq!(received_load(&mut cluster, &entries[0]), Some((0, 0)));
}

#[test]
fn order_without_lease_not_sent() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let model = Bytes::from_static(b"m");
    let models = &mut cluster.inventory.models;
    models.insert(model.clone(), BTreeSet::new());
    cluster.call_serving(leader, engine_config());
    cluster.call_serving(leader, engine_heartbeat());
    cluster.run(Duration::from_secs(4));
    let entry = cluster.attach(leader, b"entry-0");
    for idx in (0..3).filter(|idx| *idx != leader) {
        cluster.freeze(idx);
    }
    // Another instance may lead soon, though this leader has not stepped down
    // yet.
    cluster.run(Duration::from_millis(500));
    assert_eq!(cluster.leader(), Some(leader));
    let demand = ServingDemand {
        wanted: vec![WantedModel {
            service: Bytes::from_static(b"s"),
            model,
            adapter: Bytes::from_static(b"a1"),
            software: None,
        }],
        ..ServingDemand::default()
    };
    cluster.send(&entry, FrameBody::ServingDemand(demand));
    cluster.run(Duration::from_millis(200));
    assert!(cluster.orders.is_empty(), "{:?}", cluster.orders);
}

/// A control instance that was cut off sends what it knew of an engine before the
/// leader's orders, under the sequence that the leader still has, because heartbeats
/// that change nothing are not forwarded.
#[test]
fn order_rejoined_instance_keeps_adapter_places() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let (cut_off, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let model = Bytes::from_static(b"m");
    let models = &mut cluster.inventory.models;
    models.insert(model.clone(), BTreeSet::new());
    cluster.call_serving(leader, engine_config());
    cluster.call_serving(other, engine_heartbeat());
    cluster.run(Duration::from_secs(4));
    let entry = cluster.attach(leader, b"entry-0");
    let demand = |cluster: &mut RoleCluster, adapter: &'static [u8]| {
        let wanted = WantedModel {
            service: Bytes::from_static(b"s"),
            model: model.clone(),
            adapter: Bytes::from_static(adapter),
            software: None,
        };
        let demand = ServingDemand {
            wanted: vec![wanted],
            ..ServingDemand::default()
        };
        cluster.send(&entry, FrameBody::ServingDemand(demand));
        cluster.run(Duration::from_millis(100));
    };
    cluster.isolate(cut_off);
    for (idx, adapter) in [b"a1", b"a2"].into_iter().enumerate() {
        demand(&mut cluster, adapter);
        assert_eq!(cluster.orders.len(), idx + 1);
        cluster.answer_last_order(leader, OrderAnswer::Accepted);
        cluster.run(Duration::from_millis(100));
        let inventory = &mut cluster.inventory;
        inventory.orders += 1;
        let held = inventory.models.get_mut(&model).unwrap();
        held.insert(Bytes::from_static(adapter));
    }
    cluster.rejoin(cut_off);
    for sequence in 2..7 {
        let ServingCall::Heartbeat(mut status) = engine_heartbeat() else {
            unreachable!("a heartbeat");
        };
        status.sequence = sequence;
        let adapters = [b"a1", b"a2"].map(|adapter| Bytes::from_static(adapter));
        status.models[0].adapters = adapters.into();
        cluster.call_serving(other, ServingCall::Heartbeat(status));
        cluster.run(Duration::from_secs(1));
    }
    assert_eq!(cluster.leader(), Some(leader));
    demand(&mut cluster, b"a3");
    let later = cluster.orders[2..].iter().map(|order| order.order.verb);
    assert_eq!(later.collect::<Vec<_>>(), [OrderVerb::Unload]);
}
