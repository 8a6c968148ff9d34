//! Tests of the directory under updates.

use bytes::Bytes;
use mulberrywell_directory::{ApplyOutcome, ConfigDirectory};
use mulberrywell_wire::config::{EndpointItem, ItemKind, Removal, Update};
use rstest::rstest;

fn endpoint(name: &'static str, engine: bool, resident: &[&'static str]) -> EndpointItem {
    EndpointItem {
        name: Bytes::from_static(name.as_bytes()),
        pool: Bytes::from_static(b"pool"),
        engine,
        resident: resident
            .iter()
            .map(|model| Bytes::from_static(model.as_bytes()))
            .collect(),
        ..EndpointItem::default()
    }
}

fn update(base: u64, version: u64, endpoints: Vec<EndpointItem>) -> Update {
    Update {
        base,
        version,
        whole: base == 0,
        cluster: 7,
        endpoints,
        ..Update::default()
    }
}

fn populated_directory() -> ConfigDirectory {
    let mut directory = ConfigDirectory::default();
    let endpoints = vec![
        endpoint("a", true, &["m", "n"]),
        endpoint("b", true, &["m"]),
        endpoint("c", false, &[]),
    ];
    assert_eq!(
        directory.apply(&update(0, 3, endpoints)),
        ApplyOutcome::Applied
    );
    directory
}

fn names_of(directory: &ConfigDirectory, model: &'static str) -> Vec<String> {
    let model = Bytes::from_static(model.as_bytes());
    let items = directory.endpoints_of_model(&model);
    items
        .map(|item| String::from_utf8_lossy(&item.name).into_owned())
        .collect()
}

#[rstest]
#[case::older(update(2, 3, vec![]), ApplyOutcome::Stale)]
#[case::gap(update(4, 5, vec![]), ApplyOutcome::Gap)]
#[case::whole_older(update(0, 2, vec![]), ApplyOutcome::Stale)]
#[case::foreign(Update { cluster: 8, ..update(0, 9, vec![]) }, ApplyOutcome::Foreign)]
#[case::foreign_delta(Update { cluster: 8, ..update(3, 4, vec![]) }, ApplyOutcome::Foreign)]
fn apply_rejected_unchanged(#[case] update: Update, #[case] outcome: ApplyOutcome) {
    let mut directory = populated_directory();
    assert_eq!(directory.apply(&update), outcome);
    assert_eq!(directory.version(), 3);
    assert_eq!(directory.endpoints().count(), 3);
}

#[test]
fn endpoints_of_model_updated() {
    let mut directory = populated_directory();
    assert_eq!(names_of(&directory, "m"), ["a", "b"]);
    directory.apply(&update(3, 4, vec![endpoint("a", true, &["n"])]));
    assert_eq!(names_of(&directory, "m"), ["b"]);
    assert_eq!(names_of(&directory, "n"), ["a"]);
    let mut gone = update(4, 5, vec![]);
    gone.removals.push(Removal {
        kind: ItemKind::Endpoint.into(),
        name: Bytes::from_static(b"b"),
    });
    directory.apply(&gone);
    assert!(names_of(&directory, "m").is_empty());
    let pool = Bytes::from_static(b"pool");
    assert_eq!(directory.endpoints_of_service(&pool).count(), 1);
}
