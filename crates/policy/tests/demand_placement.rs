//! Orders by demand, and the limits on what engines hold in the meantime.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    DemandPlacement, EngineInventory, EngineReport, EngineSpec, ModelSpec, OrderAnswer, OrderVerb,
    PacerSettings, PlacementOrder,
};
use rstest::rstest;

fn name(text: &str) -> Bytes {
    Bytes::from(text.to_owned())
}

fn model(text: &str) -> ModelSpec {
    ModelSpec {
        name: name(text),
        weight_mb: 40,
        adapter_mb: 1,
        load_time: Duration::from_secs(2),
    }
}

fn report(models: &[(&str, &[&str])]) -> EngineReport {
    let models = models.iter().map(|(model, adapters)| {
        let adapters: BTreeSet<Bytes> = adapters.iter().map(|text| name(text)).collect();
        (name(model), adapters)
    });
    EngineReport {
        incarnation: 1,
        is_usable: true,
        models: models.collect::<BTreeMap<_, _>>(),
        ..EngineReport::default()
    }
}

/// Creates a placement for engines with memory for two models and places for two
/// adapters each.
fn placement(now: Instant) -> DemandPlacement {
    let pacer = PacerSettings {
        store_loads_per_minute: 600,
        store_burst: 4,
        store_parallel: 4,
        adapter_parallel: 8,
    };
    let spec = EngineSpec {
        memory_mb: 100,
        adapter_places: 2,
        models: ["a", "b", "c"].map(model).into(),
    };
    let mut placement = DemandPlacement::new(now);
    placement.set_spec(spec, pacer);
    placement
}

fn format_orders(orders: &[PlacementOrder]) -> Vec<String> {
    let texts = orders.iter().map(|order| {
        let verb = match order.verb {
            OrderVerb::Load => "load",
            OrderVerb::Unload => "unload",
        };
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let (endpoint, model) = (text(&order.endpoint), text(&order.model));
        format!("{verb} {endpoint} {model} {}", text(&order.adapter))
            .trim_end()
            .to_owned()
    });
    texts.collect()
}

/// Passes an engine's report to the placement, and its inventory if one is requested.
fn handle_report(
    placement: &mut DemandPlacement,
    now: Instant,
    endpoint: &Bytes,
    engine_report: EngineReport,
) {
    let models = engine_report.models.clone();
    placement.handle_report(now, endpoint, engine_report);
    for due in placement.inventories_due(now) {
        let inventory = EngineInventory {
            is_busy: false,
            orders: 7,
            models: models.clone(),
        };
        assert!(placement.handle_inventory(now, &due, Some(&inventory)));
    }
}

const LATER: Duration = Duration::from_secs(10);

/// Creates a placement at `start` that handles the reports of two engines at `now`:
/// `e`, which holds `models`, and `f`, which holds `b` and `c`.
fn two_engines(start: Instant, now: Instant, models: &[(&str, &[&str])]) -> DemandPlacement {
    let mut placement = placement(start);
    let other_models: &[(&str, &[&str])] = &[("b", &[]), ("c", &[])];
    for (engine, held) in [("e", models), ("f", other_models)] {
        handle_report(&mut placement, now, &name(engine), report(held));
    }
    placement
}

#[test]
fn plan_loads_awaited_model() {
    let start = Instant::now();
    let mut placement = placement(start);
    let now = start + LATER;
    handle_report(&mut placement, now, &name("e"), report(&[("a", &[])]));
    placement.record_awaited(now, name("b"), Bytes::new(), None);
    let orders = placement.plan(now);
    assert_eq!(format_orders(&orders), ["load e b"]);
    assert!(
        placement.plan(now).is_empty(),
        "more than one order for a model"
    );
}

#[test]
fn plan_full_engine_unloads_first() {
    let start = Instant::now();
    let mut placement = placement(start);
    handle_report(
        &mut placement,
        start,
        &name("e"),
        report(&[("a", &[]), ("b", &[])]),
    );
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 5);
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    let orders = placement.plan(now);
    assert_eq!(format_orders(&orders), ["unload e b"]);
    placement.handle_answer(now, &name("e"), orders[0].number, OrderAnswer::Accepted);
    assert!(
        placement.plan(now).is_empty(),
        "load ordered while the evicted model is still held"
    );
    handle_report(&mut placement, now, &name("e"), report(&[("a", &[])]));
    assert_eq!(format_orders(&placement.plan(now)), ["load e c"]);
}

#[rstest]
#[case::no_answer(OrderAnswer::Unknown)]
#[case::refused(OrderAnswer::Refused)]
fn plan_uncertain_order_waits_for_inventory(#[case] answer: OrderAnswer) {
    let start = Instant::now();
    let mut placement = placement(start);
    let mut now = start + LATER;
    let engine = name("e");
    handle_report(&mut placement, now, &engine, report(&[("a", &[])]));
    placement.record_awaited(now, name("b"), Bytes::new(), None);
    let orders = placement.plan(now);
    assert_eq!(orders[0].expected, 7);
    placement.handle_answer(now, &engine, orders[0].number, answer);
    now += Duration::from_millis(200);
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    assert!(placement.plan(now).is_empty());
    assert!(
        placement.inventories_due(now).is_empty(),
        "inventory requested before its lag has passed"
    );
    now += Duration::from_millis(300);
    assert_eq!(
        placement.inventories_due(now),
        std::slice::from_ref(&engine)
    );
    let busy = EngineInventory {
        is_busy: true,
        ..EngineInventory::default()
    };
    assert!(!placement.handle_inventory(now, &engine, Some(&busy)));
    assert!(
        placement.plan(now).is_empty(),
        "planned while an order is in progress"
    );
    let inventory = EngineInventory {
        is_busy: false,
        orders: 8,
        models: report(&[("a", &[]), ("b", &[])]).models,
    };
    assert!(placement.handle_inventory(now, &engine, Some(&inventory)));
    now += Duration::from_secs(5);
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    let orders = placement.plan(now);
    assert_eq!(orders[0].expected, 8);
    assert_eq!(orders[0].verb, OrderVerb::Unload);
}

#[test]
fn plan_adds_replica_under_pressure() {
    let start = Instant::now();
    let mut placement = two_engines(start, start, &[("a", &[]), ("c", &[])]);
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 40);
    placement.record_requests(now, &name("b"), &Bytes::new(), 10);
    placement.record_requests(now, &name("c"), &Bytes::new(), 4);
    // The last replica of `c` stays, because `c` has demand.
    assert_eq!(format_orders(&placement.plan(now)), ["unload f c"]);
}

#[test]
fn plan_evicts_idle_last_replica() {
    let start = Instant::now();
    let mut placement = two_engines(start, start, &[("a", &[])]);
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 40);
    placement.record_requests(now, &name("b"), &Bytes::new(), 10);
    let orders = format_orders(&placement.plan(now));
    assert_eq!(orders, ["unload f c", "load e b"]);
}

#[test]
fn plan_freed_memory_stays_reserved() {
    let start = Instant::now();
    let mut placement = placement(start);
    let engine = name("e");
    handle_report(
        &mut placement,
        start,
        &engine,
        report(&[("b", &[]), ("c", &[])]),
    );
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 40);
    let orders = placement.plan(now);
    assert_eq!(format_orders(&orders), ["unload e b"]);
    placement.handle_answer(now, &engine, orders[0].number, OrderAnswer::Accepted);
    handle_report(&mut placement, now, &engine, report(&[("c", &[])]));
    // No engine holds `b` any more, but the memory was freed for `a`.
    assert_eq!(format_orders(&placement.plan(now)), ["load e a"]);
    assert!(placement.plan(now).is_empty());
}

#[test]
fn plan_prefers_cached_weights() {
    let start = Instant::now();
    let mut placement = placement(start);
    let now = start + LATER;
    for engine in ["e", "f"] {
        let mut engine_report = report(&[("a", &[])]);
        if engine == "f" {
            engine_report.in_memory.insert(name("b"));
        }
        handle_report(&mut placement, now, &name(engine), engine_report);
    }
    placement.record_awaited(now, name("b"), Bytes::new(), None);
    let orders = format_orders(&placement.plan(now));
    assert_eq!(orders.first().map(String::as_str), Some("load f b"));
}

#[test]
fn plan_adapters_within_places() {
    let start = Instant::now();
    let now = start + LATER;
    let engine = name("e");
    let mut placement = two_engines(start, now, &[("a", &["x"])]);
    for adapter in ["y", "z"] {
        placement.record_awaited(now, name("a"), name(adapter), None);
    }
    let orders = placement.plan(now);
    assert_eq!(
        format_orders(&orders),
        ["load e a y"],
        "more than one order at a time"
    );
    placement.handle_answer(now, &engine, orders[0].number, OrderAnswer::Accepted);
    let orders = placement.plan(now);
    // `x` may be evicted for another adapter, because it has not been used.
    assert_eq!(format_orders(&orders), ["unload e a x"]);
    placement.handle_answer(now, &engine, orders[0].number, OrderAnswer::Done);
    // The heartbeat does not reflect the two orders yet.
    handle_report(&mut placement, now, &engine, report(&[("a", &[])]));
    assert_eq!(format_orders(&placement.plan(now)), ["load e a z"]);
    handle_report(&mut placement, now, &engine, report(&[("a", &[])]));
    assert!(
        placement.plan(now).is_empty(),
        "load ordered while both places are in use"
    );
}

#[test]
fn plan_stale_heartbeat_frees_no_place() {
    let start = Instant::now();
    let now = start + LATER;
    let engine = name("e");
    let mut placement = two_engines(start, now, &[("a", &["x"])]);
    placement.record_awaited(now, name("a"), name("y"), None);
    let orders = placement.plan(now);
    placement.handle_answer(now, &engine, orders[0].number, OrderAnswer::Accepted);
    handle_report(&mut placement, now, &engine, report(&[("a", &["x", "y"])]));
    // A heartbeat from before either adapter was loaded.
    handle_report(&mut placement, now, &engine, report(&[("a", &[])]));
    for adapter in ["x", "y"] {
        placement.record_requests(now, &name("a"), &name(adapter), 1);
    }
    placement.record_awaited(now, name("a"), name("z"), None);
    assert!(
        placement.plan(now).is_empty(),
        "load ordered while both places are in use"
    );
}

/// An engine whose report lacks what it held, though nothing was unloaded, gets no
/// order before its inventory.
#[rstest]
#[case::adapters(report(&[("a", &[]), ("b", &[])]))]
#[case::models(report(&[("a", &["x", "y"])]))]
fn plan_report_without_held_waits_for_inventory(#[case] stale: EngineReport) {
    let start = Instant::now();
    let mut now = start + LATER;
    let engine = name("e");
    let mut placement = placement(start);
    let held: &[(&str, &[&str])] = &[("a", &["x", "y"]), ("b", &[])];
    handle_report(&mut placement, now, &engine, report(held));
    now += LATER;
    placement.handle_report(now, &engine, report(held));
    placement.handle_report(now, &engine, stale);
    placement.record_awaited(now, name("a"), name("z"), None);
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    assert!(
        placement.plan(now).is_empty(),
        "ordered on a report that lacks what the engine holds"
    );
    now += Duration::from_millis(500);
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    assert!(placement.plan(now).is_empty());
    assert_eq!(
        placement.inventories_due(now),
        std::slice::from_ref(&engine)
    );
    let inventory = EngineInventory {
        is_busy: false,
        orders: 9,
        models: report(held).models,
    };
    assert!(placement.handle_inventory(now, &engine, Some(&inventory)));
    now += LATER;
    placement.handle_report(now, &engine, report(held));
    placement.record_awaited(now, name("c"), Bytes::new(), None);
    let orders = placement.plan(now);
    assert_eq!(orders[0].verb, OrderVerb::Unload);
    assert_eq!(orders[0].expected, 9);
}

#[test]
fn plan_keeps_adapter_in_use() {
    let start = Instant::now();
    let now = start + LATER;
    let mut placement = two_engines(start, now, &[("a", &["x", "y"])]);
    placement.record_requests(now, &name("a"), &name("x"), 1);
    placement.record_requests(now, &name("a"), &name("y"), 1);
    placement.record_awaited(now, name("a"), name("z"), None);
    assert!(placement.plan(now).is_empty());
    let later = now + Duration::from_secs(2);
    placement.record_requests(later, &name("a"), &name("y"), 1);
    placement.record_awaited(later, name("a"), name("z"), None);
    assert_eq!(format_orders(&placement.plan(later)), ["unload e a x"]);
}

#[test]
fn plan_unloads_at_store_rate() {
    let start = Instant::now();
    let mut placement = DemandPlacement::new(start);
    let spec = EngineSpec {
        memory_mb: 100,
        adapter_places: 2,
        models: ["a", "b", "c", "d", "e", "f", "g"].map(model).into(),
    };
    let pacer = PacerSettings {
        store_loads_per_minute: 150,
        store_burst: 3,
        store_parallel: 7,
        adapter_parallel: 8,
    };
    placement.set_spec(spec, pacer);
    let now = start + LATER;
    let engines = ["1", "2", "3", "4", "5"];
    for (engine, held) in engines.iter().zip(["a", "b", "c", "d", "e"]) {
        let engine_report = report(&[(held, &[]), ("f", &[])]);
        handle_report(&mut placement, start, &name(engine), engine_report);
    }
    placement.record_requests(now, &name("g"), &Bytes::new(), 200);
    let mut unloads = 0;
    for _ in 0..10 {
        for order in placement.plan(now) {
            assert_eq!(order.verb, OrderVerb::Unload);
            unloads += 1;
            placement.handle_answer(now, &order.endpoint, order.number, OrderAnswer::Accepted);
        }
    }
    assert_eq!(
        unloads, 3,
        "unloads differ from the store's loads per second"
    );
}

#[test]
fn plan_awaited_models_by_demand() {
    let start = Instant::now();
    let mut placement = placement(start);
    let now = start + LATER;
    handle_report(&mut placement, now, &name("e"), report(&[("a", &[])]));
    placement.record_requests(now, &name("b"), &Bytes::new(), 1);
    placement.record_requests(now, &name("c"), &Bytes::new(), 9);
    for model in ["b", "c"] {
        placement.record_awaited(now, name(model), Bytes::new(), None);
    }
    let orders = format_orders(&placement.plan(now));
    assert_eq!(orders.first().map(String::as_str), Some("load e c"));
}

#[test]
fn plan_spreads_from_overloaded_to_idle_engine() {
    let start = Instant::now();
    let mut placement = placement(start);
    for (engine, held) in [("e", &["a", "b"][..]), ("f", &["c"]), ("g", &[])] {
        let held: Vec<(&str, &[&str])> = held.iter().map(|model| (*model, &[][..])).collect();
        handle_report(&mut placement, start, &name(engine), report(&held));
    }
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 7);
    placement.record_requests(now, &name("b"), &Bytes::new(), 6);
    placement.record_requests(now, &name("c"), &Bytes::new(), 1);
    // Neither model of `e` has high demand on its own, but both together do.
    let orders = format_orders(&placement.plan(now));
    assert_eq!(orders.first().map(String::as_str), Some("load g a"));
}

// Guards against a model without a loaded replica while its next one still loads.
#[test]
fn plan_keeps_replica_while_next_loads() {
    let start = Instant::now();
    let mut placement = two_engines(start, start, &[("a", &[])]);
    let now = start + LATER;
    let record = |placement: &mut DemandPlacement, now: Instant| {
        placement.record_requests(now, &name("a"), &Bytes::new(), 400);
        placement.record_requests(now, &name("b"), &Bytes::new(), 20);
        placement.record_requests(now, &name("c"), &Bytes::new(), 20);
    };
    record(&mut placement, now);
    let orders = placement.plan(now);
    assert_eq!(format_orders(&orders), ["load e b"]);
    placement.handle_answer(now, &name("e"), orders[0].number, OrderAnswer::Accepted);
    assert!(
        placement.plan(now).is_empty(),
        "last loaded replica evicted"
    );
    handle_report(
        &mut placement,
        now,
        &name("e"),
        report(&[("a", &[]), ("b", &[])]),
    );
    assert_eq!(format_orders(&placement.plan(now)), ["unload f b"]);
}

// Guards against a model with demand that becomes unreachable for a further replica
// of another one, however high the demand for that one is.
#[test]
fn plan_further_replica_keeps_last_with_demand() {
    let start = Instant::now();
    let mut placement = two_engines(start, start, &[("a", &[]), ("b", &[])]);
    let now = start + LATER;
    placement.record_requests(now, &name("c"), &Bytes::new(), 1);
    let later = now + Duration::from_secs(5);
    placement.record_requests(later, &name("a"), &Bytes::new(), 4_000);
    placement.record_requests(later, &name("b"), &Bytes::new(), 40);
    // `b` has two replicas, and `c` one that was used five seconds ago.
    assert_eq!(format_orders(&placement.plan(later)), ["unload f b"]);
}

#[rstest]
#[case::further_replica(None, &[])]
#[case::held_by_none(Some("d"), &["unload e c"])]
fn plan_last_with_demand_evicted_for_unheld(
    #[case] awaited: Option<&str>,
    #[case] expected: &[&str],
) {
    let start = Instant::now();
    let mut placement = placement(start);
    let mut models: Vec<ModelSpec> = ["a", "b", "c", "d"].map(model).into();
    models[0].weight_mb = 80;
    let spec = EngineSpec {
        memory_mb: 100,
        adapter_places: 2,
        models,
    };
    placement.set_spec(spec, PacerSettings::default());
    for (engine, held) in [("e", &["b", "c"][..]), ("f", &["a"])] {
        let held: Vec<(&str, &[&str])> = held.iter().map(|model| (*model, &[][..])).collect();
        handle_report(&mut placement, start, &name(engine), report(&held));
    }
    let now = start + LATER;
    placement.record_requests(now, &name("a"), &Bytes::new(), 4_000);
    placement.record_requests(now, &name("b"), &Bytes::new(), 9);
    placement.record_requests(now, &name("c"), &Bytes::new(), 1);
    if let Some(awaited) = awaited {
        placement.record_awaited(now, name(awaited), Bytes::new(), None);
    }
    assert_eq!(format_orders(&placement.plan(now)), expected);
}

/// Guards against streams that can't go on at their software version because their
/// adapter, or their model, is loaded at engines of another version only.
#[rstest]
#[case::adapter("x", "load e2 a x")]
#[case::model_in_place_of_spare("", "unload e2 c")]
fn awaited_at_version_loaded_there(#[case] adapter: &str, #[case] expected: &str) {
    let now = Instant::now();
    let mut placement = placement(now);
    let older: &[(&str, &[&str])] = if adapter.is_empty() {
        &[("b", &[]), ("c", &[])]
    } else {
        &[("a", &[]), ("b", &[])]
    };
    let engines = [
        ("e1", "v2", report(&[("a", &["x"]), ("c", &[])])),
        ("e2", "v1", report(older)),
    ];
    for (endpoint, software, engine_report) in engines {
        let engine_report = EngineReport {
            software: name(software),
            ..engine_report
        };
        handle_report(&mut placement, now, &name(endpoint), engine_report);
    }
    let later = now + Duration::from_secs(5);
    placement.record_awaited(later, name("a"), name(adapter), None);
    let orders = format_orders(&placement.plan(later));
    assert!(orders.is_empty(), "any version holds it: {orders:?}");
    placement.record_awaited(later, name("a"), name(adapter), Some(name("v1")));
    let orders = format_orders(&placement.plan(later));
    assert_eq!(orders, [expected]);
}

/// Guards against streams that wait for a model at an engine of their software version
/// that has crashed: its heartbeats count as missing only seconds later.
#[rstest]
#[case::sound(false, &[])]
#[case::refusing(true, &["unload e2 b"])]
fn awaited_at_version_of_refusing_engine(#[case] is_refusing: bool, #[case] expected: &[&str]) {
    let now = Instant::now();
    let mut placement = placement(now);
    let engines = [
        ("e1", "v1", is_refusing, report(&[("a", &[]), ("b", &[])])),
        ("e2", "v1", false, report(&[("b", &[]), ("c", &[])])),
        ("e3", "v2", false, report(&[("a", &[]), ("c", &[])])),
    ];
    for (endpoint, software, is_refusing, engine_report) in engines {
        let engine_report = EngineReport {
            software: name(software),
            is_refusing,
            ..engine_report
        };
        handle_report(&mut placement, now, &name(endpoint), engine_report);
    }
    let later = now + Duration::from_secs(5);
    placement.record_awaited(later, name("a"), Bytes::new(), Some(name("v1")));
    assert_eq!(format_orders(&placement.plan(later)), expected);
}

/// Guards against callers that are refused for as long as the only engine with their
/// model or adapter has a limit, though others have room.
#[rstest]
#[case::model("", &["unload e2 b"])]
#[case::adapter("x", &["load e3 a x"])]
fn awaited_at_limited_engine_loaded_elsewhere(#[case] adapter: &str, #[case] expected: &[&str]) {
    let now = Instant::now();
    let mut placement = placement(now);
    let mut engines = vec![
        ("e1", true, report(&[("a", &["x"]), ("c", &[])])),
        ("e2", false, report(&[("b", &[]), ("c", &[])])),
    ];
    if !adapter.is_empty() {
        engines.push(("e3", false, report(&[("a", &[]), ("b", &[])])));
    } else {
        engines.push(("e3", false, report(&[("b", &[]), ("c", &[])])));
    }
    for (endpoint, is_limited, engine_report) in engines {
        let engine_report = EngineReport {
            is_limited,
            ..engine_report
        };
        handle_report(&mut placement, now, &name(endpoint), engine_report);
    }
    let later = now + Duration::from_secs(5);
    placement.record_awaited(later, name("a"), name(adapter), None);
    assert_eq!(format_orders(&placement.plan(later)), expected);
}

/// Guards against streams that can't go on because every model at the engines of their
/// version is the last of its kind: one with far less demand gives way, another doesn't.
#[rstest]
#[case::little_demand(1, &["unload e2 c"])]
#[case::as_much_demand(30, &[])]
fn awaited_at_version_replaces_last(#[case] requests: u64, #[case] expected: &[&str]) {
    let now = Instant::now();
    let mut placement = placement(now);
    let engines = [
        ("e1", "v2", report(&[("a", &[])])),
        ("e2", "v1", report(&[("b", &[]), ("c", &[])])),
    ];
    for (endpoint, software, engine_report) in engines {
        let engine_report = EngineReport {
            software: name(software),
            ..engine_report
        };
        handle_report(&mut placement, now, &name(endpoint), engine_report);
    }
    let later = now + Duration::from_secs(5);
    for (model, requests) in [("a", 30), ("b", 90), ("c", requests)] {
        placement.record_requests(later, &name(model), &Bytes::new(), requests);
    }
    placement.record_awaited(later, name("a"), Bytes::new(), Some(name("v1")));
    let orders = format_orders(&placement.plan(later));
    let unloads: Vec<_> = orders
        .iter()
        .filter(|it| it.starts_with("unload"))
        .collect();
    assert_eq!(unloads, expected, "{orders:?}");
}
